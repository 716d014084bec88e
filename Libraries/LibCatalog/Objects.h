#pragma once

#include <LibBase/Clock.h>
#include <LibTransport/CodecFields.h>
#include <compare>
#include <string>
#include <vector>

namespace Sassafrasshift::Catalog {

struct FailureDomain {
    std::string name;
    std::string region;
    /// Whether operators have taken its targets out of service.
    bool isolated { false };

    friend auto operator<=>(const FailureDomain&, const FailureDomain&) = default;
};

enum class TargetKind {
    Executor,
    Worker,
};

/// A set of targets that announce themselves under its name.
struct Pool {
    std::string name;
    TargetKind targets { TargetKind::Executor };
    std::vector<std::string> failureDomains;
    /// The pool that serves while this one has no live target; empty for none.
    /// FIXME: It is checked and published, but the dispatcher does not use it yet: requests are refused with no-target.
    std::string overflow;

    friend auto operator<=>(const Pool&, const Pool&) = default;
};

enum class Priority {
    Urgent,
    Normal,
    Background,
};

struct Policy {
    std::string name;
    Priority priority { Priority::Normal };
    /// How long a request may take, from arrival to answer, where the caller says nothing.
    Milliseconds deadline { 0 };
    /// Requests of a service, or tasks of a task kind, that may wait in one failure domain.
    int64_t queueLimit { 0 };
    /// Retries allowed as a share of the successes.
    double retryShare { 0 };
    /// How long a task may run before it counts as failed.
    Milliseconds runLimit { 0 };

    friend auto operator<=>(const Policy&, const Policy&) = default;
};

struct Service {
    std::string name;
    std::string pool;
    std::string policy;
    /// Whether a request may run more than once without harm.
    bool idempotent { false };

    friend auto operator<=>(const Service&, const Service&) = default;
};

/// What one task occupies on a worker.
struct Resources {
    /// Thousandths of a core, so that values compare exactly.
    int64_t milliCores { 1000 };
    int64_t memoryBytes { 0 };
    int64_t accelerators { 0 };

    /// Whether these needs fit into what is free.
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

struct TaskKind {
    std::string name;
    std::string pool;
    std::string policy;
    bool idempotent { false };
    int64_t maximumTasks { 0 };
    Resources needs;

    friend auto operator<=>(const TaskKind&, const TaskKind&) = default;
};

/// Takes one target out of service; its name is the target's identity.
struct Drain {
    std::string name;

    friend auto operator<=>(const Drain&, const Drain&) = default;
};

struct Team {
    std::string name;
    /// The share that a team gets under contention, relative to the others.
    double weight { 1 };
    /// Requests and tasks that may run at once over all failure domains.
    int64_t maximumInProgress { 0 };

    friend auto operator<=>(const Team&, const Team&) = default;
};

}
