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

/// Sends the process's log to standard error as JSON lines, from a level upwards.
void startLog(std::string_view processName, LogLevel);

/// Writes one line with a stable event name, its fields and a message in plain words.
void log(LogLevel, std::string_view event, std::string_view message, const std::vector<EventField>& fields = {});

}
