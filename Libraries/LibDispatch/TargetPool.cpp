#include <LibBase/Try.h>
#include <LibDispatch/TargetPool.h>
#include <algorithm>
#include <cmath>

namespace Sassafrasshift::Dispatch {

// Targets are sorted into buckets by slowness. One bucket spans 4 %, and slowness is clamped to the range from 1/40 to 40
// times that of a reference target.
static constexpr double bucketBase = 1.04;
static constexpr double slownessRange = 40.0;
// The weight of a new sample in the slowness estimate of a target that has many samples. The mean run time of a kind uses a
// tenth of this weight.
static constexpr double minimumSampleWeight = 0.02;
// The share by which the estimated slowness of a target without samples is lowered. The share falls with the square root of
// the number of samples. Without this bonus, a fast target whose first tasks happened to be long would not be tried again
// (compare Auer et al., "Finite-time Analysis of the Multiarmed Bandit Problem", 2002).
static constexpr double explorationBonus = 0.6;
// The weight of waiting time relative to additional run time. It is large because run times are not known in advance, and
// the same wait is a larger share of the ideal response time for a short request than for a long one.
static constexpr double waitingWeight = 64;
// The maximum sum of grants in progress and consecutive failures for a target that has not succeeded yet, or whose last
// result was a failure.
static constexpr uint32_t unprovenTargetLimit = 4;

// The largest number of free slots that is announced, which limits what another dispatcher hands over at once.
static constexpr int64_t maximumAnnouncedSlots = 64;

static int bucketOf(double slowness, int bucketCount)
{
    auto clamped = std::clamp(slowness, 1 / slownessRange, slownessRange);
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

bool TargetPool::acceptsWork(const Target& target) const
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

void TargetPool::removeCandidate(Target& target)
{
    if (!target.isCandidate)
        return;
    target.isCandidate = false;
    this->candidates.erase(CandidateKey { target.bucket, target.lastUseSequence, &target });
}

void TargetPool::addCandidateIfEligible(Target& target)
{
    auto free = target.report.capacity.minus(target.inUse);
    bool eligible = this->acceptsWork(target) && free.milliCores > 0;
    if (target.onProbation)
        eligible = eligible && target.grants == 0;
    else if (target.successes == 0 || target.consecutiveFailures > 0)
        eligible = eligible && target.grants + target.consecutiveFailures < unprovenTargetLimit;
    if (!eligible)
        return;
    target.isCandidate = true;
    this->candidates.insert(CandidateKey { target.bucket, target.lastUseSequence, &target });
}

void TargetPool::updateTarget(const Membership::TargetReport& report, Instant now)
{
    auto position = this->targets.find(report.identity);
    // A restarted target no longer runs the work of its former process, and its speed may differ.
    if (position != this->targets.end() && position->second->report.incarnation != report.incarnation) {
        this->remove(position);
        position = this->targets.end();
    }
    bool isNew = position == this->targets.end();
    if (isNew) {
        position = this->targets.emplace(report.identity, std::make_unique<Target>()).first;
        position->second->bucket = bucketOf(1 - explorationBonus, bucketCount);
    }
    auto& target = *position->second;
    target.leaseUntil = now + this->limits.lease;
    if (!isNew && target.report == report)
        return;
    this->removeCandidate(target);
    if (!isNew) {
        if (this->acceptsWork(target))
            this->addCapacity(target, -1);
        if (--this->targetsByCapacity[target.report.capacity] == 0)
            this->targetsByCapacity.erase(target.report.capacity);
    }
    target.report = report;
    ++this->targetsByCapacity[report.capacity];
    if (this->acceptsWork(target))
        this->addCapacity(target, 1);
    this->addCandidateIfEligible(target);
}

void TargetPool::remove(std::map<std::string, std::unique_ptr<Target>>::iterator position)
{
    auto& target = *position->second;
    this->removeCandidate(target);
    if (this->acceptsWork(target))
        this->addCapacity(target, -1);
    if (target.ejected)
        --this->ejectedTargets;
    if (--this->targetsByCapacity[target.report.capacity] == 0)
        this->targetsByCapacity.erase(target.report.capacity);
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
            if (this->acceptsWork(target))
                this->addCapacity(target, 1);
            this->addCandidateIfEligible(target);
        }
    }
}

// The caller has found all faster targets busy. With q requests waiting, a request gets a slot on one of them after about
// q / rate mean run times and then runs there for cores / rate mean run times on average. A slot on the slow target is worth
// using if the request finishes sooner there: slowness < (cores + q) / rate (compare Larsen and Agrawala, "Control of a
// Heterogeneous Two-Server Exponential Queueing System", 1983). The term for q has the weight `waitingWeight`.
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
    return slowness * rate <= cores + waitingWeight * static_cast<double>(waiting + 1);
}

