#include <LibLedger/Types.h>
#include <algorithm>
#include <iterator>
#include <set>

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

std::vector<Member> Membership::voters() const
{
    std::vector<Member> result;
    std::copy_if(this->members.begin(), this->members.end(), std::back_inserter(result), [](const auto& member) { return member.role == MemberRole::Voter; });
    return result;
}

std::vector<Member> Membership::participants() const
{
    auto result = this->members;
    std::copy_if(this->formerVoters.begin(), this->formerVoters.end(), std::back_inserter(result), [this](const auto& voter) { return !this->find(voter.identity); });
    return result;
}

Membership Membership::following(const Membership& former) const
{
    auto identities = [](const std::vector<Member>& voters) {
        std::set<std::string> result;
        for (const auto& voter : voters)
            result.insert(voter.identity);
        return result;
    };
    auto formerVoters = former.voters();
    bool hasSameVoters = identities(this->voters()) == identities(formerVoters);
    return Membership { this->members, hasSameVoters ? std::vector<Member> {} : std::move(formerVoters) };
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
