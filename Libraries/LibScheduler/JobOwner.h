#pragma once

#include <LibScheduler/DispatcherDirectory.h>
#include <LibScheduler/TaskScheduler.h>
#include <LibScheduler/Types.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Owns the jobs that one entry host accepted: submits each to a dispatcher, renews its lease there, hands it over to another
/// dispatcher if that one is lost, and decides which answer its callers get. It performs no I/O; the caller executes the effects.
class JobOwner {
public:
    struct Options {
        Milliseconds renewalInterval { 250 };
        /// The longest time that a message to a dispatcher may be in transit; the dispatcher ignores messages that took longer.
        Milliseconds maximumTransitTime { 250 };
        /// The longest time that a stop order needs to take effect.
        Milliseconds maximumStopTime { 250 };
        /// How long a job may wait until a dispatcher is known.
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
        /// For logs: the dispatcher to which the job was last handed over, and the number of handovers.
        std::string dispatcher;
        uint32_t handoverCount { 0 };

        friend auto operator<=>(const Answer&, const Answer&) = default;
    };

    /// Submits a job to a dispatcher.
    struct Handover {
        std::string dispatcher;
        Submission submission;
    };

    /// Tells a dispatcher to cancel a job.
    struct Cancellation {
        std::string dispatcher;
        std::string job;
    };

    /// Lists all open jobs that a dispatcher has from this entry host, and renews their lease.
    struct Renewal {
        std::string dispatcher;
        std::vector<std::string> jobs;
        TaskScheduler::RenewalKind kind { TaskScheduler::RenewalKind::ExtendLease };
    };

    struct Effects {
        std::vector<Handover> handovers;
        std::vector<Cancellation> cancellations;
        std::vector<Renewal> renewals;
        std::vector<Answer> answers;
        /// The addresses of dispatchers that have been silent for longer than the silence timeout.
        std::vector<std::string> suspectedDispatchers;
    };

    JobOwner(Options, Random);

    /// Adds a job that is not open here yet, and hands it over if a dispatcher is known.
    void add(Submission, Instant deadline, Instant objective, Instant now);
    /// Cancels a job that no caller waits for.
    void cancel(const std::string& job);

    /// Replaces the list of dispatchers.
    void updateDispatchers(const std::vector<ShardDispatcher>&, std::string ownShard, Instant now);
    void onOutcome(const std::string& from, const JobOutcome&, Instant now);
    void onRenewalAnswer(const std::string& from, const std::vector<std::string>& unknownJobs, const std::vector<PoolLoad>&, Instant now);
    /// Called after this process was paused.
    void onPause(Instant now);
    void tick(Instant now);
    [[nodiscard]] Effects takeEffects();

    [[nodiscard]] bool contains(const std::string& job) const { return this->jobs.contains(job); }
    [[nodiscard]] size_t openJobs() const { return this->jobs.size(); }
    [[nodiscard]] size_t openJobsInQueue(const std::string& queue) const;
    /// Whether a job could be handed over now.
    [[nodiscard]] bool hasDispatcher() const { return !this->directory.dispatchers().empty(); }

private:
    struct Job {
        Submission submission;
        Instant arrivedAt {};
        Instant deadline {};
        Instant objective {};
        /// The shard and address of the last handover; `dispatcher` is empty while no dispatcher has the job.
        std::string shard;
        std::string dispatcher;
        Instant handedOverAt {};
        /// When the last message that extends the lease at the dispatcher was sent.
        Instant lastExtensionSentAt {};
        /// When all runs that earlier dispatchers may have started have ended.
        Instant earlierRunsEndAt {};
        /// The shards of the earlier dispatchers.
        std::set<std::string> earlierShards;
        std::vector<std::string> refusedBy;
        uint32_t handoverCount { 0 };
        /// Whether this process was paused after the handover: the dispatcher may have dropped the job.
        bool hasPausedSinceHandover { false };
    };

    using Jobs = std::unordered_map<std::string, Job>;

    void handOver(Job&, const std::vector<std::string>& excludedShards, Instant now);
    void handOverTo(Job&, const DispatcherDirectory::KnownDispatcher&, Instant now);
    void withdrawFromDispatcher(Job&);
    void reassignJobs(Instant now);
    void sendRenewals(Instant now);
    void expireJobs(Instant now);
    void onRefused(Jobs::iterator, const JobOutcome&, Instant now);
    Jobs::iterator finishWithAnswer(Jobs::iterator, Answer::Kind, std::string reason, Milliseconds retryAfter = Milliseconds(0));
    [[nodiscard]] Milliseconds earlierRunsTimeout() const;

    Options options;
    DispatcherDirectory directory;
    Jobs jobs;
    Instant nextRenewal {};
    Effects effects;
};

}
