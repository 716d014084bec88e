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

/// The jobs that one entry owns: it hands each to a dispatcher, keeps it alive there, hands it to another one where that is
/// lost, and decides what its callers are told. It does no input or output.
class JobOwner {
public:
    struct Options {
        Milliseconds renewalInterval { 250 };
        /// How long a message to a dispatcher may be under way; the dispatcher ignores older ones.
        Milliseconds maximumTransitTime { 250 };
        /// What an order to stop needs to take effect.
        Milliseconds maximumStopTime { 250 };
        /// How long a job waits for a dispatcher to be found.
        Milliseconds dispatcherTimeout { 1500 };
        /// Dispatchers that are asked, one after another, where they refuse a job of which nothing has run.
        uint32_t maximumRefusals { 2 };
        TaskScheduler::Options scheduler;
        DispatcherDirectory::Options directory;
    };

    /// What the callers of a job are told.
    struct Answer {
        enum class Kind {
            Completed,
            Failed,
            /// Nothing of it has run or will run.
            Refused,
            /// It may have run in part.
            Unknown,
        };
        std::string job;
        Kind kind { Kind::Completed };
        /// A stable spelling.
        std::string reason;
        /// When the caller may try again, where it was refused.
        Milliseconds retryAfter { 0 };
        /// For the logs: the dispatcher that the job was handed to last, and how often it was handed over.
        std::string dispatcher;
        uint32_t submissions { 0 };

        friend auto operator<=>(const Answer&, const Answer&) = default;
    };

    struct Handover {
        std::string dispatcher;
        Submission submission;
    };

    struct Cancellation {
        std::string dispatcher;
        std::string job;
    };

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
        /// Dispatchers that have fallen silent.
        std::vector<std::string> suspectedDispatchers;
    };

    JobOwner(Options, Random);

    /// Takes a job that is not open here.
    void add(Submission, Instant deadline, Instant objective, Instant now);
    /// Nobody waits for the job any more.
    void cancel(const std::string& job);

    /// Which dispatchers there are.
    void updateDispatchers(const std::vector<ShardDispatcher>&, std::string ownShard, Instant now);
    void onOutcome(const std::string& from, const JobOutcome&, Instant now);
    void onRenewalAnswer(const std::string& from, const std::vector<std::string>& unknownJobs, const std::vector<PoolLoad>&, Instant now);
    /// This process stood still for some time.
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
        /// Where it was handed to last; empty where no dispatcher has it.
        std::string shard;
        std::string dispatcher;
        Instant handedOverAt {};
        /// When a message that keeps it alive at its dispatcher last left.
        Instant lastExtensionSentAt {};
        /// When the runs that dispatchers before that may have started have ended.
        Instant earlierRunsEndAt {};
        /// The shards of those dispatchers.
        std::set<std::string> earlierShards;
        std::vector<std::string> refusedBy;
        uint32_t submissions { 0 };
        /// Whether this process stood still since it was handed over.
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
