#include <LibLedger/Replica.h>
#include <LibLedger/VoterQuorum.h>
#include <LibTransport/Codec.h>
#include <algorithm>

// Single-server membership changes (Ongaro, "Consensus", chapter 4).
namespace Sassafrasshift::Ledger {

// A smaller group has no quorum once a single host is down.
static constexpr size_t smallestGroup = 3;
// A member that has left for a planned restart is mostly back as a learner within this time.
static constexpr Milliseconds restartTime { 5000 };

bool Replica::canChangeMembership() const
{
    // A leader proposes a membership change only after the previous change is settled and an entry of its own term is committed
    // (Ongaro, section 4.1).
    return this->isEstablishedLeader() && this->log.membershipIndex() <= this->committedIndex && !this->log.membership().isTransition();
}

void Replica::proposeMembership(const Membership& membership, MembershipChangeKind kind, const Member& changed)
{
    const auto& former = this->log.membership();
    this->effects.membershipChanges.push_back(MembershipChange { kind, changed.identity, changed.host, former.voterCount(), former.quorum(), membership.voterCount(), membership.quorum(), this->reachableVotersOf(membership) });
    this->appendAsLeader(EntryKind::Membership, Transport::encodeValue(membership.following(former)));
}

void Replica::settleMembership()
{
    const auto& membership = this->log.membership();
    if (!membership.isTransition() || !this->isEstablishedLeader() || this->log.membershipIndex() > this->committedIndex)
        return;
    auto settled = membership.settled();
    this->effects.membershipChanges.push_back(MembershipChange { MembershipChangeKind::Settlement, {}, {}, settled.voterCount(), settled.quorum(), settled.voterCount(), settled.quorum(), this->reachableVotersOf(settled) });
    this->appendAsLeader(EntryKind::Membership, Transport::encodeValue(settled));
}

void Replica::requestJoin(const std::string& host, const std::string& identity)
{
    if (this->currentRole == Role::Leader && !this->log.membership().isVoter(identity))
        this->pendingJoins[host] = identity;
}

bool Replica::hasLeft() const
{
    const auto& membership = this->log.membership();
    return !membership.find(this->options.identity) && !membership.isTransition() && this->log.membershipIndex() <= this->committedIndex;
}

bool Replica::expectsVoter() const
{
    if (this->lastVoterRemoval && this->now < *this->lastVoterRemoval + restartTime)
        return true;
    const auto& members = this->log.membership().members;
    return std::any_of(members.begin(), members.end(), [this](const auto& member) { return member.role == MemberRole::Learner && this->isReachable(member.identity); });
}

ErrorOr<LeaveOutcome> Replica::requestLeave(std::string_view identity)
{
    if (this->currentRole != Role::Leader)
        return tl::unexpected(Error::notRun(Reason::NotLeader, "this replica is not the leader"));
    std::erase_if(this->pendingJoins, [&](const auto& join) { return join.second == identity; });
    const auto& membership = this->log.membership();
    const auto* member = membership.find(identity);
    if (!member)
        return !membership.isTransition() && this->log.membershipIndex() <= this->committedIndex ? LeaveOutcome::Left : LeaveOutcome::Pending;
    bool isNeeded = member->role == MemberRole::Voter && membership.voterCount() <= this->minimumVoters();
    if (isNeeded)
        return this->expectsVoter() ? LeaveOutcome::Pending : LeaveOutcome::Kept;
    auto remaining = membership.without(identity);
    // A voter that is silent may be gone for good. It has to be removed first then, or to return.
    bool sparesMember = member->role != MemberRole::Voter || this->reachableVotersOf(remaining) >= this->minimumVoters();
    if (sparesMember && this->canChangeMembership() && this->hasKnownReachableQuorum(remaining))
        this->proposeMembership(remaining, MembershipChangeKind::Leave, Member(*member));
    return LeaveOutcome::Pending;
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
        Member learner { identity, host, MemberRole::Learner };
        this->proposeMembership(membership.with(learner), MembershipChangeKind::Join, learner);
        return;
    }
    // A learner is promoted to voter only after it has replicated all committed entries.
    if (this->progressOf(identity).matchIndex < this->committedIndex || !this->isReachable(identity))
        return;
    auto sameHost = [&](const Member& member) { return member.host == host && member.identity != identity; };
    auto formerMember = std::find_if(membership.members.begin(), membership.members.end(), sameHost);
    if (formerMember == membership.members.end()) {
        Member voter { identity, host, MemberRole::Voter };
        this->proposeMembership(membership.with(voter), MembershipChangeKind::Promotion, voter);
        return;
    }
    if (formerMember->identity == this->options.identity)
        return;
    auto remaining = membership.without(formerMember->identity);
    if (this->hasKnownReachableQuorum(remaining))
        this->proposeMembership(remaining, MembershipChangeKind::Replacement, Member(*formerMember));
}

