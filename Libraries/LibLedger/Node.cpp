#include <LibLedger/Node.h>

namespace Sassafrasshift::Ledger {

static constexpr size_t maximumPendingProposals = 65'536;

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
        [this](bool full) { this->environment.post([this, full] { this->storageFull = full; }); },
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
    this->core.receive(message, this->environment.clock->now());
    this->scheduleProcessing();
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

ErrorOr<Index> Node::proposeRemoval(std::string_view identity)
{
    auto result = this->core.proposeRemoval(identity);
    this->scheduleProcessing();
    return result;
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
    if (!effects.operations.empty()) {
        this->storage->submit(effects.ticket, std::move(effects.operations));
        this->submittedTicket = effects.ticket;
    }
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
    } else if (!effects.messagesAfterStore.empty()) {
        this->deferredMessages.push_back(DeferredMessages { this->submittedTicket, std::move(effects.messagesAfterStore) });
    }
    if (this->core.role() != Role::Leader)
        this->failPendingProposals(Error::mayHaveRun(Reason::NotLeader, "leadership was lost before the command was known to be committed"));
    this->takeSnapshotIfDue();
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
    while (!this->deferredMessages.empty() && this->deferredMessages.front().ticket <= ticket) {
        for (const auto& message : this->deferredMessages.front().messages)
            this->environment.send(message);
        this->deferredMessages.pop_front();
    }
    this->processEffects();
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
