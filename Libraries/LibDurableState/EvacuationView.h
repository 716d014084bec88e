#pragma once

#include <LibBase/Clock.h>
#include <LibDurableState/Commands.h>
#include <optional>
#include <string>
#include <vector>

namespace Sassafrasshift::DurableState {

/// The set of evacuated failure domains that one member has in force, and its decisions which member to ask for a newer one and how
/// long to wait for a first one. The revision in force never decreases.
class EvacuationView {
public:
    explicit EvacuationView(Instant now);

    /// Puts a set in force if its revision is higher than the one in force. Returns whether it has.
    [[nodiscard]] bool activateIfNewer(const EvacuatedDomains&);

    /// Another live member.
    struct Peer {
        std::string address;
        /// The revision in force there; zero if it has no set.
        uint64_t revision { 0 };
    };
    /// Records what the other live members have in force. Returns the member to ask for its set now, if any: each time another one of
    /// those with a newer set, since some of them may not be reachable.
    [[nodiscard]] std::optional<std::string> update(const std::vector<Peer>&, Instant now);

    /// Whether a set is in force.
    [[nodiscard]] bool isKnown() const { return this->inForce.revision > 0; }
    /// Whether tasks may be started: a set is in force, or no member with one was known for long enough.
    [[nodiscard]] bool mayDispatch() const { return this->isKnown() || this->hasWaited; }
    [[nodiscard]] const EvacuatedDomains& evacuated() const { return this->inForce; }

private:
    EvacuatedDomains inForce { 0, {} };
    Instant nextRequest {};
    size_t requests { 0 };
    /// When a live member with a set was last known, or when this process started.
    Instant lastHeardOfSet;
    bool hasWaited { false };
};

}
