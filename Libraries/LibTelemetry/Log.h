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

/// Writes the process's log as JSON lines, from a level upwards. Callers never wait for the reader of the log: lines are
/// dropped where it does not keep up, and a line says how many.
void startLog(std::string_view processName, LogLevel, LogDestination = LogDestination::StandardError);

/// Writes out what waits; to be called before the process ends. Nothing is logged afterwards.
void stopLog();

/// Writes one line with a stable event name, its fields and a message in plain words.
void log(LogLevel, std::string_view event, std::string_view message, const std::vector<EventField>& fields = {});

}
