#include <LibLedger/Node.h>

namespace Sassafrasshift::Ledger {

static constexpr size_t maximumPendingProposals = 65'536;
// Messages beyond this are dropped while the disk takes nothing; the other replicas repeat what they ask.
static constexpr size_t maximumDeferredMessages = 1024;

static size_t entryBytes(const std::vector<StoreOperation>& operations)
{
    struct Visitor {
        size_t operator()(const HardState&) const { return 0; }
        size_t operator()(const TruncateOperation&) const { return 0; }
        size_t operator()(const AppendOperation& append) const { return sumOf(append.entries); }
        size_t operator()(const SnapshotOperation& snapshot) const { return snapshot.snapshot.state.size() + sumOf(snapshot.retained); }

        static size_t sumOf(const std::vector<Entry>& entries)
        {
            size_t bytes = 0;
            for (const auto& entry : entries)
                bytes += entry.payload.size();
            return bytes;
        }
    };
    size_t bytes = 0;
    for (const auto& operation : operations)
        bytes += std::visit(Visitor {}, operation);
    return bytes;
}

static bool addsToLog(const Message& message)
{
    const auto* append = std::get_if<AppendRequest>(&message.body);
    return (append && !append->entries.empty()) || std::holds_alternative<SnapshotRequest>(message.body);
}

Node::Node(Options options, std::unique_ptr<Storage> storage, const StoredState& stored, StateMachine& stateMachine, Environment environment, Random random)
    : options(options)
    , stateMachine(stateMachine)
    , environment(std::move(environment))
    , core(options.replica, stored, random, this->environment.clock->now())
    , lastAppliedIndex(stored.snapshot.index)
    , lastSnapshotIndex(stored.snapshot.index)
    , storage(std::move(storage))
{
    this->storage->start(this->makeStorageCallbacks());
    this->scheduleProcessing();
}

Storage::Callbacks Node::makeStorageCallbacks()
{
    return Storage::Callbacks {
        [this](uint64_t ticket) { this->environment.post([this, ticket] { this->onStored(ticket); }); },
        [this](bool full) { this->environment.post([this, full] { this->onStorageFullChanged(full); }); },
        [this](Error error) { this->environment.post([this, error] { this->environment.storageFailed(error); }); },
    };
}

void Node::tick()
{
    this->core.tick(this->environment.clock->now());
    this->processEffects();
}

void Node::receive(const Message& message)
{
    if (this->unstoredByteCount >= this->options.maximumUnstoredBytes && addsToLog(message))
        return;
    bool isAccepted = this->canRestore(message) && this->core.receive(message, this->environment.clock->now());
    if (!isAccepted && this->environment.messageRefused)
        this->environment.messageRefused(message);
    this->scheduleProcessing();
}

// A snapshot replaces the log before its state is restored.
bool Node::canRestore(const Message& message) const
{
    const auto* request = std::get_if<SnapshotRequest>(&message.body);
    return !request || this->stateMachine.canRestore(request->snapshot.state);
}

void Node::propose(std::string command, Completion completion)
{
    // While the disk of the leader is full, the disks of the other voters commit the command.
    if (this->storageFull && this->core.role() == Role::Leader && !this->core.hasReachableQuorumOfOthers()) {
        completion(tl::unexpected(Error::notRun(Reason::StorageFull, "no space left in the data folder")));
        return;
    }
    if (this->pendingProposals.size() >= maximumPendingProposals) {
        completion(tl::unexpected(Error::notRun(Reason::Overloaded, "too many commands are waiting for the ledger")));
        return;
    }
    auto index = this->core.propose(std::move(command));
    if (!index) {
        completion(tl::unexpected(index.error()));
        return;
    }
    this->pendingProposals.push_back(PendingProposal { *index, this->core.term(), std::move(completion) });
    this->scheduleProcessing();
}

void Node::requestJoin(const std::string& host, const std::string& identity)
{
    this->core.requestJoin(host, identity);
}

ErrorOr<LeaveOutcome> Node::requestLeave(std::string_view identity)
{
    auto outcome = this->core.requestLeave(identity);
    this->scheduleProcessing();
    return outcome;
}

// Effects are processed once per event loop iteration, so that all messages and commands that arrive during one iteration
// share one sync and the same outgoing messages.
void Node::scheduleProcessing()
{
    if (this->processingScheduled)
        return;
    this->processingScheduled = true;
    this->environment.post([this] {
        this->processingScheduled = false;
        this->processEffects();
    });
}

void Node::processEffects()
{
    auto effects = this->core.takeEffects();
    if (this->environment.membershipChanged) {
        for (const auto& change : effects.membershipChanges)
            this->environment.membershipChanged(change);
    }
    if (!effects.operations.empty())
        this->submit(effects.ticket, std::move(effects.operations));
    for (const auto& message : effects.immediateMessages)
        this->environment.send(message);
    if (effects.restoredSnapshot) {
        this->stateMachine.restore(effects.restoredSnapshot->state);
        this->lastAppliedIndex = effects.restoredSnapshot->index;
        this->lastSnapshotIndex = effects.restoredSnapshot->index;
    }
    for (const auto& entry : effects.committedEntries)
        this->apply(entry);
    if (this->storedTicket >= this->submittedTicket) {
        this->core.markStored(effects.ticket);
        for (const auto& message : effects.messagesAfterStore)
            this->environment.send(message);
    } else {
        this->deferMessages(std::move(effects.messagesAfterStore));
    }
    if (this->unstoredByteCount >= this->options.maximumUnstoredBytes && this->core.hasReachableQuorumOfOthers())
        this->core.stepDown();
    if (this->core.role() != Role::Leader)
        this->failPendingProposals(Error::mayHaveRun(Reason::NotLeader, "leadership was lost before the command was known to be committed"));
    this->takeSnapshotIfDue();
}

void Node::submit(uint64_t ticket, std::vector<StoreOperation> operations)
{
    auto bytes = entryBytes(operations);
    this->unstoredBytesByTicket.push_back(UnstoredBytes { ticket, bytes });
    this->unstoredByteCount += bytes;
    this->submittedTicket = ticket;
    this->storage->submit(ticket, std::move(operations));
}

void Node::deferMessages(std::vector<Message> messages)
{
    for (auto& message : messages) {
        if (this->deferredMessages.size() < maximumDeferredMessages)
            this->deferredMessages.push_back(DeferredMessage { this->submittedTicket, std::move(message) });
    }
}

void Node::apply(const Entry& entry)
{
    std::string result;
    if (entry.kind == EntryKind::Command)
        result = this->stateMachine.apply(entry.index, entry.payload);
    this->lastAppliedIndex = entry.index;
    while (!this->pendingProposals.empty() && this->pendingProposals.front().index <= entry.index) {
        auto completed = std::move(this->pendingProposals.front());
        this->pendingProposals.pop_front();
        if (completed.index == entry.index && completed.term == entry.term)
            completed.completion(result);
        else
            completed.completion(tl::unexpected(Error::notRun(Reason::NotLeader, "an entry of another leader replaced the command")));
    }
}

void Node::onStored(uint64_t ticket)
{
    this->storedTicket = ticket;
    this->core.markStored(ticket);
    while (!this->unstoredBytesByTicket.empty() && this->unstoredBytesByTicket.front().ticket <= ticket) {
        this->unstoredByteCount -= this->unstoredBytesByTicket.front().bytes;
        this->unstoredBytesByTicket.pop_front();
    }
    while (!this->deferredMessages.empty() && this->deferredMessages.front().ticket <= ticket) {
        this->environment.send(this->deferredMessages.front().message);
        this->deferredMessages.pop_front();
    }
    this->processEffects();
}

void Node::onStorageFullChanged(bool full)
{
    this->storageFull = full;
    if (this->environment.storageFullChanged)
        this->environment.storageFullChanged(full);
}

void Node::failPendingProposals(const Error& error)
{
    auto failed = std::move(this->pendingProposals);
    this->pendingProposals.clear();
    for (auto& proposal : failed)
        proposal.completion(tl::unexpected(error));
}

void Node::takeSnapshotIfDue()
{
    if (this->lastAppliedIndex < this->lastSnapshotIndex + this->options.snapshotInterval)
        return;
    this->lastSnapshotIndex = this->lastAppliedIndex;
    this->core.compact(this->lastAppliedIndex, this->stateMachine.save());
    this->scheduleProcessing();
}

}
