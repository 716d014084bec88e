#include <LibScheduler/Entry/DispatcherDirectory.h>
#include <algorithm>
#include <cmath>
#include <utility>
#include <xxhash.h>

// Chooses the dispatcher of each job, and balances load between the shards.
namespace Sassafrasshift::Scheduler {

DispatcherDirectory::DispatcherDirectory(Options options)
    : options(options)
{
}

std::vector<std::string> DispatcherDirectory::updateDispatchers(const std::vector<ShardDispatcher>& currentDispatchers, std::string shard, Instant now)
{
    this->ownShard = std::move(shard);
    std::vector<std::string> changed;
    std::map<std::string, KnownDispatcher> next;
    for (const auto& dispatcher : currentDispatchers) {
        auto known = this->dispatchersByShard.find(dispatcher.shard);
        if (known != this->dispatchersByShard.end() && known->second.address == dispatcher.address) {
            next.emplace(dispatcher.shard, std::move(known->second));
            continue;
        }
        next.emplace(dispatcher.shard, KnownDispatcher { dispatcher.shard, dispatcher.address, now, false, {}, {} });
        changed.push_back(dispatcher.shard);
    }
    for (const auto& [name, dispatcher] : this->dispatchersByShard) {
        if (!next.contains(name))
            changed.push_back(name);
    }
    this->dispatchersByShard = std::move(next);
    return changed;
}

void DispatcherDirectory::onAnswer(const std::string& address, Instant now)
{
    for (auto& [shard, dispatcher] : this->dispatchersByShard) {
        if (dispatcher.address != address)
            continue;
        dispatcher.lastHeardAt = now;
        dispatcher.hasAnswered = true;
    }
}

void DispatcherDirectory::updateLoads(const std::string& address, const std::vector<PoolLoad>& loads)
{
    for (auto& [shard, dispatcher] : this->dispatchersByShard) {
        if (dispatcher.address != address)
            continue;
        dispatcher.loads = loads;
        dispatcher.loadsReportedAt = dispatcher.lastHeardAt;
    }
}

void DispatcherDirectory::resetSilenceTimeouts(Instant now)
{
    for (auto& [shard, dispatcher] : this->dispatchersByShard)
        dispatcher.lastHeardAt = now;
}

const DispatcherDirectory::KnownDispatcher* DispatcherDirectory::find(const std::string& shard) const
{
    auto position = this->dispatchersByShard.find(shard);
    return position == this->dispatchersByShard.end() ? nullptr : &position->second;
}

std::vector<DispatcherDirectory::Candidate> DispatcherDirectory::candidates(const std::string& pool, const std::vector<std::string>& excludedShards, Instant now) const
{
    std::vector<Candidate> found;
    for (const auto& [shard, dispatcher] : this->dispatchersByShard) {
        if (!this->isFresh(dispatcher, now) || std::find(excludedShards.begin(), excludedShards.end(), shard) != excludedShards.end())
            continue;
        auto load = std::find_if(dispatcher.loads.begin(), dispatcher.loads.end(), [&](const auto& entry) { return entry.pool == pool; });
        if (load != dispatcher.loads.end())
            found.push_back(Candidate { &dispatcher, static_cast<double>(load->capacity), static_cast<double>(load->backlogMilliseconds) });
    }
    return found;
}

bool DispatcherDirectory::anyAdmits(const std::string& pool, int64_t priority, std::string_view job, const std::vector<std::string>& excludedShards, Instant now) const
{
    std::vector<std::string> reachable;
    for (const auto& candidate : this->candidates(pool, excludedShards, now))
        reachable.push_back(candidate.dispatcher->address);
    if (reachable.empty()) {
        for (const auto& [shard, dispatcher] : this->dispatchersByShard) {
            if (std::find(excludedShards.begin(), excludedShards.end(), shard) == excludedShards.end())
                reachable.push_back(dispatcher.address);
        }
    }
    return std::any_of(reachable.begin(), reachable.end(), [&](const auto& address) { return this->admission.admits(address, priority, job, now); });
}

std::vector<std::string> DispatcherDirectory::excludeRefusing(const std::string& pool, int64_t priority, std::string_view job, const std::vector<std::string>& excludedShards, Instant now) const
{
    auto excluded = excludedShards;
    bool isAnyLeft = false;
    for (const auto& candidate : this->candidates(pool, excludedShards, now)) {
        if (this->admission.admits(candidate.dispatcher->address, priority, job, now))
            isAnyLeft = true;
        else
            excluded.push_back(candidate.dispatcher->shard);
    }
    return isAnyLeft ? excluded : excludedShards;
}

// Returns the dispatcher that has most recently answered or been added, or null if none is known. It gets the jobs of a pool for
// which no fresh dispatcher has reported targets, because any dispatcher may learn of such targets later. Among dispatchers with
// the same time, the dispatcher of this entry host's shard is preferred.
const DispatcherDirectory::KnownDispatcher* DispatcherDirectory::lastToAnswer() const
{
    const KnownDispatcher* latest = nullptr;
    auto rank = [this](const KnownDispatcher& dispatcher) { return std::pair(dispatcher.lastHeardAt, dispatcher.shard == this->ownShard); };
    for (const auto& [shard, dispatcher] : this->dispatchersByShard) {
        if (!latest || rank(dispatcher) > rank(*latest))
            latest = &dispatcher;
    }
    return latest;
}

// Returns a number in (0, 1) that is the same on all hosts.
static double hashToUnitInterval(const std::string& job, const std::string& shard)
{
    static constexpr unsigned mantissaBits = 53;
    auto hash = XXH3_64bits_withSeed(job.data(), job.size(), XXH3_64bits(shard.data(), shard.size()));
    return (static_cast<double>(hash >> (64 - mantissaBits)) + 0.5) / static_cast<double>(uint64_t { 1 } << mantissaBits);
}

DispatcherDirectory::Choice DispatcherDirectory::chooseWithReason(const std::string& job, const std::string& pool, const std::vector<std::string>& excludedShards, Instant now) const
{
    auto found = this->candidates(pool, excludedShards, now);
    if (found.empty())
        return Choice { excludedShards.empty() ? this->lastToAnswer() : nullptr, ShardChoice::Reason::LastToAnswer };
    auto smallestBacklog = std::min_element(found.begin(), found.end(), [](const auto& a, const auto& b) { return a.backlogMilliseconds < b.backlogMilliseconds; })->backlogMilliseconds;
    const KnownDispatcher* best = nullptr;
    double bestScore = 0;
    for (const auto& candidate : found) {
        auto excessBacklog = candidate.backlogMilliseconds - smallestBacklog;
        if (candidate.dispatcher->shard == this->ownShard && excessBacklog <= toMilliseconds(this->options.ownShardAllowance))
            return Choice { candidate.dispatcher, ShardChoice::Reason::OwnShard };
        auto weight = candidate.capacity * std::exp(-excessBacklog / toMilliseconds(this->options.backlogScale));
        // A change of one weight moves only jobs from or to that shard.
        auto score = -weight / std::log(hashToUnitInterval(job, candidate.dispatcher->shard));
        if (!best || score > bestScore) {
            best = candidate.dispatcher;
            bestScore = score;
        }
    }
    return Choice { best, this->reasonAgainstOwnShard(found, excludedShards, now) };
}

ShardChoice::Reason DispatcherDirectory::reasonAgainstOwnShard(const std::vector<Candidate>& found, const std::vector<std::string>& excludedShards, Instant now) const
{
    if (std::any_of(found.begin(), found.end(), [&](const auto& candidate) { return candidate.dispatcher->shard == this->ownShard; }))
        return ShardChoice::Reason::JobName;
    if (std::find(excludedShards.begin(), excludedShards.end(), this->ownShard) != excludedShards.end())
        return ShardChoice::Reason::OwnShardRefused;
    const auto* own = this->find(this->ownShard);
    if (!own)
        return ShardChoice::Reason::OwnShardUnknown;
    return this->isFresh(*own, now) ? ShardChoice::Reason::OwnShardWithoutTargets : ShardChoice::Reason::OwnShardNotFresh;
}

ShardChoice::KnownShard DispatcherDirectory::describe(const std::string& shard, const std::string& pool, Instant now) const
{
    ShardChoice::KnownShard known { shard, false, {}, {}, {} };
    const auto* dispatcher = this->find(shard);
    if (!dispatcher)
        return known;
    auto since = [&](Instant time) { return std::chrono::duration_cast<Milliseconds>(now - time); };
    known.isFresh = this->isFresh(*dispatcher, now);
    known.sinceAnswer = since(dispatcher->lastHeardAt);
    if (dispatcher->loadsReportedAt)
        known.sinceLoads = since(*dispatcher->loadsReportedAt);
    auto load = std::find_if(dispatcher->loads.begin(), dispatcher->loads.end(), [&](const auto& entry) { return entry.pool == pool; });
    if (load != dispatcher->loads.end())
        known.backlog = Milliseconds(load->backlogMilliseconds);
    return known;
}

ShardChoice DispatcherDirectory::explain(const Choice& choice, const std::string& pool, const std::vector<std::string>& excludedShards, Instant now) const
{
    ShardChoice explanation { choice.reason, this->describe(this->ownShard, pool, now), {}, {} };
    if (choice.dispatcher)
        explanation.chosen = this->describe(choice.dispatcher->shard, pool, now);
    for (const auto& candidate : this->candidates(pool, excludedShards, now)) {
        Milliseconds backlog { static_cast<Milliseconds::rep>(candidate.backlogMilliseconds) };
        explanation.smallestBacklog = std::min(explanation.smallestBacklog.value_or(backlog), backlog);
    }
    return explanation;
}

}
