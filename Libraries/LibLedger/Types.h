#pragma once

#include <LibTransport/CodecFields.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Sassafrasshift::Ledger {

/// A Raft term. At most one leader is elected in each term.
using Term = uint64_t;

/// The position of an entry in the log. The first entry has index 1; index 0 denotes the position before it.
using Index = uint64_t;

enum class EntryKind {
    /// A command for the state machine.
    Command,
    /// A new membership. It takes effect as soon as the entry is appended, before it is committed.
    Membership,
    /// Appended by a new leader: committing it also commits all earlier entries.
    NoOperation,
};

struct Entry {
    Term term { 0 };
    Index index { 0 };
    EntryKind kind { EntryKind::Command };
    std::string payload;

    CODEC_FIELDS(term, index, kind, payload);
    friend auto operator<=>(const Entry&, const Entry&) = default;
};

enum class MemberRole {
    /// Votes in elections and counts toward the quorum.
    Voter,
    /// Receives the log but does not count toward the quorum.
    Learner,
};

/// A member of the replica group. The identity is stored in the data folder and is never reused after the folder is lost.
struct Member {
    std::string identity;
    std::string host;
    MemberRole role { MemberRole::Voter };

    CODEC_FIELDS(identity, host, role);
    friend auto operator<=>(const Member&, const Member&) = default;
};

struct Membership {
    std::vector<Member> members;
    /// The voters of the membership before this one, while it is not known that a quorum of both has stored the change. Until then
    /// elections and commits take a quorum of both (joint consensus, Ongaro and Ousterhout, section 6). Empty after that.
    std::vector<Member> formerVoters;

    [[nodiscard]] const Member* find(std::string_view identity) const;
    [[nodiscard]] bool isVoter(std::string_view identity) const;
    [[nodiscard]] size_t voterCount() const;
    /// The smallest number of voters that forms a majority.
    [[nodiscard]] size_t quorum() const;
    [[nodiscard]] std::vector<Member> voters() const;
    /// Whether decisions also take a quorum of the former voters.
    [[nodiscard]] bool isTransition() const { return !this->formerVoters.empty(); }
    /// The members, and during a transition the former voters that are none.
    [[nodiscard]] std::vector<Member> participants() const;
    /// Returns a copy in which the member is added, or replaces the one with the same identity.
    [[nodiscard]] Membership with(const Member&) const;
    [[nodiscard]] Membership without(std::string_view identity) const;
    /// Returns a copy that decides alone.
    [[nodiscard]] Membership settled() const { return Membership { this->members, {} }; }
    /// Returns a copy that decides together with the voters of the membership before it, if its voters are others.
    [[nodiscard]] Membership following(const Membership& former) const;

    CODEC_FIELDS(members, formerVoters);
    friend auto operator<=>(const Membership&, const Membership&) = default;
};

/// What has become of a member's request to leave the group before its process ends.
enum class LeaveOutcome {
    /// The removal is not committed yet, or cannot be proposed now. The member asks again.
    Pending,
    /// The member no longer belongs to the group.
    Left,
    /// The group has no voter to spare. The process may end all the same.
    Kept,
};

/// The term and vote of a replica, which must be durable before the replica answers a message that depends on them.
struct HardState {
    Term term { 0 };
    /// The identity of the candidate that this replica voted for, or of the leader that it followed, in the term; empty if
    /// there is none.
    std::string vote;

    CODEC_FIELDS(term, vote);
    friend auto operator<=>(const HardState&, const HardState&) = default;
};

/// The state of the state machine after the entry at an index. It replaces the log up to and including that entry.
struct Snapshot {
    Index index { 0 };
    Term term { 0 };
    Membership membership;
    std::string state;

    CODEC_FIELDS(index, term, membership, state);
    friend auto operator<=>(const Snapshot&, const Snapshot&) = default;
};

enum class VoteStage {
    /// Asks whether the sender would win an election, without starting a new term (Ongaro, "Consensus", section 9.6).
    PreVote,
    Vote,
};

