#pragma once

#include <LibBase/Clock.h>
#include <LibTransport/CodecFields.h>
#include <compare>
#include <string>
#include <vector>

namespace Sassafrasshift::Catalog {

/// A group of hosts that may fail together.
struct FailureDomain {
    std::string name;
    std::string region;
    /// Whether operators have taken the targets of this domain out of service.
    bool isolated { false };

    friend auto operator<=>(const FailureDomain&, const FailureDomain&) = default;
};

enum class TargetKind {
    /// Serves requests of services.
    Executor,
    /// Runs tasks of task kinds.
    Worker,
};

/// A set of targets of one kind, which announce themselves under the name of the pool.
struct Pool {
    std::string name;
    TargetKind targets { TargetKind::Executor };
    std::vector<std::string> failureDomains;
    /// The pool that takes over while this one has no live target; empty for none.
    /// FIXME: The overflow pool is validated and published, but the dispatcher does not use it yet and refuses the
    /// requests with no-target.
    std::string overflow;

    friend auto operator<=>(const Pool&, const Pool&) = default;
};

enum class Priority {
    Urgent,
    Normal,
    Background,
};

/// The limits and the priority of a service's requests or of a task kind's tasks.
struct Policy {
    std::string name;
    Priority priority { Priority::Normal };
    /// How long a request may take from arrival to answer, unless the caller gives a deadline.
    Milliseconds deadline { 0 };
    /// The largest number of requests of a service, or of tasks of a task kind, that may wait in one failure domain.
    int64_t queueLimit { 0 };
    /// The retry budget: the allowed retries as a share of the successes.
    double retryShare { 0 };
    /// How long one run of a task may take before it counts as failed.
    Milliseconds runLimit { 0 };

    friend auto operator<=>(const Policy&, const Policy&) = default;
};

/// Requests that the executors of one pool serve under one policy.
struct Service {
    std::string name;
    std::string pool;
    std::string policy;
    /// Whether a request may safely run more than once.
    bool idempotent { false };

    friend auto operator<=>(const Service&, const Service&) = default;
};

/// An amount of the resources of a target: what a task requires, or what a target has, uses or has left.
struct Resources {
    /// In thousandths of a core; an integer, so that values compare exactly.
    int64_t milliCores { 1000 };
    int64_t memoryBytes { 0 };
    int64_t accelerators { 0 };

    /// Whether no resource exceeds the free amount.
    [[nodiscard]] bool fitInto(const Resources& free) const
    {
        return this->milliCores <= free.milliCores && this->memoryBytes <= free.memoryBytes && this->accelerators <= free.accelerators;
    }

    [[nodiscard]] Resources plus(const Resources& other) const
    {
        return Resources { this->milliCores + other.milliCores, this->memoryBytes + other.memoryBytes, this->accelerators + other.accelerators };
    }

    [[nodiscard]] Resources minus(const Resources& other) const
    {
        return Resources { this->milliCores - other.milliCores, this->memoryBytes - other.memoryBytes, this->accelerators - other.accelerators };
    }

    CODEC_FIELDS(milliCores, memoryBytes, accelerators);
    friend auto operator<=>(const Resources&, const Resources&) = default;
};

/// Tasks that the workers of one pool run under one policy.
struct TaskKind {
    std::string name;
    std::string pool;
    std::string policy;
    /// Whether a task may safely run more than once.
    bool idempotent { false };
    /// The largest number of tasks in one job.
    int64_t maximumTasks { 0 };
    /// What each task requires of its worker.
    Resources needs;

    friend auto operator<=>(const TaskKind&, const TaskKind&) = default;
};

/// Takes one target out of service. The name of the drain is the identity of the target.
struct Drain {
    std::string name;

    friend auto operator<=>(const Drain&, const Drain&) = default;
};

/// A client account, and its share of the capacity.
struct Team {
    std::string name;
    /// The weight of the team's share under contention, relative to the weights of the other teams.
    double weight { 1 };
    /// The largest number of requests and tasks of the team that run at once over all failure domains.
    int64_t maximumInProgress { 0 };

    friend auto operator<=>(const Team&, const Team&) = default;
};

}
