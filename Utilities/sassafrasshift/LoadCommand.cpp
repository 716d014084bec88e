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

// Statistics of one series of measurements.
struct Summary {
    double mean { 0 };
    double median { 0 };
    double p99 { 0 };
    double maximum { 0 };
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
    summary.maximum = values.back();
    return summary;
}

static Json toJson(const Summary& summary)
{
    return Json { { "mean", summary.mean }, { "p50", summary.median }, { "p99", summary.p99 }, { "max", summary.maximum } };
}

// Sums a counter over all reachable entry hosts. `name` includes the labels, but not the prefix sassafrasshift_.
static uint64_t sumCounter(const std::vector<Transport::Endpoint>& entryHosts, const std::string& name)
{
    double total = 0;
    for (const auto& entryHost : entryHosts) {
        auto response = call({ entryHost }, { "GET", "/metrics", {}, {} }, callTimeout);
        std::istringstream lines(response ? response->body : std::string());
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("sassafrasshift_" + name + " "))
                total += std::strtod(line.c_str() + line.rfind(' '), nullptr);
        }
    }
    return static_cast<uint64_t>(total);
}

// Message counters summed over the entry hosts: all messages by purpose, and wasted messages by cause.
struct MessageCounts {
    /// Messages that serve requests, jobs and tasks.
    uint64_t work { 0 };
    /// Messages that keep the cluster running, such as heartbeats.
    uint64_t upkeep { 0 };
    /// Messages sent for grants that were never used because the target refused the work or the request no longer existed.
    uint64_t unusedGrants { 0 };
    /// Messages sent for requests that were handed over to another failure domain and returned by it.
    uint64_t returnedHandOvers { 0 };
    /// Ledger proposals that were sent again.
    uint64_t repeatedProposals { 0 };

    [[nodiscard]] uint64_t wasted() const { return this->unusedGrants + this->returnedHandOvers + this->repeatedProposals; }
};

static MessageCounts fetchMessageCounts(const std::vector<Transport::Endpoint>& entryHosts)
{
    return MessageCounts { sumCounter(entryHosts, "messages_total{purpose=\"work\"}"), sumCounter(entryHosts, "messages_total{purpose=\"upkeep\"}"), sumCounter(entryHosts, "messages_wasted_total{cause=\"unused-grant\"}"),
        sumCounter(entryHosts, "messages_wasted_total{cause=\"hand-over-returned\"}"), sumCounter(entryHosts, "messages_wasted_total{cause=\"proposal-repeated\"}") };
}

static Json makeReport(const LoadProfile& profile, const LoadResults& results, const MessageCounts& before, const MessageCounts& after)
{
    Json report;
    report["profile"] = profile.name;
    report["requests"] = results.requestsSent;
    report["answered"] = results.requestsAnswered;
    report["failed"] = results.requestsFailed;
    report["refused_not_run"] = results.requestsRefusedNotRun + results.jobsRefusedNotRun;
    report["unknown"] = results.requestsUnknown + results.jobsUnknown;
    report["jobs_submitted"] = results.jobsSubmitted;
    report["jobs_complete"] = results.jobsComplete;
    report["jobs_failed"] = results.jobsFailed;
    report["jobs_cancelled"] = results.jobsCancelled;
    report["wrong"] = results.wrongResponses;
    report["messages"] = after.work - std::min(before.work, after.work);
    report["upkeep_messages"] = after.upkeep - std::min(before.upkeep, after.upkeep);
    report["wasted_messages"] = after.wasted() - std::min(before.wasted(), after.wasted());
    report["wasted_by_unused_grants"] = after.unusedGrants - std::min(before.unusedGrants, after.unusedGrants);
    report["wasted_by_returned_hand_overs"] = after.returnedHandOvers - std::min(before.returnedHandOvers, after.returnedHandOvers);
    report["wasted_by_repeated_proposals"] = after.repeatedProposals - std::min(before.repeatedProposals, after.repeatedProposals);
    report["request_ms"] = toJson(summarize(results.requestLatencies));
    report["request_over_run_time"] = toJson(summarize(results.requestRatios));
    report["job_ms"] = toJson(summarize(results.jobLatencies));
    report["job_over_longest_task"] = toJson(summarize(results.jobRatios));
    report["refusal_ms"] = toJson(summarize(results.refusalLatencies));
    return report;
}

