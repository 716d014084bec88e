#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Error.h>
#include <LibCatalog/Objects.h>
#include <LibTransport/CodecFields.h>
#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Sassafrasshift::Dispatch {

/// Identifies a grant request by the entry host that sends it and a number that this host never reuses.
struct RequestId {
    std::string host;
    uint64_t number { 0 };

    CODEC_FIELDS(host, number);
    friend auto operator<=>(const RequestId&, const RequestId&) = default;
};

/// Requests slots on targets: one for a request to a service, one per task for a job.
struct GrantRequest {
    RequestId id;
    std::string pool;
    /// The service or the task kind. Run times are estimated separately for each.
    std::string kind;
    std::string team;
    Catalog::Priority priority { Catalog::Priority::Normal };
    double teamWeight { 1 };
    /// The largest number of grants that the team may hold from one dispatcher; zero leaves its limit unchanged.
    int64_t teamLimit { 0 };
    Catalog::Resources needs;
    uint32_t count { 1 };
    /// The request is refused if the queue of the pool is not empty and more grants than this would wait in it.
    int64_t queueLimit { 0 };
    /// Milliseconds that the request may wait, counted by the receiver from the arrival of this message.
    int64_t waitLimit { 0 };
    /// The identities of targets that have refused or failed this work before.
    std::vector<std::string> excludedTargets;

    CODEC_FIELDS(id, pool, kind, team, priority, teamWeight, teamLimit, needs, count, queueLimit, waitLimit, excludedTargets);
    friend auto operator<=>(const GrantRequest&, const GrantRequest&) = default;
};

/// Permission to occupy a slot on a target. The entry host that requested the grant holds it, and must release it.
struct Grant {
    RequestId request;
    /// The dispatcher that issued the grant and to which it is released.
    std::string dispatcher;
    uint64_t number { 0 };
    std::string target;
    std::string targetIncarnation;
    std::string targetAddress;

    CODEC_FIELDS(request, dispatcher, number, target, targetIncarnation, targetAddress);
    friend auto operator<=>(const Grant&, const Grant&) = default;
};

/// Tells the entry host that a request gets no further grants. No work was sent to a target for the grants that it did not
/// get.
struct Refusal {
    RequestId request;
    Reason reason { Reason::Overloaded };
    std::string detail;
    /// Milliseconds after which a retry may succeed; zero if retrying does not help.
    int64_t retryAfter { 0 };

    CODEC_FIELDS(request, reason, detail, retryAfter);
    friend auto operator<=>(const Refusal&, const Refusal&) = default;
};

enum class WorkResult {
    Succeeded,
    /// The target answered with a failure, or did not answer in time.
    Failed,
    /// The target refused the work or could not be reached, so that the work did not run.
    NotStarted,
    /// The grant was not used, or its work was stopped. This says nothing about the health of the target.
    Unused,
};

/// Releases a grant and reports the result of the work.
struct Release {
    uint64_t number { 0 };
    WorkResult result { WorkResult::Succeeded };
    /// Microseconds from sending the work to receiving the whole answer.
    int64_t runTime { 0 };

    CODEC_FIELDS(number, result, runTime);
    friend auto operator<=>(const Release&, const Release&) = default;
};

/// Hands part of a waiting request over to the dispatcher of another failure domain, which grants what it can immediately
/// and returns the rest.
struct HandOver {
    /// The dispatcher that hands the request over, and that receives the result.
    std::string origin;
    GrantRequest request;

    CODEC_FIELDS(origin, request);
    friend auto operator<=>(const HandOver&, const HandOver&) = default;
};

/// The answer to a HandOver.
struct HandOverResult {
    RequestId request;
    std::string pool;
    /// The number of requested grants that could not be issued.
    uint32_t returned { 0 };
    /// Free slots that the answering dispatcher has in this pool after the hand-over.
    uint32_t free { 0 };

    CODEC_FIELDS(request, pool, returned, free);
    friend auto operator<=>(const HandOverResult&, const HandOverResult&) = default;
};

/// Announces to the other dispatchers that a pool of this dispatcher has gained free slots or has none left.
struct PoolAvailability {
    std::string dispatcher;
    std::string pool;
    uint32_t free { 0 };

    CODEC_FIELDS(dispatcher, pool, free);
    friend auto operator<=>(const PoolAvailability&, const PoolAvailability&) = default;
};

/// Asks the caller to send a message to another dispatcher.
struct SendToDispatcher {
    std::string host;
    std::variant<HandOver, HandOverResult> message;

    friend auto operator<=>(const SendToDispatcher&, const SendToDispatcher&) = default;
};

/// What a dispatcher asks its caller to send. Grants and refusals go to the host in their request id, availability to all
/// other dispatchers.
using DispatcherCommand = std::variant<Grant, Refusal, SendToDispatcher, PoolAvailability>;

}
