#include <LibLedger/Types.h>
#include <algorithm>

namespace Sassafrasshift::Ledger {

const Member* Membership::find(std::string_view identity) const
{
    auto position = std::find_if(this->members.begin(), this->members.end(), [&](const auto& member) { return member.identity == identity; });
    return position == this->members.end() ? nullptr : &*position;
}

bool Membership::isVoter(std::string_view identity) const
{
    const auto* member = this->find(identity);
    return member && member->role == MemberRole::Voter;
}

size_t Membership::voterCount() const
{
    return static_cast<size_t>(std::count_if(this->members.begin(), this->members.end(), [](const auto& member) { return member.role == MemberRole::Voter; }));
}

size_t Membership::quorum() const
{
    return this->voterCount() / 2 + 1;
}

Membership Membership::with(const Member& added) const
{
    auto result = this->without(added.identity);
    result.members.push_back(added);
    return result;
}

Membership Membership::without(std::string_view identity) const
{
    Membership result;
    for (const auto& member : this->members) {
        if (member.identity != identity)
            result.members.push_back(member);
    }
    return result;
}

}
