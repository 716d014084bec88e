#pragma once

#include <LibCatalog/Objects.h>
#include <LibTransport/CodecFields.h>
#include <compare>
#include <string>

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
    Catalog::Needs capacity;
    /// Requests that it takes at once over all connections.
    uint32_t connections { 0 };
    TargetState state { TargetState::Serving };

    CODEC_FIELDS(identity, incarnation, pool, failureDomain, rack, address, capacity, connections, state);
    friend auto operator<=>(const TargetReport&, const TargetReport&) = default;
};

}
