#pragma once

#include <LibTrace/Event.h>
#include <compare>
#include <string>
#include <vector>

namespace Sassafrasshift::Trace {

/// The result of checking recorded time lines against the guarantees given to users. The first group of counts is
/// informational; each of the other counts must be zero.
struct Findings {
    /// Submissions that callers sent, counting requests and jobs; a resubmission counts again.
    uint64_t requests { 0 };
    /// Answers that report that a request ran; answers about jobs are counted below.
    uint64_t answered { 0 };
    /// Answers that report that a request or job did not run.
    uint64_t refusedNotRun { 0 };
    /// Answers that leave open whether a request or job ran.
    uint64_t unknown { 0 };
    /// Answers that report a job as complete.
    uint64_t jobsComplete { 0 };
    /// Answers that report that a job ran but did not complete.
    uint64_t jobsFailed { 0 };

    /// Tasks and non-idempotent requests that targets started more than once.
    uint64_t startedTwice { 0 };
    /// Requests and jobs that got fewer answers than the number of times they were sent.
    uint64_t lost { 0 };
    /// Truncated answers, and jobs reported as complete although one of their tasks never started.
    uint64_t partial { 0 };
    /// Answers that were delivered to the wrong caller.
    uint64_t wrongCaller { 0 };
    /// Answers that told a caller that a request or job did not run although a target started it.
    uint64_t falseNotRun { 0 };
    /// Configurations that a host put in force after a newer version.
    uint64_t reverted { 0 };
    /// Requests and tasks that a target started after the grace period that follows its announcement that it is leaving.
    uint64_t startedAfterLeaving { 0 };

    /// A description of each violation; only the first 50 are kept.
    std::vector<std::string> violations;

    [[nodiscard]] bool hasNoViolations() const;
    [[nodiscard]] std::string toJson() const;

    friend auto operator<=>(const Findings&, const Findings&) = default;
};

/// Checks the events of callers, entry hosts and targets against the guarantees given to users.
///
/// Callers record client-sent (kind, id, idempotent, tasks) and client-answered (kind, id, verdict, result, whole, own). The
/// field whole is "false" if the answer was truncated, and own is "false" if it was meant for another caller. Targets record
/// request-started, task-started and target-leaving; entry hosts record configuration-in-force.
[[nodiscard]] Findings checkEvents(std::vector<Event>);

}
