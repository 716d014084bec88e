#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Sassafrasshift::Scheduler {

/// Something that the scheduler decided or came to believe, for those who look for the cause of a failure later.
struct Decision {
    enum class Kind {
        TargetAnswers,
        TargetSilent,
        TargetGone,
        TargetFenced,
        StartUnanswered,
        RunFailed,
        /// A run ended without having been done: its lease ended, or its target was lost.
        RunLost,
        RunAdopted,
        JobRefused,
        JobFailed,
        /// Its entry withdrew it, fell silent, or its deadline has passed.
        JobDropped,
    };

    Kind kind { Kind::TargetAnswers };
    /// Empty where no target, or no job, is concerned.
    std::string target;
    std::string job;
    uint32_t task { 0 };
    uint64_t run { 0 };
    /// What decided it, in a few words.
    std::string cause;

    friend auto operator<=>(const Decision&, const Decision&) = default;
};

}
