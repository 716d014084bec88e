#pragma once

#include <LibCatalog/Objects.h>
#include <LibTransport/CodecFields.h>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Sassafrasshift::Membership {

enum class TargetState {
    Serving,
    /// Shutting down: the target finishes the work it has and gets no more.
    Leaving,
};

/// The state that a target reports about itself. The target repeats the report before its lease expires.
struct TargetReport {
    std::string identity;
    /// Changes with each new process of the target.
    std::string incarnation;
    std::string pool;
    std::string failureDomain;
    std::string rack;
    /// The address that the target serves requests on, as "address:port".
    std::string address;
    /// The target's total capacity. Each slot of an executor counts as one core.
    Catalog::Resources capacity;
    /// The number of requests that the target accepts concurrently, over all connections.
    uint32_t connections { 0 };
    TargetState state { TargetState::Serving };
    /// The hardware generation, empty if unknown. Targets of the same kind are about equally fast.
    std::string kind;
    std::vector<std::string> labels;
    /// Increases with each report of one incarnation, so that an outdated report which arrives late is recognized.
    uint64_t sequence { 0 };
    /// How long the target will still be slow after its start, in milliseconds.
    int64_t coldLeftMilliseconds { 0 };

    CODEC_FIELDS(identity, incarnation, pool, failureDomain, rack, address, capacity, connections, state, kind, labels, sequence, coldLeftMilliseconds);
    friend auto operator<=>(const TargetReport&, const TargetReport&) = default;
};

}
