#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Chooses the relays of a dispatcher, and the relay for each target. It is deterministic: the same sequence of updates gives the
/// same relays.
///
/// Relays are for a dispatcher that has too little CPU time to exchange orders and answers with all of its targets itself.
///
/// Each relay has a place, and each target belongs to a place. A relay that is lost is replaced in its place, or the targets of the
/// place are spread over the others; the targets of the other relays keep theirs.
class RelayAssignment {
public:
    /// The number of targets for each relay, on average; with no more targets than that, no relay is used.
    static constexpr size_t targetsPerRelay = 30;
    /// The number of targets by which the need for a relay has to fall before the relay is released. It keeps a target that comes and
    /// goes from moving others.
    static constexpr size_t releaseMargin = 5;

    /// Updates the relays. The candidates are the addresses of the members that may be relays now. Returns whether any relay has changed.
    bool update(const std::vector<std::string>& candidates, const std::string& shard, size_t targets);

    /// The address of the relay for a target; null if its orders are to be sent directly.
    [[nodiscard]] const std::string* relayFor(std::string_view targetIdentity) const;

    /// The relay of each place; empty for a place without one.
    [[nodiscard]] const std::vector<std::string>& relays() const { return this->places; }

private:
    [[nodiscard]] size_t placesFor(size_t targets) const;

    std::vector<std::string> places;
};

}
