#pragma once

#include <LibLedger/Replica.h>
#include <LibLedger/StateMachine.h>
#include <LibLedger/Storage.h>
#include <deque>
#include <functional>
#include <memory>

namespace Sassafrasshift::Ledger {

/// Runs one replica: carries out the effects of the consensus core, that is, stores its log, sends its messages, and applies
/// committed entries to the state machine.
class Node {
public:
    /// The interface to the rest of the process. The node calls post() also from threads of the storage, and all other
    /// functions only from the thread that runs the event loop.
    struct Environment {
        const Clock* clock { nullptr };
        std::function<void(const Message&)> send;
        std::function<void(std::function<void()>)> post;
        /// Called when the disk has failed. The process must exit, because the content of the disk is unknown.
        std::function<void(const Error&)> storageFailed;
        /// Called with true when the disk is full, and with false when there is room again. May be empty.
        std::function<void(bool full)> storageFullChanged {};
        /// Called with a message that no correct replica sends; it has no effect. May be empty.
        std::function<void(const Message&)> messageRefused {};
        /// Called when this replica, as the leader, has proposed a membership change. May be empty.
        std::function<void(const MembershipChange&)> membershipChanged {};
    };

    struct Options {
        Replica::Options replica;
        /// The number of applied entries after which a new snapshot is taken.
        Index snapshotInterval { 8192 };
        /// The size in bytes of the entries that may wait for the disk. Beyond it, a follower ignores further entries, which
        /// the leader sends again later, and a leader gives up its leadership if the other voters can elect one.
        size_t maximumUnstoredBytes { 16 * 1024 * 1024 };
    };

    /// Called once with the encoded result of the command. The verdict of an error says whether the command may still be
    /// applied.
    using Completion = std::function<void(ErrorOr<std::string>)>;

    /// Starts the replica from a stored state, normally the one that was recovered from the storage.
    Node(Options, std::unique_ptr<Storage>, const StoredState&, StateMachine&, Environment, Random);

    void tick();
    void receive(const Message&);
    /// Proposes a command. Fails with Reason::NotLeader, Reason::StorageFull or Reason::Overloaded.
    void propose(std::string command, Completion);
    void requestJoin(const std::string& host, const std::string& identity);
    [[nodiscard]] ErrorOr<LeaveOutcome> requestLeave(std::string_view identity);

    [[nodiscard]] const Replica& replica() const { return this->core; }
    [[nodiscard]] Index appliedIndex() const { return this->lastAppliedIndex; }
    [[nodiscard]] bool isStorageFull() const { return this->storageFull; }
    /// The size in bytes of the entries that wait for the disk.
    [[nodiscard]] size_t unstoredBytes() const { return this->unstoredByteCount; }
    /// The number of messages that wait for the disk, exposed for tests.
    [[nodiscard]] size_t deferredMessageCount() const { return this->deferredMessages.size(); }
    [[nodiscard]] uint64_t batchesStored() const { return this->storage->batchesStored(); }

private:
    struct PendingProposal {
        Index index;
        Term term;
        Completion completion;
    };

    // A message that may be sent once the operations up to a ticket are durable.
    struct DeferredMessage {
        uint64_t ticket;
        Message message;
    };

    // The size of the entries among the operations of a ticket.
    struct UnstoredBytes {
        uint64_t ticket;
        size_t bytes;
    };

    [[nodiscard]] bool canRestore(const Message&) const;
    void scheduleProcessing();
    /// Carries out the effects that the replica has accumulated.
    void processEffects();
    void submit(uint64_t ticket, std::vector<StoreOperation>);
    void deferMessages(std::vector<Message>);
    void apply(const Entry&);
    void onStored(uint64_t ticket);
    void onStorageFullChanged(bool full);
    void failPendingProposals(const Error&);
    void takeSnapshotIfDue();
    [[nodiscard]] Storage::Callbacks makeStorageCallbacks();

    Options options;
    StateMachine& stateMachine;
    Environment environment;
    Replica core;
    std::deque<PendingProposal> pendingProposals;
    std::deque<DeferredMessage> deferredMessages;
    std::deque<UnstoredBytes> unstoredBytesByTicket;
    size_t unstoredByteCount { 0 };
    /// The latest ticket whose operations are durable, and the latest one whose operations were submitted for storing.
    uint64_t storedTicket { 0 };
    uint64_t submittedTicket { 0 };
    Index lastAppliedIndex { 0 };
    Index lastSnapshotIndex { 0 };
    bool processingScheduled { false };
    bool storageFull { false };
    // Declared last, so that a thread of the storage is joined before the members that its callbacks use are destroyed.
    std::unique_ptr<Storage> storage;
};

}
