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

struct EventField {
    std::string_view name;
    std::string value;
};

/// Records what happened in one process, in a form that can be merged with the records of others.
///
/// The latest events are kept in memory; all are appended to a file of JSON lines where one is named.
class TimeLine {
public:
    /// Opens the file for appending. Fails with Reason::StorageFailed where it cannot be opened.
    [[nodiscard]] static ErrorOr<std::unique_ptr<TimeLine>> create(const Clock&, std::string processName, const std::string& path);
    ~TimeLine();
    TimeLine(const TimeLine&) = delete;
    TimeLine& operator=(const TimeLine&) = delete;

    /// Records an event with a stable name and its fields.
    void record(std::string_view event, const std::vector<EventField>& fields);

    /// The events in memory as JSON lines, oldest first; only those that contain a text where one is given.
    [[nodiscard]] std::string recentEvents(std::string_view containing = {}) const;

    [[nodiscard]] HybridClock& hybridClock() { return this->clock; }

    /// Hands what is buffered to the operating system.
    void flush();

private:
    TimeLine(const Clock&, std::string processName);

    HybridClock clock;
    std::string processName;
    std::deque<std::string> events;
    FILE* file { nullptr };
};

}
