#include <LibLedger/Replica.h>
#include <LibTransport/Codec.h>
#include <algorithm>

// Changes of the membership, one replica at a time (Ongaro, "Consensus", chapter 4).
namespace Sassafrasshift::Ledger {

bool Replica::canChangeMembership() const
{
    // A change is proposed only where the one before it and an entry of this term are committed (Ongaro, section 4.1).
    return this->isEstablishedLeader() && this->log.membershipIndex() <= this->committedIndex;
}

void Replica::proposeMembership(const Membership& membership)
{
    this->appendAsLeader(EntryKind::Membership, Transport::encodeValue(membership));
}

ErrorOr<Index> Replica::proposeRemoval(std::string_view identity)
{
    if (this->currentRole != Role::Leader)
        return tl::unexpected(Error::notRun(Reason::NotLeader, "this replica does not lead"));
    if (!this->log.membership().find(identity))
        return tl::unexpected(Error::notRun(Reason::NotFound, "there is no member \"" + std::string(identity) + "\""));
    if (identity == this->options.identity)
        return tl::unexpected(Error::notRun(Reason::Conflict, "the leader does not remove itself; stop its process first"));
    if (!this->canChangeMembership())
        return tl::unexpected(Error::notRun(Reason::Conflict, "another change of the membership is under way"));
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
    // A learner counts in the quorum only once it holds everything that is committed.
    if (this->progressOf(identity).matchIndex < this->committedIndex || !this->isReachable(identity))
        return;
    auto sameHost = [&](const Member& member) { return member.host == host && member.identity != identity; };
    auto former = std::find_if(membership.members.begin(), membership.members.end(), sameHost);
    if (former == membership.members.end()) {
        this->proposeMembership(membership.with(Member { identity, host, MemberRole::Voter }));
        return;
    }
    if (former->identity == this->options.identity)
        return;
    auto remaining = membership.without(former->identity);
    if (this->hasReachableQuorum(remaining))
        this->proposeMembership(remaining);
}

bool Replica::hasReachableQuorum(const Membership& membership) const
{
    auto isReachableVoter = [&](const Member& member) { return member.role == MemberRole::Voter && this->isReachable(member.identity); };
    auto reachable = std::count_if(membership.members.begin(), membership.members.end(), isReachableVoter);
    return static_cast<size_t>(reachable) >= membership.quorum();
}

// A host that is gone for good leaves the quorum once others stand in for it.
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
