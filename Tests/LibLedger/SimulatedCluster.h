#pragma once

#include <LibBase/Random.h>
#include <LibLedger/DiskStore.h>
#include <LibLedger/Replica.h>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Sassafrasshift::Ledger {

/// A protocol bug that is injected deliberately, to show that the checks detect it.
enum class InjectedBug {
    None,
    /// Replies are sent before the state that they acknowledge is durable.
    RepliesBeforeStoring,
    /// A replica that lost its disk restarts under its old identity.
    ReusedIdentityAfterDiskLoss,
};

/// A deterministic simulation of a replica group. The simulated network delays, drops, duplicates and reorders messages and
/// is partitioned; the simulated disks lose unsynced data in a crash. A seed determines the complete schedule. The checks run
/// after every step, and the first violation is recorded.
class SimulatedCluster {
public:
    SimulatedCluster(uint64_t seed, size_t replicas, InjectedBug);

    /// Takes one random step.
    void step();
    /// Ends all faults, lets time pass, and checks that a new command is applied on every host.
    void recoverAndVerify();

    [[nodiscard]] const std::optional<std::string>& violation() const { return this->firstViolation; }
    [[nodiscard]] size_t committedCount() const { return this->committedEntriesByIndex.size(); }
    [[nodiscard]] size_t lostDiskCount() const { return this->lostDisks; }
    [[nodiscard]] size_t leaderCount() const { return this->leaders.size(); }

private:
    struct PendingStore {
        uint64_t ticket;
        std::vector<StoreOperation> operations;
        std::vector<Message> messages;
    };

    struct Host {
        std::string name;
        std::string identity;
        StoredState disk;
        std::unique_ptr<Replica> replica;
        std::deque<PendingStore> pendingStores;
        /// The index of the last applied entry, and a hash of all entries up to it.
        Index applied { 0 };
        uint64_t digest { 0 };
    };

    void start(Host&);
    void crash(Host&);
    void loseDisk(Host&);
    void processEffects(Host&);
    void completeStore(Host&);
    void apply(Host&, const Entry&);
    void sendMessage(const Message&);
    void deliverOne();
    void tickAll();
    void isolate(const Host&);
    void requestMissingJoins();
    void injectFault(Host&, Host& other);
    void checkLeaders();
    void fail(std::string);
    [[nodiscard]] uint64_t randomBelow(uint64_t bound) { return this->random() % bound; }
    [[nodiscard]] bool isLinkCut(const std::string& from, const std::string& to) const;

    Random random;
    InjectedBug injectedBug;
    ManualClock clock;
    std::vector<Host> hosts;
    std::vector<Message> network;
    std::set<std::pair<std::string, std::string>> cutLinks;
    /// The entry that was committed at each index, by any replica at any time.
    std::map<Index, Entry> committedEntriesByIndex;
    /// The digest after each index, which must be the same on all hosts.
    std::map<Index, uint64_t> digests;
    /// The identity of the leader of each term.
    std::map<Term, std::string> leaders;
    std::optional<std::string> firstViolation;
    uint64_t nextCommand { 1 };
    size_t lostDisks { 0 };
};

}
