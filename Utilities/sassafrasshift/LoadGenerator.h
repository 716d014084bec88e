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

struct LoadResults {
    uint64_t requests { 0 };
    uint64_t answered { 0 };
    uint64_t failed { 0 };
    uint64_t refusedNotRun { 0 };
    uint64_t unknown { 0 };
    uint64_t jobsSubmitted { 0 };
    uint64_t jobsComplete { 0 };
    uint64_t jobsFailed { 0 };
    uint64_t jobsCancelled { 0 };
    uint64_t jobsRefusedNotRun { 0 };
    uint64_t jobsUnknown { 0 };
    /// Answers whose content is not what this caller had to get.
    uint64_t wrong { 0 };
    /// Milliseconds from sending to the whole answer, of complete work.
    std::vector<double> requestLatencies;
    std::vector<double> jobLatencies;
    /// The same, relative to the run time that was asked for.
    std::vector<double> requestRatios;
    std::vector<double> jobRatios;
    /// Milliseconds until a refusal that says "not run".
    std::vector<double> refusalLatencies;
};

/// Sends the workload of a profile and checks every answer by its content.
class LoadGenerator {
public:
    /// Requests go straight to `direct` where it is given, without the dispatcher.
    LoadGenerator(Transport::EventLoop&, LoadProfile, std::vector<Transport::Endpoint> entries, std::optional<Transport::Endpoint> direct, Telemetry::TimeLine&);

    /// Sends until the duration has passed, waits for what is open, and stops the loop.
    void start();
    [[nodiscard]] const LoadResults& results() const { return this->collected; }
    [[nodiscard]] size_t open() const { return this->calls.size(); }

private:
    struct Job {
        std::string id;
        std::string body;
        std::vector<std::string> expected;
        double longestRun { 0 };
    };

    void scheduleNext(double rate, const std::function<void()>&, std::unique_ptr<Transport::Timer>&);
    [[nodiscard]] double rateNow(double rate) const;
    [[nodiscard]] const Transport::Endpoint& anyEntry();
    [[nodiscard]] double drawRunTime(const RunTimeRange&);
    void sendRequest();
    void onRequestAnswer(const std::string& id, const std::string& body, double run, Instant sentAt, const ErrorOr<Transport::HttpResponse>&);
    void startJob();
    void submitJob(const std::shared_ptr<Job>&);
    void onJobAnswer(const Job&, Instant sentAt, const ErrorOr<Transport::HttpResponse>&);
    void cancelJob(const std::string& id);
    void send(const Transport::Endpoint&, Transport::HttpRequest, Transport::HttpClient::Completion);
    void later(Milliseconds, std::function<void()>);
    void recordAnswer(std::string_view kind, const std::string& id, std::string_view result, std::string_view verdict, bool own);
    void stopWhenDone();

    Transport::EventLoop& loop;
    LoadProfile profile;
    std::vector<Transport::Endpoint> entries;
    std::optional<Transport::Endpoint> direct;
    Telemetry::TimeLine& timeLine;
    Random random;
    std::string runId;
    std::unique_ptr<Transport::HttpClient> client;
    std::unordered_map<uint64_t, std::unique_ptr<Transport::HttpCall>> calls;
    std::unordered_map<uint64_t, std::unique_ptr<Transport::Timer>> timers;
    std::unique_ptr<Transport::Timer> requestTimer;
    std::unique_ptr<Transport::Timer> jobTimer;
    std::unique_ptr<Transport::Timer> stopTimer;
    uint64_t nextCall { 1 };
    uint64_t nextId { 1 };
    Instant startedAt {};
    Instant nextRequestAt {};
    Instant nextJobAt {};
    LoadResults collected;
};

}
