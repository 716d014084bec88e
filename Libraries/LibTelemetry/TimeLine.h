#pragma once

#include <LibBase/Error.h>
#include <LibTelemetry/HybridClock.h>
#include <cstdio>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Sassafrasshift::Telemetry {

/// A named value that is attached to a log line or a time-line event.
struct EventField {
    std::string_view name;
    std::string value;
};

/// Records the events of one process with hybrid logical timestamps, so that the time lines of several processes can be merged.
///
/// The most recent events are kept in memory. If a file is configured, every event is also appended to it as a JSON line.
class TimeLine {
public:
    /// Opens the file for appending; an empty path keeps the events in memory only. Fails with Reason::StorageFailed if the
    /// file cannot be opened.
    [[nodiscard]] static ErrorOr<std::unique_ptr<TimeLine>> create(const Clock&, std::string processName, const std::string& path);
    ~TimeLine();
    TimeLine(const TimeLine&) = delete;
    TimeLine& operator=(const TimeLine&) = delete;

    /// Records an event with a stable name and its fields.
    void record(std::string_view event, const std::vector<EventField>& fields);

    /// Returns the events in memory as JSON lines, oldest first. If `containing` is not empty, only the lines that contain it
    /// are returned.
    [[nodiscard]] std::string recentEvents(std::string_view containing = {}) const;

    [[nodiscard]] HybridClock& hybridClock() { return this->clock; }

    /// Flushes buffered events to the operating system.
    void flush();

private:
    TimeLine(const Clock&, std::string processName);

    HybridClock clock;
    std::string processName;
    std::deque<std::string> events;
    FILE* file { nullptr };
};

}
