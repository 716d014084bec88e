#pragma once

#include <LibBase/Random.h>
#include <LibLedger/Departure.h>
#include <LibLedger/DiskStore.h>
#include <LibLedger/Node.h>
#include <LibLedger/ProposalQueue.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Sassafrasshift::Ledger {

/// Runs functions at points in time of a manual clock, in the order of their times.
class SimulatedLoop {
public:
    [[nodiscard]] const ManualClock& clock() const { return this->manualClock; }
    [[nodiscard]] Instant now() const { return this->manualClock.now(); }
    void after(Milliseconds, std::function<void()>);
    void runFor(Milliseconds);

private:
    ManualClock manualClock;
    std::multimap<Instant, std::function<void()>> functions;
};

/// What is on the disk of a simulated host, and its present faults.
struct SimulatedDisk {
    StoredState content;
    /// Every write is refused.
    bool isFull { false };
    /// Every write waits.
    bool isStalled { false };
};

/// A state machine that keeps its commands in the order in which they were applied.
class CommandList final : public StateMachine {
public:
    std::string apply(Index, const std::string& command) override;
    [[nodiscard]] std::string save() const override;
    [[nodiscard]] bool canRestore(const std::string& state) const override;
    void restore(const std::string& state) override;

    [[nodiscard]] const std::set<std::string>& commands() const { return this->applied; }

private:
    std::set<std::string> applied;
};

/// What became of a proposed command.
struct Outcome {
    std::string command;
    Instant proposedAt {};
    std::optional<Instant> completedAt;
    /// Empty if the command was accepted.
    std::optional<Reason> refusal;

    [[nodiscard]] bool isAccepted() const { return this->completedAt && !this->refusal; }
};

/// Hosts that each run a node and a proposal queue, on a simulated network and simulated disks. Each host proposes to the leader
/// that it knows of, and asks to join when it is not a voter, as the processes do.
class SimulatedHosts {
public:
    static constexpr size_t maximumUnstoredBytes = 2 * 1024 * 1024;
    static constexpr Milliseconds electionTimeout { 300 };
    /// A state that no state machine can restore.
    static constexpr const char* unreadableState = "unreadable";

    /// Starts hosts that are all voters, of which some may lose their disks at the same time.
    SimulatedHosts(uint64_t seed, size_t count, size_t toleratedDiskLosses = 1);
    ~SimulatedHosts();

    void runFor(Milliseconds duration) { this->loop.runFor(duration); }
    [[nodiscard]] Instant now() const { return this->loop.now(); }
    [[nodiscard]] size_t count() const { return this->hosts.size(); }
    [[nodiscard]] SimulatedDisk& disk(size_t host);
    [[nodiscard]] const SimulatedDisk& disk(size_t host) const;
    [[nodiscard]] const std::set<std::string>& commands(size_t host) const;
    /// The node of a running host.
    [[nodiscard]] const Node& node(size_t host) const;
    /// Delivers a message that no host has sent.
    void deliver(size_t host, const Message&);
    /// The number of messages that nodes have refused.
    [[nodiscard]] size_t refusedMessages() const { return this->refusals; }
    /// The number of the host that leads, if there is one.
    [[nodiscard]] std::optional<size_t> leader() const;

    /// Proposes a new command at a host.
    std::shared_ptr<const Outcome> propose(size_t host, size_t bytes = 10);
    /// Ends the process, and with it everything that is not on the disk.
    void stop(size_t host);
    void start(size_t host);
    /// Adds a stopped host with an empty disk, and returns its number.
    size_t addHost();
    /// Asks the process to end, which it does once its replica has left the group, or may not.
    void terminate(size_t host);
    [[nodiscard]] bool isRunning(size_t host) const;
    /// Whether the process was asked to end, and has not ended yet.
    [[nodiscard]] bool isEnding(size_t host) const;
    /// Cuts a host off from all others, or ends that.
    void setCutOff(size_t host, bool cutOff);
    [[nodiscard]] bool isCutOff(size_t host) const;
    [[nodiscard]] const std::string& identity(size_t host) const;
    [[nodiscard]] const std::string& name(size_t host) const;
    /// Empties the disk of a stopped host, which gets a new identity.
    void loseDisk(size_t host);

private:
    class DiskWriter;
    struct Host;

    void tick(Host&);
    void scheduleTick(Host&, uint64_t boot);
    void send(const Message&);
    void sendProposals(Host&);
    void deliverProposal(const std::string& from, const ProposalQueue::OutgoingProposal&);
    void requestJoinIfDue(Host&);
    void advanceDeparture(Host&);
    static void stopProcess(Host&);
    [[nodiscard]] std::string leaderAddress(const Host&) const;
    [[nodiscard]] std::string gossipedLeader(const Host& reader) const;
    /// The running host of a name, if a message from a sender reaches it.
    [[nodiscard]] Host* find(const std::string& name, const std::string& sender) const;
    [[nodiscard]] Milliseconds networkDelay();

    SimulatedLoop loop;
    Random random;
    size_t toleratedDiskLosses;
    std::vector<std::unique_ptr<Host>> hosts;
    uint64_t nextCommand { 1 };
    size_t refusals { 0 };
};

}
