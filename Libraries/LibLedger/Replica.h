#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Error.h>
#include <LibBase/Random.h>
#include <LibLedger/MembershipChange.h>
#include <LibLedger/ReplicaLog.h>
#include <LibLedger/Types.h>
#include <deque>
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

/// The consensus core of the replicated log. It implements Raft (Ongaro and Ousterhout, "In Search of an Understandable
/// Consensus Algorithm", 2014) with pre-vote, check-quorum, learners and single-server membership changes.
///
/// The class is deterministic: it performs no I/O, reads no clock, and takes random numbers only from the generator passed to
/// it. Calls accumulate effects. The owner collects them with takeEffects(), carries them out in order, and confirms durable
/// storage with markStored().
class Replica {
public:
    struct Options {
        uint32_t group { 0 };
        std::string identity;
        std::string host;
        /// The minimum time without contact from a leader after which a follower starts an election. The actual timeout is
        /// random between this and twice this; a replica that has heard no leader since its start waits for a part of it only.
        Milliseconds electionTimeout { 600 };
        Milliseconds heartbeatInterval { 100 };
        /// The leader removes a voter that it has not heard from for this long, so that the voter no longer counts toward the
        /// quorum. The voter joins again when it returns. Zero disables the removal.
        Milliseconds lostVoterTimeout { 0 };
        /// The number of disks whose loss at the same time the group has to survive. No unreachable voter is removed if fewer
        /// voters than minimumVoters() would be left.
        size_t toleratedDiskLosses { 1 };
        /// The maximum size in bytes of the entry payloads in one AppendRequest. A larger single entry is sent alone.
        size_t maximumAppendBytes { 512 * 1024 };
    };

    /// The work that the owner has to do, in this order: start storing the operations, send the immediate messages,
    /// restore the snapshot, apply the committed entries, and send the remaining messages once the operations of this
    /// ticket and all earlier ones are durable.
    struct Effects {
        /// The number of these effects, which the owner passes to markStored(). It increases by one with each takeEffects().
        uint64_t ticket { 0 };
        std::vector<StoreOperation> operations;
        std::vector<Message> immediateMessages;
        std::vector<Message> messagesAfterStore;
        /// A snapshot that replaces the state of the state machine. It is restored before the committed entries are applied.
        std::optional<Snapshot> restoredSnapshot;
        std::vector<Entry> committedEntries;
        /// The membership changes that this replica has proposed, for the log of the process.
        std::vector<MembershipChange> membershipChanges;

        [[nodiscard]] bool isEmpty() const;
    };

    Replica(Options, const StoredState&, Random, Instant now);

    /// The smallest number of voters that keeps a quorum when the tolerated number of disks is lost, and at least three.
    [[nodiscard]] size_t minimumVoters() const;

    /// Runs the timers for elections and heartbeats. Must be called every few milliseconds.
    void tick(Instant now);
    /// Processes a message of another replica. Returns false, without any effect, for a message that no correct replica sends.
    bool receive(const Message&, Instant now);

    /// Appends a command and returns its index. Fails with Reason::NotLeader if this replica is not the leader.
    [[nodiscard]] ErrorOr<Index> propose(std::string payload);

    /// Requests that a replica join the group. The leader adds it as a learner, waits until it has replicated all committed
    /// entries, removes any former identity of the same host, and then promotes it to voter. Ignored if this replica is
    /// not the leader.
    void requestJoin(const std::string& host, const std::string& identity);

    /// Proposes the removal of a member whose process is about to end, unless the group needs it as a voter. The leader may
    /// remove itself, and steps down then. To be called again until the outcome is another one than Pending. Fails with
    /// Reason::NotLeader if this replica is not the leader.
    [[nodiscard]] ErrorOr<LeaveOutcome> requestLeave(std::string_view identity);

    /// Whether this replica knows that it belongs to no group, or no longer.
    [[nodiscard]] bool hasLeft() const;

    /// Gives up the leadership, for an owner that cannot take more commands. Ignored if this replica is not the leader.
    void stepDown();

    /// Whether the other voters that are reachable form a quorum, so that commands can be committed without this replica's own
    /// disk. Meaningful on the leader only.
    [[nodiscard]] bool hasReachableQuorumOfOthers() const;

    /// The number of voters that this replica reaches, with itself. Meaningful on the leader only.
    [[nodiscard]] size_t reachableVoterCount() const { return this->reachableVotersOf(this->log.membership()); }

    [[nodiscard]] Effects takeEffects();

    /// Reports that the operations of all tickets up to and including this one are durable.
    void markStored(uint64_t ticket);

    /// Replaces the entries up to an applied index by a snapshot of the state machine after that index. The most recent
    /// entries stay in memory for followers that lag slightly.
    void compact(Index, std::string state);

    [[nodiscard]] Role role() const { return this->currentRole; }
    [[nodiscard]] Term term() const { return this->hardState.term; }
    [[nodiscard]] Index commitIndex() const { return this->committedIndex; }
    [[nodiscard]] Index lastIndex() const { return this->log.lastIndex(); }
    [[nodiscard]] const Membership& membership() const { return this->log.membership(); }
    [[nodiscard]] const std::string& identity() const { return this->options.identity; }
    /// The host of the leader of the current term; empty if the leader is unknown.
    [[nodiscard]] std::string leaderHost() const;
    /// Whether this replica is the leader and has committed an entry of its own term. Its state machine then reflects
    /// everything that earlier leaders committed.
    [[nodiscard]] bool isEstablishedLeader() const;
    /// The in-memory log, exposed for tests.
    [[nodiscard]] const ReplicaLog& replicaLog() const { return this->log; }
    /// The number of tickets that are not stored yet, exposed for tests.
    [[nodiscard]] size_t pendingTicketCount() const { return this->pendingTickets.size(); }

private:
    // The replication state of one member as far as the leader knows it.
    struct Progress {
        Index nextIndex { 1 };
        Index matchIndex { 0 };
        /// When the member last answered, or when the leader began to send to it.
        Instant lastContact {};
        bool hasAnswered { false };
        std::optional<Instant> snapshotSentAt;
    };

