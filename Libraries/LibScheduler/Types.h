#pragma once

#include <LibBase/Clock.h>
#include <LibCatalog/Objects.h>
#include <LibScheduler/AdmissionLevel.h>
#include <LibScheduler/ClockEcho.h>
#include <LibScheduler/Placement.h>
#include <LibTransport/CodecFields.h>
#include <compare>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Identifies one task of a job.
struct TaskId {
    std::string job;
    /// The number of the repetition, for a job that repeats.
    uint32_t occurrence { 0 };
    uint32_t step { 0 };
    uint32_t index { 0 };

    CODEC_FIELDS(job, occurrence, step, index);
    friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

/// Identifies one start of a task. The number increases with each start of the same task.
struct RunId {
    TaskId task;
    uint64_t number { 0 };

    CODEC_FIELDS(task, number);
    friend auto operator<=>(const RunId&, const RunId&) = default;
};

/// A job as its entry host submits it to a dispatcher. Times are durations in milliseconds from the moment of sending, because
/// the clocks of hosts are not synchronized.
struct Submission {
    std::string job;
    std::string queue;
    std::string pool;
    /// Jobs with smaller values are served first.
    int64_t priority { 0 };
    uint32_t taskCount { 1 };
    /// The resources that each task needs.
    Catalog::Resources needs;
    /// The client's estimate of the run time of one task.
    Milliseconds::rep estimateMilliseconds { 0 };
    /// The description of the work; passed to targets unchanged.
    std::string payload;
    /// Empty if no rack is preferred.
    std::string preferredRack;
    /// Empty if no label is required.
    std::string requiredLabel;
    /// How many tasks of the job may run on one target at the same time; zero means no limit.
    uint32_t maximumPerTarget { 0 };
    /// The job fails when one of its tasks has failed this many times.
    uint32_t maximumFailures { 1 };
    /// The time until the deadline, at which the dispatcher drops the job.
    Milliseconds::rep untilDeadline { 0 };
    /// The time within which the job should end. Of jobs with equal priority, the one with the earlier objective is served first.
    Milliseconds::rep untilObjective { 0 };
    /// How long runs that an earlier dispatcher of the same shard started may continue. No task is started before then; runs that
    /// are found on targets are adopted.
    Milliseconds::rep untilEarlierRunsEnd { 0 };
    /// Greater than the number of any run that an earlier dispatcher may have started.
    uint64_t firstRunNumber { 1 };
    /// How long runs on targets of other shards may continue. No task is started before then.
    Milliseconds::rep untilOtherShardRunsEnd { 0 };
    /// The time of sending on the clock of the entry host, and the incarnation of that host.
    Milliseconds::rep sentAt { 0 };
    uint64_t entryIncarnation { 0 };
    PlacementRequest placement;
    /// How long runs of the job may continue that other entry hosts of it know of. It counts only if the dispatcher does not know the job,
    /// for example because it has replaced another one.
    Milliseconds::rep untilUnknownRunsEnd { 0 };
    /// For a submission to the shard that the home has chosen.
    PlacementGrant placedBy;
    /// Of the dispatcher that is to queue the job or to decide about it.
    ClockEcho echo;
    /// The failure domain of the entry host through which the caller has submitted the job; empty from hosts of an earlier version.
    std::string originDomain {};

    CODEC_FIELDS(job, queue, pool, priority, taskCount, needs, estimateMilliseconds, payload, preferredRack, requiredLabel, maximumPerTarget, maximumFailures, untilDeadline, untilObjective, untilEarlierRunsEnd, firstRunNumber, untilOtherShardRunsEnd, sentAt, entryIncarnation, placement, untilUnknownRunsEnd, placedBy, echo, originDomain);
    friend auto operator<=>(const Submission&, const Submission&) = default;
};

enum class JobEnd {
    /// All tasks have succeeded.
    Completed,
    /// A task has reached its maximum number of failures.
    Failed,
    /// No task has run or will run.
    Refused,
    /// The job now belongs to another entry host, through which its caller has submitted it again. Dispatchers and entry hosts of an
    /// earlier version do not know this value, and ignore it.
    TakenOver,
};

/// One step of a job, as described by a client.
struct StepDescription {
    uint32_t taskCount { 1 };
    Catalog::Resources needs;
    Milliseconds estimate { 0 };
    std::string preferredRack;
    std::string requiredLabel;
    uint32_t maximumPerTarget { 0 };
    /// Whether the step uses a feature that is not supported yet, such as a gang, dependencies on other steps, speculative copies
    /// or an image.
    bool usesUnsupportedFeatures { false };

    friend auto operator<=>(const StepDescription&, const StepDescription&) = default;
};

/// A job, as described by a client.
struct JobDescription {
    std::string payload;
    std::vector<StepDescription> steps;
    /// Whether the job may be kept in memory only; its client is answered when the job has ended.
    bool bestEffort { false };
    bool repeats { false };
    bool longRunning { false };

