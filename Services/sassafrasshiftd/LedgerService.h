#pragma once

#include "ConfigurationStore.h"
#include "Context.h"
#include <LibDurableState/DurableState.h>
#include <LibLedger/Node.h>
#include <LibLedger/ProposalQueue.h>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace Sassafrasshift::Daemon {

/// Reaches the ledger for the rest of the process, and runs this host's replica where it has one.
class LedgerService {
public:
    using Completion = std::function<void(ErrorOr<std::string>)>;

    /// What the ledger tells the part that runs jobs.
    struct JobObserver {
        std::function<void(const std::string& key, const JobQueryAnswer&)> answered;
    };

    LedgerService(Context&, ConfigurationStore&);

    /// Opens the data folder, where this host keeps a replica. A damaged one is reported and not used.
    [[nodiscard]] ErrorOr<void> start();
    void setJobObserver(JobObserver observer) { this->observer = std::move(observer); }

    /// Proposes a command to the leader, wherever it is. A command may be proposed more than once, so that each has to
    /// be harmless when repeated. The verdict of a failure says whether it may still be applied.
    void propose(const DurableState::Command&, Milliseconds timeout, Completion);

    /// Asks for a job's state. The answer goes to JobObserver::answered; a question is repeated until answered.
    void queryJob(const std::string& key, QueryMode);
    void cancelQuery(const std::string& key);

    void onMessage(const std::string& from, const Ledger::Message&);
    void onMessage(const std::string& from, const ProposeRequest&);
    void onMessage(const std::string& from, const ProposeResponse&);
    void onMessage(const std::string& from, const JoinRequest&);
    void onMessage(const std::string& from, const HeldJobs&);
    void onMessage(const std::string& from, const JobQuery&);
    void onMessage(const std::string& from, const JobQueryAnswer&);
    void tick();

    /// The host that leads, as far as is known here; empty where none is.
    [[nodiscard]] std::string leaderHost() const;
    [[nodiscard]] uint64_t term() const;
    [[nodiscard]] const std::string& replicaIdentity() const { return this->identity; }
    [[nodiscard]] bool isInitialized() const { return this->node != nullptr && this->initialized; }
    [[nodiscard]] const Ledger::Node* replicaNode() const { return this->node.get(); }
    [[nodiscard]] const DurableState::DurableState& state() const { return this->durableState; }
    [[nodiscard]] const std::string& damage() const { return this->damageDetail; }

private:
    struct PendingQuery {
        uint64_t number;
        QueryMode mode;
        Instant sentAt;
    };

    struct Watcher {
        std::string host;
        uint64_t number;

        friend auto operator<=>(const Watcher&, const Watcher&) = default;
    };

    void initializeIfDue();
    void startNode(const Ledger::StoredState* initialState);
    void sendProposals();
    void superviseJobs();
    void superviseJob(const DurableState::JobRecord&, Instant now);
    [[nodiscard]] std::string chooseOwner(const DurableState::JobRecord&) const;
    void onJobChanged(const DurableState::JobRecord&);
    [[nodiscard]] JobQueryAnswer makeQueryAnswer(const std::string& key) const;
    void sendQuery(const std::string& key, PendingQuery&);
    void endProcess(const Error&);

    Context& context;
    ConfigurationStore& configuration;
    JobObserver observer;
    DurableState::DurableState durableState;
    std::unique_ptr<Ledger::DiskStore> waitingStore;
    std::unique_ptr<Ledger::Node> node;
    std::string identity;
    bool initialized { false };
    std::string damageDetail;
    Ledger::ProposalQueue proposals;
    uint64_t nextNumber { 1 };
    std::map<std::string, PendingQuery> pendingQueries;
    std::map<std::string, std::set<Watcher>> watchers;
    /// When a job was last named by its owner, or first seen by this leader.
    std::map<std::string, Instant> lastReportedAt;
    Instant nextSupervision {};
    Instant nextJoin {};
};

}
