#pragma once

#include <LibBase/Clock.h>
#include <LibCatalog/Objects.h>
#include <LibTransport/CodecFields.h>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Names one task of a job.
struct TaskName {
    std::string job;
    /// Counts the repetitions of a job that repeats.
    uint32_t occurrence { 0 };
    uint32_t step { 0 };
    uint32_t index { 0 };

    CODEC_FIELDS(job, occurrence, step, index);
    friend auto operator<=>(const TaskName&, const TaskName&) = default;
};

/// One start of a task. The number rises with each start of the same task.
struct RunName {
    TaskName task;
    uint64_t number { 0 };

    friend auto operator<=>(const RunName&, const RunName&) = default;
};

/// A job that its entry hands to the dispatcher. Durations count from the moment of sending, since clocks differ.
struct Submission {
    std::string job;
    std::string queue;
    std::string pool;
    int64_t priority { 0 };
    uint32_t taskCount { 1 };
    /// Of each task.
    Catalog::Resources needs;
    /// The client's estimate of one task's run time.
    Milliseconds::rep estimateMilliseconds { 0 };
    /// What the tasks are to do; handed to targets as it came.
    std::string payload;
    /// Empty for none.
    std::string preferredRack;
    /// Empty for none.
    std::string requiredLabel;
    /// Tasks that may run on one target at once; zero for no limit.
    uint32_t maximumPerTarget { 0 };
    uint32_t maximumFailures { 1 };
    Milliseconds::rep untilDeadline { 0 };
    Milliseconds::rep untilObjective { 0 };
    /// How long runs that an unreachable dispatcher of the same shard started may still go on: nothing is started before,
    /// unless all targets of the shard have been asked.
    Milliseconds::rep untilEarlierRunsEnd { 0 };
    /// Above the numbers of all runs that an earlier dispatcher may have started.
    uint64_t firstRun { 1 };
    /// The same for runs on targets of other shards: nothing is started before in any case.
    Milliseconds::rep untilRunsElsewhereEnd { 0 };
    /// When it was sent, by the entry's clock, and the incarnation of the entry.
    Milliseconds::rep sentAt { 0 };
    uint64_t entryIncarnation { 0 };

    CODEC_FIELDS(job, queue, pool, priority, taskCount, needs, estimateMilliseconds, payload, preferredRack, requiredLabel, maximumPerTarget, maximumFailures, untilDeadline, untilObjective, untilEarlierRunsEnd, firstRun, untilRunsElsewhereEnd, sentAt, entryIncarnation);
    friend auto operator<=>(const Submission&, const Submission&) = default;
};

enum class JobEnd {
    /// All tasks have ended well.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// Nothing of it has run or will run.
    Refused,
};

/// One step of a job as a client describes it.
struct StepDescription {
    uint32_t taskCount { 1 };
    Catalog::Resources needs;
    Milliseconds estimate { 0 };
    std::string preferredRack;
    std::string requiredLabel;
    uint32_t maximumPerTarget { 0 };
    /// Whether it asks for something that is not served yet: a gang, earlier steps, copies, filling, or an image.
    bool needsMore { false };

    friend auto operator<=>(const StepDescription&, const StepDescription&) = default;
};

/// A job as a client describes it.
struct JobDescription {
    std::string payload;
    std::vector<StepDescription> steps;
    /// Whether the job may be kept in memory only, and is answered when it has ended.
    bool bestEffort { false };
    bool repeats { false };
    bool longRunning { false };

    friend auto operator<=>(const JobDescription&, const JobDescription&) = default;
};

/// What the dispatcher tells an entry of one of its jobs.
struct JobOutcome {
    std::string job;
    JobEnd end { JobEnd::Completed };
    /// Why it was refused or has failed: a stable spelling.
    std::string reason;
    /// When the caller may try again, where it was refused.
    Milliseconds::rep retryAfterMilliseconds { 0 };
    /// Milliseconds from the acceptance to the first start, and starts in all; for the logs.
    Milliseconds::rep waitedMilliseconds { 0 };
    uint32_t starts { 0 };

    CODEC_FIELDS(job, end, reason, retryAfterMilliseconds, waitedMilliseconds, starts);
    friend auto operator<=>(const JobOutcome&, const JobOutcome&) = default;
};

/// How much a dispatcher has to do on the targets of one pool.
struct PoolLoad {
    std::string pool;
    /// Thousandths of a core that its targets can put to use.
    int64_t capacity { 0 };
    /// How long the targets would need for all that is open.
    Milliseconds::rep backlogMilliseconds { 0 };

    CODEC_FIELDS(pool, capacity, backlogMilliseconds);
    friend auto operator<=>(const PoolLoad&, const PoolLoad&) = default;
};

/// How a run ended.
enum class RunEnd {
    Done,
    /// Through its own fault or its target's.
    Failed,
    /// On an order.
    Stopped,
    /// Its lease was not renewed.
    Lapsed,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not come in time.
    GangIncomplete,
};

struct EndedRun {
    /// Rises with each end on one target.
    uint64_t sequence { 0 };
    RunName run;
    RunEnd end { RunEnd::Done };

    friend auto operator<=>(const EndedRun&, const EndedRun&) = default;
};

/// What a target says of its runs.
struct RunList {
    /// The target's own clock, in milliseconds.
    int64_t clock { 0 };
    /// The incarnation that answers; empty where it does not say.
    std::string incarnation;
    std::vector<RunName> running;
    std::vector<EndedRun> ended;

    friend auto operator<=>(const RunList&, const RunList&) = default;
};

/// Why a target did not do what it was told.
enum class OrderRefusal {
    /// Another dispatcher holds the target under a higher fencing token.
    Fenced,
    /// The run's number is not above that of an earlier run of the task.
    StaleRun,
    /// The lease that the order carried had ended already.
    LeaseEnded,
    NoRoom,
    /// Another process runs at the target's address.
    OtherIncarnation,
    /// The target says that it is unhealthy, and has done nothing.
    Unhealthy,
    /// The order was not understood.
    Malformed,
};

/// The place of an order: one incarnation of one target.
struct TargetPlace {
    std::string identity;
    std::string incarnation;
    /// "address:port"
    std::string address;

    friend auto operator<=>(const TargetPlace&, const TargetPlace&) = default;
};

/// Renews the leases of all runs on a target, and asks what runs there.
struct HoldOrder {
    TargetPlace place;
    uint64_t number { 0 };
    uint64_t fence { 0 };
    /// Ends up to this sequence number have been taken in.
    uint64_t lastEndSeen { 0 };
    /// On the target's clock, in milliseconds; zero where that is not known yet.
    int64_t leaseEnd { 0 };
    /// How long the target may wait for an end before it answers.
    Milliseconds wait { 0 };

    friend auto operator<=>(const HoldOrder&, const HoldOrder&) = default;
};

struct StartOrder {
    TargetPlace place;
    uint64_t fence { 0 };
    RunName run;
    std::string payload;
    /// On the target's clock, in milliseconds.
    int64_t leaseEnd { 0 };

    friend auto operator<=>(const StartOrder&, const StartOrder&) = default;
};

struct StopOrder {
    TargetPlace place;
    uint64_t fence { 0 };
    RunName run;

    friend auto operator<=>(const StopOrder&, const StopOrder&) = default;
};

}
