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

/// A job as submitted, together with the configuration that applied to it at that time.
struct JobContent {
    std::string taskKind;
    std::string team;
    std::string pool;
    Catalog::Priority priority { Catalog::Priority::Normal };
    double teamWeight { 1 };
    int64_t teamLimit { 0 };
    int64_t queueLimit { 0 };
    Catalog::Resources needs;
    /// Milliseconds that a task may wait for a grant.
    int64_t waitLimit { 0 };
    /// Milliseconds that a task may run.
    int64_t runLimit { 0 };
    /// The input of each task.
    std::vector<std::string> tasks;

    CODEC_FIELDS(taskKind, team, pool, priority, teamWeight, teamLimit, queueLimit, needs, waitLimit, runLimit, tasks);
    friend auto operator<=>(const JobContent&, const JobContent&) = default;
};

/// The state of an attempt as its worker reports it.
enum class AttemptState {
    Running,
    /// The attempt has ended; its answer is part of the report.
    Finished,
    /// The worker process that the attempt was addressed to has never received it and refuses it from now on.
    NeverStarted,
    /// The worker process has been replaced, so that it is unknown whether the attempt ran.
    Lost,
};

struct AttemptReport {
    AttemptState state { AttemptState::Lost };
    /// Whether a finished attempt succeeded.
    bool succeeded { false };
    std::string answer;

    friend auto operator<=>(const AttemptReport&, const AttemptReport&) = default;
};

// The commands that a JobRunner issues and its caller executes.

struct RequestGrants {
    uint32_t count { 0 };
    /// The targets that did not start a task of this job that was sent to them.
    std::vector<std::string> excludedTargets;

    friend auto operator<=>(const RequestGrants&, const RequestGrants&) = default;
};

/// Withdraws the requests for grants that have not been issued yet.
struct WithdrawGrantRequests {
    friend auto operator<=>(const WithdrawGrantRequests&, const WithdrawGrantRequests&) = default;
};

struct ReleaseGrant {
    Grant grant;
    WorkResult result { WorkResult::Unused };
    Microseconds runTime { 0 };

    friend auto operator<=>(const ReleaseGrant&, const ReleaseGrant&) = default;
};

/// Proposes the job to the ledger, together with its first attempts.
struct ProposeAcceptance {
    std::vector<DurableState::Intent> intents;

    friend auto operator<=>(const ProposeAcceptance&, const ProposeAcceptance&) = default;
};

/// Proposes to the ledger that the job is refused.
struct ProposeRefusal {
    friend auto operator<=>(const ProposeRefusal&, const ProposeRefusal&) = default;
};

/// Proposes the next attempts of an accepted job to the ledger.
struct ProposeIntents {
    std::vector<DurableState::Intent> intents;

    friend auto operator<=>(const ProposeIntents&, const ProposeIntents&) = default;
};

struct ProposeOutcome {
    DurableState::JobOutcome outcome;

    friend auto operator<=>(const ProposeOutcome&, const ProposeOutcome&) = default;
};

/// Sends an attempt that the ledger has recorded to its worker.
struct SendTask {
    DurableState::Intent intent;

    friend auto operator<=>(const SendTask&, const SendTask&) = default;
};

/// Queries the worker for the state of an attempt.
struct ResolveAttempt {
    DurableState::Intent intent;

    friend auto operator<=>(const ResolveAttempt&, const ResolveAttempt&) = default;
};

/// Asks the worker to stop an attempt whose answer is no longer needed.
struct StopTask {
    DurableState::Intent intent;

    friend auto operator<=>(const StopTask&, const StopTask&) = default;
};

/// Answers the callers with the outcome that the ledger has recorded.
struct AnswerJob {
    DurableState::JobOutcome outcome;

    friend auto operator<=>(const AnswerJob&, const AnswerJob&) = default;
};

/// Answers the callers of this submission with an error, because the job was refused or its acceptance is uncertain.
struct RefuseSubmission {
    Error error;

    friend auto operator<=>(const RefuseSubmission&, const RefuseSubmission&) = default;
};

/// Refers the callers of this submission to another owner of the job, from which they receive the outcome.
struct FollowOwner {
    std::string ownerHost;

    friend auto operator<=>(const FollowOwner&, const FollowOwner&) = default;
};

using JobCommand = std::variant<RequestGrants, WithdrawGrantRequests, ReleaseGrant, ProposeAcceptance, ProposeRefusal, ProposeIntents,
    ProposeOutcome, SendTask, ResolveAttempt, StopTask, AnswerJob, RefuseSubmission, FollowOwner>;

}
