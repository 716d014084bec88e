#include <LibBase/Try.h>
#include <LibLedger/ReplicaLog.h>
#include <LibTransport/Codec.h>
#include <algorithm>

namespace Sassafrasshift::Ledger {

ReplicaLog::ReplicaLog(const StoredState& stored)
{
    this->reset(stored.snapshot);
    for (const auto& entry : stored.entries)
        this->append(entry);
}

bool ReplicaLog::hasTermAt(Index index) const
{
    return index >= this->baseIndex && index <= this->lastIndex();
}

Term ReplicaLog::termAt(Index index) const
{
    if (index == this->baseIndex)
        return this->baseTerm;
    return this->at(index).term;
}

const Entry& ReplicaLog::at(Index index) const
{
    VERIFY(index > this->baseIndex && index <= this->lastIndex());
    return this->entries[index - this->baseIndex - 1];
}

std::vector<Entry> ReplicaLog::slice(Index from, size_t maximumBytes) const
{
    std::vector<Entry> result;
    size_t bytes = 0;
    for (auto index = from; index <= this->lastIndex(); ++index) {
        const auto& entry = this->at(index);
        bytes += entry.payload.size();
        if (!result.empty() && bytes > maximumBytes)
            break;
        result.push_back(entry);
    }
    return result;
}

std::vector<Entry> ReplicaLog::suffix(Index from) const
{
    return this->slice(from, SIZE_MAX);
}

void ReplicaLog::append(const Entry& entry)
{
    VERIFY(entry.index == this->lastIndex() + 1);
    this->entries.push_back(entry);
    if (entry.kind != EntryKind::Membership)
        return;
    auto membership = Transport::decodeValue<Membership>(entry.payload);
    VERIFY(membership.has_value());
    this->memberships.push_back(MembershipRecord { entry.index, std::move(membership).value() });
}

void ReplicaLog::truncate(Index from)
{
    VERIFY(from > this->baseIndex);
    while (this->lastIndex() >= from)
        this->entries.pop_back();
    while (this->memberships.size() > 1 && this->memberships.back().index >= from)
        this->memberships.pop_back();
}

void ReplicaLog::discardUpTo(Index upTo)
{
    if (upTo <= this->baseIndex)
        return;
    auto term = this->termAt(upTo);
    this->entries.erase(this->entries.begin(), this->entries.begin() + static_cast<ptrdiff_t>(upTo - this->baseIndex));
    this->baseIndex = upTo;
    this->baseTerm = term;
    while (this->memberships.size() > 1 && this->memberships[1].index <= upTo)
        this->memberships.erase(this->memberships.begin());
}

void ReplicaLog::reset(const Snapshot& snapshot)
{
    this->entries.clear();
    this->memberships.clear();
    this->baseIndex = snapshot.index;
    this->baseTerm = snapshot.term;
    this->memberships.push_back(MembershipRecord { snapshot.index, snapshot.membership });
}

const Membership& ReplicaLog::membershipAt(Index index) const
{
    const auto* result = &this->memberships.front().membership;
    for (const auto& record : this->memberships) {
        if (record.index <= index)
            result = &record.membership;
    }
    return *result;
}

bool ReplicaLog::isVoterAtOrAfter(Index index, std::string_view identity) const
{
    return this->membershipAt(index).isVoter(identity)
        || std::any_of(this->memberships.begin(), this->memberships.end(), [&](const auto& record) { return record.index > index && record.membership.isVoter(identity); });
}

}
