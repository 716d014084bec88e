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
    /// Finishes what it has, and gets no new work.
    Leaving,
};

/// What a target announces of itself, again and again within its lease.
struct TargetReport {
    std::string identity;
    /// Changes whenever the target's process starts anew.
    std::string incarnation;
    std::string pool;
    std::string failureDomain;
    std::string rack;
    /// "address:port"
    std::string address;
    /// Its whole capacity. An executor's slots count as one core each.
    Catalog::Resources capacity;
    /// Requests that it takes at once over all connections.
    uint32_t connections { 0 };
    TargetState state { TargetState::Serving };
    /// The hardware generation; targets of one kind are about equally fast. Empty where unknown.
    std::string kind;
    std::vector<std::string> labels;
    /// Rises with each report of one incarnation, so that a late one is told from the latest.
    uint64_t sequence { 0 };

    CODEC_FIELDS(identity, incarnation, pool, failureDomain, rack, address, capacity, connections, state, kind, labels, sequence);
    friend auto operator<=>(const TargetReport&, const TargetReport&) = default;
};

}
