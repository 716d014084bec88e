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

/// Writes the process's log as JSON lines, from a level upwards.
void startLog(std::string_view processName, LogLevel, LogDestination = LogDestination::StandardError);

/// Writes one line with a stable event name, its fields and a message in plain words.
void log(LogLevel, std::string_view event, std::string_view message, const std::vector<EventField>& fields = {});

}
