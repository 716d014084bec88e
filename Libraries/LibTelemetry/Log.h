#pragma once

#include <LibTelemetry/TimeLine.h>
#include <string_view>
#include <vector>

namespace Sassafrasshift::Telemetry {

enum class LogLevel {
    Debug,
    Information,
    Warning,
    Error,
};

enum class LogDestination {
    StandardError,
    StandardOutput,
};

/// Starts logging as JSON lines; messages below the given level are discarded. Logging never blocks: lines are dropped when
/// the reader of the output falls behind, and a later line reports how many were dropped.
void startLog(std::string_view processName, LogLevel, LogDestination = LogDestination::StandardError);

/// Flushes the queued lines and stops logging. Call it before the process exits; later messages are discarded.
void stopLog();

/// Writes one line with a stable event name, its fields and a human-readable message.
void log(LogLevel, std::string_view event, std::string_view message, const std::vector<EventField>& fields = {});

}
