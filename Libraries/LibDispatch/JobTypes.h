#pragma once

#include <LibBase/Clock.h>
#include <LibCatalog/Objects.h>
#include <LibDispatch/Types.h>
#include <LibDurableState/Commands.h>
#include <LibTransport/CodecFields.h>
#include <compare>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Sassafrasshift::Dispatch {

/// A job as it was submitted, with what the configuration said of it at that time.
struct JobContent {
    std::string taskKind;
    std::string team;
    std::string pool;
    Catalog::Priority priority { Catalog::Priority::Normal };
    double teamWeight { 1 };
    int64_t teamLimit { 0 };
    int64_t queueLimit { 0 };
    Catalog::Resources needs;
    /// Milliseconds that a task may wait for a place.
    int64_t patience { 0 };
    /// Milliseconds that a task may run.
    int64_t runLimit { 0 };
    /// What each task is given.
    std::vector<std::string> tasks;

    CODEC_FIELDS(taskKind, team, pool, priority, teamWeight, teamLimit, queueLimit, needs, patience, runLimit, tasks);
    friend auto operator<=>(const JobContent&, const JobContent&) = default;
};

/// What a worker says of one attempt when it is asked.
enum class AttemptState {
    /// It runs.
    Running,
    /// It has ended; the answer comes along.
    Finished,
    /// The worker process that the attempt was meant for has never seen it, and refuses it from now on.
    NeverStarted,
    /// The worker process has been replaced, so that nothing is known.
    Lost,
};

struct AttemptReport {
    AttemptState state { AttemptState::Lost };
    /// Whether a finished attempt succeeded.
    bool succeeded { false };
    std::string answer;

    friend auto operator<=>(const AttemptReport&, const AttemptReport&) = default;
};

// What a job asks its owner to do.

struct AskForGrants {
    uint32_t count { 0 };
    std::vector<std::string> excludedTargets;

    friend auto operator<=>(const AskForGrants&, const AskForGrants&) = default;
};

/// Withdraws what was asked for and not yet granted.
struct WithdrawGrants {
    friend auto operator<=>(const WithdrawGrants&, const WithdrawGrants&) = default;
};

struct ReleaseGrant {
    Grant grant;
    WorkResult result { WorkResult::Unused };
    Microseconds runTime { 0 };

    friend auto operator<=>(const ReleaseGrant&, const ReleaseGrant&) = default;
};

/// Proposes the job to the ledger, with the attempts of its first wave.
struct ProposeAcceptance {
    std::vector<DurableState::Intent> intents;

    friend auto operator<=>(const ProposeAcceptance&, const ProposeAcceptance&) = default;
};

struct ProposeRefusal {
    friend auto operator<=>(const ProposeRefusal&, const ProposeRefusal&) = default;
};

struct ProposeIntents {
    std::vector<DurableState::Intent> intents;

    friend auto operator<=>(const ProposeIntents&, const ProposeIntents&) = default;
};

struct ProposeOutcome {
    DurableState::JobOutcome outcome;

    friend auto operator<=>(const ProposeOutcome&, const ProposeOutcome&) = default;
};

struct SendTask {
    DurableState::Intent intent;

    friend auto operator<=>(const SendTask&, const SendTask&) = default;
};

/// Asks the worker what became of an attempt.
struct ResolveAttempt {
    DurableState::Intent intent;

    friend auto operator<=>(const ResolveAttempt&, const ResolveAttempt&) = default;
};

/// Asks the worker to stop an attempt whose answer is not wanted any more.
struct StopTask {
    DurableState::Intent intent;

    friend auto operator<=>(const StopTask&, const StopTask&) = default;
};

/// Answers the callers: the job has its recorded outcome.
struct AnswerJob {
    DurableState::JobOutcome outcome;

    friend auto operator<=>(const AnswerJob&, const AnswerJob&) = default;
};

/// Answers this submission with a refusal: the job was not taken in.
struct RefuseSubmission {
    Error error;

    friend auto operator<=>(const RefuseSubmission&, const RefuseSubmission&) = default;
};

/// The job belongs to another owner, whose outcome the callers of this submission get.
struct FollowOwner {
    std::string ownerHost;

    friend auto operator<=>(const FollowOwner&, const FollowOwner&) = default;
};

using JobCommand = std::variant<AskForGrants, WithdrawGrants, ReleaseGrant, ProposeAcceptance, ProposeRefusal, ProposeIntents,
    ProposeOutcome, SendTask, ResolveAttempt, StopTask, AnswerJob, RefuseSubmission, FollowOwner>;

}
