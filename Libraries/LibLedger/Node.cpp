#include <LibLedger/Node.h>

namespace Sassafrasshift::Ledger {

static constexpr size_t maximumPendingCommands = 65'536;

Node::Node(Options options, std::unique_ptr<DiskStore> store, const StoredState& stored, StateMachine& stateMachine, Environment environment, Random random)
    : options(options)
    , stateMachine(stateMachine)
    , environment(std::move(environment))
    , core(options.replica, stored, random, this->environment.clock->now())
    , applied(stored.snapshot.index)
    , lastSnapshot(stored.snapshot.index)
    , storage(std::move(store), this->makeReports())
{
    this->schedule();
}

StorageThread::Reports Node::makeReports()
{
    return StorageThread::Reports {
        [this](uint64_t ticket) { this->environment.post([this, ticket] { this->onStored(ticket); }); },
        [this](bool full) { this->environment.post([this, full] { this->storageFull = full; }); },
        [this](Error error) { this->environment.post([this, error] { this->environment.storageFailed(error); }); },
    };
}

void Node::tick()
{
    this->core.tick(this->environment.clock->now());
    this->carryOut();
}

void Node::receive(const Message& message)
{
    this->core.receive(message, this->environment.clock->now());
    this->schedule();
}

void Node::propose(std::string command, Completion completion)
{
    if (this->storageFull) {
        completion(tl::unexpected(Error::notRun(Reason::StorageFull, "the data folder has no room")));
        return;
    }
    if (this->pending.size() >= maximumPendingCommands) {
        completion(tl::unexpected(Error::notRun(Reason::Overloaded, "too many commands wait for the ledger")));
        return;
    }
    auto index = this->core.propose(std::move(command));
    if (!index) {
        completion(tl::unexpected(index.error()));
        return;
    }
    this->pending.push_back(Pending { *index, this->core.term(), std::move(completion) });
    this->schedule();
}

void Node::requestJoin(const std::string& host, const std::string& identity)
{
    this->core.requestJoin(host, identity);
}

ErrorOr<Index> Node::proposeRemoval(std::string_view identity)
{
    auto result = this->core.proposeRemoval(identity);
    this->schedule();
    return result;
}

// Whatever comes in during one turn of the loop is carried out together, so that it shares a sync and messages.
void Node::schedule()
{
    if (this->scheduled)
        return;
    this->scheduled = true;
    this->environment.post([this] {
        this->scheduled = false;
        this->carryOut();
    });
}

void Node::carryOut()
{
    auto effects = this->core.takeEffects();
    if (!effects.operations.empty()) {
        this->storage.submit(effects.ticket, std::move(effects.operations));
        this->submittedTicket = effects.ticket;
    }
    for (const auto& message : effects.immediateMessages)
        this->environment.send(message);
    if (effects.restored) {
        this->stateMachine.restore(effects.restored->state);
        this->applied = effects.restored->index;
        this->lastSnapshot = effects.restored->index;
    }
    for (const auto& entry : effects.committed)
        this->apply(entry);
    if (this->storedTicket >= this->submittedTicket) {
        this->core.stored(effects.ticket);
        for (const auto& message : effects.messagesAfterStore)
            this->environment.send(message);
    } else if (!effects.messagesAfterStore.empty()) {
        this->held.push_back(HeldMessages { this->submittedTicket, std::move(effects.messagesAfterStore) });
    }
    if (this->core.role() != Role::Leader)
        this->failPending(Error::mayHaveRun(Reason::NotLeader, "the leadership was lost before the command was known to be committed"));
    this->compactIfDue();
}

void Node::apply(const Entry& entry)
{
    std::string result;
    if (entry.kind == EntryKind::Command)
        result = this->stateMachine.apply(entry.index, entry.payload);
    this->applied = entry.index;
    while (!this->pending.empty() && this->pending.front().index <= entry.index) {
        auto completed = std::move(this->pending.front());
        this->pending.pop_front();
        if (completed.index == entry.index && completed.term == entry.term)
            completed.completion(result);
        else
            completed.completion(tl::unexpected(Error::notRun(Reason::NotLeader, "another leader's entry took the place of the command")));
    }
}

void Node::onStored(uint64_t ticket)
{
    this->storedTicket = ticket;
    this->core.stored(ticket);
    while (!this->held.empty() && this->held.front().ticket <= ticket) {
        for (const auto& message : this->held.front().messages)
            this->environment.send(message);
        this->held.pop_front();
    }
    this->carryOut();
}

void Node::failPending(const Error& error)
{
    auto failed = std::move(this->pending);
    this->pending.clear();
    for (auto& entry : failed)
        entry.completion(tl::unexpected(error));
}

void Node::compactIfDue()
{
    if (this->applied < this->lastSnapshot + this->options.snapshotInterval)
        return;
    this->lastSnapshot = this->applied;
    this->core.compact(this->applied, this->stateMachine.save());
    this->schedule();
}

}
