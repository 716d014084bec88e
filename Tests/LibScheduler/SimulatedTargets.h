#pragma once

#include <LibScheduler/Dispatcher/TaskScheduler.h>
#include <LibScheduler/Relay/RelayAssignment.h>
#include <LibScheduler/Relay/RelayedCalls.h>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Simulates a target that implements the order protocol exactly, and records violations of its capacity.
class SimulatedTarget {
public:
    SimulatedTarget(std::string identity, Catalog::Resources capacity);

    [[nodiscard]] Membership::TargetReport report() const;
    [[nodiscard]] HoldAnswer hold(const HoldOrder&, Instant now);
    [[nodiscard]] OrderAnswer start(const StartOrder&, const Catalog::Resources&, Milliseconds runTime, bool fails, Instant now);
    [[nodiscard]] OrderAnswer stop(const StopOrder&, Instant now);
    void advance(Instant now);
    /// Starts a new incarnation at the same address, without the runs and state of the previous one.
    void restart();

    [[nodiscard]] const std::map<RunId, Instant>& running() const { return this->runs; }
    [[nodiscard]] bool isRunning(const TaskId&) const;

    std::string identity;
    std::string address;
    Catalog::Resources capacity;
    std::string incarnation { "1" };
    Membership::TargetState state { Membership::TargetState::Serving };
    uint64_t sequence { 1 };
    /// Whether the needs of the runs have exceeded the capacity at any time.
    bool overcommitted { false };
    /// The number of runs that have started.
    uint64_t starts { 0 };
    /// The number of hold orders that have arrived.
    uint64_t holds { 0 };
    /// Whether the first row of each list of runs cannot be read.
    bool hasUnreadableRow { false };
    /// Whether lists say how far runs are; otherwise they say 0 percent of each run until it ends.
    bool reportsProgress { true };
    /// Whether runs make no progress.
    bool tasksStandStill { false };

private:
    [[nodiscard]] int64_t clock(Instant now) const;
    void finish(const RunId&, RunEnd);
    void extendLease(int64_t end, Instant now);

    std::map<RunId, Instant> runs;
    std::map<RunId, Catalog::Resources> needs;
    std::map<RunId, Milliseconds> runTimes;
    std::map<RunId, bool> failing;
    /// For each task, the highest number of a run that has ended or was stopped. Runs up to this number are refused as stale.
    std::map<TaskId, uint64_t> highestEndedRuns;
    std::vector<EndedRun> ended;
    uint64_t nextEnd { 1 };
    uint64_t fence { 0 };
    int64_t leaseEnd { 0 };
    Instant startedAt {};
    Instant lastAdvancedAt {};
};

using SimulatedTargets = std::map<std::string, SimulatedTarget>;

/// Returns the largest number of runs that any one task currently has.
[[nodiscard]] size_t countConcurrentRuns(const SimulatedTargets&);
[[nodiscard]] bool anyOvercommitted(const SimulatedTargets&);

/// Simulates the process of an entry host that passes on the orders of dispatchers.
struct SimulatedRelay {
    std::string address;
    /// Increases with each restart. Open calls and collected answers end with the process.
    uint64_t process { 1 };
    Instant pausedUntil {};
    /// Whether all messages from and to the process are lost.
    bool isPartitioned { false };
    /// Whether gossip says that the process leaves.
    bool isLeaving { false };
    uint64_t ordersReceived { 0 };
};

/// Simulates dispatchers and targets with one simulated clock. Tests choose the delay and loss of orders and answers.
class SimulatedFleet {
public:
    /// The delay of one order, whether the order or its answer is lost, and the delay of the answer.
    struct OrderFault {
        Milliseconds delay { 1 };
        bool answerLost { false };
        bool orderLost { false };
        Milliseconds answerDelay { 1 };
    };

    explicit SimulatedFleet(size_t dispatchers, TaskScheduler::Options = {});

