#include "Command.h"
#include "Connection.h"
#include "Files.h"
#include "LoadGenerator.h"
#include "LoadProfile.h"
#include <LibLedger/FileOperations.h>
#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

namespace Sassafrasshift::CommandLine {

using Json = nlohmann::ordered_json;

static constexpr Milliseconds callTimeout { 5000 };
static constexpr Milliseconds progressInterval { 500 };

struct Summary {
    double mean { 0 };
    double median { 0 };
    double p99 { 0 };
    double largest { 0 };
};

static Summary summarize(std::vector<double> values)
{
    Summary summary;
    if (values.empty())
        return summary;
    std::sort(values.begin(), values.end());
    for (auto value : values)
        summary.mean += value / static_cast<double>(values.size());
    summary.median = values[values.size() / 2];
    summary.p99 = values[std::min(values.size() - 1, values.size() * 99 / 100)];
    summary.largest = values.back();
    return summary;
}

static Json toJson(const Summary& summary)
{
    return Json { { "mean", summary.mean }, { "p50", summary.median }, { "p99", summary.p99 }, { "max", summary.largest } };
}

// The sum of a counter over the hosts that can be reached.
static uint64_t sumCounter(const std::vector<Transport::Endpoint>& entries, const std::string& name)
{
    double total = 0;
    for (const auto& entry : entries) {
        auto response = call({ entry }, { "GET", "/metrics", {}, {} }, callTimeout);
        std::istringstream lines(response ? response->body : std::string());
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("sassafrasshift_" + name + " "))
                total += std::strtod(line.c_str() + line.rfind(' '), nullptr);
        }
    }
    return static_cast<uint64_t>(total);
}

struct MessageCounts {
    uint64_t work { 0 };
    uint64_t upkeep { 0 };
    /// Sent for grants that were not used, since the target refused or the request was gone.
    uint64_t unusedGrants { 0 };
    /// Sent for requests that another failure domain handed back.
    uint64_t returnedHandOvers { 0 };
    uint64_t repeatedProposals { 0 };

    [[nodiscard]] uint64_t wasted() const { return this->unusedGrants + this->returnedHandOvers + this->repeatedProposals; }
};

static MessageCounts countMessages(const std::vector<Transport::Endpoint>& entries)
{
    return MessageCounts { sumCounter(entries, "messages_total{purpose=\"work\"}"), sumCounter(entries, "messages_total{purpose=\"upkeep\"}"), sumCounter(entries, "messages_wasted_total{cause=\"unused-grant\"}"),
        sumCounter(entries, "messages_wasted_total{cause=\"hand-over-returned\"}"), sumCounter(entries, "messages_wasted_total{cause=\"proposal-repeated\"}") };
}

static Json describe(const LoadProfile& profile, const LoadResults& results, const MessageCounts& before, const MessageCounts& after)
{
    Json body;
    body["profile"] = profile.name;
    body["requests"] = results.requests;
    body["answered"] = results.answered;
    body["failed"] = results.failed;
    body["refused_not_run"] = results.refusedNotRun + results.jobsRefusedNotRun;
    body["unknown"] = results.unknown + results.jobsUnknown;
    body["jobs_submitted"] = results.jobsSubmitted;
    body["jobs_complete"] = results.jobsComplete;
    body["jobs_failed"] = results.jobsFailed;
    body["jobs_cancelled"] = results.jobsCancelled;
    body["wrong"] = results.wrong;
    body["messages"] = after.work - std::min(before.work, after.work);
    body["upkeep_messages"] = after.upkeep - std::min(before.upkeep, after.upkeep);
    body["wasted_messages"] = after.wasted() - std::min(before.wasted(), after.wasted());
    body["wasted_by_unused_grants"] = after.unusedGrants - std::min(before.unusedGrants, after.unusedGrants);
    body["wasted_by_returned_hand_overs"] = after.returnedHandOvers - std::min(before.returnedHandOvers, after.returnedHandOvers);
    body["wasted_by_repeated_proposals"] = after.repeatedProposals - std::min(before.repeatedProposals, after.repeatedProposals);
    body["request_ms"] = toJson(summarize(results.requestLatencies));
    body["request_over_run_time"] = toJson(summarize(results.requestRatios));
    body["job_ms"] = toJson(summarize(results.jobLatencies));
    body["job_over_longest_task"] = toJson(summarize(results.jobRatios));
    body["refusal_ms"] = toJson(summarize(results.refusalLatencies));
    return body;
}

