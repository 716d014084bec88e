#include <LibLedger/VoterQuorum.h>
#include <algorithm>

namespace Sassafrasshift::Ledger {

static bool isQuorum(const std::vector<Member>& voters, const std::set<std::string>& retiredIdentities, const std::function<bool(const std::string&)>& isSelected)
{
    auto isRetired = [&](const Member& voter) { return retiredIdentities.contains(voter.identity); };
    auto selected = std::count_if(voters.begin(), voters.end(), [&](const Member& voter) { return !isRetired(voter) && isSelected(voter.identity); });
    bool sparesRetired = voters.size() % 2 == 0 && std::any_of(voters.begin(), voters.end(), isRetired);
    auto needed = voters.size() / 2 + (sparesRetired ? 0 : 1);
    return !voters.empty() && static_cast<size_t>(selected) >= needed;
}

bool isQuorum(const Membership& membership, const std::set<std::string>& retiredIdentities, const std::function<bool(const std::string&)>& isSelected)
{
    return isQuorum(membership.voters(), retiredIdentities, isSelected)
        && (!membership.isTransition() || isQuorum(membership.formerVoters, retiredIdentities, isSelected));
}

}
