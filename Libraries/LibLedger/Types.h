#pragma once

#include <LibTransport/CodecFields.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Sassafrasshift::Ledger {

/// The number of an election; at most one leader is elected in each.
using Term = uint64_t;

/// The position of an entry in the log, counted from one; zero stands before the first.
using Index = uint64_t;

enum class EntryKind {
    /// A command for the state machine.
    Command,
    /// A new membership, in force from the moment it is appended.
    Membership,
    /// What a new leader appends to learn which earlier entries are committed.
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
    /// Counts in the quorum.
    Voter,
    /// Receives the log, and does not count.
    Learner,
};

/// One replica. Its identity belongs to its data folder and is never used again once that is lost.
struct Member {
    std::string identity;
    std::string host;
    MemberRole role { MemberRole::Voter };

    CODEC_FIELDS(identity, host, role);
    friend auto operator<=>(const Member&, const Member&) = default;
};

struct Membership {
    std::vector<Member> members;

    [[nodiscard]] const Member* find(std::string_view identity) const;
    [[nodiscard]] bool isVoter(std::string_view identity) const;
    [[nodiscard]] size_t voterCount() const;
    /// The least number of voters that forms a majority.
    [[nodiscard]] size_t quorum() const;
    [[nodiscard]] Membership with(const Member&) const;
    [[nodiscard]] Membership without(std::string_view identity) const;

    CODEC_FIELDS(members);
    friend auto operator<=>(const Membership&, const Membership&) = default;
};

/// What a replica must not forget between two messages of an election.
struct HardState {
    Term term { 0 };
    /// The identity that got this replica's vote in the term; empty for none.
    std::string vote;

    CODEC_FIELDS(term, vote);
    friend auto operator<=>(const HardState&, const HardState&) = default;
};

/// The state machine's content after an entry, which stands for the log up to there.
struct Snapshot {
    Index index { 0 };
    Term term { 0 };
    Membership membership;
    std::string state;

    CODEC_FIELDS(index, term, membership, state);
    friend auto operator<=>(const Snapshot&, const Snapshot&) = default;
};

enum class VoteStage {
    /// Asks whether an election would be won, without starting a term (Ongaro, "Consensus", section 9.6).
    PreVote,
    Vote,
};

struct VoteRequest {
    VoteStage stage { VoteStage::Vote };
    Term term { 0 };
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
    /// Where accepted: the last entry known to equal the leader's. Otherwise: where the leader should try next.
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

using MessageBody = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse, SnapshotRequest>;

/// A message from one replica to another.
struct Message {
    /// The group that the message belongs to; a process may hold replicas of several.
    uint32_t group { 0 };
    std::string from;
    std::string fromHost;
    std::string to;
    std::string toHost;
    MessageBody body;

    CODEC_FIELDS(group, from, fromHost, to, toHost, body);
    friend auto operator<=>(const Message&, const Message&) = default;
};

struct TruncateOperation {
    /// The first entry that is removed.
    Index from { 0 };

    CODEC_FIELDS(from);
    friend auto operator<=>(const TruncateOperation&, const TruncateOperation&) = default;
};

struct AppendOperation {
    std::vector<Entry> entries;

    CODEC_FIELDS(entries);
    friend auto operator<=>(const AppendOperation&, const AppendOperation&) = default;
};

/// Replaces the log up to the snapshot; the entries behind it, if any, are kept.
struct SnapshotOperation {
    Snapshot snapshot;
    HardState hardState;
    std::vector<Entry> retained;

    CODEC_FIELDS(snapshot, hardState, retained);
    friend auto operator<=>(const SnapshotOperation&, const SnapshotOperation&) = default;
};

/// A change of what is stored, to be made in the order given.
using StoreOperation = std::variant<HardState, TruncateOperation, AppendOperation, SnapshotOperation>;

/// What a replica finds in its data folder.
struct StoredState {
    Snapshot snapshot;
    HardState hardState;
    std::vector<Entry> entries;

    friend auto operator<=>(const StoredState&, const StoredState&) = default;
};

}