static void printTable(const Json& body)
{
    std::cout << std::left << std::setw(24) << "" << std::right << std::setw(10) << "mean" << std::setw(10) << "p50" << std::setw(10) << "p99" << std::setw(10) << "max"
              << "\n"
              << std::fixed << std::setprecision(2);
    for (const auto& [name, value] : body.items()) {
        if (value.is_object())
            std::cout << std::left << std::setw(24) << name << std::right << std::setw(10) << value["mean"].get<double>() << std::setw(10) << value["p50"].get<double>() << std::setw(10) << value["p99"].get<double>() << std::setw(10) << value["max"].get<double>() << "\n";
    }
    for (const auto& [name, value] : body.items()) {
        if (value.is_number())
            std::cout << std::left << std::setw(24) << name << std::right << std::setw(10) << value.get<uint64_t>() << "\n";
    }
}

static std::optional<LoadProfile> readProfile(const Arguments& arguments)
{
    auto files = readSourceFiles({ arguments.operands.front() });
    if (!files) {
        reportError(files.error());
        return std::nullopt;
    }
    auto text = files->front().text;
    // An option replaces the profile's line, so that both are checked alike.
    for (const auto& [option, key] : { std::pair { "duration", "duration" }, { "seed", "seed" } }) {
        if (!arguments.has(option))
            continue;
        std::istringstream lines(text);
        std::string replaced;
        for (std::string line; std::getline(lines, line);) {
            if (!line.starts_with(std::string(key) + ":"))
                replaced += line + "\n";
        }
        text = replaced + std::string(key) + ": " + arguments.option(option) + "\n";
    }
    auto profile = LoadProfile::parse(text, files->front().name);
    if (!profile) {
        std::cerr << Settings::toText(profile.error());
        return std::nullopt;
    }
    auto factor = std::strtod(arguments.option("rate-factor", "1").c_str(), nullptr);
    profile->requestRate *= factor;
    profile->jobRate *= factor;
    return *profile;
}

ExitCode runLoad(const Arguments& arguments)
{
    auto profile = readProfile(arguments);
    if (!profile)
        return ExitCode::Faults;
    std::optional<Transport::Endpoint> direct;
    if (arguments.has("direct")) {
        auto endpoint = Transport::Endpoint::parse(arguments.option("direct"));
        if (!endpoint)
            return reportError(endpoint.error());
        direct = *endpoint;
    }
    auto loop = Transport::EventLoop::create();
    auto timeLine = Telemetry::TimeLine::create(*loop, "load", arguments.option("time-line"));
    if (!timeLine)
        return reportError(timeLine.error());
    auto before = countMessages(arguments.entries);
    LoadGenerator generator(*loop, *profile, arguments.entries, direct, **timeLine);
    std::unique_ptr<Transport::Timer> progress;
    std::function<void()> showProgress = [&] {
        std::cerr << "\r" << generator.results().requests << " requests, " << generator.results().jobsSubmitted << " jobs sent, " << generator.open() << " open   " << std::flush;
        progress = loop->after(progressInterval, showProgress);
    };
    if (isatty(STDERR_FILENO))
        progress = loop->after(progressInterval, showProgress);
    generator.start();
    loop->run();
    if (progress)
        std::cerr << "\n";
    (*timeLine)->flush();
    auto body = describe(*profile, generator.results(), before, countMessages(arguments.entries));
    if (arguments.output == OutputForm::Json)
        std::cout << body.dump() << "\n";
    else
        printTable(body);
    if (arguments.has("json")) {
        auto written = Ledger::replaceFile(arguments.option("json"), body.dump(2) + "\n");
        if (!written)
            return reportError(written.error());
    }
    return generator.results().wrong == 0 ? ExitCode::Success : ExitCode::Failure;
}

}