struct VoteRequest {
    VoteStage stage { VoteStage::Vote };
    /// The term for which the sender is a candidate; in a pre-vote, the term that it would start.
    Term term { 0 };
    /// The index and term of the last entry in the log of the sender.
    Index lastIndex { 0 };
    Term lastTerm { 0 };

    CODEC_FIELDS(stage, term, lastIndex, lastTerm);
    friend auto operator<=>(const VoteRequest&, const VoteRequest&) = default;
};

struct VoteResponse {
    VoteStage stage { VoteStage::Vote };
    Term term { 0 };
    bool granted { false };

    CODEC_FIELDS(stage, term, granted);
    friend auto operator<=>(const VoteResponse&, const VoteResponse&) = default;
};

struct AppendRequest {
    Term term { 0 };
    /// The index and term of the entry directly before the entries of this request.
    Index previousIndex { 0 };
    Term previousTerm { 0 };
    Index commitIndex { 0 };
    std::vector<Entry> entries;

    CODEC_FIELDS(term, previousIndex, previousTerm, commitIndex, entries);
    friend auto operator<=>(const AppendRequest&, const AppendRequest&) = default;
};

struct AppendResponse {
    Term term { 0 };
    bool accepted { false };
    /// If accepted, the index up to which the log is known to match the leader's. Otherwise, the previousIndex that the leader
    /// should use in its next request.
    Index matchIndex { 0 };

    CODEC_FIELDS(term, accepted, matchIndex);
    friend auto operator<=>(const AppendResponse&, const AppendResponse&) = default;
};

struct SnapshotRequest {
    Term term { 0 };
    Snapshot snapshot;

    CODEC_FIELDS(term, snapshot);
    friend auto operator<=>(const SnapshotRequest&, const SnapshotRequest&) = default;
};

/// The answer of a host to a pre-vote request for an identity that it had before it lost its data folder. That replica has ended for
/// good: it will never vote or store an entry again.
struct RetirementNotice {
    std::string retiredIdentity;

    CODEC_FIELDS(retiredIdentity);
    friend auto operator<=>(const RetirementNotice&, const RetirementNotice&) = default;
};

using MessageBody = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse, SnapshotRequest, RetirementNotice>;

/// A message from one replica to another.
struct Message {
    /// The replica group of the message; a process may run replicas of several groups.
    uint32_t group { 0 };
    /// The identity and host of the sender.
    std::string from;
    std::string fromHost;
    /// The identity and host of the receiver.
    std::string to;
    std::string toHost;
    MessageBody body;

    CODEC_FIELDS(group, from, fromHost, to, toHost, body);
    friend auto operator<=>(const Message&, const Message&) = default;
};

/// Removes the end of the log.
struct TruncateOperation {
    /// The index of the first entry to remove.
    Index from { 0 };

    CODEC_FIELDS(from);
    friend auto operator<=>(const TruncateOperation&, const TruncateOperation&) = default;
};

struct AppendOperation {
    std::vector<Entry> entries;

    CODEC_FIELDS(entries);
    friend auto operator<=>(const AppendOperation&, const AppendOperation&) = default;
};

/// Replaces the log up to the index of the snapshot. Entries after that index are retained.
struct SnapshotOperation {
    Snapshot snapshot;
    HardState hardState;
    std::vector<Entry> retained;

    CODEC_FIELDS(snapshot, hardState, retained);
    friend auto operator<=>(const SnapshotOperation&, const SnapshotOperation&) = default;
};

/// A change to the stored state. Operations are applied in the order in which they are given.
using StoreOperation = std::variant<HardState, TruncateOperation, AppendOperation, SnapshotOperation>;

/// The state that a replica recovers from its data folder.
struct StoredState {
    Snapshot snapshot;
    HardState hardState;
    std::vector<Entry> entries;

    friend auto operator<=>(const StoredState&, const StoredState&) = default;
};

}