static void printTable(const Json& report)
{
    std::cout << std::left << std::setw(24) << "" << std::right << std::setw(10) << "mean" << std::setw(10) << "p50" << std::setw(10) << "p99" << std::setw(10) << "max"
              << "\n"
              << std::fixed << std::setprecision(2);
    for (const auto& [name, value] : report.items()) {
        if (value.is_object())
            std::cout << std::left << std::setw(24) << name << std::right << std::setw(10) << value["mean"].get<double>() << std::setw(10) << value["p50"].get<double>() << std::setw(10) << value["p99"].get<double>() << std::setw(10) << value["max"].get<double>() << "\n";
    }
    for (const auto& [name, value] : report.items()) {
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
    // An option replaces the line of its key in the text of the profile, so that its value passes the same validation.
    for (const auto& [option, key] : { std::pair { "duration", "duration" }, { "seed", "seed" } }) {
        if (!arguments.has(option))
            continue;
        std::istringstream lines(text);
        std::string remainingText;
        for (std::string line; std::getline(lines, line);) {
            if (!line.starts_with(std::string(key) + ":"))
                remainingText += line + "\n";
        }
        text = remainingText + std::string(key) + ": " + arguments.option(option) + "\n";
    }
    auto profile = LoadProfile::parse(text, files->front().name);
    if (!profile) {
        std::cerr << Settings::toText(profile.error());
        return std::nullopt;
    }
    auto rateFactor = std::strtod(arguments.option("rate-factor", "1").c_str(), nullptr);
    profile->requestRate *= rateFactor;
    profile->jobRate *= rateFactor;
    return *profile;
}

ExitCode runLoad(const Arguments& arguments)
{
    auto profile = readProfile(arguments);
    if (!profile)
        return ExitCode::InvalidInputFiles;
    std::optional<Transport::Endpoint> directTarget;
    if (arguments.has("direct")) {
        auto endpoint = Transport::Endpoint::parse(arguments.option("direct"));
        if (!endpoint)
            return reportError(endpoint.error());
        directTarget = *endpoint;
    }
    auto loop = Transport::EventLoop::create();
    auto timeLine = Telemetry::TimeLine::create(*loop, "load", arguments.option("time-line"));
    if (!timeLine)
        return reportError(timeLine.error());
    auto before = fetchMessageCounts(arguments.entryHosts);
    LoadGenerator generator(*loop, *profile, arguments.entryHosts, directTarget, **timeLine);
    std::unique_ptr<Transport::Timer> progressTimer;
    std::function<void()> showProgress = [&] {
        std::cerr << "\r" << generator.results().requestsSent << " requests sent, " << generator.results().jobsSubmitted << " jobs submitted, " << generator.openCalls() << " calls open   " << std::flush;
        progressTimer = loop->after(progressInterval, showProgress);
    };
    if (isatty(STDERR_FILENO))
        progressTimer = loop->after(progressInterval, showProgress);
    generator.start();
    loop->run();
    if (progressTimer)
        std::cerr << "\n";
    (*timeLine)->flush();
    auto report = makeReport(*profile, generator.results(), before, fetchMessageCounts(arguments.entryHosts));
    if (arguments.output == OutputFormat::Json)
        std::cout << report.dump() << "\n";
    else
        printTable(report);
    if (arguments.has("json")) {
        auto written = Ledger::replaceFile(arguments.option("json"), report.dump(2) + "\n");
        if (!written)
            return reportError(written.error());
    }
    return generator.results().wrongResponses == 0 ? ExitCode::Success : ExitCode::Failure;
}

}
