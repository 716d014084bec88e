#include <LibTelemetry/TimeLine.h>
#include <cerrno>
#include <cstring>
#include <nlohmann/json.hpp>

namespace Sassafrasshift::Telemetry {

static constexpr size_t maximumEventsInMemory = 20'000;

TimeLine::TimeLine(const Clock& clock, std::string processName)
    : clock(clock)
    , processName(std::move(processName))
{
}

TimeLine::~TimeLine()
{
    if (this->file)
        std::fclose(this->file);
}

ErrorOr<std::unique_ptr<TimeLine>> TimeLine::create(const Clock& clock, std::string processName, const std::string& path)
{
    std::unique_ptr<TimeLine> timeLine(new TimeLine(clock, std::move(processName)));
    if (path.empty())
        return timeLine;
    timeLine->file = std::fopen(path.c_str(), "ae");
    if (!timeLine->file)
        return tl::unexpected(Error::notRun(Reason::StorageFailed, "cannot open time-line file " + path + ": " + std::strerror(errno)));
    // Line buffering writes whole lines, so that the file stays readable if the process is killed.
    std::setvbuf(timeLine->file, nullptr, _IOLBF, 4096);
    return timeLine;
}

void TimeLine::record(std::string_view event, const std::vector<EventField>& fields)
{
    auto time = this->clock.tick();
    nlohmann::ordered_json line;
    line["wall"] = time.wall;
    line["logical"] = time.logical;
    line["process"] = this->processName;
    line["event"] = event;
    for (const auto& field : fields)
        line[std::string(field.name)] = field.value;
    auto text = line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    text += '\n';
    if (this->file)
        std::fwrite(text.data(), 1, text.size(), this->file);
    this->events.push_back(std::move(text));
    if (this->events.size() > maximumEventsInMemory)
        this->events.pop_front();
}

std::string TimeLine::recentEvents(std::string_view containing) const
{
    std::string result;
    for (const auto& event : this->events) {
        if (containing.empty() || event.find(containing) != std::string::npos)
            result += event;
    }
    return result;
}

void TimeLine::flush()
{
    if (this->file)
        std::fflush(this->file);
}

}
