#pragma once

#include <LibTrace/Event.h>
#include <compare>
#include <string>
#include <vector>

namespace Sassafrasshift::Trace {

/// What a recorded time line says about the promises to the users. All counts but the first group have to be zero.
struct Findings {
    uint64_t requests { 0 };
    uint64_t answered { 0 };
    uint64_t refusedNotRun { 0 };
    uint64_t unknown { 0 };
    uint64_t jobsComplete { 0 };
    uint64_t jobsFailed { 0 };

    /// Tasks, or requests that are not idempotent, that targets started more than once.
    uint64_t startedTwice { 0 };
    /// Sendings to which no answer of any kind came.
    uint64_t lost { 0 };
    /// Answers that were cut short, and jobs called complete of which a task was never started.
    uint64_t partial { 0 };
    /// Answers that belong to another caller.
    uint64_t wrongCaller { 0 };
    /// Work that a target started although its caller was told that it did not run.
    uint64_t falseNotRun { 0 };
    /// Configurations that were put in force after a newer one on the same host.
    uint64_t reverted { 0 };
    /// Work that a target started too long after it had announced that it leaves.
    uint64_t startedAfterLeaving { 0 };

    /// One sentence for each violation, up to a bound.
    std::vector<std::string> violations;

    [[nodiscard]] bool hasNoViolations() const;
    [[nodiscard]] std::string toJson() const;

    friend auto operator<=>(const Findings&, const Findings&) = default;
};

/// Checks the merged events of callers, entry hosts and targets.
///
/// Callers record client-sent (kind, id, idempotent, tasks) and client-answered (kind, id, verdict, result, whole,
/// own); targets record request-started, task-started and target-leaving; entry hosts record configuration-in-force.
[[nodiscard]] Findings checkEvents(std::vector<Event>);

}
