#pragma once

#include <LibScheduler/Dispatcher/TaskScheduler.h>
#include <LibScheduler/Entry/DispatcherDirectory.h>
#include <LibScheduler/Entry/HandoverCause.h>
#include <LibScheduler/Entry/ShardChoice.h>
#include <LibScheduler/Types.h>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// What the answer of a dispatcher to a renewal says beyond the jobs and the loads.
struct DispatcherState {
    AdmissionLevel admission {};
    /// For how long the dispatcher has kept records of what it starts; zero if it does not say.
    Milliseconds activeFor { 0 };
    /// The unknown jobs of which it may have started something.
    std::vector<std::string> unknownJobsWithRuns {};
    /// The time of sending of the renewal that it answers, on the clock of this host.
    Milliseconds renewalSentAt { 0 };
};

/// Owns the jobs that one entry host accepted: asks the home of each which shard gets it, hands it over to the dispatcher there, extends
/// the entry lease, asks again if that dispatcher is lost, and decides which answer the callers of the job get. It performs no I/O; the
/// caller executes the effects.
class JobOwner {
public:
    struct Options {
        /// The time between two renewals to the same dispatcher.
        Milliseconds renewalInterval { 250 };
        /// How long a job may wait until a dispatcher is known, if half of the time to its deadline is not shorter.
        Milliseconds dispatcherTimeout { 1500 };
        /// A job is refused once this many dispatchers have refused it.
        uint32_t maximumRefusals { 2 };
        TaskScheduler::Options scheduler;
        DispatcherDirectory::Options directory;
    };

    /// The answer to the callers of a job.
    struct Answer {
        enum class Kind {
            Completed,
            Failed,
            /// No task has run or will run.
            Refused,
            /// Some tasks may have run.
            Unknown,
        };
        std::string job;
        Kind kind { Kind::Completed };
        /// The spelling is stable.
        std::string reason;
        /// If the job was refused, how long the caller should wait before it retries.
        Milliseconds retryAfter { 0 };
        /// For logs: the dispatcher that had the job when it was answered, empty if none had, and the number of handovers.
        std::string dispatcher;
        uint32_t handoverCount { 0 };

        friend auto operator<=>(const Answer&, const Answer&) = default;
    };

    /// Submits a job to a dispatcher, for the first time or again. Its time of sending is that from which the owner counts how long the
    /// runs of the job may continue, as in a renewal.
    struct Handover {
        std::string dispatcher;
        Submission submission;
        std::string shard;
        HandoverCause cause;
        ShardChoice choice;
    };

    /// Tells a dispatcher to cancel a job.
    struct Cancellation {
        std::string dispatcher;
        std::string job;
        /// For the home: whether nothing of the job has run, so that its place need not be remembered.
        bool hasNotRun { false };
    };

    /// Lists all open jobs that a dispatcher has from this entry host, and extends the entry lease there if `kind` says so.
    struct Renewal {
        std::string dispatcher;
        std::vector<std::string> jobs;
        TaskScheduler::RenewalKind kind { TaskScheduler::RenewalKind::ExtendLease };
        /// The number of the request that the renewal answers; zero if it answers none.
        uint64_t answeredRequest { 0 };
        /// The time on the clock of this host from which the owner counts how long the runs of the listed jobs may continue, in
        /// milliseconds. It is read before the renewal can leave, so that a halt in between counts as time in transit.
        Milliseconds::rep sentAt { 0 };
        /// If the dispatcher is the home of this entry host's jobs: those that other shards have, and withdrawn ones.
        std::vector<PlacedJob> placedJobs {};
    };

    struct Effects {
        std::vector<Handover> handovers;
        std::vector<Cancellation> cancellations;
        std::vector<Renewal> renewals;
        std::vector<Answer> answers;
        /// The addresses of the dispatchers whose silence timeout has passed.
        std::vector<std::string> suspectedDispatchers;
    };

    explicit JobOwner(Options);

    /// Adds a job that is not open here yet, and hands it over if a dispatcher is known.
    void add(Submission, Instant deadline, Instant objective, Instant now);
    /// Cancels a job that no caller waits for.
    void cancel(const std::string& job);

    /// Replaces the list of dispatchers, and hands over the jobs of each replaced dispatcher to its successor.
    void updateDispatchers(const std::vector<ShardDispatcher>&, std::string ownShard, Instant now);
    /// Answers the callers of a job that ended, or hands over a refused job to another shard. If other work is open under the name of
    /// the job, its callers are answered at once: work of that name may run.
    void onOutcome(const std::string& from, const JobOutcome&, Instant now);
    /// Hands a job over to the shard that its home has chosen, or forgets it if it belongs to another entry host. `from` is the home, or
    /// the dispatcher that has relayed the request.
    void onPlacement(const std::string& from, const Placement&, Instant now);
    /// Hands over again the jobs that the dispatcher does not know, and stores the loads and the admission level that it reported.
    void onRenewalAnswer(const std::string& from, const std::vector<std::string>& unknownJobs, const std::vector<PoolLoad>&, Instant now, const DispatcherState& = {});
    /// Records that a dispatcher is late: it has ignored a renewal, so that its jobs are not handed over, which would add to its load. The
    /// leases of the jobs end as if it had not answered.
    void onAdmissionNotice(const std::string& from, const AdmissionLevel&, Instant now);
    /// Renews all jobs of the dispatcher at once.
    void onRenewalRequest(const std::string& from, uint64_t number, Instant now);
    /// To be called after a pause of this process.
    void onPause(Instant now);
    /// Answers jobs whose deadline or dispatcher timeout has passed, hands over jobs without a dispatcher, and sends due renewals.
    void tick(Instant now);
    [[nodiscard]] Effects takeEffects();

