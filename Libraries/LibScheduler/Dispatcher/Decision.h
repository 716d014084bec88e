#pragma once

#include <LibScheduler/Target/RunEvidence.h>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Sassafrasshift::Scheduler {

/// A decision of the task scheduler, or a change in the state that it assumes of a target or run; logged to diagnose failures.
struct Decision {
    enum class Kind {
        TargetAnswers,
        TargetSilent,
        /// The target gets no more runs; those that it has are waited for.
        TargetRetired,
        /// A message that the target has ended is older than what is known of the target.
        RemovalIgnored,
        TargetGone,
        TargetFenced,
        StartUnanswered,
        RunFailed,
        /// A run ended without completing: its lease expired, or its target was lost.
        RunLost,
        RunAdopted,
        /// A run that was taken as lost has completed.
        RunFoundDone,
        /// A target reported a run of a task that is done or has another run.
        RunUnexpected,
        /// A target reported a run as running that was taken as ended because its leases had expired.
        RunOutlived,
        /// A run whose start was never confirmed was found running after the leases that were asked for had expired.
        RunFoundLate,
        /// A run makes no progress, and is stopped so that its task can be started elsewhere.
        RunStalled,
        /// A run to which a stop order was sent has ended.
        RunStopped,
        JobRefused,
        JobFailed,
        /// The caller submitted an open job again through another entry host, which owns it now.
        JobTakenOver,
        /// A caller has submitted a job again that had ended, and gets the same answer.
        JobAnsweredAgain,
        /// A submission names a job that is open or remembered here, and neither takes it over nor is answered at once.
        JobSubmittedAgain,
        /// The entry host cancelled the job, no longer listed it in a renewal or became silent, or the deadline of the job passed.
        JobDropped,
        /// Capacity is short, and is shared from now on; or it no longer is.
        SharingBegan,
        SharingEnded,
        /// Placement begins or ceases to keep tasks of two queues apart.
        InterferenceFound,
        InterferenceEnded,
    };

    Kind kind { Kind::TargetAnswers };
    /// `target` and `job` are empty if the decision does not concern one.
    std::string target;
    std::string job;
    uint32_t task { 0 };
    uint64_t run { 0 };
    /// A short explanation of the decision.
    std::string cause;
    /// For ended runs, and for those that were taken as ended.
    std::optional<RunEvidence> evidence;
    /// For `RunOutlived`: the time since the run was taken as ended. For `RunFoundLate`: the time since the leases expired.
    std::optional<Milliseconds> sinceEnd {};
    /// For `JobTakenOver`, `JobAnsweredAgain` and `JobSubmittedAgain`, and for `JobDropped` if another handover replaces the job.
    std::string formerEntry {};
    std::string entry {};
    /// For `JobRefused`: the number of runs of which the entry host is told, and of those that targets still have.
    std::optional<uint32_t> knownRuns {};
    uint32_t runsOnTargets { 0 };
    /// For `JobSubmittedAgain`: whether the job was open here.
    std::optional<bool> isOpen {};

    friend auto operator<=>(const Decision&, const Decision&) = default;
};

}
