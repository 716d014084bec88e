#include <LibTrace/Event.h>
#include <algorithm>
#include <ctime>
#include <nlohmann/json.hpp>
#include <tuple>

namespace Sassafrasshift::Trace {

using Json = nlohmann::ordered_json;

const std::string& Event::field(std::string_view name) const
{
    static const std::string empty;
    auto position = this->fields.find(name);
    return position == this->fields.end() ? empty : position->second;
}

// Fills an event from one parsed line. Returns false if the line is not an event. Other fields of an unexpected type are ignored.
static bool readEvent(const Json& line, Event& event)
{
    if (!line.is_object() || !line.contains("wall") || !line["wall"].is_number_integer() || !line.contains("event") || !line["event"].is_string())
        return false;
    event.wall = line["wall"].get<int64_t>();
    for (const auto& [key, value] : line.items()) {
        if (key == "logical" && value.is_number_unsigned())
            event.logical = value.get<uint32_t>();
        else if (key == "process" && value.is_string())
            event.process = value.get<std::string>();
        else if (key == "event")
            event.name = value.get<std::string>();
        else if (key != "wall" && value.is_string())
            event.fields[key] = value.get<std::string>();
    }
    return true;
}

ErrorOr<std::vector<Event>> parseEvents(std::string_view text)
{
    std::vector<Event> events;
    size_t lineNumber = 0;
    while (!text.empty()) {
        ++lineNumber;
        auto end = text.find('\n');
        bool isUnterminated = end == std::string_view::npos;
        auto line = text.substr(0, end);
        text = isUnterminated ? std::string_view() : text.substr(end + 1);
        if (line.empty())
            continue;
        Event event;
        if (readEvent(Json::parse(line, nullptr, false), event))
            events.push_back(std::move(event));
        else if (!isUnterminated)
            return tl::unexpected(Error::notRun(Reason::InvalidInput, "line " + std::to_string(lineNumber) + " is not a valid event"));
    }
    return events;
}

void sortEvents(std::vector<Event>& events)
{
    std::stable_sort(events.begin(), events.end(), [](const Event& left, const Event& right) {
        return std::tie(left.wall, left.logical) < std::tie(right.wall, right.logical);
    });
}

std::string toJsonLine(const Event& event)
{
    Json line;
    line["wall"] = event.wall;
    line["logical"] = event.logical;
    line["process"] = event.process;
    line["event"] = event.name;
    for (const auto& [name, value] : event.fields)
        line[name] = value;
    return line.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string toText(const Event& event)
{
    auto seconds = static_cast<std::time_t>(event.wall / 1'000'000);
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    char time[32];
    std::strftime(time, sizeof(time), "%H:%M:%S", &parts);
    char fraction[16];
    std::snprintf(fraction, sizeof(fraction), ".%06lld", static_cast<long long>(event.wall % 1'000'000));
    std::string text = std::string(time) + fraction + "  " + event.process + "  " + event.name;
    for (const auto& [name, value] : event.fields)
        text += "  " + name + "=" + value;
    return text;
}

std::string toChromeTrace(const std::vector<Event>& events)
{
    Json trace = Json::array();
    for (const auto& event : events)
        trace.push_back({ { "name", event.name }, { "ph", "i" }, { "s", "p" }, { "ts", event.wall }, { "pid", event.process }, { "tid", event.process }, { "args", event.fields } });
    return Json { { "traceEvents", trace } }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}
