#pragma once

#include <LibBase/Error.h>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Sassafrasshift::Trace {

/// One event of a time line.
struct Event {
    /// Microseconds since the Unix epoch; `logical` orders events that have the same `wall`.
    int64_t wall { 0 };
    uint32_t logical { 0 };
    std::string process;
    std::string name;
    std::map<std::string, std::string, std::less<>> fields;

    /// Returns the value of a field, or an empty string if the event does not have it.
    [[nodiscard]] const std::string& field(std::string_view) const;

    friend auto operator<=>(const Event&, const Event&) = default;
};

/// Parses the JSON lines of a time line. A malformed last line without a line break is skipped, since a killed process may
/// leave one. Any other malformed line fails with Reason::InvalidInput and the line number.
[[nodiscard]] ErrorOr<std::vector<Event>> parseEvents(std::string_view text);

/// Sorts events by their hybrid logical timestamps; the sort is stable.
void sortEvents(std::vector<Event>&);

[[nodiscard]] std::string toJsonLine(const Event&);
/// Formats an event as one human-readable line, with the time of day in UTC.
[[nodiscard]] std::string toText(const Event&);
/// Formats the events in the Chrome trace-event format: each becomes an instant event in the row of its process.
[[nodiscard]] std::string toChromeTrace(const std::vector<Event>&);

}
