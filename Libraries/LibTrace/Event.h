#pragma once

#include <LibBase/Error.h>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Sassafrasshift::Trace {

/// One line of a time line.
struct Event {
    /// Microseconds since the epoch, and the logical part that orders events of the same microsecond.
    int64_t wall { 0 };
    uint32_t logical { 0 };
    std::string process;
    std::string name;
    std::map<std::string, std::string, std::less<>> fields;

    /// The value of a field, or an empty text.
    [[nodiscard]] const std::string& field(std::string_view) const;

    friend auto operator<=>(const Event&, const Event&) = default;
};

/// Reads the JSON lines of a time line. A last line that was cut short is left out; any other malformed line fails
/// with Reason::InvalidInput and its number.
[[nodiscard]] ErrorOr<std::vector<Event>> parseEvents(std::string_view text);

/// Sorts events of several processes into one order.
void sortEvents(std::vector<Event>&);

[[nodiscard]] std::string toJsonLine(const Event&);
[[nodiscard]] std::string toText(const Event&);
/// The Chrome trace-event format: one instant event each, with a row for each process.
[[nodiscard]] std::string toChromeTrace(const std::vector<Event>&);

}
