#include <LibScheduler/Relay/RelayAssignment.h>
#include <algorithm>
#include <cstdint>
#include <xxhash.h>

namespace Sassafrasshift::Scheduler {

// The weight of an owner in rendezvous hashing: the owner with the highest weight gets the object.
static uint64_t weightOf(std::string_view object, uint64_t owner)
{
    return XXH3_64bits_withSeed(object.data(), object.size(), owner);
}

size_t RelayAssignment::placesFor(size_t targets) const
{
    auto needed = [](size_t count) { return count <= targetsPerRelay ? 0 : (count + targetsPerRelay - 1) / targetsPerRelay; };
    return std::max(needed(targets), std::min(this->places.size(), needed(targets + releaseMargin)));
}

bool RelayAssignment::update(const std::vector<std::string>& candidates, const std::string& shard, size_t targets)
{
    auto previous = this->places;
    this->places.resize(this->placesFor(targets));
    auto ranked = candidates;
    auto weight = [&](const std::string& address) { return weightOf(address, XXH3_64bits(shard.data(), shard.size())); };
    std::sort(ranked.begin(), ranked.end(), [&](const auto& left, const auto& right) { return std::pair(weight(left), left) > std::pair(weight(right), right); });
    for (auto& relay : this->places) {
        if (std::find(ranked.begin(), ranked.end(), relay) == ranked.end())
            relay.clear();
    }
    std::erase_if(ranked, [&](const auto& address) { return std::find(this->places.begin(), this->places.end(), address) != this->places.end(); });
    auto next = ranked.begin();
    for (auto& relay : this->places) {
        if (relay.empty() && next != ranked.end())
            relay = *next++;
    }
    return this->places != previous;
}

const std::string* RelayAssignment::relayFor(std::string_view targetIdentity) const
{
    const std::string* best = nullptr;
    uint64_t bestWeight = 0;
    for (size_t place = 0; place < this->places.size(); ++place) {
        if (this->places[place].empty())
            continue;
        auto weight = weightOf(targetIdentity, place);
        if (!best || weight > bestWeight) {
            best = &this->places[place];
            bestWeight = weight;
        }
    }
    return best;
}

}
