#pragma once

#include "Cluster/ClusterContext.h"
#include "Cluster/RouteKeeper.h"
#include <LibDurableState/DurableState.h>
#include <LibLedger/Node.h>
#include <LibLedger/ProposalQueue.h>
#include <functional>
#include <map>
#include <memory>

namespace Sassafrasshift::Daemon {

/// Reaches the ledger for a member of a cluster, and runs its replica where it has a disk.
class DocumentLedger {
public:
    /// Called once with the version in force after the command.
    using Completion = std::function<void(ErrorOr<uint64_t>)>;

    DocumentLedger(ClusterContext&, RouteKeeper&);

    /// Opens the data folder, where there is one.
    [[nodiscard]] ErrorOr<void> start();

    /// Proposes a command to the leader, wherever it is. Commands are harmless when repeated.
    void propose(const DurableState::Command&, Milliseconds timeout, Completion);

    void onMessage(const std::string& from, const Ledger::Message&);
    void onMessage(const std::string& from, const JoinRequest&);
    void onMessage(const std::string& from, const ProposeRequest&);
    void onMessage(const std::string& from, const ProposeResponse&);
    void tick(Instant now);

    /// The address of the leader as far as is known; empty for none.
    [[nodiscard]] std::string leaderAddress(Instant now) const;

private:
    /// The leader of the latest term of which another member tells.
    [[nodiscard]] std::string gossipedLeader(Instant now) const;

    void initializeLedgerIfReady(Instant now);
    void startNode(const Ledger::StoredState* initialState);
    void sendProposals(Instant now);
    void requestJoinIfDue(Instant now);
    void updateOwnRecord();
    void exitOnStorageFailure(const Error&);

    ClusterContext& context;
    RouteKeeper& routes;
    DurableState::DurableState state;
    std::unique_ptr<Ledger::DiskStore> pendingStore;
    std::string identity;
    std::unique_ptr<Ledger::Node> node;
    Ledger::ProposalQueue proposals;
    Instant nextJoinRequest {};
    bool initialized { false };
};

}
