#include <LibTelemetry/Log.h>
#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>
#include <map>

namespace Sassafrasshift::Telemetry {

static constexpr int maximumWaitingLines = 2048;

static log4cxx::LevelPtr nativeLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Information:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

static std::string& processLabel()
{
    static std::string label;
    return label;
}

void startLog(std::string_view processName, LogLevel level, LogDestination destination)
{
    processLabel() = processName;
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    layout->setOption("ContextInfo", "true");
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout);
    appender->setTarget(destination == LogDestination::StandardOutput ? log4cxx::ConsoleAppender::getSystemOut() : log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::helpers::Pool pool;
    appender->activateOptions(pool);
    // Lines are written by a thread of their own, and dropped and counted where the reader does not keep up.
    auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBufferSize(maximumWaitingLines);
    queue->setBlocking(false);
    queue->addAppender(appender);
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(queue);
    log4cxx::Logger::getRootLogger()->setLevel(nativeLevel(level));
}

void log(LogLevel level, std::string_view event, std::string_view message, const std::vector<EventField>& fields)
{
    auto logger = log4cxx::Logger::getRootLogger();
    auto native = nativeLevel(level);
    if (!logger->isEnabledFor(native))
        return;
    log4cxx::MDC::put("process", processLabel());
    log4cxx::MDC::put("event", std::string(event));
    for (const auto& field : fields)
        log4cxx::MDC::put(std::string(field.name), field.value);
    logger->forcedLog(native, std::string(message), log4cxx::spi::LocationInfo::getLocationUnavailable());
    log4cxx::MDC::clear();
}

void stopLog()
{
    log4cxx::LogManager::shutdown();
}

}
