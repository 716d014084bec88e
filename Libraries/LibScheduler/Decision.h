#pragma once

#include <LibScheduler/RunEvidence.h>
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
        /// A run makes no progress, and is stopped so that its task can be started elsewhere.
        RunStalled,
        /// A run to which a stop order was sent has ended.
        RunStopped,
        JobRefused,
        JobFailed,
        /// A caller has submitted a job again that had ended, and gets the same answer.
        JobAnsweredAgain,
        /// The entry host cancelled the job, no longer listed it in a renewal or became silent, or the deadline of the job passed.
        JobDropped,
    };

    Kind kind { Kind::TargetAnswers };
    /// `target` and `job` are empty if the decision does not concern one.
    std::string target;
    std::string job;
    uint32_t task { 0 };
    uint64_t run { 0 };
    /// A short explanation of the decision.
    std::string cause;
    /// For ended runs.
    std::optional<RunEvidence> evidence;

    friend auto operator<=>(const Decision&, const Decision&) = default;
};

}
