#include <LibScheduler/DispatcherDirectory.h>
#include <algorithm>
#include <cmath>
#include <utility>

// Which dispatcher gets a job: the answer to load that is uneven over the failure domains.
namespace Sassafrasshift::Scheduler {

DispatcherDirectory::DispatcherDirectory(Options options, Random random)
    : options(options)
    , random(random)
{
}

std::vector<std::string> DispatcherDirectory::updateDispatchers(const std::vector<ShardDispatcher>& present, std::string shard, Instant now)
{
    this->ownShard = std::move(shard);
    std::vector<std::string> changed;
    std::map<std::string, Link> next;
    for (const auto& dispatcher : present) {
        auto known = this->linksByShard.find(dispatcher.shard);
        if (known != this->linksByShard.end() && known->second.address == dispatcher.address) {
            next.emplace(dispatcher.shard, std::move(known->second));
            continue;
        }
        next.emplace(dispatcher.shard, Link { dispatcher.shard, dispatcher.address, now, false, {} });
        changed.push_back(dispatcher.shard);
    }
    for (const auto& [name, link] : this->linksByShard) {
        if (!next.contains(name))
            changed.push_back(name);
    }
    this->linksByShard = std::move(next);
    return changed;
}

void DispatcherDirectory::onAnswer(const std::string& address, Instant now)
{
    for (auto& [shard, link] : this->linksByShard) {
        if (link.address != address)
            continue;
        link.heardAt = now;
        link.hasAnswered = true;
    }
}

void DispatcherDirectory::onLoads(const std::string& address, const std::vector<PoolLoad>& loads)
{
    for (auto& [shard, link] : this->linksByShard) {
        if (link.address == address)
            link.loads = loads;
    }
}

void DispatcherDirectory::excuseSilence(Instant now)
{
    for (auto& [shard, link] : this->linksByShard)
        link.heardAt = now;
}

const DispatcherDirectory::Link* DispatcherDirectory::find(const std::string& shard) const
{
    auto position = this->linksByShard.find(shard);
    return position == this->linksByShard.end() ? nullptr : &position->second;
}

std::vector<DispatcherDirectory::Candidate> DispatcherDirectory::candidates(const std::string& pool, const std::vector<std::string>& excludedShards, Instant now) const
{
    std::vector<Candidate> found;
    for (const auto& [shard, link] : this->linksByShard) {
        if (!this->isFresh(link, now) || std::find(excludedShards.begin(), excludedShards.end(), shard) != excludedShards.end())
            continue;
        auto load = std::find_if(link.loads.begin(), link.loads.end(), [&](const auto& entry) { return entry.pool == pool; });
        if (load != link.loads.end())
            found.push_back(Candidate { &link, static_cast<double>(load->capacity), static_cast<double>(load->backlogMilliseconds) });
    }
    return found;
}

// Where no dispatcher has told of targets for a pool, any may learn of them.
const DispatcherDirectory::Link* DispatcherDirectory::latestHeard() const
{
    const Link* latest = nullptr;
    auto rank = [this](const Link& link) { return std::pair(link.heardAt, link.shard == this->ownShard); };
    for (const auto& [shard, link] : this->linksByShard) {
        if (!latest || rank(link) > rank(*latest))
            latest = &link;
    }
    return latest;
}

const DispatcherDirectory::Link* DispatcherDirectory::choose(const std::string& pool, const std::vector<std::string>& excludedShards, Instant now)
{
    auto found = this->candidates(pool, excludedShards, now);
    if (found.empty())
        return excludedShards.empty() ? this->latestHeard() : nullptr;
    auto least = std::min_element(found.begin(), found.end(), [](const auto& a, const auto& b) { return a.backlogMilliseconds < b.backlogMilliseconds; })->backlogMilliseconds;
    std::vector<double> weights;
    for (const auto& candidate : found) {
        auto more = candidate.backlogMilliseconds - least;
        if (candidate.link->shard == this->ownShard && more <= toMilliseconds(this->options.ownShardAllowance))
            return candidate.link;
        weights.push_back(candidate.capacity * std::exp(-more / toMilliseconds(this->options.backlogScale)));
    }
    std::discrete_distribution<size_t> draw(weights.begin(), weights.end());
    return found[draw(this->random)].link;
}

}
