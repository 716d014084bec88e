#include <LibScheduler/Home/HomeTerms.h>
#include <algorithm>

namespace Sassafrasshift::Scheduler {

void HomeTerms::observe(const std::string& homeShard, uint64_t term)
{
    if (term == 0 || term > maximumHomeTerm)
        return;
    auto& known = this->terms[homeShard];
    known = std::max(known, term);
}

uint64_t HomeTerms::highest(const std::string& homeShard) const
{
    auto position = this->terms.find(homeShard);
    return position == this->terms.end() ? 0 : position->second;
}

bool HomeTerms::isOutdated(const PlacementGrant& grant) const
{
    return grant.homeTerm != 0 && grant.homeTerm < this->highest(grant.homeShard);
}

}
