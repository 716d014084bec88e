#include <LibLedger/Replica.h>
#include <LibTransport/Codec.h>
#include <algorithm>

// Single-server membership changes (Ongaro, "Consensus", chapter 4).
namespace Sassafrasshift::Ledger {

bool Replica::canChangeMembership() const
{
    // A leader proposes a membership change only after the previous change and an entry of its own term are committed (Ongaro,
    // section 4.1).
    return this->isEstablishedLeader() && this->log.membershipIndex() <= this->committedIndex;
}

void Replica::proposeMembership(const Membership& membership)
{
    this->appendAsLeader(EntryKind::Membership, Transport::encodeValue(membership));
}

ErrorOr<Index> Replica::proposeRemoval(std::string_view identity)
{
    if (this->currentRole != Role::Leader)
        return tl::unexpected(Error::notRun(Reason::NotLeader, "this replica is not the leader"));
    if (!this->log.membership().find(identity))
        return tl::unexpected(Error::notRun(Reason::NotFound, "no member has the identity \"" + std::string(identity) + "\""));
    if (identity == this->options.identity)
        return tl::unexpected(Error::notRun(Reason::Conflict, "the leader cannot remove itself; stop its process first so that another replica becomes the leader"));
    if (!this->canChangeMembership())
        return tl::unexpected(Error::notRun(Reason::Conflict, "another membership change is in progress"));
    this->proposeMembership(this->log.membership().without(identity));
    return this->log.lastIndex();
}

void Replica::requestJoin(const std::string& host, const std::string& identity)
{
    if (this->currentRole == Role::Leader && !this->log.membership().isVoter(identity))
        this->pendingJoins[host] = identity;
}

void Replica::advanceJoins()
{
    for (auto position = this->pendingJoins.begin(); position != this->pendingJoins.end();) {
        auto [host, identity] = *position;
        if (this->log.membership().isVoter(identity)) {
            position = this->pendingJoins.erase(position);
            continue;
        }
        ++position;
        if (this->canChangeMembership())
            this->advanceJoin(host, identity);
    }
}

void Replica::advanceJoin(const std::string& host, const std::string& identity)
{
    const auto& membership = this->log.membership();
    if (!membership.find(identity)) {
        this->proposeMembership(membership.with(Member { identity, host, MemberRole::Learner }));
        return;
    }
    // A learner is promoted to voter only after it has replicated all committed entries.
    if (this->progressOf(identity).matchIndex < this->committedIndex || !this->isReachable(identity))
        return;
    auto sameHost = [&](const Member& member) { return member.host == host && member.identity != identity; };
    auto formerMember = std::find_if(membership.members.begin(), membership.members.end(), sameHost);
    if (formerMember == membership.members.end()) {
        this->proposeMembership(membership.with(Member { identity, host, MemberRole::Voter }));
        return;
    }
    if (formerMember->identity == this->options.identity)
        return;
    auto remaining = membership.without(formerMember->identity);
    if (this->hasReachableQuorum(remaining))
        this->proposeMembership(remaining);
}

bool Replica::hasReachableQuorum(const Membership& membership) const
{
    auto isReachableVoter = [&](const Member& member) { return member.role == MemberRole::Voter && this->isReachable(member.identity); };
    auto reachable = std::count_if(membership.members.begin(), membership.members.end(), isReachableVoter);
    return static_cast<size_t>(reachable) >= membership.quorum();
}

bool Replica::hasReachableQuorumOfOthers() const
{
    const auto& membership = this->log.membership();
    auto isReachableOther = [&](const Member& member) {
        return member.role == MemberRole::Voter && member.identity != this->options.identity && this->isReachable(member.identity);
    };
    auto reachable = std::count_if(membership.members.begin(), membership.members.end(), isReachableOther);
    return static_cast<size_t>(reachable) >= membership.quorum();
}

// Removes one voter that has been unreachable for longer than lostVoterTimeout, provided that the group has more than the
// minimum number of voters and a quorum of the remaining voters is reachable.
void Replica::removeLostVoter()
{
    const auto& membership = this->log.membership();
    if (this->options.lostVoterTimeout.count() == 0 || membership.voterCount() <= this->options.minimumVoters || !this->canChangeMembership())
        return;
    for (const auto& member : membership.members) {
        if (member.role != MemberRole::Voter || member.identity == this->options.identity)
            continue;
        bool isLost = this->now >= this->progressOf(member.identity).lastContact + this->options.lostVoterTimeout;
        auto remaining = membership.without(member.identity);
        if (!isLost || !this->hasReachableQuorum(remaining))
            continue;
        this->proposeMembership(remaining);
        return;
    }
}

}
