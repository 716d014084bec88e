#pragma once

#include "Cluster/ClusterContext.h"
#include "Cluster/DocumentStore.h"
#include "Cluster/EvacuationStore.h"
#include <LibDurableState/DurableState.h>
#include <LibLedger/Departure.h>
#include <LibLedger/DiskStore.h>
#include <LibLedger/Node.h>
#include <LibLedger/ProposalQueue.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Sassafrasshift::Daemon {

/// Proposes commands to the ledger, and runs a replica of it on a member that has a data folder.
class DocumentLedger {
public:
    /// Called once with the document version in force after the command, or with the error.
    using Completion = std::function<void(ErrorOr<uint64_t>)>;

    DocumentLedger(ClusterContext&, DocumentStore&, EvacuationStore&);

    /// Opens the data folder, if one is configured, and starts the replica unless this member has to create the initial
    /// membership first. Fails if the data folder cannot be opened. If its disk is full, the folder is opened later.
    [[nodiscard]] ErrorOr<void> start();

    /// Proposes a command to the current leader. The command may be sent more than once, since commands are idempotent.
    void propose(const DurableState::Command&, Milliseconds timeout, Completion);
    /// Called once with the set after the change, or with the error.
    using EvacuationCompletion = std::function<void(ErrorOr<DurableState::EvacuatedDomains>)>;
    /// Starts or ends the evacuation of a failure domain. The command is proposed again with the current revision if the set has
    /// changed meanwhile.
    void evacuate(const std::string& failureDomain, bool isWithdrawn, Milliseconds timeout, EvacuationCompletion);

    void onMessage(const std::string& from, const Ledger::Message&);
    void onMessage(const std::string& from, const JoinRequest&);
    void onMessage(const std::string& from, const LeaveRequest&);
    void onMessage(const std::string& from, const LeaveResponse&);
    void onMessage(const std::string& from, const ProposeRequest&);
    void onMessage(const std::string& from, const ProposeResponse&);
    void tick(Instant now);

    /// Leaves the group of replicas, for a process that is about to end.
    void startLeaving() { this->departure.begin(); }
    /// Whether the process may end: it runs no replica, or the group no longer counts on the replica, or needs it as a voter when
    /// it returns.
    [[nodiscard]] bool mayEnd() const { return !this->node || this->departure.isFinished(); }

    /// The address of the leader that this member knows of; empty if there is none.
    [[nodiscard]] std::string leaderAddress(Instant now) const;

private:
    /// The address of the leader with the highest term in the records of live members; empty if there is none.
    [[nodiscard]] std::string gossipedLeader(Instant now) const;

    [[nodiscard]] ErrorOr<void> openStore();
    /// Opens the data folder if its disk was full before.
    void openStoreIfDue(Instant now);
    /// Starts the replica of an initial member once the initial membership is known or the ledger has been initialized.
    void initializeLedgerIfReady(Instant now);
    void startNode(const Ledger::StoredState* initialState);
    template <typename Result>
    void proposeFor(const DurableState::Command&, Milliseconds timeout, std::function<void(ErrorOr<Result>)>);
    void proposeEvacuation(DurableState::EvacuateCommand, Instant deadline, EvacuationCompletion);
    void publishEvacuations();
    void sendProposals(Instant now);
    void requestJoinIfDue(Instant now);
    void requestLeaveIfDue(Instant now);
    void updateOwnRecord();
    /// Updates the metrics of the membership.
    void updateGaugesIfDue(Instant now);
    void warnIfVotersAreMissing(bool missing, Instant now);
    static void logMembershipChange(const Ledger::MembershipChange&);
    void logStorageFull(bool full);
    /// Logs a storage failure and terminates the process.
    void exitOnStorageFailure(const Error&);

    ClusterContext& context;
    DocumentStore& documents;
    EvacuationStore& evacuations;
    DurableState::DurableState state;
    /// The opened store, until the node is started with it.
    std::unique_ptr<Ledger::DiskStore> pendingStore;
    std::string identity;
    std::unique_ptr<Ledger::Node> node;
    Ledger::ProposalQueue proposals;
    Ledger::Departure departure;
    Instant nextJoinRequest {};
    Instant nextGaugeUpdate {};
    /// Since when this replica has led a group with too few voters; nothing if it does not.
    std::optional<Instant> votersMissingSince;
    bool votersMissingLogged { false };
    /// When the data folder is opened next; nothing unless its disk was full.
    std::optional<Instant> nextOpenAttempt;
    bool initialized { false };
};

}
