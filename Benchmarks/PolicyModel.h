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

/// A pool of executors and a stream of requests. Everything follows from the seed.
struct Scenario {
    uint64_t seed { 1 };
    size_t targets { 50 };
    int slots { 8 };
    /// Offered work over the capacity of all targets together.
    double load { 0.8 };
    size_t requests { 40'000 };
    /// Requests at the start that are not counted.
    size_t warmUp { 8000 };
    size_t domains { 4 };
    /// One way, between failure domains and within one.
    Microseconds remoteDelay { 1000 };
    Microseconds localDelay { 100 };
    bool handOverEnabled { true };
    /// Factor on the run times of all targets of the first domain.
    double firstDomainSlowness { 1 };
    /// Whether the operator has isolated the first domain.
    bool firstDomainIsolated { false };
    /// Share of the targets that fail all that they start.
    double failingShare { 0 };
    /// Milliseconds that a request may wait.
    int64_t waitLimit { 1'000'000'000 };
    /// Share of the requests that belong to a greedy team, and what that team may have in progress in each domain.
    double greedyShare { 0 };
    int64_t greedyLimit { 0 };
};

/// Run times relative to the fastest target, and milliseconds.
struct Statistics {
    double mean { 0 };
    double median { 0 };
    double p99 { 0 };
    /// The same ratio for the requests that are not of the greedy team.
    double otherTeamsP99 { 0 };
    double messages { 0 };
    double wasted { 0 };
    uint64_t completed { 0 };
    uint64_t refused { 0 };
    uint64_t failed { 0 };
    /// The most that any failing target was given.
    uint64_t maximumGrantsToFailing { 0 };
    /// Completed work over the capacity, while requests arrived.
    double goodput { 0 };
};

struct Request {
    /// Microseconds.
    int64_t arrival { 0 };
    /// Microseconds on a target of slowness one.
    double work { 0 };
    size_t domain { 0 };
    bool greedy { false };
};

struct ModelTarget {
    double slowness { 1 };
    size_t domain { 0 };
    bool failing { false };
};

/// The requests and targets of a scenario.
class Workload {
public:
    explicit Workload(const Scenario&);

    std::vector<Request> requests;
    std::vector<ModelTarget> targets;
    double lowestSlowness { 1 };
    /// Work that all targets together do in a microsecond.
    double capacity { 0 };
};

/// Calls functions in order of time.
class EventQueue {
public:
    void at(int64_t time, std::function<void()>);
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

/// Collects the ratio of response to ideal.
class StatisticsCollector {
public:
    StatisticsCollector(const Scenario&, const Workload&);

    void complete(size_t request, int64_t time);
    [[nodiscard]] Statistics statistics() const;
    uint64_t messages { 0 };
    uint64_t wasted { 0 };
    uint64_t refused { 0 };
    uint64_t failed { 0 };

private:
    const Scenario& scenario;
    const Workload& workload;
    std::vector<double> allRatios;
    std::vector<double> otherTeamRatios;
    double doneWork { 0 };
    int64_t firstCounted { 0 };
    int64_t lastArrival { 0 };
};

/// The project's dispatchers, one for each domain, with the delays of their messages.
[[nodiscard]] Statistics runDispatchers(const Scenario&);

/// One queue that knows every run time and every speed, and costs no message: each request goes, on arrival, to the
/// place where it ends soonest.
[[nodiscard]] Statistics runOracle(const Scenario&);

enum class Baseline {
    Random,
    RoundRobin,
    TwoChoices,
    LeastOutstanding,
    LeastExpectedCompletion,
};

/// A request goes to a target on arrival and waits in that target's own queue.
[[nodiscard]] Statistics runBaseline(const Scenario&, Baseline);

}