    // A ticket whose operations are not stored yet, and the last entry of the log when the ticket was issued.
    struct PendingTicket {
        uint64_t ticket;
        Index lastIndex;
        Term lastTerm;
        Instant issuedAt;
    };

    void handle(const Message&, const VoteRequest&);
    void handle(const Message&, const VoteResponse&);
    void handle(const Message&, const AppendRequest&);
    void handle(const Message&, const AppendResponse&);
    void handle(const Message&, const SnapshotRequest&);
    void handle(const Message&, const RetirementNotice&);

    /// Answers a pre-vote request that is meant for an identity which this host had before.
    void answerForFormerIdentity(const Message&);
    [[nodiscard]] Message reply(const Message&, MessageBody) const;
    [[nodiscard]] Message messageTo(const Member&, MessageBody) const;
    void becomeFollower(Term, std::string leaderIdentity);
    void followLeader(const std::string& identity);
    /// Whether operations have waited to be stored for longer than an election timeout: the disk is full or stalled.
    [[nodiscard]] bool isStorageBlocked() const;
    /// Whether a message contradicts what this replica knows to be committed, or names entries that its leader has not made.
    [[nodiscard]] bool contradictsLog(const AppendRequest&) const;
    [[nodiscard]] bool contradictsLog(const AppendResponse&) const;
    void resetPreVoteTimer();
    [[nodiscard]] Microseconds randomUpTo(Milliseconds limit);
    void startPreVote();
    void startElection();
    void becomeLeader();
    void requestVotes(VoteStage, Term);
    void resetElectionTimer();
    [[nodiscard]] bool isUpToDate(const VoteRequest&) const;
    [[nodiscard]] bool heardFromLeaderRecently() const;
    /// The identities that count as retired in quorums now: those that were known when the term of a candidate or leader began.
    [[nodiscard]] const std::set<std::string>& retiredIdentitiesInForce() const;
    [[nodiscard]] bool hasVotesOfQuorum() const;
    [[nodiscard]] bool isParticipant(const std::string& identity) const;
    void appendAsLeader(EntryKind, std::string payload);
    void appendReceived(const std::vector<Entry>&);
    void appendToLog(const Entry&);
    void advanceCommitIndex();
    void commitUpTo(Index);
    void checkQuorum();
    /// Advances the pending joins by one membership change if the group permits a change now.
    void advanceJoins();
    void advanceJoin(const std::string& host, const std::string& identity);
    void proposeMembership(const Membership&, MembershipChangeKind, const Member& changed);
    /// Ends the transition to a membership that a quorum of its voters and of the former ones has stored.
    void settleMembership();
    void removeLostVoter();
    [[nodiscard]] const Member* longestLostVoter();
    /// Whether one of the unreachable voters may be removed although it is not known which of them return.
    [[nodiscard]] bool sparesUnreachableVoter() const;
    [[nodiscard]] size_t reachableVotersOf(const Membership&) const;
    [[nodiscard]] bool hasReachableQuorum(const Membership&) const;
    [[nodiscard]] bool hasKnownReachableQuorum(const Membership&) const;
    [[nodiscard]] bool canChangeMembership() const;
    /// Whether the group is about to get another voter: a learner catches up, or a member that has left may be back soon.
    [[nodiscard]] bool expectsVoter() const;
    void sendAppends();
    void sendHeartbeats();
    void sendAppend(const Member&, Progress&);
    void sendSnapshot(const Member&, Progress&);
    Progress& progressOf(const std::string& identity);
    /// Whether a member has answered within the election timeout. Members count as reachable for that time when a leader begins to send
    /// to them.
    [[nodiscard]] bool isReachable(const std::string& identity) const;
    /// The same for a member that has answered this leader. Changes of the membership rely on it.
    [[nodiscard]] bool isKnownReachable(const std::string& identity) const;

    Options options;
    Random random;
    Instant now;

    HardState hardState;
    ReplicaLog log;
    Snapshot latestSnapshot;
    Index committedIndex { 0 };
    /// The index of the last entry that takeEffects() has returned as committed.
    Index deliveredIndex { 0 };
    /// The index of the last entry that is durable on this replica.
    Index storedIndex { 0 };

    Role currentRole { Role::Follower };
    std::string leaderIdentity;
    Instant electionDeadline;
    Instant lastLeaderContact;
    bool hasHeardLeader { false };
    std::set<std::string> votesReceived;
    /// The voters that are known to have ended for good, and those of them that were when this replica last stood for election.
    std::set<std::string> retiredIdentities;
    std::set<std::string> retiredIdentitiesAtElection;

    std::map<std::string, Progress> progress;
    Instant nextHeartbeat {};
    /// The index of the first entry that this leader appended in its term.
    Index firstIndexOfTerm { 0 };
    /// The identities of the replicas that have requested to join, by host.
    std::map<std::string, std::string> pendingJoins;
    /// When an entry that removes a voter was last appended to the log of this replica.
    std::optional<Instant> lastVoterRemoval;

    Effects effects;
    uint64_t nextTicket { 1 };
    std::deque<PendingTicket> pendingTickets;
};

}
