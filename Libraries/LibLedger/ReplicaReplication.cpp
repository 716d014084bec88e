#include <LibBase/Verify.h>
#include <LibLedger/Replica.h>
#include <LibLedger/VoterQuorum.h>
#include <algorithm>

// Replication of the log from the leader, and the commit index.
namespace Sassafrasshift::Ledger {

// An unacknowledged snapshot is sent again after this many election timeouts.
static constexpr int snapshotRetryElectionTimeouts = 4;

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

void Replica::sendHeartbeats()
{
    this->nextHeartbeat = this->now + this->options.heartbeatInterval;
    for (const auto& member : this->log.membership().participants()) {
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
    for (const auto& member : this->log.membership().participants()) {
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
    progress.hasAnswered = true;
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
    auto matchOf = [this](const std::string& identity) { return identity == this->options.identity ? this->storedIndex : this->progressOf(identity).matchIndex; };
    const auto& membership = this->log.membership();
    std::set<Index, std::greater<>> matches;
    for (const auto& member : membership.participants())
        matches.insert(matchOf(member.identity));
    auto isStoredByQuorum = [&](Index index) {
        return isQuorum(membership, this->retiredIdentitiesInForce(), [&](const auto& identity) { return matchOf(identity) >= index; });
    };
    auto highest = std::find_if(matches.begin(), matches.end(), isStoredByQuorum);
    if (highest == matches.end())
        return;
    auto quorumIndex = *highest;
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

}
