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
    std::vector<Transport::Endpoint> entries;
    /// Slots of an executor, or cores of a worker.
    int capacity { 8 };
    int64_t memoryBytes { 0 };
    /// Factor on the run time that the caller names.
    double slowness { 1 };
    /// Share of the work that fails at once.
    double failureShare { 0 };
};

/// Stands in for one executor or worker: it announces itself, runs work by waiting, and records what it starts.
///
/// A request names its run time in the header x-run-ms, a task in its text, as in "run=120 any text". An executor
/// answers with the body that it got, a worker with "done " and the text.
class StandInTarget {
public:
    [[nodiscard]] static ErrorOr<std::unique_ptr<StandInTarget>> create(Transport::EventLoop&, Transport::HttpClient&, Telemetry::TimeLine&, Random&, TargetOptions);

    /// Announces that it leaves; it refuses what still arrives.
    void leave();
    [[nodiscard]] bool isIdle() const { return this->running == 0; }

private:
    using Exchange = std::shared_ptr<Transport::HttpExchange>;

    struct AttemptName {
        std::string job;
        uint32_t task { 0 };
        uint32_t attempt { 0 };

        friend auto operator<=>(const AttemptName&, const AttemptName&) = default;
    };

    struct Attempt {
        bool refused { false };
        bool finished { false };
        bool succeeded { false };
        bool stopped { false };
        std::string answer;
        Exchange exchange;
        std::vector<Exchange> questions;
        std::unique_ptr<Transport::Timer> timer;
    };

    StandInTarget(Transport::EventLoop&, Transport::HttpClient&, Telemetry::TimeLine&, Random&, TargetOptions);

    void handle(const Exchange&);
    void handleRequest(const Exchange&);
    void handleTask(const Exchange&);
    void handleQuestion(const Exchange&, bool stop);
    void handleControl(const Exchange&);
    void finishAttempt(const AttemptName&, bool succeeded, std::string answer);
    void answerQuestion(const Exchange&, const Attempt&);
    void refuse(const Exchange&, const std::string& cause);
    void announce();
    [[nodiscard]] Milliseconds runTime(double milliseconds) const;
    [[nodiscard]] bool failsNow();

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
    std::map<AttemptName, Attempt> attempts;
    std::map<std::string, uint64_t> highestEpoch;
    uint64_t nextRequest { 1 };
    size_t nextEntry { 0 };
    int running { 0 };
    bool leaving { false };
    bool silent { false };
};

}
