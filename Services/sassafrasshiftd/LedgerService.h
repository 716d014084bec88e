#pragma once

#include "ConfigurationStore.h"
#include "Context.h"
#include <LibDurableState/DurableState.h>
#include <LibLedger/DiskStore.h>
#include <LibLedger/Node.h>
#include <LibLedger/ProposalQueue.h>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace Sassafrasshift::Daemon {

/// Gives the rest of the process access to the ledger, and runs this host's replica if it has one.
class LedgerService {
public:
    /// Called once with the encoded result of a command, or with the error.
    using Completion = std::function<void(ErrorOr<std::string>)>;

    /// Informs the component that runs jobs about the responses to its queries.
    struct JobObserver {
        std::function<void(const std::string& key, const JobQueryResponse&)> queryCompleted;
    };

    LedgerService(Context&, ConfigurationStore&);

    /// Opens the data folder if the settings give this host a replica, and starts the replica if it was initialized before. Damaged
    /// data is logged and not used; the host then runs without a replica. Fails if the data folder cannot be opened.
    [[nodiscard]] ErrorOr<void> start();
    void setJobObserver(JobObserver observer) { this->observer = std::move(observer); }

    /// Proposes a command to the current leader. A command may be proposed more than once, so every command must be idempotent.
    /// On failure, the verdict tells whether the command may still be applied.
    void propose(const DurableState::Command&, Milliseconds timeout, Completion);

    /// Queries the state of a job. The query is resent until a response arrives, which is passed to JobObserver::queryCompleted.
    void queryJob(const std::string& key, QueryMode);
    void cancelQuery(const std::string& key);

    void onMessage(const std::string& from, const Ledger::Message&);
    void onMessage(const std::string& from, const ProposeRequest&);
    void onMessage(const std::string& from, const ProposeResponse&);
    void onMessage(const std::string& from, const JoinRequest&);
    void onMessage(const std::string& from, const HeldJobs&);
    void onMessage(const std::string& from, const JobQuery&);
    void onMessage(const std::string& from, const JobQueryResponse&);
    void tick();

    /// Returns the host that leads the ledger according to the local replica or else the peers' heartbeats, or an empty string if no
    /// leader is known.
    [[nodiscard]] std::string leaderHost() const;
    /// Returns the term of the local replica, or 0 if there is none.
    [[nodiscard]] uint64_t term() const;
    [[nodiscard]] const std::string& replicaIdentity() const { return this->identity; }
    [[nodiscard]] bool isInitialized() const { return this->node != nullptr && this->initialized; }
    [[nodiscard]] const Ledger::Node* replicaNode() const { return this->node.get(); }
    [[nodiscard]] const DurableState::DurableState& state() const { return this->durableState; }
    /// Describes the damage that keeps the replica from running; empty if there is none.
    [[nodiscard]] const std::string& damage() const { return this->damageDetail; }

private:
    /// A query of this host that has got no response yet.
    struct PendingQuery {
        uint64_t number;
        QueryMode mode;
        Instant sentAt;
    };

    /// A host whose query gets its response from the leader when the job has finished.
    struct Watcher {
        std::string host;
        uint64_t number;

        friend auto operator<=>(const Watcher&, const Watcher&) = default;
    };

    /// Starts the replica of a new data folder once the initial membership is known or another replica has been initialized.
    void initializeLedgerIfReady();
    void startNode(const Ledger::StoredState* initialState);
    void sendProposals();
    /// On the leader: moves the open jobs of lost owners to other hosts, and reminds owners that do not report their jobs.
    void superviseJobs();
    void superviseJob(const DurableState::JobRecord&, Instant now);
    [[nodiscard]] std::string chooseOwner(const DurableState::JobRecord&) const;
    void onJobChanged(const DurableState::JobRecord&);
    [[nodiscard]] JobQueryResponse makeQueryResponse(const std::string& key) const;
    void sendQuery(const std::string& key, PendingQuery&);
    /// Logs a storage failure and terminates the process.
    void exitOnStorageFailure(const Error&);

    Context& context;
    ConfigurationStore& configuration;
    JobObserver observer;
    DurableState::DurableState durableState;
    /// The opened store, until the node is started with it.
    std::unique_ptr<Ledger::DiskStore> pendingStore;
    std::unique_ptr<Ledger::Node> node;
    std::string identity;
    bool initialized { false };
    std::string damageDetail;
    Ledger::ProposalQueue proposals;
    uint64_t nextNumber { 1 };
    /// By job key.
    std::map<std::string, PendingQuery> pendingQueries;
    /// By job key.
    std::map<std::string, std::set<Watcher>> watchers;
    /// When the owner of a job last reported it, or was last sent it, or when this leader first saw the job; by job key.
    std::map<std::string, Instant> lastReportedAt;
    Instant nextSupervision {};
    Instant nextJoinRequest {};
};

}
