#pragma once

#include "LoadProfile.h"
#include <LibBase/Random.h>
#include <LibTelemetry/TimeLine.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/HttpClient.h>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sassafrasshift::CommandLine {

/// Counts and measurements of one load run.
struct LoadResults {
    uint64_t requestsSent { 0 };
    uint64_t requestsAnswered { 0 };
    /// Requests that ran and failed.
    uint64_t requestsFailed { 0 };
    uint64_t requestsRefusedNotRun { 0 };
    /// Requests that may have run but whose outcome is unknown.
    uint64_t requestsUnknown { 0 };
    /// Includes resubmissions of the same job.
    uint64_t jobsSubmitted { 0 };
    uint64_t jobsComplete { 0 };
    uint64_t jobsFailed { 0 };
    uint64_t jobsCancelled { 0 };
    uint64_t jobsRefusedNotRun { 0 };
    uint64_t jobsUnknown { 0 };
    /// Successful responses with content other than the expected one.
    uint64_t wrongResponses { 0 };
    /// Milliseconds from sending to the complete response, for work that succeeded.
    std::vector<double> requestLatencies;
    std::vector<double> jobLatencies;
    /// Latency divided by the requested run time; for jobs, by that of the longest task.
    std::vector<double> requestRatios;
    std::vector<double> jobRatios;
    /// Milliseconds until a refusal with the verdict "not-run".
    std::vector<double> refusalLatencies;
};

/// Sends the workload of a profile and checks the content of every successful response.
class LoadGenerator {
public:
    /// If `directTarget` is given, requests bypass the dispatcher and go to this target.
    LoadGenerator(Transport::EventLoop&, LoadProfile, std::vector<Transport::Endpoint> entryHosts, std::optional<Transport::Endpoint> directTarget, Telemetry::TimeLine&);

    /// Starts sending work. Once the duration has elapsed and no call or timer is open, stops the event loop.
    void start();
    /// The results so far.
    [[nodiscard]] const LoadResults& results() const { return this->collectedResults; }
    [[nodiscard]] size_t openCalls() const { return this->calls.size(); }

private:
    struct Job {
        std::string id;
        std::string body;
        std::vector<std::string> expectedAnswers;
        /// The run time of the longest task, in milliseconds.
        double longestRunTime { 0 };
    };

    void scheduleNext(double rate, const std::function<void()>&, std::unique_ptr<Transport::Timer>&);
    [[nodiscard]] double currentRate(double rate) const;
    [[nodiscard]] const Transport::Endpoint& randomEntryHost();
    [[nodiscard]] double sampleRunTime(const RunTimeRange&);
    void sendDueRequests();
    void onRequestResponse(const std::string& id, const std::string& expectedBody, double runTime, Instant sentAt, const ErrorOr<Transport::HttpResponse>&);
    void submitDueJobs();
    void submitJob(const std::shared_ptr<Job>&);
    void onJobResponse(const Job&, Instant sentAt, const ErrorOr<Transport::HttpResponse>&);
    void cancelJob(const std::string& id);
    void send(const Transport::Endpoint&, Transport::HttpRequest, Transport::HttpClient::Completion);
    void runAfter(Milliseconds, std::function<void()>);
    void recordResponse(std::string_view kind, const std::string& id, std::string_view result, std::string_view verdict, bool contentMatches);
    void stopWhenDone();

    Transport::EventLoop& loop;
    LoadProfile profile;
    std::vector<Transport::Endpoint> entryHosts;
    std::optional<Transport::Endpoint> directTarget;
    Telemetry::TimeLine& timeLine;
    Random random;
    std::string idPrefix;
    std::unique_ptr<Transport::HttpClient> client;
    std::unordered_map<uint64_t, std::unique_ptr<Transport::HttpCall>> calls;
    std::unordered_map<uint64_t, std::unique_ptr<Transport::Timer>> timers;
    std::unique_ptr<Transport::Timer> requestTimer;
    std::unique_ptr<Transport::Timer> jobTimer;
    std::unique_ptr<Transport::Timer> stopTimer;
    uint64_t nextHandle { 1 };
    uint64_t nextWorkId { 1 };
    Instant startedAt {};
    Instant nextRequestAt {};
    Instant nextJobAt {};
    LoadResults collectedResults;
};

}
