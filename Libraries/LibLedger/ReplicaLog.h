#pragma once

#include <LibLedger/Types.h>
#include <deque>

namespace Sassafrasshift::Ledger {

/// The entries of a replica that are not yet part of a snapshot, and the memberships that they set.
class ReplicaLog {
public:
    explicit ReplicaLog(const StoredState&);

    [[nodiscard]] Index firstIndex() const { return this->baseIndex + 1; }
    [[nodiscard]] Index lastIndex() const { return this->baseIndex + this->entries.size(); }
    [[nodiscard]] Term lastTerm() const { return this->termAt(this->lastIndex()); }
    /// The index that the oldest entry in memory follows.
    [[nodiscard]] Index base() const { return this->baseIndex; }
    /// Whether the term of an index is known: it is in memory or directly before it.
    [[nodiscard]] bool hasTermAt(Index) const;
    /// The term of an index that hasTermAt() holds for.
    [[nodiscard]] Term termAt(Index) const;
    [[nodiscard]] const Entry& at(Index) const;
    /// Entries from an index on, up to a number of bytes, but at least one where there is any.
    [[nodiscard]] std::vector<Entry> slice(Index from, size_t maximumBytes) const;
    [[nodiscard]] std::vector<Entry> suffix(Index from) const;

    void append(const Entry&);
    void truncate(Index from);
    /// Forgets the entries up to an index.
    void discardUpTo(Index upTo);
    void reset(const Snapshot&);

    /// The membership in force at the end of the log.
    [[nodiscard]] const Membership& membership() const { return this->memberships.back().membership; }
    /// The index of the entry that set it.
    [[nodiscard]] Index membershipIndex() const { return this->memberships.back().index; }
    /// The membership in force at an index.
    [[nodiscard]] const Membership& membershipAt(Index) const;

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
