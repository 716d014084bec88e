#include <LibBase/Try.h>
#include <LibDispatch/TargetPool.h>
#include <algorithm>
#include <cmath>

namespace Sassafrasshift::Dispatch {

// One bucket of speed spans 4 %; the range is from 1/40 to 40 times a reference speed.
static constexpr double bucketBase = 1.04;
static constexpr double slowestFactor = 40.0;
// The weight of one new sample once many have been seen.
static constexpr double smoothing = 0.02;
// How far the speed of a target that few samples speak for is taken to be better than they say. Without it, a fast
// target whose first work happened to be long would not be tried again (compare Auer et al., "Finite-time Analysis of
// the Multiarmed Bandit Problem", 2002).
static constexpr double optimism = 0.6;
// What waiting counts against a longer run. Run times are not known beforehand, and the same wait is a larger part of a
// short request's ideal than of a long one's.
static constexpr double waitingCost = 64;
// What a target that has not yet succeeded may have in progress and failed together.
static constexpr uint32_t unprovenLimit = 4;

// Bounds what another dispatcher hands over at once.
static constexpr int64_t mostPlacesShown = 64;

static int bucketOf(double slowness, int bucketCount)
{
    auto clamped = std::clamp(slowness, 1 / slowestFactor, slowestFactor);
    return std::clamp(static_cast<int>(std::lround(std::log(clamped) / std::log(bucketBase))) + bucketCount / 2, 0, bucketCount - 1);
}

TargetPool::TargetPool(Limits limits)
    : limits(limits)
{
}

TargetPool::Target* TargetPool::find(const std::string& identity)
{
    auto position = this->targets.find(identity);
    return position == this->targets.end() ? nullptr : position->second.get();
}

bool TargetPool::takesWork(const Target& target) const
{
    return target.report.state == Membership::TargetState::Serving && !target.ejected;
}

void TargetPool::addCapacity(const Target& target, double sign)
{
    double cores = static_cast<double>(target.report.capacity.milliCores) / 1000.0;
    this->coresByBucket[static_cast<size_t>(target.bucket)] += sign * cores;
    this->rateByBucket[static_cast<size_t>(target.bucket)] += sign * cores / target.slowness;
    this->totalRate += sign * cores / target.slowness;
}

void TargetPool::unlist(Target& target)
{
    if (!target.listed)
        return;
    target.listed = false;
    this->listed.erase(ListKey { target.bucket, target.lastUsed, &target });
}

void TargetPool::updateListing(Target& target)
{
    auto free = target.report.capacity.minus(target.inUse);
    bool mayTakeMore = this->takesWork(target) && free.milliCores > 0;
    if (target.onProbation)
        mayTakeMore = mayTakeMore && target.grants == 0;
    else if (target.successes == 0 || target.consecutiveFailures > 0)
        mayTakeMore = mayTakeMore && target.grants + target.consecutiveFailures < unprovenLimit;
    if (!mayTakeMore)
        return;
    target.listed = true;
    this->listed.insert(ListKey { target.bucket, target.lastUsed, &target });
}

void TargetPool::announce(const Membership::TargetReport& report, Instant now)
{
    auto position = this->targets.find(report.identity);
    // A target that has started anew has none of the earlier work, and its speed may differ.
    if (position != this->targets.end() && position->second->report.incarnation != report.incarnation) {
        this->remove(position);
        position = this->targets.end();
    }
    bool isNew = position == this->targets.end();
    if (isNew) {
        position = this->targets.emplace(report.identity, std::make_unique<Target>()).first;
        position->second->bucket = bucketOf(1 - optimism, bucketCount);
    }
    auto& target = *position->second;
    target.leaseUntil = now + this->limits.lease;
    if (!isNew && target.report == report)
        return;
    this->unlist(target);
    if (!isNew) {
        if (this->takesWork(target))
            this->addCapacity(target, -1);
        if (--this->capacities[target.report.capacity] == 0)
            this->capacities.erase(target.report.capacity);
    }
    target.report = report;
    ++this->capacities[report.capacity];
    if (this->takesWork(target))
        this->addCapacity(target, 1);
    this->updateListing(target);
}

void TargetPool::remove(std::map<std::string, std::unique_ptr<Target>>::iterator position)
{
    auto& target = *position->second;
    this->unlist(target);
    if (this->takesWork(target))
        this->addCapacity(target, -1);
    if (target.ejected)
        --this->ejectedTargets;
    if (--this->capacities[target.report.capacity] == 0)
        this->capacities.erase(target.report.capacity);
    this->targets.erase(position);
}

void TargetPool::tick(Instant now)
{
    for (auto position = this->targets.begin(); position != this->targets.end();) {
        auto current = position++;
        auto& target = *current->second;
        if (now >= target.leaseUntil) {
            this->remove(current);
            continue;
        }
        if (target.ejected && now >= target.ejectedUntil) {
            target.ejected = false;
            target.onProbation = true;
            --this->ejectedTargets;
            if (this->takesWork(target))
                this->addCapacity(target, 1);
            this->updateListing(target);
        }
    }
}

// With q waiting, the first of them gets a place on one of the faster targets, all of which are busy, after about
// q / rate mean run times, and then runs there for cores / rate of them on average. The slow place is worth using
// where running there ends sooner: slowness < (cores + q) / rate (compare Larsen and Agrawala, "Control of a
// Heterogeneous Two-Server Exponential Queueing System", 1983).
bool TargetPool::isWorthUsing(int bucket, size_t waiting) const
{
    double cores = 0;
    double rate = 0;
    for (int faster = 0; faster < bucket; ++faster) {
        cores += this->coresByBucket[static_cast<size_t>(faster)];
        rate += this->rateByBucket[static_cast<size_t>(faster)];
    }
    if (rate <= 0)
        return true;
    double slowness = std::pow(bucketBase, bucket - bucketCount / 2);
    return slowness * rate <= cores + waitingCost * static_cast<double>(waiting + 1);
}

TargetPool::Target* TargetPool::choose(const Catalog::Resources& needs, const std::vector<std::string>& excluded, size_t waiting)
{
    for (const auto& key : this->listed) {
        auto& target = *key.target;
        if (!needs.fitInto(target.report.capacity.minus(target.inUse)))
            continue;
        if (std::find(excluded.begin(), excluded.end(), target.report.identity) != excluded.end())
            continue;
        // Waiting for a faster target makes sense only where any of them could take the request. Targets are looked at
        // from the fastest on, so that the first that is not worth using ends the search.
        bool mayWait = excluded.empty() && this->fitsEveryTarget(needs);
        return !mayWait || this->isWorthUsing(key.bucket, waiting) ? &target : nullptr;
    }
    return nullptr;
}

void TargetPool::occupy(Target& target, const Catalog::Resources& needs)
{
    this->unlist(target);
    target.inUse = target.inUse.plus(needs);
    ++target.grants;
    target.lastUsed = ++this->useCounter;
    this->updateListing(target);
}

void TargetPool::release(const std::string& identity, const std::string& incarnation, const Catalog::Resources& needs, const std::string& kind, const Release& release, Instant now)
{
    auto* target = this->find(identity);
    if (!target || target->report.incarnation != incarnation)
        return;
    this->unlist(*target);
    target->inUse = target->inUse.minus(needs);
    --target->grants;
    if (release.result == WorkResult::Succeeded) {
        this->recordSuccess(*target);
        this->learnRunTime(*target, kind, static_cast<double>(release.runTime));
    } else if (release.result != WorkResult::Unused) {
        this->recordFailure(*target, now);
    }
    this->updateListing(*target);
}

// Only useful answers teach a speed, so that a target that fails at once does not look fast.
void TargetPool::learnRunTime(Target& target, const std::string& kind, double microseconds)
{
    if (microseconds <= 0)
        return;
    auto& statistics = this->kinds[kind];
    ++statistics.samples;
    double normalized = microseconds / target.slowness;
    double weight = std::max(1.0 / static_cast<double>(statistics.samples), smoothing / 10);
    statistics.mean += (normalized - statistics.mean) * weight;
    ++target.samples;
    double sample = std::clamp(microseconds / statistics.mean, 1 / slowestFactor, slowestFactor);
    // The first samples count as if one at the reference speed had come before them.
    double sampleWeight = std::max(1.0 / static_cast<double>(target.samples + 1), smoothing);
    if (this->takesWork(target))
        this->addCapacity(target, -1);
    target.slowness += (sample - target.slowness) * sampleWeight;
    target.bucket = bucketOf(target.slowness * (1 - optimism / std::sqrt(target.samples + 1.0)), bucketCount);
    if (this->takesWork(target))
        this->addCapacity(target, 1);
}

void TargetPool::recordSuccess(Target& target)
{
    target.consecutiveFailures = 0;
    target.onProbation = false;
    target.ejections = 0;
    ++target.successes;
}

void TargetPool::recordFailure(Target& target, Instant now)
{
    ++target.consecutiveFailures;
    if (target.ejected)
        return;
    if (target.onProbation || target.consecutiveFailures >= this->limits.failuresUntilEjection)
        this->eject(target, now);
}

void TargetPool::eject(Target& target, Instant now)
{
    auto largest = std::max(1.0, this->limits.largestEjectedShare * static_cast<double>(this->targets.size()));
    if (static_cast<double>(this->ejectedTargets + 1) > largest)
        return;
    if (this->takesWork(target))
        this->addCapacity(target, -1);
    target.ejected = true;
    target.onProbation = false;
    ++this->ejectedTargets;
    auto duration = this->limits.firstEjection * (1LL << std::min(target.ejections, 10U));
    target.ejectedUntil = now + std::min<Milliseconds>(duration, this->limits.longestEjection);
    ++target.ejections;
}

bool TargetPool::fitsEveryTarget(const Catalog::Resources& needs) const
{
    return std::all_of(this->capacities.begin(), this->capacities.end(), [&](const auto& entry) { return needs.fitInto(entry.first); });
}

bool TargetPool::canEverRun(const Catalog::Resources& needs) const
{
    return std::any_of(this->capacities.begin(), this->capacities.end(), [&](const auto& entry) { return needs.fitInto(entry.first); });
}

uint32_t TargetPool::usefulFreePlaces() const
{
    int64_t free = 0;
    for (const auto& key : this->listed) {
        if (free >= mostPlacesShown || !this->isWorthUsing(key.bucket, 0))
            break;
        free += (key.target->report.capacity.milliCores - key.target->inUse.milliCores) / 1000;
    }
    return static_cast<uint32_t>(std::clamp<int64_t>(free, 0, mostPlacesShown));
}

Milliseconds TargetPool::expectedWait(size_t ahead, const std::string& kind) const
{
    auto position = this->kinds.find(kind);
    if (position == this->kinds.end() || this->totalRate <= 0)
        return Milliseconds(0);
    return Milliseconds(static_cast<int64_t>(static_cast<double>(ahead) * position->second.mean / this->totalRate / 1000.0));
}

}
