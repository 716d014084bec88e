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

static constexpr int maximumQueuedLines = 2048;

static log4cxx::LevelPtr toLog4cxxLevel(LogLevel level)
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

static std::string& loggedProcessName()
{
    static std::string name;
    return name;
}

void startLog(std::string_view processName, LogLevel level, LogDestination destination)
{
    loggedProcessName() = processName;
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    // Makes the layout write the mapped diagnostic context (MDC), in which log() passes the process, the event and the fields.
    layout->setOption("ContextInfo", "true");
    auto consoleAppender = std::make_shared<log4cxx::ConsoleAppender>(layout);
    consoleAppender->setTarget(destination == LogDestination::StandardOutput ? log4cxx::ConsoleAppender::getSystemOut() : log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::helpers::Pool pool;
    consoleAppender->activateOptions(pool);
    // The asynchronous appender writes lines on its own thread. When its buffer is full it drops and counts lines instead of
    // blocking the caller.
    auto asyncAppender = std::make_shared<log4cxx::AsyncAppender>();
    asyncAppender->setBufferSize(maximumQueuedLines);
    asyncAppender->setBlocking(false);
    asyncAppender->addAppender(consoleAppender);
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(asyncAppender);
    log4cxx::Logger::getRootLogger()->setLevel(toLog4cxxLevel(level));
}

void log(LogLevel level, std::string_view event, std::string_view message, const std::vector<EventField>& fields)
{
    auto logger = log4cxx::Logger::getRootLogger();
    auto log4cxxLevel = toLog4cxxLevel(level);
    if (!logger->isEnabledFor(log4cxxLevel))
        return;
    log4cxx::MDC::put("process", loggedProcessName());
    log4cxx::MDC::put("event", std::string(event));
    for (const auto& field : fields)
        log4cxx::MDC::put(std::string(field.name), field.value);
    logger->forcedLog(log4cxxLevel, std::string(message), log4cxx::spi::LocationInfo::getLocationUnavailable());
    log4cxx::MDC::clear();
}

void stopLog()
{
    log4cxx::LogManager::shutdown();
}

}
