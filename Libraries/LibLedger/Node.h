#pragma once

#include <LibLedger/Replica.h>
#include <LibLedger/StateMachine.h>
#include <LibLedger/StorageThread.h>
#include <deque>
#include <functional>
#include <memory>

namespace Sassafrasshift::Ledger {

/// Runs one replica: stores and sends what the core asks for, and applies what is committed to a state machine.
class Node {
public:
    /// How the node reaches the rest of its process. Only post() may be called from another thread.
    struct Environment {
        const Clock* clock { nullptr };
        std::function<void(const Message&)> send;
        std::function<void(std::function<void()>)> post;
        /// The disk has failed; the process has to end, since what it holds is unknown.
        std::function<void(const Error&)> storageFailed;
    };

    struct Options {
        Replica::Options replica;
        /// Entries after which the log is replaced by a snapshot.
        Index snapshotInterval { 8192 };
    };

    /// Called once with the command's result. A failure's verdict says whether the command may still be applied.
    using Completion = std::function<void(ErrorOr<std::string>)>;

    /// Starts from what was stored, which is in general what the store recovered.
    Node(Options, std::unique_ptr<DiskStore>, const StoredState&, StateMachine&, Environment, Random);

    void tick();
    void receive(const Message&);
    void propose(std::string command, Completion);
    void requestJoin(const std::string& host, const std::string& identity);
    [[nodiscard]] ErrorOr<Index> proposeRemoval(std::string_view identity);

    [[nodiscard]] const Replica& replica() const { return this->core; }
    [[nodiscard]] Index appliedIndex() const { return this->lastAppliedIndex; }
    [[nodiscard]] bool isStorageFull() const { return this->storageFull; }
    [[nodiscard]] uint64_t batchesStored() const { return this->storage.batchesStored(); }

private:
    struct PendingProposal {
        Index index;
        Term term;
        Completion completion;
    };

    struct DeferredMessages {
        uint64_t ticket;
        std::vector<Message> messages;
    };

    void scheduleProcessing();
    void processEffects();
    void apply(const Entry&);
    void onStored(uint64_t ticket);
    void failPendingProposals(const Error&);
    void takeSnapshotIfDue();
    [[nodiscard]] StorageThread::Callbacks makeStorageCallbacks();

    Options options;
    StateMachine& stateMachine;
    Environment environment;
    Replica core;
    std::deque<PendingProposal> pendingProposals;
    std::deque<DeferredMessages> deferredMessages;
    uint64_t storedTicket { 0 };
    uint64_t submittedTicket { 0 };
    Index lastAppliedIndex { 0 };
    Index lastSnapshotIndex { 0 };
    bool processingScheduled { false };
    bool storageFull { false };
    // Declared last, so that its thread ends before what it reports to.
    StorageThread storage;
};

}
