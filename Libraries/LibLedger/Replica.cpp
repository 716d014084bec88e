#include <LibBase/Try.h>
#include <LibLedger/MessageValidation.h>
#include <LibLedger/Replica.h>
#include <LibTransport/Codec.h>
#include <algorithm>

namespace Sassafrasshift::Ledger {

// The number of entries kept in memory before the index of a snapshot, so that a slightly lagging follower can catch up from
// the log instead of receiving the snapshot.
static constexpr Index retainedEntries = 1024;
// An unacknowledged snapshot is sent again after this many election timeouts.
static constexpr int snapshotRetryElectionTimeouts = 4;

bool Replica::Effects::isEmpty() const
{
    return this->operations.empty() && this->immediateMessages.empty() && this->messagesAfterStore.empty()
        && !this->restoredSnapshot && this->committedEntries.empty() && this->membershipChanges.empty();
}

Replica::Replica(Options options, const StoredState& stored, Random random, Instant now)
    : options(std::move(options))
    , random(random)
    , now(now)
    , hardState(stored.hardState)
    , log(stored)
    , latestSnapshot(stored.snapshot)
    , committedIndex(stored.snapshot.index)
    , deliveredIndex(stored.snapshot.index)
    , storedIndex(log.lastIndex())
    , lastLeaderContact(now)
{
    if (stored.snapshot.index > 0)
        this->effects.restoredSnapshot = stored.snapshot;
    this->resetPreVoteTimer();
}

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

std::string Replica::leaderHost() const
{
    if (this->currentRole == Role::Leader)
        return this->options.host;
    const auto* member = this->log.membership().find(this->leaderIdentity);
    return member ? member->host : std::string();
}

bool Replica::isEstablishedLeader() const
{
    return this->currentRole == Role::Leader && this->committedIndex >= this->firstIndexOfTerm;
}

Message Replica::messageTo(const Member& member, MessageBody body) const
{
    return Message { this->options.group, this->options.identity, this->options.host, member.identity, member.host, std::move(body) };
}

Message Replica::reply(const Message& request, MessageBody body) const
{
    return Message { this->options.group, this->options.identity, this->options.host, request.from, request.fromHost, std::move(body) };
}

void Replica::tick(Instant time)
{
    this->now = time;
    if (this->currentRole == Role::Leader) {
        this->checkQuorum();
        if (this->currentRole != Role::Leader)
            return;
        this->advanceJoins();
        this->removeLostVoter();
        if (this->now >= this->nextHeartbeat)
            this->sendHeartbeats();
        return;
    }
    if (this->now < this->electionDeadline)
        return;
    // A replica whose removal is not committed may be the only one with the latest entries, so it stands for election too (Ongaro,
    // section 4.2.2). Only one that could store its vote does.
    if (this->log.isVoterAtOrAfter(this->committedIndex, this->options.identity) && !this->isStorageBlocked()) {
        this->startPreVote();
        return;
    }
    // Commands and join requests are sent to the leader that is named, so a silent one must not be named any longer.
    this->leaderIdentity.clear();
    this->resetElectionTimer();
}

bool Replica::isStorageBlocked() const
{
    return !this->pendingTickets.empty() && this->now >= this->pendingTickets.front().issuedAt + this->options.electionTimeout;
}

bool Replica::receive(const Message& message, Instant time)
{
    this->now = time;
    if (message.to != this->options.identity || message.group != this->options.group)
        return true;
    if (!isWellFormed(message))
        return false;
    return std::visit([&](const auto& body) {
        if constexpr (requires { this->contradictsLog(body); }) {
            if (this->contradictsLog(body))
                return false;
        }
        this->handle(message, body);
        return true;
    },
        message.body);
}

// A leader of this term or a later one has all committed entries.
bool Replica::contradictsLog(const AppendRequest& request) const
{
    if (request.term < this->hardState.term)
        return false;
    return std::any_of(request.entries.begin(), request.entries.end(), [this](const auto& entry) {
        bool isCommitted = entry.index > this->log.base() && entry.index <= this->committedIndex;
        return isCommitted && this->log.termAt(entry.index) != entry.term;
    });
}

bool Replica::contradictsLog(const AppendResponse& response) const
{
    bool isForThisLeader = this->currentRole == Role::Leader && response.term == this->hardState.term;
    return isForThisLeader && response.accepted && response.matchIndex > this->log.lastIndex();
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
    if (this->isQuorum(this->votesReceived)) {
        this->startElection();
        return;
    }
    this->requestVotes(VoteStage::PreVote, this->hardState.term + 1);
}

void Replica::startElection()
{
    this->currentRole = Role::Candidate;
    this->hardState = HardState { this->hardState.term + 1, this->options.identity };
    this->effects.operations.emplace_back(this->hardState);
    this->resetElectionTimer();
    this->votesReceived = { this->options.identity };
    if (this->isQuorum(this->votesReceived)) {
        this->becomeLeader();
        return;
    }
    this->requestVotes(VoteStage::Vote, this->hardState.term);
}

void Replica::requestVotes(VoteStage stage, Term term)
{
    for (const auto& member : this->log.membership().members) {
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

bool Replica::isQuorum(const std::set<std::string>& identities) const
{
    const auto& membership = this->log.membership();
    auto votes = std::count_if(identities.begin(), identities.end(), [&](const auto& identity) { return membership.isVoter(identity); });
    return static_cast<size_t>(votes) >= membership.quorum() && membership.voterCount() > 0;
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
        if (this->isQuorum(this->votesReceived))
            this->startElection();
        return;
    }
    if (this->currentRole != Role::Candidate || response.term != this->hardState.term)
        return;
    this->votesReceived.insert(message.from);
    if (this->isQuorum(this->votesReceived))
        this->becomeLeader();
}

void Replica::becomeLeader()
{
    this->currentRole = Role::Leader;
    this->leaderIdentity = this->options.identity;
    this->progress.clear();
    this->pendingJoins.clear();
    for (const auto& member : this->log.membership().members)
        this->progressOf(member.identity);
    this->firstIndexOfTerm = this->log.lastIndex() + 1;
    this->appendAsLeader(EntryKind::NoOperation, {});
    // The initial membership is part of the initial stored state, not of the log. A replica that starts with an empty log learns
    // it only from an entry.
    if (this->log.membershipIndex() == 0)
        this->proposeMembership(Membership(this->log.membership()), MembershipChangeKind::Initial, {});
    this->nextHeartbeat = this->now;
}

Replica::Progress& Replica::progressOf(const std::string& identity)
{
    auto [position, isNew] = this->progress.try_emplace(identity);
    if (isNew) {
        position->second.nextIndex = this->log.lastIndex() + 1;
        position->second.lastContact = this->now;
    }
    return position->second;
}

void Replica::appendToLog(const Entry& entry)
{
    auto votersBefore = this->log.membership().voterCount();
    this->log.append(entry);
    if (this->log.membership().voterCount() < votersBefore)
        this->lastVoterRemoval = this->now;
}

void Replica::appendAsLeader(EntryKind kind, std::string payload)
{
    Entry entry { this->hardState.term, this->log.lastIndex() + 1, kind, std::move(payload) };
    this->appendToLog(entry);
    if (!this->effects.operations.empty()) {
        if (auto* append = std::get_if<AppendOperation>(&this->effects.operations.back())) {
            append->entries.push_back(std::move(entry));
            return;
        }
    }
    this->effects.operations.emplace_back(AppendOperation { { std::move(entry) } });
}

void Replica::stepDown()
{
    if (this->currentRole == Role::Leader)
        this->becomeFollower(this->hardState.term, {});
}

ErrorOr<Index> Replica::propose(std::string payload)
{
    if (this->currentRole != Role::Leader)
        return tl::unexpected(Error::notRun(Reason::NotLeader, "this replica is not the leader"));
    this->appendAsLeader(EntryKind::Command, std::move(payload));
    return this->log.lastIndex();
}

bool Replica::isReachable(const std::string& identity) const
{
    if (identity == this->options.identity)
        return true;
    auto position = this->progress.find(identity);
    return position != this->progress.end() && this->now < position->second.lastContact + this->options.electionTimeout;
}

void Replica::checkQuorum()
{
    const auto& membership = this->log.membership();
    // A leader that is no longer a voter steps down once the entry that removed it is committed.
    bool removed = !membership.isVoter(this->options.identity) && this->log.membershipIndex() <= this->committedIndex;
    if (!this->hasReachableQuorum(membership) || removed)
        this->becomeFollower(this->hardState.term, {});
}

void Replica::sendHeartbeats()
{
    this->nextHeartbeat = this->now + this->options.heartbeatInterval;
    for (const auto& member : this->log.membership().members) {
        if (member.identity == this->options.identity)
            continue;
        auto& progress = this->progressOf(member.identity);
        if (progress.snapshotSentAt && this->now >= *progress.snapshotSentAt + snapshotRetryElectionTimeouts * this->options.electionTimeout)
            progress.snapshotSentAt.reset();
        this->sendAppend(member, progress);
    }
}

void Replica::sendAppends()
{
    for (const auto& member : this->log.membership().members) {
        if (member.identity == this->options.identity)
            continue;
        auto& progress = this->progressOf(member.identity);
        if (progress.nextIndex <= this->log.lastIndex())
            this->sendAppend(member, progress);
    }
}

void Replica::sendAppend(const Member& member, Progress& progress)
{
    if (!this->log.hasTermAt(progress.nextIndex - 1)) {
        if (!progress.snapshotSentAt)
            this->sendSnapshot(member, progress);
        return;
    }
    AppendRequest request;
    request.term = this->hardState.term;
    request.previousIndex = progress.nextIndex - 1;
    request.previousTerm = this->log.termAt(request.previousIndex);
    request.commitIndex = this->committedIndex;
    request.entries = this->log.slice(progress.nextIndex, this->options.maximumAppendBytes);
    // Appends are pipelined: the next batch is sent without waiting for this response. A rejection moves nextIndex back.
    progress.nextIndex += request.entries.size();
    this->effects.immediateMessages.push_back(this->messageTo(member, std::move(request)));
}

void Replica::sendSnapshot(const Member& member, Progress& progress)
{
    progress.snapshotSentAt = this->now;
    this->effects.immediateMessages.push_back(this->messageTo(member, SnapshotRequest { this->hardState.term, this->latestSnapshot }));
}

void Replica::handle(const Message& message, const AppendRequest& request)
{
    if (request.term < this->hardState.term) {
        this->effects.messagesAfterStore.push_back(this->reply(message, AppendResponse { this->hardState.term, false, this->log.lastIndex() }));
        return;
    }
    if (request.term > this->hardState.term || this->currentRole != Role::Follower)
        this->becomeFollower(request.term, message.from);
    this->followLeader(message.from);

    auto reject = [&](Index retryIndex) {
        this->effects.messagesAfterStore.push_back(this->reply(message, AppendResponse { this->hardState.term, false, retryIndex }));
    };
    if (request.previousIndex > this->log.lastIndex())
        return reject(this->log.lastIndex());
    if (request.previousIndex >= this->log.base() && this->log.termAt(request.previousIndex) != request.previousTerm) {
        // The response lets the leader skip all entries of the conflicting term in one step.
        auto retryIndex = request.previousIndex;
        while (retryIndex > this->log.base() && retryIndex > this->committedIndex && this->log.termAt(retryIndex) == this->log.termAt(request.previousIndex))
            --retryIndex;
        return reject(retryIndex);
    }
    this->appendReceived(request.entries);
    auto lastMatchingIndex = request.previousIndex + request.entries.size();
    this->commitUpTo(std::min(request.commitIndex, lastMatchingIndex));
    this->effects.messagesAfterStore.push_back(this->reply(message, AppendResponse { this->hardState.term, true, lastMatchingIndex }));
}

void Replica::appendReceived(const std::vector<Entry>& entries)
{
    AppendOperation append;
    for (const auto& entry : entries) {
        if (entry.index <= this->log.base())
            continue;
        if (entry.index <= this->log.lastIndex()) {
            if (this->log.termAt(entry.index) == entry.term)
                continue;
            VERIFY(entry.index > this->committedIndex);
            this->log.truncate(entry.index);
            this->storedIndex = std::min(this->storedIndex, entry.index - 1);
            this->effects.operations.emplace_back(TruncateOperation { entry.index });
        }
        this->appendToLog(entry);
        append.entries.push_back(entry);
    }
    if (!append.entries.empty())
        this->effects.operations.emplace_back(std::move(append));
}

void Replica::handle(const Message& message, const AppendResponse& response)
{
    if (response.term > this->hardState.term) {
        this->becomeFollower(response.term, {});
        return;
    }
    if (this->currentRole != Role::Leader || response.term != this->hardState.term)
        return;
    auto& progress = this->progressOf(message.from);
    progress.lastContact = this->now;
    progress.snapshotSentAt.reset();
    if (!response.accepted) {
        progress.nextIndex = std::clamp(response.matchIndex + 1, progress.matchIndex + 1, this->log.lastIndex() + 1);
        return;
    }
    if (response.matchIndex > progress.matchIndex) {
        progress.matchIndex = response.matchIndex;
        this->advanceCommitIndex();
    }
    progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
}

void Replica::advanceCommitIndex()
{
    if (this->currentRole != Role::Leader)
        return;
    const auto& membership = this->log.membership();
    std::vector<Index> matches;
    for (const auto& member : membership.members) {
        if (member.role != MemberRole::Voter)
            continue;
        matches.push_back(member.identity == this->options.identity ? this->storedIndex : this->progressOf(member.identity).matchIndex);
    }
    if (matches.empty())
        return;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    auto quorumIndex = matches[membership.quorum() - 1];
    // A leader commits entries of earlier terms only together with an entry of its own term (Ongaro and Ousterhout,
    // section 5.4.2).
    if (quorumIndex > this->committedIndex && this->log.termAt(quorumIndex) == this->hardState.term)
        this->commitUpTo(quorumIndex);
}

void Replica::commitUpTo(Index index)
{
    this->committedIndex = std::max(this->committedIndex, std::min(index, this->log.lastIndex()));
}

void Replica::handle(const Message& message, const SnapshotRequest& request)
{
    if (request.term < this->hardState.term)
        return;
    if (request.term > this->hardState.term || this->currentRole != Role::Follower)
        this->becomeFollower(request.term, message.from);
    this->followLeader(message.from);
    const auto& snapshot = request.snapshot;
    if (this->log.hasTermAt(snapshot.index) && this->log.termAt(snapshot.index) == snapshot.term) {
        // The log already contains the last entry of the snapshot. The entries after it may have been acknowledged and counted
        // toward a quorum, so the log must not be reset.
        this->commitUpTo(snapshot.index);
    } else if (snapshot.index > this->committedIndex) {
        this->log.reset(snapshot);
        this->latestSnapshot = snapshot;
        this->committedIndex = snapshot.index;
        this->deliveredIndex = snapshot.index;
        this->storedIndex = snapshot.index;
        this->effects.restoredSnapshot = snapshot;
        this->effects.committedEntries.clear();
        this->effects.operations.emplace_back(SnapshotOperation { snapshot, this->hardState, {} });
    }
    this->effects.messagesAfterStore.push_back(this->reply(message, AppendResponse { this->hardState.term, true, snapshot.index }));
}

Replica::Effects Replica::takeEffects()
{
    if (this->currentRole == Role::Leader)
        this->sendAppends();
    for (; this->deliveredIndex < this->committedIndex; ++this->deliveredIndex)
        this->effects.committedEntries.push_back(this->log.at(this->deliveredIndex + 1));
    Effects result;
    std::swap(result, this->effects);
    result.ticket = this->nextTicket++;
    if (!result.operations.empty())
        this->pendingTickets.push_back(PendingTicket { result.ticket, this->log.lastIndex(), this->log.lastTerm(), this->now });
    return result;
}

void Replica::markStored(uint64_t ticket)
{
    while (!this->pendingTickets.empty() && this->pendingTickets.front().ticket <= ticket) {
        auto pending = this->pendingTickets.front();
        this->pendingTickets.pop_front();
        // Entries that have been truncated since the ticket was issued do not count as stored.
        if (this->log.hasTermAt(pending.lastIndex) && this->log.termAt(pending.lastIndex) == pending.lastTerm)
            this->storedIndex = std::max(this->storedIndex, pending.lastIndex);
    }
    this->advanceCommitIndex();
}

void Replica::compact(Index index, std::string state)
{
    VERIFY(index <= this->deliveredIndex);
    if (index <= this->latestSnapshot.index)
        return;
    this->latestSnapshot = Snapshot { index, this->log.termAt(index), this->log.membershipAt(index), std::move(state) };
    this->effects.operations.emplace_back(SnapshotOperation { this->latestSnapshot, this->hardState, this->log.suffix(index + 1) });
    if (index > this->log.base() + retainedEntries)
        this->log.discardUpTo(index - retainedEntries);
}

}
