#pragma once

#include <LibScheduler/TaskScheduler.h>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// A target that follows the protocol of orders to the letter, and notes what must never happen.
class SimulatedTarget {
public:
    SimulatedTarget(std::string identity, Catalog::Resources capacity);

    [[nodiscard]] Membership::TargetReport report() const;
    [[nodiscard]] HoldAnswer hold(const HoldOrder&, Instant now);
    [[nodiscard]] OrderAnswer start(const StartOrder&, const Catalog::Resources&, Milliseconds work, bool fails, Instant now);
    [[nodiscard]] OrderAnswer stop(const StopOrder&, Instant now);
    void advance(Instant now);
    /// Ends whatever runs, and forgets everything.
    void restart();

    [[nodiscard]] const std::map<RunName, Instant>& running() const { return this->runs; }
    [[nodiscard]] bool isRunning(const TaskName&) const;

    std::string identity;
    Catalog::Resources capacity;
    std::string incarnation { "1" };
    Membership::TargetState state { Membership::TargetState::Serving };
    uint64_t sequence { 1 };
    bool overfilled { false };
    uint64_t starts { 0 };

private:
    [[nodiscard]] int64_t clock(Instant now) const;
    void finish(const RunName&, RunEnd);
    void extendLease(int64_t end, Instant now);

    std::map<RunName, Instant> runs;
    std::map<RunName, Catalog::Resources> needs;
    std::map<RunName, bool> failing;
    std::map<TaskName, uint64_t> closedRuns;
    std::vector<EndedRun> ended;
    uint64_t nextEnd { 1 };
    uint64_t fence { 0 };
    int64_t leaseEnd { 0 };
    Instant bornAt {};
    Instant latest {};
};

using SimulatedTargets = std::map<std::string, SimulatedTarget>;

/// The largest number of runs of one task at this moment.
[[nodiscard]] size_t countCopies(const SimulatedTargets&);
[[nodiscard]] bool anyOverfilled(const SimulatedTargets&);

/// Dispatchers and targets under one simulated clock. Orders and answers take a time that tests choose.
class SimulatedFleet {
public:
    /// What becomes of one order.
    struct Fate {
        Milliseconds delay { 1 };
        bool answerLost { false };
        bool orderLost { false };
    };

    explicit SimulatedFleet(size_t dispatchers, TaskScheduler::Options = {});

    SimulatedTarget& addTarget(std::string identity, int64_t cores);
    /// Tells every dispatcher of every target.
    void report();
    void submit(size_t dispatcher, const Submission&);
    /// Lets time pass in small steps; entries renew their jobs unless told otherwise.
    void run(Milliseconds);
    [[nodiscard]] bool runUntil(const std::function<bool()>&, Milliseconds limit);

    [[nodiscard]] const JobOutcome* outcome(const std::string& job) const;
    /// The largest number of runs of one task that were seen at the same time.
    [[nodiscard]] size_t mostCopies() const { return this->copies; }
    [[nodiscard]] bool anyOverfilled() const { return Scheduler::anyOverfilled(this->targets); }

    Instant now { std::chrono::hours(1) };
    std::vector<std::unique_ptr<TaskScheduler>> dispatchers;
    SimulatedTargets targets;
    std::function<Fate(size_t dispatcher, const TargetPlace&, bool isStart)> decideFate;
    std::map<std::string, Submission> submissions;
    /// The dispatcher to which each job was handed last.
    std::map<std::string, size_t> owner;
    Milliseconds work { 100 };
    bool tasksFail { false };
    bool entriesRenew { true };

private:
    struct Event {
        Instant at;
        std::function<void()> action;
    };

    void after(Milliseconds, std::function<void()>);
    void carryOut(size_t dispatcher);
    void step();
    [[nodiscard]] Fate fateOf(size_t dispatcher, const TargetPlace&, bool isStart) const;

    std::multimap<Instant, std::function<void()>> events;
    std::map<std::string, JobOutcome> outcomes;
    Instant nextRenewal {};
    size_t copies { 0 };
};

/// A job of equal tasks with a deadline that is far away.
[[nodiscard]] Submission makeJob(std::string name, uint32_t tasks, int64_t cores);

}