    friend auto operator<=>(const JobDescription&, const JobDescription&) = default;
};

/// The reason of a refusal because other work is open under the name of the job.
inline constexpr std::string_view nameInUse = "name-in-use";

/// The reason of a refusal because a later home of the job decides about it now.
inline constexpr std::string_view placementOutdated = "placement-outdated";

/// How a job ended, as the dispatcher reports it to the entry host of the job.
struct JobOutcome {
    std::string job;
    JobEnd end { JobEnd::Completed };
    /// Why the job was refused or failed; the spelling is stable.
    std::string reason;
    /// If the job was refused, how long the caller should wait before it retries.
    Milliseconds::rep retryAfterMilliseconds { 0 };
    /// For logs: the time from the arrival of the job to its first start.
    Milliseconds::rep waitedMilliseconds { 0 };
    /// The number of runs of the job that the dispatcher knows of, those of earlier submissions included. A refused job has none for
    /// this submission.
    uint32_t starts { 0 };
    /// The `firstRunNumber` of the submission, which differs with each handover of the job by its entry host.
    uint64_t firstRunNumber { 0 };
    /// If the job was refused although it has runs here, how long they may continue; greater than zero then. Dispatchers of an earlier
    /// version do not say it.
    Milliseconds::rep untilRunsEnd { 0 };
    /// If the job was refused since its placement is outdated, the term of the later home.
    uint64_t homeTerm { 0 };
    /// If the job was refused because the event loop of the dispatcher is late, what the dispatcher admits.
    AdmissionLevel admission;

    CODEC_FIELDS(job, end, reason, retryAfterMilliseconds, waitedMilliseconds, starts, firstRunNumber, untilRunsEnd, homeTerm, admission);
    friend auto operator<=>(const JobOutcome&, const JobOutcome&) = default;
};

/// The open work of one dispatcher on the targets of one pool.
struct PoolLoad {
    std::string pool;
    /// The usable capacity of the targets, in thousandths of a core.
    int64_t capacity { 0 };
    /// How long the targets would need to finish all open tasks.
    Milliseconds::rep backlogMilliseconds { 0 };

    CODEC_FIELDS(pool, capacity, backlogMilliseconds);
    friend auto operator<=>(const PoolLoad&, const PoolLoad&) = default;
};

/// How a run ended.
enum class RunEnd {
    Done,
    /// Because of a failure of the task or of its target.
    Failed,
    /// By a stop order.
    Stopped,
    /// The lease of the run expired without being renewed.
    Lapsed,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not start in time.
    GangIncomplete,
};

/// The end of one run, as reported by its target.
struct EndedRun {
    /// Increases with each run that ends on the target.
    uint64_t sequence { 0 };
    RunId run;
    RunEnd end { RunEnd::Done };

    CODEC_FIELDS(sequence, run, end);
    friend auto operator<=>(const EndedRun&, const EndedRun&) = default;
};

/// The runs that a target reports.
struct RunList {
    /// The current time on the target's clock, in milliseconds.
    int64_t clock { 0 };
    /// The incarnation that answered; empty if the answer does not name it.
    std::string incarnation;
    std::vector<RunId> running;
    std::vector<EndedRun> ended;
    /// Whether all rows of the answer could be read. A run that an incomplete list does not contain may be running, or may
    /// have ended in any way.
    bool isComplete { true };
    /// The highest sequence number before the first end that could not be read. Later ends must not be acknowledged, since
    /// the target would forget the unreadable one.
    uint64_t lastReadableEnd { std::numeric_limits<uint64_t>::max() };
    /// How far running runs are done, in percent; without the runs of which the target does not say it.
    std::map<RunId, int> progress;

    CODEC_FIELDS(clock, incarnation, running, ended, isComplete, lastReadableEnd, progress);
    friend auto operator<=>(const RunList&, const RunList&) = default;
};

/// Why a target refused an order.
enum class OrderRefusal {
    /// Another dispatcher holds the target under a higher fencing token.
    Fenced,
    /// The number of the run is not greater than that of an earlier run of the task.
    StaleRun,
    /// The lease in the order had already expired.
    LeaseExpired,
    InsufficientCapacity,
    /// The process at the target's address is another incarnation.
    OtherIncarnation,
    /// The target reports that it is unhealthy, and did not execute the order.
    Unhealthy,
    /// The target could not parse the order.
    Malformed,
};

/// One incarnation of a target, to which orders are sent.
struct TargetInstance {
    std::string identity;
    std::string incarnation;
    /// The address that the target serves requests on, as "address:port".
    std::string address;

    CODEC_FIELDS(identity, incarnation, address);
    friend auto operator<=>(const TargetInstance&, const TargetInstance&) = default;
};

/// Renews the leases of all runs on a target, and asks the target which runs it has.
struct HoldOrder {
    TargetInstance instance;
    uint64_t number { 0 };
    uint64_t fence { 0 };
    /// Ends of runs up to this sequence number have been processed; the target may forget them.
    uint64_t lastEndSeen { 0 };
    /// The end of the leases on the target's clock, in milliseconds; zero while that clock is unknown.
    int64_t leaseEnd { 0 };
    /// How long the target may wait for a run to end before it answers.
    Milliseconds wait { 0 };

    CODEC_FIELDS(instance, number, fence, lastEndSeen, leaseEnd, wait);
    friend auto operator<=>(const HoldOrder&, const HoldOrder&) = default;
};

/// Starts one run under a lease.
struct StartOrder {
    TargetInstance instance;
    uint64_t fence { 0 };
    RunId run;
    std::string payload;
    /// The end of the lease on the target's clock, in milliseconds.
    int64_t leaseEnd { 0 };

    CODEC_FIELDS(instance, fence, run, payload, leaseEnd);
    friend auto operator<=>(const StartOrder&, const StartOrder&) = default;
};

/// Stops one run, or prevents it from starting later.
struct StopOrder {
    TargetInstance instance;
    uint64_t fence { 0 };
    RunId run;

    CODEC_FIELDS(instance, fence, run);
    friend auto operator<=>(const StopOrder&, const StopOrder&) = default;
};

}