TargetPool::Target* TargetPool::choose(const Catalog::Resources& needs, const std::vector<std::string>& excluded, size_t waiting)
{
    for (const auto& key : this->candidates) {
        auto& target = *key.target;
        if (!needs.fitInto(target.report.capacity.minus(target.inUse)))
            continue;
        if (std::find(excluded.begin(), excluded.end(), target.report.identity) != excluded.end())
            continue;
        // Waiting for a faster target makes sense only if every target could run the request. The candidates are sorted
        // from the fastest to the slowest: if this one is not worth using, the later ones are not either.
        bool mayWait = excluded.empty() && this->fitsEveryTarget(needs);
        return !mayWait || this->isWorthUsing(key.bucket, waiting) ? &target : nullptr;
    }
    return nullptr;
}

void TargetPool::reserve(Target& target, const Catalog::Resources& needs)
{
    this->removeCandidate(target);
    target.inUse = target.inUse.plus(needs);
    ++target.grants;
    target.lastUseSequence = ++this->useCounter;
    this->addCandidateIfEligible(target);
}

void TargetPool::release(const std::string& identity, const std::string& incarnation, const Catalog::Resources& needs, const std::string& kind, const Release& release, Instant now)
{
    auto* target = this->find(identity);
    if (!target || target->report.incarnation != incarnation)
        return;
    this->removeCandidate(*target);
    target->inUse = target->inUse.minus(needs);
    --target->grants;
    if (release.result == WorkResult::Succeeded) {
        this->recordSuccess(*target);
        this->updateSpeedEstimate(*target, kind, static_cast<double>(release.runTime));
    } else if (release.result != WorkResult::Unused) {
        this->recordFailure(*target, now);
    }
    this->addCandidateIfEligible(*target);
}

// Called for successes only: a target that fails immediately must not look fast.
void TargetPool::updateSpeedEstimate(Target& target, const std::string& kind, double microseconds)
{
    if (microseconds <= 0)
        return;
    auto& statistics = this->statisticsByKind[kind];
    ++statistics.samples;
    double normalized = microseconds / target.slowness;
    double weight = std::max(1.0 / static_cast<double>(statistics.samples), minimumSampleWeight / 10);
    statistics.mean += (normalized - statistics.mean) * weight;
    ++target.samples;
    double sample = std::clamp(microseconds / statistics.mean, 1 / slownessRange, slownessRange);
    // The estimate starts as if one sample at the reference speed had been seen.
    double sampleWeight = std::max(1.0 / static_cast<double>(target.samples + 1), minimumSampleWeight);
    if (this->acceptsWork(target))
        this->addCapacity(target, -1);
    target.slowness += (sample - target.slowness) * sampleWeight;
    target.bucket = bucketOf(target.slowness * (1 - explorationBonus / std::sqrt(target.samples + 1.0)), bucketCount);
    if (this->acceptsWork(target))
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
    if (target.onProbation || target.consecutiveFailures >= this->limits.ejectionThreshold)
        this->eject(target, now);
}

void TargetPool::eject(Target& target, Instant now)
{
    auto maximumEjected = std::max(1.0, this->limits.maximumEjectedShare * static_cast<double>(this->targets.size()));
    if (static_cast<double>(this->ejectedTargets + 1) > maximumEjected)
        return;
    if (this->acceptsWork(target))
        this->addCapacity(target, -1);
    target.ejected = true;
    target.onProbation = false;
    ++this->ejectedTargets;
    auto duration = this->limits.baseEjectionTime * (1LL << std::min(target.ejections, 10U));
    target.ejectedUntil = now + std::min<Milliseconds>(duration, this->limits.maximumEjectionTime);
    ++target.ejections;
}

bool TargetPool::fitsEveryTarget(const Catalog::Resources& needs) const
{
    return std::all_of(this->targetsByCapacity.begin(), this->targetsByCapacity.end(), [&](const auto& entry) { return needs.fitInto(entry.first); });
}

bool TargetPool::canAnyTargetRun(const Catalog::Resources& needs) const
{
    return std::any_of(this->targetsByCapacity.begin(), this->targetsByCapacity.end(), [&](const auto& entry) { return needs.fitInto(entry.first); });
}

uint32_t TargetPool::usefulFreeSlots() const
{
    int64_t free = 0;
    for (const auto& key : this->candidates) {
        if (free >= maximumAnnouncedSlots || !this->isWorthUsing(key.bucket, 0))
            break;
        free += (key.target->report.capacity.milliCores - key.target->inUse.milliCores) / 1000;
    }
    return static_cast<uint32_t>(std::clamp<int64_t>(free, 0, maximumAnnouncedSlots));
}

Milliseconds TargetPool::expectedWait(size_t ahead, const std::string& kind) const
{
    auto position = this->statisticsByKind.find(kind);
    if (position == this->statisticsByKind.end() || this->totalRate <= 0)
        return Milliseconds(0);
    return Milliseconds(static_cast<int64_t>(static_cast<double>(ahead) * position->second.mean / this->totalRate / 1000.0));
}

}
