#pragma once

#include <LibLedger/Types.h>
#include <deque>

namespace Sassafrasshift::Ledger {

/// The log entries that a replica holds in memory, and the memberships that these entries set. The log begins after a base
/// index; the entries up to and including that index have been discarded or replaced by a snapshot.
class ReplicaLog {
public:
    explicit ReplicaLog(const StoredState&);

    [[nodiscard]] Index firstIndex() const { return this->baseIndex + 1; }
    [[nodiscard]] Index lastIndex() const { return this->baseIndex + this->entries.size(); }
    [[nodiscard]] Term lastTerm() const { return this->termAt(this->lastIndex()); }
    /// The index directly before the oldest entry in memory.
    [[nodiscard]] Index base() const { return this->baseIndex; }
    /// Whether the term at an index is known: the entry is in memory, or the index is the base index.
    [[nodiscard]] bool hasTermAt(Index) const;
    /// The term of the entry at an index. Requires hasTermAt(index).
    [[nodiscard]] Term termAt(Index) const;
    [[nodiscard]] const Entry& at(Index) const;
    /// The entries from an index on, limited by their total payload size in bytes. At least one entry is returned if any
    /// exists.
    [[nodiscard]] std::vector<Entry> slice(Index from, size_t maximumBytes) const;
    /// All entries from an index on.
    [[nodiscard]] std::vector<Entry> suffix(Index from) const;

    void append(const Entry&);
    /// Removes the entries from an index on.
    void truncate(Index from);
    /// Discards the entries up to and including an index.
    void discardUpTo(Index upTo);
    /// Discards all entries and starts after the snapshot.
    void reset(const Snapshot&);

    /// The latest membership in the log, whether or not its entry is committed.
    [[nodiscard]] const Membership& membership() const { return this->memberships.back().membership; }
    /// The index of the entry that set the latest membership.
    [[nodiscard]] Index membershipIndex() const { return this->memberships.back().index; }
    /// The membership that was in effect at an index.
    [[nodiscard]] const Membership& membershipAt(Index) const;
    /// Whether a replica is a voter in the membership that was in effect at an index, or in a later one.
    [[nodiscard]] bool isVoterAtOrAfter(Index, std::string_view identity) const;

private:
    struct MembershipRecord {
        Index index;
        Membership membership;
    };

    Index baseIndex { 0 };
    Term baseTerm { 0 };
    std::deque<Entry> entries;
    std::vector<MembershipRecord> memberships;
};

}
