#pragma once

#include <LibBase/Random.h>
#include <LibTelemetry/TimeLine.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/HttpClient.h>
#include <LibTransport/HttpServer.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace Sassafrasshift::StandIn {

struct TargetOptions {
    std::string identity;
    std::string pool;
    std::string failureDomain;
    std::string rack;
    bool isWorker { false };
    Transport::Endpoint endpoint;
    std::vector<Transport::Endpoint> entryHosts;
    /// Number of slots of an executor, or of cores of a worker.
    int capacity { 8 };
    int64_t memoryBytes { 0 };
    /// Factor by which the run time that the caller requests is multiplied.
    double slowness { 1 };
    /// Fraction of requests and tasks that fail, from 0 to 1; these end after one millisecond.
    double failureShare { 0 };
};

/// Simulates one executor or worker for tests. It announces itself to the entry hosts, simulates each request or task by
/// a timer, and records every start in the time line.
///
/// A request gives its run time in milliseconds in the header x-run-ms, a task at the start of its body, as in
/// "run=120 any text". An executor echoes the request body; a worker answers with "done " followed by the task body.
class StandInTarget {
public:
    [[nodiscard]] static ErrorOr<std::unique_ptr<StandInTarget>> create(Transport::EventLoop&, Transport::HttpClient&, Telemetry::TimeLine&, Random&, TargetOptions);

    /// Announces that the target is leaving. Requests and tasks that arrive afterwards are refused as not run.
    void leave();
    [[nodiscard]] bool isIdle() const { return this->running == 0; }

private:
    using Exchange = std::shared_ptr<Transport::HttpExchange>;

    struct AttemptKey {
        std::string job;
        uint32_t task { 0 };
        uint32_t attempt { 0 };

        friend auto operator<=>(const AttemptKey&, const AttemptKey&) = default;
    };

    struct Attempt {
        /// Set once the attempt has been reported as never started.
        bool neverStarted { false };
        bool finished { false };
        bool succeeded { false };
        bool stopped { false };
        std::string answer;
        Exchange exchange;
        /// State queries that are answered when the attempt finishes or their wait expires.
        std::vector<Exchange> pendingQueries;
        std::unique_ptr<Transport::Timer> timer;
    };

    StandInTarget(Transport::EventLoop&, Transport::HttpClient&, Telemetry::TimeLine&, Random&, TargetOptions);

    void handle(const Exchange&);
    void handleRequest(const Exchange&);
    void handleTask(const Exchange&);
    void handleAttemptQuery(const Exchange&, bool stop);
    void handleControl(const Exchange&);
    void finishAttempt(const AttemptKey&, bool succeeded, std::string answer);
    void respondWithState(const Exchange&, const Attempt&);
    void refuse(const Exchange&, const std::string& cause);
    void announce();
    [[nodiscard]] Milliseconds scaledRunTime(double milliseconds) const;
    /// Decides at random, by the failure share, whether the next request or task fails.
    [[nodiscard]] bool sampleFailure();

    Transport::EventLoop& loop;
    Transport::HttpClient& client;
    Telemetry::TimeLine& timeLine;
    Random& random;
    TargetOptions options;
    std::string incarnation;
    std::unique_ptr<Transport::HttpServer> server;
    std::unique_ptr<Transport::Timer> announceTimer;
    std::unique_ptr<Transport::HttpCall> announcement;
    std::map<uint64_t, std::unique_ptr<Transport::Timer>> requestTimers;
    std::map<AttemptKey, Attempt> attempts;
    /// Highest owner epoch seen for each job.
    std::map<std::string, uint64_t> highestEpoch;
    uint64_t nextRequestNumber { 1 };
    size_t nextEntryHost { 0 };
    int running { 0 };
    bool leaving { false };
    /// Whether requests and tasks are accepted but never answered. State queries are still answered.
    bool silent { false };
};

}