    [[nodiscard]] bool contains(const std::string& job) const { return this->jobs.contains(job); }
    [[nodiscard]] size_t openJobs() const { return this->jobs.size(); }
    [[nodiscard]] size_t openJobsInQueue(const std::string& queue) const;
    /// Whether any reachable dispatcher admits a job, as far as is known. Jobs that none admits are refused without adding them.
    [[nodiscard]] bool isAdmitted(const std::string& pool, int64_t priority, std::string_view job, Instant now) const { return this->directory.dispatchers().empty() || this->directory.anyAdmits(pool, priority, job, {}, now); }
    /// Whether a job could be handed over now.
    [[nodiscard]] bool hasDispatcher() const { return !this->directory.dispatchers().empty(); }

private:
    enum class Stage {
        /// The dispatcher has the job, as far as is known here. The home may answer that another shard has it.
        Submitted,
        /// The home has been asked which shard gets the job. It may have queued the job itself.
        Requested,
        /// Another dispatcher has been asked to relay the request to the home.
        Relayed,
    };

    struct Job {
        Submission submission;
        Instant arrivedAt {};
        Instant deadline {};
        Instant objective {};
        /// The shard and the address to which the job was last handed over; `dispatcher` is empty while no dispatcher has it.
        std::string shard;
        std::string dispatcher;
        Stage stage { Stage::Submitted };
        /// Whether the home or the dispatcher of a shard has confirmed that the job is there.
        bool wasConfirmed { false };
        Instant handedOverAt {};
        /// Why the job is handed over next.
        HandoverCause nextHandover;
        /// When the last message was sent that extends the entry lease at the dispatcher.
        Instant lastExtensionSentAt {};
        /// When all runs that earlier dispatchers may have started have ended.
        Instant earlierRunsEndAt {};
        /// The shards of the earlier dispatchers, and of those that have refused the job but know of runs of it.
        std::set<std::string> earlierShards;
        /// When all runs have ended that other entry hosts of the job know of, and whether there may be any.
        Instant unknownRunsEndAt {};
        bool hasUnknownRuns { false };
        /// Whether the last dispatcher may have queued the job. It ends with the statement of that dispatcher that it has started nothing.
        bool mayBeQueued { false };
        /// The shards whose dispatcher has refused the job.
        std::vector<std::string> refusedBy;
        uint32_t handoverCount { 0 };
        /// Whether this process was paused after the handover: the dispatcher may have dropped the job.
        bool hasPausedSinceHandover { false };
    };

    /// A job that is not open here any more, and whose runs may continue.
    struct LeftJob {
        std::string shard;
        Instant runsEndAt {};
    };

    using Jobs = std::unordered_map<std::string, Job>;

    void handOver(Job&, const std::vector<std::string>& excludedShards, Instant now);
    void request(Job&, const DispatcherDirectory::KnownDispatcher& receiver, ShardChoice preference, Instant now);
    void handOverTo(Job&, const DispatcherDirectory::KnownDispatcher&, ShardChoice::Reason, Instant now);
    void send(Job&, const DispatcherDirectory::KnownDispatcher&, Stage, ShardChoice, Instant now);
    void repeatRequests(Instant now);
    void repeatRequest(Job&, Instant now);
    void confirmJobs(const std::string& dispatcher, const std::vector<std::string>& unknownJobs, Instant now);
    void noteLeft(const Job&);
    void addLeftJobs(Renewal& toHome, Instant now);
    void onShardLost(Job&, const std::string& shard, Instant now);
    void withdrawFromDispatcher(Job&);
    static void noteLastDispatcher(Job&, HandoverCause::Kind);
    void withdrawJobs(HandoverCause::Kind, const std::function<bool(const Job&)>& matches);
    void reassignJobs(Instant now);
    void sendRenewals(Instant now);
    void expireJobs(Instant now);
    [[nodiscard]] static bool mayHaveRun(const Job&);
    [[nodiscard]] bool hasWaitedTooLong(const Job&, Instant now) const;
    [[nodiscard]] static bool hasNoRecord(const Job&, const DispatcherState&, Instant now);
    void onTakenOver(Jobs::iterator, const std::string& from);
    void onRefused(Jobs::iterator, const JobOutcome&, Instant now);
    void onHomeFull(Jobs::iterator, const Placement&);
    void onPlacementOutdated(Jobs::iterator, const JobOutcome&, Instant now);
    void noteKnownRuns(Job&, const JobOutcome&, Instant now) const;
    Jobs::iterator finishWithAnswer(Jobs::iterator, Answer::Kind, std::string reason, Milliseconds retryAfter = Milliseconds(0));
    [[nodiscard]] Milliseconds earlierRunsTimeout() const;
    [[nodiscard]] Milliseconds remainingRunTime(const JobOutcome&) const;

    Options options;
    DispatcherDirectory directory;
    Jobs jobs;
    std::unordered_map<std::string, LeftJob> leftJobs;
    /// The highest term of a home of this host's jobs that it has been told of.
    uint64_t highestHomeTerm { 0 };
    Instant nextRenewal {};
    Effects effects;
};

}
