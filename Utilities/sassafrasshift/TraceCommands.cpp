#include "Command.h"
#include "Connection.h"
#include "Files.h"
#include <LibBase/Try.h>
#include <LibTrace/Checker.h>
#include <LibTrace/Event.h>
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

namespace Sassafrasshift::CommandLine {

using Json = nlohmann::ordered_json;
using Trace::Event;

static constexpr Milliseconds callTimeout { 10'000 };

static ErrorOr<std::vector<Event>> readEventFiles(const std::vector<std::string>& paths)
{
    std::vector<Event> events;
    for (const auto& file : TRY(readSourceFiles(paths))) {
        auto parsed = Trace::parseEvents(file.text);
        if (!parsed)
            return tl::unexpected(Error::notRun(Reason::InvalidInput, file.name + ": " + parsed.error().detail));
        events.insert(events.end(), parsed->begin(), parsed->end());
    }
    return events;
}

static ErrorOr<std::vector<Event>> fetchEvents(const Arguments& arguments)
{
    std::vector<Event> events;
    for (const auto& entryHost : arguments.entryHosts) {
        auto response = TRY(call({ entryHost }, { "GET", "/v1/timeline", {}, {} }, callTimeout));
        auto parsed = TRY(Trace::parseEvents(response.body));
        events.insert(events.end(), parsed.begin(), parsed.end());
    }
    return events;
}

// Whether the process or a field of the event equals the text.
static bool mentions(const Event& event, const std::string& text)
{
    return event.process == text || std::any_of(event.fields.begin(), event.fields.end(), [&](const auto& field) { return field.second == text; });
}

ExitCode runTimeLine(const Arguments& arguments)
{
    auto events = arguments.operands.empty() ? fetchEvents(arguments) : readEventFiles(arguments.operands);
    if (!events)
        return reportError(events.error());
    auto filter = arguments.option("containing");
    if (!filter.empty())
        std::erase_if(*events, [&](const auto& event) { return !mentions(event, filter); });
    Trace::sortEvents(*events);
    auto format = arguments.option("format", arguments.output == OutputFormat::Json ? "jsonl" : "text");
    if (format == "chrome") {
        std::cout << Trace::toChromeTrace(*events) << "\n";
        return ExitCode::Success;
    }
    if (format != "text" && format != "jsonl") {
        std::cerr << "sassafrasshift: --format must be text, jsonl or chrome\n";
        return ExitCode::Usage;
    }
    for (const auto& event : *events)
        std::cout << (format == "text" ? Trace::toText(event) : Trace::toJsonLine(event)) << "\n";
    return ExitCode::Success;
}

static bool matchesExpectedCounts(const Json& actual, const std::string& path)
{
    auto file = readSourceFiles({ path });
    auto expected = file ? Json::parse(file->front().text, nullptr, false) : Json();
    if (!expected.is_object()) {
        std::cerr << "sassafrasshift: " << path << " is missing or not a JSON object\n";
        return false;
    }
    bool allMatch = true;
    for (const auto& [name, value] : expected.items()) {
        if (actual.contains(name) && actual[name] == value)
            continue;
        std::cerr << "sassafrasshift: " << name << " is " << (actual.contains(name) ? actual[name].dump() : "unknown") << ", expected " << value.dump() << "\n";
        allMatch = false;
    }
    return allMatch;
}

ExitCode runReplay(const Arguments& arguments)
{
    auto events = readEventFiles(arguments.operands);
    if (!events)
        return reportError(events.error());
    auto findings = Trace::checkEvents(std::move(*events));
    for (const auto& violation : findings.violations)
        std::cerr << violation << "\n";
    std::cout << findings.toJson() << "\n";
    if (arguments.has("expect"))
        return matchesExpectedCounts(Json::parse(findings.toJson()), arguments.option("expect")) ? ExitCode::Success : ExitCode::Failure;
    return findings.hasNoViolations() ? ExitCode::Success : ExitCode::Failure;
}

}
