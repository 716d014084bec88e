#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Error.h>
#include <LibBase/Random.h>
#include <LibLedger/ReplicaLog.h>
#include <LibLedger/Types.h>
#include <map>
#include <optional>
#include <set>

namespace Sassafrasshift::Ledger {

enum class Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

/// The pure core of the replicated log: a consensus protocol of the Raft family (Ongaro and Ousterhout, "In Search of
/// an Understandable Consensus Algorithm", 2014) with pre-vote, check-quorum, learners and membership changes of one
/// replica at a time.
///
/// It does no input or output, reads no clock and draws random numbers only from the generator passed in. Each call
/// may leave effects, which the owner takes with takeEffects(), carries out in order, and reports with markStored().
class Replica {
public:
    struct Options {
        uint32_t group { 0 };
        std::string identity;
        std::string host;
        /// The least time without a leader after which a follower stands for election; the most is twice this.
        Milliseconds electionTimeout { 600 };
        Milliseconds heartbeatInterval { 100 };
        /// A voter that the leader has not heard for this long is removed, so that it does not count in the quorum; it
        /// joins again when it returns. Zero for never.
        Milliseconds lostVoterTimeout { 0 };
        /// So many voters are kept, also where some of them are lost.
        size_t minimumVoters { 3 };
        /// Bytes of entries in one AppendRequest.
        size_t maximumAppendBytes { 512 * 1024 };
    };

    /// What the owner has to do, in this order: start storing, send the immediate messages, apply the committed
    /// entries, and send the others once all has been stored up to this ticket.
    struct Effects {
        uint64_t ticket { 0 };
        std::vector<StoreOperation> operations;
        std::vector<Message> immediateMessages;
        std::vector<Message> messagesAfterStore;
        /// A snapshot that replaces the state machine's content; it comes before the committed entries.
        std::optional<Snapshot> restoredSnapshot;
        std::vector<Entry> committedEntries;

        [[nodiscard]] bool isEmpty() const;
    };

    Replica(Options, const StoredState&, Random, Instant now);

    /// To be called at least every few milliseconds.
    void tick(Instant now);
    void receive(const Message&, Instant now);

    /// Appends a command. Fails with Reason::NotLeader where another replica, or none, leads.
    [[nodiscard]] ErrorOr<Index> propose(std::string payload);

    /// Asks the leader to take in a replica with an empty or outdated log: it becomes a learner, then a voter once it
    /// holds everything. An earlier identity of the same host is removed in between. Ignored where not leader.
    void requestJoin(const std::string& host, const std::string& identity);

    /// Removes a member. Fails with Reason::Conflict while another change is under way or where it is the leader.
    [[nodiscard]] ErrorOr<Index> proposeRemoval(std::string_view identity);

    [[nodiscard]] Effects takeEffects();

    /// Reports that everything up to a ticket has been stored durably.
    void markStored(uint64_t ticket);

    /// Replaces the entries up to an applied index by the state machine's content after it. The latest entries stay
    /// available to followers that are a little behind.
    void compact(Index, std::string state);

    [[nodiscard]] Role role() const { return this->currentRole; }
    [[nodiscard]] Term term() const { return this->hardState.term; }
    [[nodiscard]] Index commitIndex() const { return this->committedIndex; }
    [[nodiscard]] Index lastIndex() const { return this->log.lastIndex(); }
    [[nodiscard]] const Membership& membership() const { return this->log.membership(); }
    [[nodiscard]] const std::string& identity() const { return this->options.identity; }
    /// The host of the leader of the present term; empty while none is known.
    [[nodiscard]] std::string leaderHost() const;
    /// Whether this replica leads and has committed an entry of its term, so that its state machine is up to date.
    [[nodiscard]] bool isEstablishedLeader() const;
    /// The entries held in memory, for tests that compare replicas.
    [[nodiscard]] const ReplicaLog& replicaLog() const { return this->log; }

private:
    // What the leader knows of one other member.
    struct Progress {
        Index nextIndex { 1 };
        Index matchIndex { 0 };
        Instant lastContact {};
        std::optional<Instant> snapshotSentAt;
    };

    struct PendingTicket {
        uint64_t ticket;
        Index lastIndex;
        Term lastTerm;
    };

    void handle(const Message&, const VoteRequest&);
    void handle(const Message&, const VoteResponse&);
    void handle(const Message&, const AppendRequest&);
    void handle(const Message&, const AppendResponse&);
    void handle(const Message&, const SnapshotRequest&);

    [[nodiscard]] Message reply(const Message&, MessageBody) const;
    [[nodiscard]] Message messageTo(const Member&, MessageBody) const;
    void becomeFollower(Term, std::string leaderIdentity);
    void followLeader(const std::string& identity);
    void startPreVote();
    void startElection();
    void becomeLeader();
    void requestVotes(VoteStage, Term);
    void resetElectionTimer();
    [[nodiscard]] bool isUpToDate(const VoteRequest&) const;
    [[nodiscard]] bool heardFromLeaderRecently() const;
    [[nodiscard]] bool isQuorum(const std::set<std::string>& identities) const;
    void appendAsLeader(EntryKind, std::string payload);
    void appendReceived(const std::vector<Entry>&);
    void advanceCommitIndex();
    void commitUpTo(Index);
    void checkQuorum();
    void advanceJoins();
    void advanceJoin(const std::string& host, const std::string& identity);
    void proposeMembership(const Membership&);
    void removeLostVoter();
    [[nodiscard]] bool hasReachableQuorum(const Membership&) const;
    [[nodiscard]] bool canChangeMembership() const;
    void sendAppends();
    void sendHeartbeats();
    void sendAppend(const Member&, Progress&);
    void sendSnapshot(const Member&, Progress&);
    Progress& progressOf(const std::string& identity);
    [[nodiscard]] bool isReachable(const std::string& identity) const;

    Options options;
    Random random;
    Instant now;

    HardState hardState;
    ReplicaLog log;
    Snapshot latestSnapshot;
    Index committedIndex { 0 };
    Index deliveredIndex { 0 };
    Index storedIndex { 0 };

    Role currentRole { Role::Follower };
    std::string leaderIdentity;
    Instant electionDeadline;
    Instant lastLeaderContact;
    bool hasHeardLeader { false };
    std::set<std::string> votesReceived;

    std::map<std::string, Progress> progress;
    Instant nextHeartbeat {};
    Index firstIndexOfTerm { 0 };
    std::map<std::string, std::string> pendingJoins;

    Effects effects;
    uint64_t nextTicket { 1 };
    std::vector<PendingTicket> pendingTickets;
};

}
