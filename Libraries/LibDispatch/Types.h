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

/// Names a request for grants: the entry host that asks, and a number that it never uses twice.
struct RequestId {
    std::string host;
    uint64_t number { 0 };

    CODEC_FIELDS(host, number);
    friend auto operator<=>(const RequestId&, const RequestId&) = default;
};

/// Asks for places on targets: one for a request to a service, several for the tasks of a job.
struct GrantRequest {
    RequestId id;
    std::string pool;
    /// The service or the task kind; run times are learnt for each.
    std::string kind;
    std::string team;
    Catalog::Priority priority { Catalog::Priority::Normal };
    double teamWeight { 1 };
    /// How much of the team's work may be in progress under one dispatcher.
    int64_t teamLimit { 0 };
    Catalog::Resources needs;
    uint32_t count { 1 };
    int64_t queueLimit { 0 };
    /// Milliseconds that the request may wait; the receiver counts them from its arrival.
    int64_t patience { 0 };
    /// Targets that have refused or failed it before.
    std::vector<std::string> excludedTargets;

    CODEC_FIELDS(id, pool, kind, team, priority, teamWeight, teamLimit, needs, count, queueLimit, patience, excludedTargets);
    friend auto operator<=>(const GrantRequest&, const GrantRequest&) = default;
};

/// A place on a target, to be released by whoever holds it.
struct Grant {
    RequestId request;
    /// The dispatcher that gave it and takes it back.
    std::string dispatcher;
    uint64_t number { 0 };
    std::string target;
    std::string targetIncarnation;
    std::string targetAddress;

    CODEC_FIELDS(request, dispatcher, number, target, targetIncarnation, targetAddress);
    friend auto operator<=>(const Grant&, const Grant&) = default;
};

/// Says that a request, or what is left of it, gets no more grants. Nothing of that part was sent to a target.
struct Refusal {
    RequestId request;
    Reason reason { Reason::Overloaded };
    std::string detail;
    /// Milliseconds; zero where another attempt does not help.
    int64_t retryAfter { 0 };

    CODEC_FIELDS(request, reason, detail, retryAfter);
    friend auto operator<=>(const Refusal&, const Refusal&) = default;
};

enum class WorkResult {
    Succeeded,
    /// The target answered with a failure, or not in time.
    Failed,
    /// The target refused it, or could not be reached: it did not run.
    NotStarted,
    /// The grant was not used.
    Unused,
};

/// Gives a place back, with what became of the work.
struct Release {
    uint64_t number { 0 };
    WorkResult result { WorkResult::Succeeded };
    /// Microseconds from sending to the whole answer.
    int64_t runTime { 0 };

    CODEC_FIELDS(number, result, runTime);
    friend auto operator<=>(const Release&, const Release&) = default;
};

/// Passes part of a waiting request to the dispatcher of another failure domain, which serves it at once or not.
struct HandOver {
    std::string origin;
    GrantRequest request;

    CODEC_FIELDS(origin, request);
    friend auto operator<=>(const HandOver&, const HandOver&) = default;
};

struct HandOverResult {
    RequestId request;
    std::string pool;
    /// What was asked for and could not be granted.
    uint32_t returned { 0 };
    /// Places that are free at the answering dispatcher now.
    uint32_t free { 0 };

    CODEC_FIELDS(request, pool, returned, free);
    friend auto operator<=>(const HandOverResult&, const HandOverResult&) = default;
};

/// Tells the other dispatchers that a pool has become free or busy here.
struct DomainView {
    std::string dispatcher;
    std::string pool;
    uint32_t free { 0 };

    CODEC_FIELDS(dispatcher, pool, free);
    friend auto operator<=>(const DomainView&, const DomainView&) = default;
};

/// What a dispatcher asks its owner to send. Grants and refusals go to the host that is named in their request.
struct SendToDispatcher {
    std::string host;
    std::variant<HandOver, HandOverResult> message;

    friend auto operator<=>(const SendToDispatcher&, const SendToDispatcher&) = default;
};

using DispatcherCommand = std::variant<Grant, Refusal, SendToDispatcher, DomainView>;

}
