#pragma once

#include <LibMembership/TargetRegistry.h>
#include <LibScheduler/Dispatcher/CapacityShares.h>
#include <LibScheduler/Dispatcher/Decision.h>
#include <LibScheduler/Dispatcher/EvacuationFilter.h>
#include <LibScheduler/Dispatcher/FinishedJobs.h>
#include <LibScheduler/Dispatcher/InterferenceModel.h>
#include <LibScheduler/Dispatcher/JobRank.h>
#include <LibScheduler/Dispatcher/LapsedRuns.h>
#include <LibScheduler/Dispatcher/SpeedEstimator.h>
#include <LibScheduler/Dispatcher/UnansweredStarts.h>
#include <LibScheduler/Dispatcher/WaitingJobs.h>
#include <LibScheduler/Dispatcher/WorkSums.h>
#include <LibScheduler/Home/PlacedJobs.h>
#include <LibScheduler/Target/ColdStart.h>
#include <LibScheduler/Target/TargetSession.h>
#include <LibScheduler/Target/TargetSpeed.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// The scheduling logic of a dispatcher: queues the jobs of its shard, chooses targets for their tasks, and notifies entry hosts
/// of the outcomes of their jobs. It performs no I/O: calls add effects, which the caller collects with takeEffects() and executes.
class TaskScheduler {
public:
    struct Options {
        LeaseOptions leases;
        /// The entry lease of each job: if the entry host has neither submitted the job nor extended this lease for that long, the
        /// job is dropped and its runs are stopped.
        Milliseconds entryLease { 700 };
        /// The longest time that a message of an entry host may be in transit. Messages that took longer are not to be passed to the
        /// scheduler.
        Milliseconds maximumTransitTime { 250 };
        /// How long the outcome of a job is kept, in case the notice to its entry host was lost.
        Milliseconds outcomeRetention { 10'000 };
        /// Jobs beyond this number of open jobs are refused, and jobs whose tasks would exceed this number of tasks of open jobs.
        size_t maximumJobs { 20'000 };
        size_t maximumTasks { 200'000 };
        /// The number of runs on one target beyond which no task is started there. Each list of the runs on a target is read as a whole.
        size_t maximumRunsPerTarget { 1000 };
        /// The bytes of payloads in start orders that were not answered, beyond which no further task is started.
        size_t maximumUnansweredPayload { 8 * 1024 * 1024 };
        /// The processor time that this dispatcher needs at least for each task, at the share of the processor that it has. A job whose
        /// tasks need more than the time to its deadline is refused. Zero refuses none.
        Microseconds minimumTimePerTask { 0 };
        /// Whether capacity is shared between failure domains of origin and queues while it is short; see CapacityShares.
        bool shareCapacity { false };
        /// Whether tasks are kept apart that slow each other down on the same target, where others have room; see InterferenceModel.
        bool separateInterfering { false };
    };

    /// Notifies an entry host of the outcome of a job.
    struct Notice {
        std::string entry;
        JobOutcome outcome;
    };

    struct Effects {
        TargetSession::Orders orders;
        std::vector<Notice> notices;
        /// The entry hosts that are to renew their jobs at once, each with the number that its renewal is to carry.
        std::map<std::string, uint64_t> renewalRequests;
        std::vector<Decision> decisions;
    };

    explicit TaskScheduler(Options);

    /// Returns whether a target belongs to the shard of this dispatcher; an empty selector selects all targets.
    using TargetSelector = std::function<bool(const Membership::TargetReport&)>;

    /// Starts dispatching to the selected targets with a fencing token, or continues with a higher one.
    void activate(uint64_t fence, Instant now, TargetSelector = {});
    /// Stops dispatching. Runs on targets continue and are left to the next dispatcher.
    void deactivate();
    /// Sets the failure domains on whose targets no tasks are started; they count neither as capacity nor in the loads. Null if they are not
    /// known yet: no task is started then.
    void setEvacuatedDomains(const std::set<std::string>*);
    [[nodiscard]] bool isActive() const { return this->fence != 0; }

    /// Stores the report of a target, unless it is outdated. A report with a new address retires the target at its former address.
    void onReport(const Membership::TargetReport&, Instant now);
    /// Retires a target that has announced its end, unless a later incarnation is known. An empty incarnation stands for the one
    /// that is known here. A later report brings the target back.
    void onTargetGone(const std::string& identity, const std::string& incarnation, Instant now);

    /// The reports of all targets that have not announced their end, of this shard and of others.
    [[nodiscard]] std::vector<Membership::TargetReport> knownReports() const { return this->reports.presentReports(); }

    /// Queues or refuses a job. If the job is open here from another entry host, it now belongs to this one, and the other one is told.
    /// If it is open from the same one, that has withdrawn the job and handed it over again: its runs are stopped, and it is queued like a
    /// new job. If the job has ended here recently, its outcome is sent again; if it was dropped, its done tasks are not run again. Other work under
    /// the name of an open job is refused. `leaseAge` is what is used up of the entry lease already.
    void submit(const std::string& entry, const Submission&, Instant now, Milliseconds leaseAge = Milliseconds(0));
    /// Refuses a job since a home of a higher term decides about it.
    void refuseOutdated(const std::string& entry, const Submission&, uint64_t highestTerm, Instant now);
    /// Drops a job, unless it belongs to another entry host; then the sender is told so.
    void cancel(const std::string& entry, const std::string& job, Instant now);
    /// Whether a renewal extends the entry leases of the jobs that it lists.
    enum class RenewalKind {
        ExtendLease,
        /// The entry host has received no message from this dispatcher for some time and may hand over its jobs to another one.
        /// It only asks which of the jobs are known here.
        QueryOnly,
    };
    /// Processes the list of all open jobs that an entry host has submitted here. Jobs that are not in the list are dropped,
    /// unless they arrived recently. The outcomes of listed jobs that have ended are sent again. An entry host is told that a job was
    /// taken over if it lists the job or has had it here, since an earlier notice may be lost. Returns the listed jobs that are unknown
    /// here, which the entry host submits again.
    /// `answeredRequest` is the number of the request that the renewal answers; zero if it answers none.
    [[nodiscard]] std::vector<std::string> renew(const std::string& entry, const std::vector<std::string>& jobs, Instant now, RenewalKind = RenewalKind::ExtendLease, uint64_t answeredRequest = 0, Milliseconds leaseAge = Milliseconds(0));
    /// The capacity and backlog of each pool that has targets.
    [[nodiscard]] std::vector<PoolLoad> loads() const;

    void onHoldAnswer(const TargetInstance&, uint64_t number, const HoldAnswer&, Instant now);
    void onStartAnswer(const TargetInstance&, const RunId&, const OrderAnswer&, Instant now);
    void onStopAnswer(const TargetInstance&, const RunId&, const OrderAnswer&, Instant now);
    /// Handles the timeouts of targets and, at longer intervals, the entry leases, objectives and deadlines of jobs.
    void tick(Instant now);
    /// Sets what the home that has queued jobs here knows. While a higher term is known, none of its jobs starts a task; once it is ready again in
    /// a new term, those start that it had queued before.
    void setHomeState(bool isReady, bool isSuperseded);
    /// Drops a job that another home has placed in another shard in a higher term, and tells its entry host that it was taken over.
    void endTakenOver(const std::string& job, Instant now);
    /// Sets whether the reports of all targets of the shard were received. Until then, no job is refused for lack of capacity.
    void setKnowsAllTargets(bool knows) { this->knowsAllTargets = knows; }
    /// Sets by how much the answers to jobs are delayed. Jobs that cannot end in time are refused earlier by that, so that their entry hosts
    /// still get the refusal before they have to answer that the job may have run.
    void setAnswerDelay(Milliseconds delay) { this->answerDelay = delay; }
    /// To be called after a pause of this process. No run is started before the targets have reported their runs again.
    void onPause(Instant now);

    /// Places waiting tasks where possible, and returns the effects to execute.
    [[nodiscard]] Effects takeEffects(Instant now);
    /// Whether the last call of takeEffects() has left tasks to place or orders to send, since the number of both is limited for each
    /// call. It has to be called again after other events were handled.
    [[nodiscard]] bool hasMoreEffects() const { return this->isPassIncomplete; }

    /// The number of targets by state, for logs and metrics.
    struct TargetCounts {
        size_t known { 0 };
        /// Targets for which TargetSession::canStartRuns() holds.
        size_t usable { 0 };
        /// Usable targets that are excluded from placement because they are slow.
        size_t slow { 0 };
    };
    [[nodiscard]] TargetCounts countTargets(Instant now) const;
    /// Whether another dispatcher has claimed any target of the shard with a higher fencing token.
    [[nodiscard]] bool hasFencedTargets() const;
    /// The weights of failure domains and queues that differ from 1.
    void setShareWeights(std::map<std::string, double> domains, std::map<std::string, double> queues) { this->shares.setWeights(std::move(domains), std::move(queues)); }
    /// What has become of the jobs of each share since the last call; empty unless capacity is shared.
    [[nodiscard]] std::map<CapacityShares::Share, CapacityShares::Counts> takeShareCounts() { return this->shares.takeCounts(); }
    /// The pairs of queues whose tasks are kept apart.
    [[nodiscard]] std::vector<InterferenceModel::Pair> interferingPairs() const { return this->interference.pairs(); }
    /// The number of tasks that were placed on another target to keep them apart, since the last call.
    [[nodiscard]] uint64_t takeSeparatedTasks() { return std::exchange(this->separatedTasks, 0); }
    [[nodiscard]] bool isSharingCapacity() const { return this->shares.isSharing(); }
    /// The number of targets with a session.
    [[nodiscard]] size_t targetCount() const { return this->targets.size(); }
    [[nodiscard]] size_t openJobs() const { return this->jobs.size(); }
    [[nodiscard]] size_t waitingTasks() const;
    [[nodiscard]] size_t openRuns() const;
    /// Whether a job is open here, has run here recently, or has runs on the targets of the shard.
    [[nodiscard]] bool mayHaveRuns(const std::string& job) const;
    /// Whether a job is open here, has ended here recently, or has runs on the targets of the shard.
    [[nodiscard]] bool knows(const std::string& job) const;
    /// Whether all targets of the shard are known, and have told which runs they have after they had accepted the current fencing token.
    [[nodiscard]] bool hasClaimedTargets() const;
    /// The open jobs that a home of that shard has placed here, and all jobs that are not open, but have runs on the targets.
    [[nodiscard]] std::vector<HeldJob> heldJobs(const std::string& homeShard) const;

private:
    /// The rules without any index, which the tests compare the decisions with.
    friend struct SimpleRules;

    enum class TaskState {
        Waiting,
        Placed,
        Done,
    };

    struct Task {
        TaskState state { TaskState::Waiting };
        uint32_t failures { 0 };
        /// How many runs of the task were stopped because they made no progress.
        uint32_t restarts { 0 };
        uint64_t nextRunNumber { 1 };
        /// The target and the number of the last run.
        std::string target;
        uint64_t run { 0 };
        /// When the leases of the last run expired, if that is all that is known of its end, and the number of the renewal request
        /// that was sent then.
        std::optional<Instant> leasesExpiredAt;
        uint64_t renewalRequest { 0 };
    };

    struct Job {
        Submission submission;
        std::string entry;
        /// The entry hosts from which another one has taken the job over.
        std::set<std::string> formerEntries;
        JobRank rank;
        CapacityShares::Position share;
        Instant arrivedAt {};
        /// The number of the first run that may be started here for this submission.
        uint64_t firstRunNumber { 1 };
        std::shared_ptr<JobLease> lease;
        /// The highest number of a renewal request to which the entry host has answered that it still has the job here.
        uint64_t lastAnsweredRequest { 0 };
        Instant deadline {};
        /// Whether the home has queued the job in an earlier term: another home may have placed it elsewhere since.
        bool awaitsHome { false };
        /// When all runs that an earlier dispatcher started on targets of this shard have ended at the latest.
        Instant earlierRunsEndAt {};
        /// When all runs on targets of other shards have ended at the latest.
        Instant otherShardRunsEndAt {};
        /// The expected run time of one task on the fastest kind of target.
        Milliseconds expectedRunTime { 0 };
        std::vector<Task> tasks;
        /// No task before this one is waiting.
        size_t firstWaiting { 0 };
        /// The numbers of tasks that are waiting and done.
        size_t waiting { 0 };
        size_t done { 0 };
        /// The number of runs started here for this submission, and of known runs of earlier submissions and dispatchers.
        uint32_t starts { 0 };
        uint32_t earlierStarts { 0 };
        /// The time from the arrival of the job to the first of these starts.
        Milliseconds waitTime { 0 };
        /// What the job adds to the sums, and its rank among the waiting jobs, if it is one of these.
        WorkSums::JobWork countedWork;
        std::optional<JobRank> waitingRank;
        /// When it is checked next whether the job has expired, and from when on it is late if none of its tasks has started.
        Instant expiryCheckAt {};
        Instant lateFrom {};
        /// The latest start by which the job was found to meet its deadline.
        Instant latestStart {};
    };

    /// The same target at two addresses has a session for each, while the runs at its former address are waited for.
    struct TargetKey {
        std::string identity;
        std::string address;

        friend auto operator<=>(const TargetKey&, const TargetKey&) = default;
    };

    struct Target {
        TargetSession session;
        TargetSpeed speed;
        /// Whether the target still belongs to the shard.
        bool isSelected { true };
        ColdStart coldStart {};
        /// What the target adds to the sums.
        std::string countedPool {};
        int64_t countedMilliCores { 0 };
        InterferenceModel::TargetRuns neighbours {};
    };

    /// A target that can start runs, as seen in one pass over the queue.
    struct FreeTarget {
        Target* target { nullptr };
        Catalog::Resources free;
        std::optional<double> slowness {};
    };

    /// Ordered by the arrival of the jobs where the times are equal.
    using JobTime = std::tuple<Instant, uint64_t, Job*>;

    /// Caches the expected run time of a job's tasks by target kind, so that each kind is looked up once per placement.
    class ExpectedRunTimes;

    void placeWaitingTasks(Instant now);
    /// The result of a search for a target for a task.
    struct Choice {
        FreeTarget* target { nullptr };
        /// Whether any target has room for a task of this shape, whether or not the job may have it.
        bool hasRoom { false };
        /// False if the job has no task that may start.
        bool isSearched { false };
        /// Whether some target was left out because the job would end late there.
        bool isRefusedAsLate { false };
        /// Whether another target would have been chosen if tasks were not kept apart.
        bool isSeparated { false };
    };

    /// Returns the last search, which has failed if tasks that may start are left.
    Choice placeTasks(Job&, size_t& startsLeft, Instant now);
    [[nodiscard]] Choice chooseTarget(const Job&, ExpectedRunTimes&, Instant now);
    void findFreeTargets(Instant now);
    [[nodiscard]] int64_t largestFreeCapacity() const;
    void addToQueue(Job&, Instant now);
    void updateQueue(Job&);
    void removeFromQueue(Job&);
    void setEntry(Job&, const std::string& entry);
    void addFormerEntry(Job&, const std::string& entry);
    void removeFormerEntry(Job&, const std::string& entry);
    void updateCapacity(Target&);
    void eraseTargets(const std::function<bool(const Target&)>&);
    void dropExpiredJobs(Instant now);
    [[nodiscard]] bool mayMissDeadline(double capacity, Instant now);
    [[nodiscard]] bool mayStartTasks(const Job&, Instant now) const;
    void processEvents(Target&, Instant now);
    [[nodiscard]] bool mayHaveBeenTakenOver(const Job&, const Task&) const;
    void observeNeighbours(Target&, const TargetSession::Event&, Instant now);
    void updateInterference(Instant now);
    void observeRun(const Job&, Target&, Milliseconds duration, Instant now);
    void onRunEnded(Target&, const TargetSession::Event&, Instant now);
    void onRunDiscovered(TargetSession&, const RunId&, Instant now);
    void recordIfOutlived(const std::string& target, const RunId&, Instant now);
    [[nodiscard]] std::string describeTask(const RunId&) const;
    void recordReplacement(Decision::Kind, const Job&, const std::string& entry, std::string cause);
    void recordSubmittedAgain(const Job&, const std::string& entry, std::string cause);
    void recordSubmittedAgain(const FinishedJob&, const std::string& entry);
    void recordAnsweredAgain(const FinishedJob&, const std::string& entry);
    void onRunFoundDone(const std::string& target, const RunId&, Instant now);
    void stopRun(const std::string& target, const RunId&, Instant now);
    void refuse(const std::string& entry, JobOutcome, Instant unknownRunsEndAt, Instant now);
    void addKnownRuns(JobOutcome&, Instant earlierRunsEndAt, Instant now) const;
    [[nodiscard]] bool answerAgain(const std::string& entry, const Submission&);
    void enqueue(const std::string& entry, const Submission&, const FinishedJob* earlier, Instant now, Milliseconds leaseAge);
    static void restoreProgress(Job&, const FinishedJob&);
    void notifyTakenOver(const std::string& entry, const std::string& job);
    void takeOver(Job&, const std::string& entry, const Submission&, Instant now, Milliseconds leaseAge);
    void adoptRuns(Job&, Instant now);
    void adoptRunsOfTask(Job&, uint32_t index, Instant now);
    /// Adopts the runs from `lowest` on for as long as they belong to what the predicate tells.
    void adoptRunsFrom(const RunId& lowest, const std::function<bool(const TaskId&)>& belongs, Instant now);
    void adoptOrStopRun(Job&, Task&, TargetSession&, const RunId&, Instant now);
    void adoptRun(Job&, Task&, TargetSession&, const RunId&, Instant now);
    void finishJob(const std::string& job, JobEnd, std::string reason, Instant now, Milliseconds retryAfter = Milliseconds(0));
    void dropJob(const std::string& job, std::string cause, Instant now);
    void removeDroppedJob(const std::string& job, Instant now);
    [[nodiscard]] uint32_t countRunsOnTargets(const std::string& job) const;
    void recordRefusal(const std::string& job, const std::string& reason, uint32_t knownRuns);
    void removeJob(const std::string& job, const std::string& entry, JobOutcome, Instant now);
    void recordDecision(Decision::Kind, const std::string& target, const RunId&, std::string cause, std::optional<RunEvidence> = {});
    void stopRuns(const std::string& job, Instant now);
    void requestRenewal(const Job&, Task&, Instant now);
    void runPeriodicChecks(Instant now);
    void demoteLateJobs(Instant now);
    void assignShare(Job&, Instant now);
    void releaseShare(Job&, Instant now);
    void changeRank(Job&, const JobRank&);
    void updateSharing(Instant now);
    [[nodiscard]] bool isCapacityShort(double capacity, Instant now) const;
    void preferIfStarted(Job&);
    void refuseJobsMissingDeadline(Instant now);
    void observeUnfinishedRuns(Instant now);
    void restartStalledRuns(Instant now);
    void observeProgress();
    [[nodiscard]] bool shouldRestart(const Job&, const Task&, const TargetSession::Run&, Instant now) const;
    [[nodiscard]] Task* findTask(const RunId&, const std::string& target);
    [[nodiscard]] bool countsAsCapacity(const TargetSession&) const;
    [[nodiscard]] bool isEvacuated(const Membership::TargetReport& report) const { return this->evacuations.contains(report.failureDomain); }
    [[nodiscard]] bool mayStartOn(const Target&, const Catalog::Resources& needs, Instant now) const;
    [[nodiscard]] bool hasTargetFor(const Submission&) const;
    [[nodiscard]] bool awaitsEvacuatedTargets(const Submission&, const FinishedJob* earlier) const;
    void refuseJobsWithoutTarget(Instant now);
    [[nodiscard]] bool hasColdTargets(Instant now) const;
    [[nodiscard]] double usableCapacity() const;
    [[nodiscard]] static int64_t expectedWork(const Job&, size_t tasks);
    [[nodiscard]] bool isSelected(const Membership::TargetReport& report) const { return !this->selector || this->selector(report); }
    void releaseUnselectedTargets();
    void removeExpiredOutcomes(Instant now);
    [[nodiscard]] std::optional<JobOutcome> refusalFor(const Submission&, Instant now) const;
    [[nodiscard]] Milliseconds expectedWait(const Submission&, Instant now) const;
    [[nodiscard]] JobRank rankOf(const Submission&, Instant now) const;
    Target* findTarget(const TargetInstance&);
    void applyReport(const Membership::TargetReport&, Instant now);
    void removeGoneTargets();

    Options options;
    /// The fencing token of this dispatcher; zero while it is inactive.
    uint64_t fence { 0 };
    TargetSelector selector;
    std::map<TargetKey, Target> targets;
    /// The latest report of each target. Also collected while inactive, so that dispatching can start immediately.
    Membership::TargetRegistry reports;
    std::unordered_map<std::string, Job> jobs;
    /// The number of tasks of all open jobs.
    size_t openTasks { 0 };
    /// The queue: all open jobs in the order in which they are served.
    std::map<JobRank, Job*> jobsByRank;
    WaitingJobs<Job> waitingJobs;
    WorkSums work;
    /// The open jobs by the entry host that they belong to, and by those that had them before.
    std::map<std::string, std::set<Job*>> jobsByEntry;
    std::map<std::string, std::set<Job*>> jobsByFormerEntry;
    std::set<JobTime> expiryChecks;
    /// The jobs that were not late when last looked at, by the time from which they are.
    std::set<JobTime> lateJobChecks;
    /// The jobs of which no task had started when last looked at, by their latest start.
    std::set<JobTime> latestStarts;
    /// The targets that can start runs, during a pass over the queue.
    std::vector<FreeTarget> freeTargets;
    FinishedJobs finishedJobs;
    LapsedRuns lapsedRuns;
    UnansweredStarts unansweredStarts;
    EvacuationFilter evacuations;
    bool knowsAllTargets { true };
    Milliseconds answerDelay { 0 };
    bool isHomeSuperseded { false };
    /// Whether any job may have `awaitsHome` set.
    bool jobsAwaitHome { false };
    uint64_t lastRenewalRequest { 0 };
    /// The number of jobs queued so far.
    uint64_t arrivals { 0 };
    SpeedEstimator speeds;
    CapacityShares shares;
    InterferenceModel interference;
    uint64_t separatedTasks { 0 };
    /// The queues of which some run was seen to progress.
    std::set<std::string> queuesWithProgress;
    Instant nextOutcomeCleanup {};
    Instant nextPeriodicCheck {};
    /// Whether state that affects placement may have changed since tasks were last placed.
    bool needsPlacement { false };
    bool isPassIncomplete { false };
    /// Whether a task was not started since too many start orders were not answered.
    bool isPlacementHeldUp { false };
    Effects effects;
};

}
