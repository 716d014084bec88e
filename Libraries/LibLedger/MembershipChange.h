#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>

namespace Sassafrasshift::Ledger {

/// Why a leader changes the membership.
enum class MembershipChangeKind {
    /// The first leader of a group records the initial membership in the log.
    Initial,
    /// A replica joins as a learner.
    Join,
    /// A learner that has caught up becomes a voter.
    Promotion,
    /// A host has returned under a new identity, so its former one is removed.
    Replacement,
    /// A voter has been unreachable for too long and is removed.
    Silence,
    /// A member has asked for its removal, since its process is about to end.
    Leave,
    /// A quorum of the former voters and of the present ones has stored the change before, which ends its transition.
    Settlement,
};

/// The name of a kind in log lines.
[[nodiscard]] std::string_view toString(MembershipChangeKind);

/// A membership change that a leader has proposed. It is in effect on the leader from then on, whether or not it is committed.
struct MembershipChange {
    MembershipChangeKind kind { MembershipChangeKind::Initial };
    /// The identity and host of the member that is added, promoted or removed; empty for the initial membership.
    std::string identity;
    std::string host;
    size_t votersBefore { 0 };
    size_t quorumBefore { 0 };
    size_t votersAfter { 0 };
    size_t quorumAfter { 0 };
    /// The number of voters of the new membership that the leader reaches, with itself.
    size_t reachableVoters { 0 };

    friend auto operator<=>(const MembershipChange&, const MembershipChange&) = default;
};

}