    SimulatedTarget& addTarget(std::string identity, int64_t cores);
    /// Sends a report of each target to each dispatcher.
    void report();
    /// Sends one report to each dispatcher.
    void report(const Membership::TargetReport&);
    /// Tells each dispatcher that a target has announced its end.
    void announceEnd(const std::string& identity, const std::string& incarnation);
    void submit(size_t dispatcher, const Submission&);
    /// Advances the simulated clock in small steps. The entry host renews its jobs while `entriesRenew` is set.
    void run(Milliseconds);
    /// Advances the simulated clock until the condition holds, for at most the limit. Returns whether the condition holds.
    [[nodiscard]] bool runUntil(const std::function<bool()>&, Milliseconds limit);

    [[nodiscard]] const JobOutcome* outcome(const std::string& job) const;
    /// The largest number of runs of one task that were ever running at the same time.
    [[nodiscard]] size_t maximumConcurrentRuns() const { return this->maximumRunsSeen; }
    [[nodiscard]] bool anyOvercommitted() const { return Scheduler::anyOvercommitted(this->targets); }

    Instant now { std::chrono::hours(1) };
    std::vector<std::unique_ptr<TaskScheduler>> dispatchers;
    SimulatedTargets targets;
    std::function<OrderFault(size_t dispatcher, const TargetInstance&, bool isStart)> injectFault;
    /// Called before the effects of a dispatcher are taken, and with these.
    std::function<void(TaskScheduler&)> beforeEffects;
    std::function<void(const TaskScheduler::Effects&)> onEffects;
    std::map<std::string, Submission> submissions;
    /// The dispatcher to which each job was last submitted.
    std::map<std::string, size_t> owner;
    Milliseconds runTime { 100 };
    /// The run time of one run, if set; otherwise `runTime`.
    std::function<Milliseconds(const StartOrder&, const SimulatedTarget&)> runTimeOf;
    bool tasksFail { false };
    bool entriesRenew { true };
    bool stopsAreLost { false };
    /// If there are any, dispatchers send their orders through them. Messages to and from relays take 1 to 5 ms, so that they overtake each
    /// other, and a tenth of the answers arrive twice.
    std::vector<SimulatedRelay> relays;

    /// The calls of one dispatcher to relays.
    struct RelayPath {
        explicit RelayPath(uint64_t process)
            : calls(process)
        {
        }

        RelayedCalls calls;
        RelayAssignment assignment;
        /// Answers to calls that were not open, or open no more.
        uint64_t ignoredAnswers { 0 };
        uint64_t unansweredCalls { 0 };
    };
    std::vector<RelayPath> relayPaths;

private:
    struct Event {
        Instant at;
        std::function<void()> action;
    };

    void schedule(Milliseconds, std::function<void()>);
    void executeEffects(size_t dispatcher);
    template <typename Order, typename Answer>
    void sendThroughRelay(size_t dispatcher, const Order&, Milliseconds timeout, std::function<void(std::function<void(Answer)>)> execute);
    void runAtRelay(size_t relay, uint64_t process, std::function<void()>);
    void returnThroughRelay(size_t dispatcher, size_t relay, uint64_t process, RelayedAnswer);
    void completeCall(size_t dispatcher, const RelayedCalls::Call&, RelayedAnswer);
    void updateRelays(size_t dispatcher);
    void step();
    /// Lists the open jobs of a dispatcher there.
    void renew(size_t dispatcher, uint64_t answeredRequest);
    [[nodiscard]] OrderFault faultOf(size_t dispatcher, const TargetInstance&, bool isStart) const;

    std::mt19937 relayDelays { 1 };
    std::multimap<Instant, std::function<void()>> events;
    std::map<std::string, JobOutcome> outcomes;
    Instant nextRenewal {};
    size_t maximumRunsSeen { 0 };
};

/// Returns a job of equal tasks with a deadline in 60 s and an objective in 500 ms.
[[nodiscard]] Submission makeJob(std::string name, uint32_t tasks, int64_t cores);

}
