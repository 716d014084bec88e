#pragma once

#include <LibLedger/Types.h>
#include <functional>
#include <set>
#include <string>

namespace Sassafrasshift::Ledger {

/// Whether the voters that a predicate selects form a quorum of a membership; during a transition, of the former voters as well.
///
/// Retired identities belong to replicas that are known to have ended for good. They count for nothing, and an even number of voters
/// with a retired one takes the quorum of the group without that one: half of the voters. This is safe as long as a replica uses the
/// same retired identities for its whole term, since each of them ended before any vote or acknowledgment of the term. Two quorums of one
/// group then meet in a replica that took part in both.
[[nodiscard]] bool isQuorum(const Membership&, const std::set<std::string>& retiredIdentities, const std::function<bool(const std::string& identity)>& isSelected);

}
