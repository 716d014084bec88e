#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Random.h>
#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

namespace Sassafrasshift::Bench {

/// Parameters of a simulated pool of executors and of the requests to it. The seed determines all random values.
struct Scenario {
    uint64_t seed { 1 };
    size_t targets { 50 };
    int slots { 8 };
    /// Ratio of the offered work to the capacity of all targets.
    double load { 0.8 };
    size_t requests { 40'000 };
    /// Number of requests at the start that the statistics leave out.
    size_t warmUp { 8000 };
    /// Number of failure domains, each with its own dispatcher.
    size_t domains { 4 };
    /// One-way message delay between failure domains, and within one.
    Microseconds remoteDelay { 1000 };
    Microseconds localDelay { 100 };
    bool handOverEnabled { true };
    /// Factor on the run times of all targets of the first domain.
    double firstDomainSlowness { 1 };
    /// Whether the operator has isolated the first domain.
    bool firstDomainIsolated { false };
    /// Share of the targets that fail every request they start.
    double failingShare { 0 };
    /// Milliseconds that a request may wait.
    int64_t waitLimit { 1'000'000'000 };
    /// Share of the requests that belong to a greedy team, and the number of grants that this team may hold in each domain.
    double greedyShare { 0 };
    int64_t greedyLimit { 0 };
};

/// Results of a run. The response times are ratios to the ideal response time on the fastest target.
struct Statistics {
    double mean { 0 };
    double median { 0 };
    double p99 { 0 };
    /// The 99th percentile over the requests that do not belong to the greedy team.
    double otherTeamsP99 { 0 };
    double messagesPerRequest { 0 };
    /// Share of the messages that belong to hand-overs that returned requests.
    double wastedMessageShare { 0 };
    uint64_t completed { 0 };
    uint64_t refused { 0 };
    uint64_t failed { 0 };
    /// The largest number of grants that were issued for any one failing target.
    uint64_t maximumGrantsToFailing { 0 };
    /// Ratio of the completed work to the capacity, from the end of the warm-up to the last arrival.
    double goodput { 0 };
};

struct Request {
    /// Microseconds since the start of the run.
    int64_t arrival { 0 };
    /// Run time in microseconds on a target of slowness one.
    double work { 0 };
    size_t domain { 0 };
    bool greedy { false };
};

struct ModelTarget {
    double slowness { 1 };
    size_t domain { 0 };
    bool failing { false };
};

/// The requests and targets that are generated from a scenario.
class Workload {
public:
    explicit Workload(const Scenario&);

    std::vector<Request> requests;
    std::vector<ModelTarget> targets;
    double lowestSlowness { 1 };
    /// Microseconds of work that all targets together complete in one microsecond.
    double capacity { 0 };
};

/// Calls functions in the order of their simulated times, in microseconds.
class EventQueue {
public:
    void schedule(int64_t time, std::function<void()>);
    void run();
    [[nodiscard]] int64_t now() const { return this->current; }

private:
    struct Event {
        int64_t time;
        uint64_t order;
        std::function<void()> function;

        bool operator<(const Event& other) const { return std::tie(other.time, other.order) < std::tie(this->time, this->order); }
    };

    std::priority_queue<Event> events;
    int64_t current { 0 };
    uint64_t nextOrder { 0 };
};

/// Collects the ratios of response time to ideal response time, and counts messages and failures.
class StatisticsCollector {
public:
    StatisticsCollector(const Scenario&, const Workload&);

    void complete(size_t request, int64_t time);
    [[nodiscard]] Statistics statistics() const;

    uint64_t messageCount { 0 };
    uint64_t wastedMessageCount { 0 };
    uint64_t refused { 0 };
    uint64_t failed { 0 };

private:
    const Scenario& scenario;
    const Workload& workload;
    std::vector<double> allRatios;
    std::vector<double> otherTeamRatios;
    double completedWork { 0 };
    /// The arrival times of the first request after the warm-up and of the last request, in microseconds.
    int64_t measurementStart { 0 };
    int64_t lastArrival { 0 };
};

/// Simulates one Dispatcher per failure domain, including message delays.
[[nodiscard]] Statistics runDispatchers(const Scenario&);

/// Simulates a central queue that knows all run times and speeds and has no message costs: each request goes on arrival to the
/// slot where it finishes first. Its results are the bound that the other policies are compared with.
[[nodiscard]] Statistics runOracle(const Scenario&);

enum class Baseline {
    Random,
    RoundRobin,
    TwoChoices,
    LeastOutstanding,
    LeastExpectedCompletion,
};

/// Simulates a policy that assigns each request to a target on arrival. The request waits in the queue of that target.
[[nodiscard]] Statistics runBaseline(const Scenario&, Baseline);

}