size_t Replica::reachableVotersOf(const Membership& membership) const
{
    auto isReachableVoter = [&](const Member& member) { return member.role == MemberRole::Voter && this->isKnownReachable(member.identity); };
    return static_cast<size_t>(std::count_if(membership.members.begin(), membership.members.end(), isReachableVoter));
}

bool Replica::hasReachableQuorum(const Membership& membership) const
{
    return isQuorum(membership, this->retiredIdentitiesInForce(), [this](const auto& identity) { return this->isReachable(identity); });
}

bool Replica::hasKnownReachableQuorum(const Membership& membership) const
{
    return isQuorum(membership, this->retiredIdentitiesInForce(), [this](const auto& identity) { return this->isKnownReachable(identity); });
}

bool Replica::hasReachableQuorumOfOthers() const
{
    return isQuorum(this->log.membership(), this->retiredIdentitiesInForce(), [this](const auto& identity) {
        return identity != this->options.identity && this->isReachable(identity);
    });
}

size_t Replica::minimumVoters() const
{
    return std::max(smallestGroup, 2 * this->options.toleratedDiskLosses + 1);
}

// The voter that has been silent for the longest time, beyond the timeout. A voter that is gone for good has mostly been silent for
// longer than one that is only down for a while.
const Member* Replica::longestLostVoter()
{
    const Member* longest = nullptr;
    for (const auto& member : this->log.membership().members) {
        if (member.role != MemberRole::Voter || member.identity == this->options.identity)
            continue;
        auto lastContact = this->progressOf(member.identity).lastContact;
        bool isLost = this->now >= lastContact + this->options.lostVoterTimeout;
        if (isLost && (!longest || lastContact < this->progressOf(longest->identity).lastContact))
            longest = &member;
    }
    return longest;
}

// Where all unreachable voters can be removed, or an even number of voters is left, a wrong guess costs nothing. Otherwise the group
// keeps them: if the one that will return were removed, the one that is gone would stay. With an even number of voters a quorum survives
// the tolerated disk losses even so, since hosts that come back without their disks retire their former identities.
bool Replica::sparesUnreachableVoter() const
{
    const auto& membership = this->log.membership();
    auto voters = membership.voterCount();
    auto unreachable = voters - this->reachableVotersOf(membership);
    return voters % 2 == 1 || voters - unreachable >= this->minimumVoters();
}

// Removes one voter that has been unreachable for longer than lostVoterTimeout, provided that the group can spare it and a quorum of
// the remaining voters is reachable.
void Replica::removeLostVoter()
{
    const auto& membership = this->log.membership();
    if (this->options.lostVoterTimeout.count() == 0 || membership.voterCount() <= this->minimumVoters() || !this->sparesUnreachableVoter() || !this->canChangeMembership())
        return;
    const auto* lost = this->longestLostVoter();
    if (!lost)
        return;
    auto remaining = membership.without(lost->identity);
    if (this->hasKnownReachableQuorum(remaining))
        this->proposeMembership(remaining, MembershipChangeKind::Silence, Member(*lost));
}

}
