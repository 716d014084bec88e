#pragma once

#include <LibScheduler/Decision.h>
#include <LibScheduler/SpeedEstimator.h>
#include <LibScheduler/TargetSession.h>
#include <LibScheduler/TargetSpeed.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// The dispatcher of a cluster: it holds the one queue of jobs, chooses targets for their tasks, and tells the entries
/// how their jobs ended. It does no input or output; each call may leave effects, which the owner carries out.
class TaskScheduler {
public:
    struct Options {
        LeaseOptions leases;
        /// The jobs of an entry that has not named them for this long are dropped, and their runs stopped.
        Milliseconds entryLease { 700 };
        /// How long the outcome of a job is kept for an entry that may not have heard of it.
        Milliseconds outcomeRetention { 10'000 };
        size_t maximumJobs { 20'000 };
    };

    struct Notice {
        std::string entry;
        JobOutcome outcome;
    };

    struct Effects {
        TargetSession::Orders orders;
        std::vector<Notice> notices;
        std::vector<Decision> decisions;
    };

    explicit TaskScheduler(Options);

    /// Says whether a target belongs to the shard of this dispatcher.
    using TargetSelector = std::function<bool(const Membership::TargetReport&)>;

    /// Begins to dispatch the selected targets under a fencing token, or goes on under a higher one.
    void activate(uint64_t fence, Instant now, TargetSelector = {});
    /// Ends dispatching: what runs is left to the next dispatcher.
    void deactivate();
    [[nodiscard]] bool isActive() const { return this->fence != 0; }

    void onReport(const Membership::TargetReport&, Instant now);
    void onTargetGone(const std::string& identity, Instant now);

    void submit(const std::string& entry, const Submission&, Instant now);
    void cancel(const std::string& entry, const std::string& job, Instant now);
    /// Whether an entry's message keeps its jobs alive.
    enum class RenewalKind {
        ExtendLease,
        /// It has not heard this dispatcher for some time, and may hand its jobs to another.
        QueryOnly,
    };
    /// An entry names all its open jobs. Returns those that are not known here, to be submitted again.
    [[nodiscard]] std::vector<std::string> renew(const std::string& entry, const std::vector<std::string>& jobs, Instant now, RenewalKind = RenewalKind::ExtendLease);
    /// What the targets of each pool have to do.
    [[nodiscard]] std::vector<PoolLoad> loads() const;

    void onHoldAnswer(const TargetInstance&, uint64_t number, const HoldAnswer&, Instant now);
    void onStartAnswer(const TargetInstance&, const RunId&, const OrderAnswer&, Instant now);
    void onStopAnswer(const TargetInstance&, const RunId&, const OrderAnswer&, Instant now);
    void tick(Instant now);
    /// Whether the reports that have come here name every target on which an earlier dispatcher may have started runs.
    void setKnowsAllTargets(bool knows) { this->knowsAllTargets = knows; }
    /// This process stood still for some time: nothing is started before it is known what has changed meanwhile.
    void onPause(Instant now);

    /// Places what can be placed, and hands out what has to be done.
    [[nodiscard]] Effects takeEffects(Instant now);

    /// How many targets there are, and in which state; for logs and metrics.
    struct TargetCounts {
        size_t known { 0 };
        /// Claimed, serving, and not set aside.
        size_t usable { 0 };
        /// Usable, and left out since they are slow.
        size_t slow { 0 };
    };
    [[nodiscard]] TargetCounts countTargets(Instant now) const;
    /// Whether another dispatcher holds any target under a higher token.
    [[nodiscard]] bool hasFencedTargets() const;
    [[nodiscard]] size_t openJobs() const { return this->jobs.size(); }
    [[nodiscard]] size_t waitingTasks() const;
    [[nodiscard]] size_t openRuns() const;

private:
    enum class TaskState {
        Waiting,
        Placed,
        Done,
    };

    struct Task {
        TaskState state { TaskState::Waiting };
        uint32_t failures { 0 };
        uint64_t nextRunNumber { 1 };
        std::string target;
        uint64_t run { 0 };
    };

    /// The order in which jobs are served.
    struct Rank {
        /// Whether it is too late for the job's objective: others can still be served in time.
        bool isLate { false };
        int64_t priority { 0 };
        Instant objective {};
        uint64_t arrival { 0 };

        friend auto operator<=>(const Rank&, const Rank&) = default;
    };

    struct Job {
        Submission submission;
        std::string entry;
        Rank rank;
        Instant arrivedAt {};
        Instant deadline {};
        Instant earlierRunsEndAt {};
        /// When the last run on a target of another shard has ended at the latest.
        Instant otherShardRunsEndAt {};
        /// The usual duration of one of its tasks.
        Milliseconds expected { 0 };
        std::vector<Task> tasks;
        size_t waiting { 0 };
        size_t done { 0 };
        uint32_t starts { 0 };
        Milliseconds waited { 0 };
    };

    struct Target {
        TargetSession session;
        TargetSpeed speed;
        /// Whether it still belongs to the shard.
        bool isSelected { true };
    };

    /// The usual duration of a job's tasks on each kind of target, looked up once for all targets.
    class ExpectedByKind;

    struct FinishedJob {
        std::string entry;
        JobOutcome outcome;
        Instant at {};
        uint64_t nextRunNumber { 1 };
    };

    void placeWaitingTasks(Instant now);
    void placeTasks(Job&, Instant now);
    [[nodiscard]] TargetSession* chooseTarget(const Job&, ExpectedByKind&, Instant now);
    [[nodiscard]] int64_t largestFreeCapacity(Instant now) const;
    [[nodiscard]] bool mayStart(const Job&, Instant now) const;
    void processEvents(Target&, Instant now);
    void observeRun(const Job&, Target&, Milliseconds duration, Instant now);
    void onRunEnded(Target&, const TargetSession::Event&, Instant now);
    void onRunDiscovered(TargetSession&, const RunId&);
    void adoptRuns(Job&);
    void adoptRun(Job&, Task&, TargetSession&, const RunId&);
    void finishJob(const std::string& job, JobEnd, std::string reason, Instant now);
    void dropJob(const std::string& job, std::string cause, Instant now);
    void removeJob(const std::string& job, Instant now);
    void recordDecision(Decision::Kind, const std::string& target, const RunId&, std::string cause);
    void stopRuns(const std::string& job, Instant now);
    void runPeriodicChecks(Instant now);
    void demoteLateJobs(Instant now);
    void refuseJobsMissingDeadline(Instant now);
    void observeUnfinishedRuns(Instant now);
    [[nodiscard]] double workRate() const;
    [[nodiscard]] bool isSelected(const Membership::TargetReport& report) const { return !this->selector || this->selector(report); }
    void releaseUnselectedTargets();
    void removeExpiredOutcomes(Instant now);
    [[nodiscard]] bool allTargetsClaimed() const;
    [[nodiscard]] std::optional<JobOutcome> refusalFor(const Submission&, Instant now) const;
    [[nodiscard]] Milliseconds expectedWait(const Submission&) const;
    [[nodiscard]] static double remainingWork(const Job&);
    Target* findTarget(const TargetInstance&);

    Options options;
    uint64_t fence { 0 };
    TargetSelector selector;
    std::map<std::string, Target> targets;
    /// The latest report of each target; kept while not dispatching, so that dispatching can begin at once.
    std::map<std::string, Membership::TargetReport> reports;
    std::unordered_map<std::string, Job> jobs;
    std::map<Rank, Job*> jobsByRank;
    std::unordered_map<std::string, FinishedJob> finishedJobs;
    std::map<std::string, Instant> entryLastHeardAt;
    bool knowsAllTargets { true };
    uint64_t arrivals { 0 };
    SpeedEstimator speeds;
    Instant nextOutcomeCleanup {};
    Instant nextPeriodicCheck {};
    /// Whether something has changed since tasks were last placed.
    bool placingDue { false };
    Effects effects;
};

}
