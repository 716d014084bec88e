#include <LibBase/Verify.h>
#include <LibLedger/MessageValidation.h>
#include <LibLedger/Replica.h>
#include <algorithm>

namespace Sassafrasshift::Ledger {

// The number of entries kept in memory before the index of a snapshot, so that a slightly lagging follower can catch up from
// the log instead of receiving the snapshot.
static constexpr Index retainedEntries = 1024;

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
        this->settleMembership();
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
    if (message.group != this->options.group)
        return true;
    if (!isWellFormed(message))
        return false;
    if (message.to != this->options.identity) {
        this->answerForFormerIdentity(message);
        return true;
    }
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

bool Replica::isKnownReachable(const std::string& identity) const
{
    if (identity == this->options.identity)
        return true;
    auto position = this->progress.find(identity);
    return position != this->progress.end() && position->second.hasAnswered && this->isReachable(identity);
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
