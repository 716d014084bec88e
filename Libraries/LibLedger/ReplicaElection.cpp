#include <LibLedger/Replica.h>
#include <LibLedger/VoterQuorum.h>
#include <algorithm>

// Elections: timers, pre-votes, votes, and the roles of a replica (Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapter 3).
namespace Sassafrasshift::Ledger {

void Replica::resetElectionTimer()
{
    this->electionDeadline = this->now + this->options.electionTimeout + this->randomUpTo(this->options.electionTimeout);
}

// A replica that has not heard a leader since its start does not wait for one: a pre-vote changes no term, and replicas in contact
// with a leader ignore it.
void Replica::resetPreVoteTimer()
{
    if (this->hasHeardLeader)
        return this->resetElectionTimer();
    this->electionDeadline = this->now + this->options.electionTimeout / 6 + this->randomUpTo(this->options.electionTimeout / 3);
}

Microseconds Replica::randomUpTo(Milliseconds limit)
{
    std::uniform_int_distribution<int64_t> distribution(0, std::chrono::duration_cast<Microseconds>(limit).count());
    return Microseconds(distribution(this->random));
}

void Replica::becomeFollower(Term term, std::string leader)
{
    if (term > this->hardState.term) {
        this->hardState = HardState { term, {} };
        this->effects.operations.emplace_back(this->hardState);
    }
    this->currentRole = Role::Follower;
    this->leaderIdentity = std::move(leader);
    this->progress.clear();
    this->pendingJoins.clear();
    this->votesReceived.clear();
    this->resetElectionTimer();
}

void Replica::followLeader(const std::string& identity)
{
    this->leaderIdentity = identity;
    this->hasHeardLeader = true;
    this->lastLeaderContact = this->now;
    this->resetElectionTimer();
    // Recording the leader as the vote keeps this replica from voting for another candidate in the same term. A replica that
    // joined during this term may already have voted in it under its former identity.
    if (this->hardState.vote.empty()) {
        this->hardState.vote = identity;
        this->effects.operations.emplace_back(this->hardState);
    }
}

// The pre-vote keeps a replica that was partitioned from raising the term and thereby deposing a working leader when it
// reconnects.
void Replica::startPreVote()
{
    this->currentRole = Role::PreCandidate;
    this->leaderIdentity.clear();
    this->resetPreVoteTimer();
    this->votesReceived = { this->options.identity };
    std::erase_if(this->retiredIdentities, [this](const auto& identity) { return !this->isParticipant(identity); });
    if (this->hasVotesOfQuorum()) {
        this->startElection();
        return;
    }
    this->requestVotes(VoteStage::PreVote, this->hardState.term + 1);
}

void Replica::startElection()
{
    this->currentRole = Role::Candidate;
    this->retiredIdentitiesAtElection = this->retiredIdentities;
    this->hardState = HardState { this->hardState.term + 1, this->options.identity };
    this->effects.operations.emplace_back(this->hardState);
    this->resetElectionTimer();
    this->votesReceived = { this->options.identity };
    if (this->hasVotesOfQuorum()) {
        this->becomeLeader();
        return;
    }
    this->requestVotes(VoteStage::Vote, this->hardState.term);
}

void Replica::requestVotes(VoteStage stage, Term term)
{
    for (const auto& member : this->log.membership().participants()) {
        if (member.role != MemberRole::Voter || member.identity == this->options.identity)
            continue;
        auto message = this->messageTo(member, VoteRequest { stage, term, this->log.lastIndex(), this->log.lastTerm() });
        // The candidate's vote for itself must be durable before a vote of another replica can complete a majority with it.
        if (stage == VoteStage::Vote)
            this->effects.messagesAfterStore.push_back(std::move(message));
        else
            this->effects.immediateMessages.push_back(std::move(message));
    }
}

const std::set<std::string>& Replica::retiredIdentitiesInForce() const
{
    bool hasTerm = this->currentRole == Role::Candidate || this->currentRole == Role::Leader;
    return hasTerm ? this->retiredIdentitiesAtElection : this->retiredIdentities;
}

bool Replica::hasVotesOfQuorum() const
{
    return isQuorum(this->log.membership(), this->retiredIdentitiesInForce(), [this](const auto& identity) { return this->votesReceived.contains(identity); });
}

bool Replica::isParticipant(const std::string& identity) const
{
    auto participants = this->log.membership().participants();
    return std::any_of(participants.begin(), participants.end(), [&](const auto& member) { return member.identity == identity; });
}

// A host that answers under another identity has lost the data folder of the one that is asked for. Pre-votes ask all voters, which is
// enough: a leader that reaches a quorum does not need to know.
void Replica::answerForFormerIdentity(const Message& message)
{
    const auto* request = std::get_if<VoteRequest>(&message.body);
    if (request && request->stage == VoteStage::PreVote && message.toHost == this->options.host)
        this->effects.immediateMessages.push_back(this->reply(message, RetirementNotice { message.to }));
}

void Replica::handle(const Message& message, const RetirementNotice& notice)
{
    auto participants = this->log.membership().participants();
    bool isOfHost = std::any_of(participants.begin(), participants.end(), [&](const auto& member) {
        return member.identity == notice.retiredIdentity && member.host == message.fromHost;
    });
    if (!isOfHost || notice.retiredIdentity == message.from)
        return;
    this->retiredIdentities.insert(notice.retiredIdentity);
    if (this->currentRole == Role::PreCandidate && this->hasVotesOfQuorum())
        this->startElection();
}

bool Replica::isUpToDate(const VoteRequest& request) const
{
    if (request.lastTerm != this->log.lastTerm())
        return request.lastTerm > this->log.lastTerm();
    return request.lastIndex >= this->log.lastIndex();
}

bool Replica::heardFromLeaderRecently() const
{
    if (this->currentRole == Role::Leader)
        return true;
    return this->hasHeardLeader && this->now < this->lastLeaderContact + this->options.electionTimeout;
}

void Replica::handle(const Message& message, const VoteRequest& request)
{
    // A replica in contact with a leader ignores vote requests, so that replicas removed or partitioned from the group cannot
    // disrupt the leader (Ongaro, section 4.2.3).
    if (this->heardFromLeaderRecently())
        return;
    if (request.stage == VoteStage::PreVote) {
        bool granted = request.term > this->hardState.term && this->isUpToDate(request) && !this->isStorageBlocked();
        this->effects.immediateMessages.push_back(this->reply(message, VoteResponse { VoteStage::PreVote, granted ? request.term : this->hardState.term, granted }));
        return;
    }
    if (request.term > this->hardState.term)
        this->becomeFollower(request.term, {});
    bool granted = request.term == this->hardState.term && this->isUpToDate(request)
        && (this->hardState.vote.empty() || this->hardState.vote == message.from);
    if (granted && this->hardState.vote.empty()) {
        this->hardState.vote = message.from;
        this->effects.operations.emplace_back(this->hardState);
        this->resetElectionTimer();
    }
    this->effects.messagesAfterStore.push_back(this->reply(message, VoteResponse { VoteStage::Vote, this->hardState.term, granted }));
}

void Replica::handle(const Message& message, const VoteResponse& response)
{
    if (!response.granted) {
        if (response.term > this->hardState.term)
            this->becomeFollower(response.term, {});
        return;
    }
    if (response.stage == VoteStage::PreVote) {
        if (this->currentRole != Role::PreCandidate || response.term != this->hardState.term + 1)
            return;
        this->votesReceived.insert(message.from);
        if (this->hasVotesOfQuorum())
            this->startElection();
        return;
    }
    if (this->currentRole != Role::Candidate || response.term != this->hardState.term)
        return;
    this->votesReceived.insert(message.from);
    if (this->hasVotesOfQuorum())
        this->becomeLeader();
}

void Replica::becomeLeader()
{
    this->currentRole = Role::Leader;
    this->leaderIdentity = this->options.identity;
    this->progress.clear();
    this->pendingJoins.clear();
    for (const auto& member : this->log.membership().participants())
        this->progressOf(member.identity);
    this->firstIndexOfTerm = this->log.lastIndex() + 1;
    this->appendAsLeader(EntryKind::NoOperation, {});
    // The initial membership is part of the initial stored state, not of the log. A replica that starts with an empty log learns
    // it only from an entry.
    if (this->log.membershipIndex() == 0)
        this->proposeMembership(Membership(this->log.membership()), MembershipChangeKind::Initial, {});
    this->nextHeartbeat = this->now;
}

void Replica::stepDown()
{
    if (this->currentRole == Role::Leader)
        this->becomeFollower(this->hardState.term, {});
}

void Replica::checkQuorum()
{
    const auto& membership = this->log.membership();
    // A leader that is no longer a voter steps down once the membership without it is settled.
    bool removed = !membership.isVoter(this->options.identity) && !membership.isTransition() && this->log.membershipIndex() <= this->committedIndex;
    if (!this->hasReachableQuorum(membership) || removed)
        this->becomeFollower(this->hardState.term, {});
}

}
