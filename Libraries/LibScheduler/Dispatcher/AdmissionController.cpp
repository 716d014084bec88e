#include <LibScheduler/Dispatcher/AdmissionController.h>
#include <algorithm>
#include <cmath>

namespace Sassafrasshift::Scheduler {

// Entry hosts refuse the jobs above the level themselves, so a priority stays known for this time without submissions.
static constexpr Milliseconds priorityRetention { 60'000 };
static constexpr size_t maximumPriorities = 16;
// Some jobs are always admitted, whose messages show whether the lag has ended.
static constexpr double minimumPosition = 0.02;
// The growth of the admitted part at the first raise after a reduction. It doubles with each second one up to the largest, so that a load
// that persists is exceeded by little, and all is admitted within 2 s after it has ended.
static constexpr double firstGrowth = 0.05;
static constexpr double largestGrowth = 0.8;
// The admitted part that remains after a reduction, at the upper lag and at several times that.
static constexpr double gentleFactor = 0.8;
static constexpr double strongFactor = 0.5;
static constexpr double strongLagRatio = 3;
static constexpr double permillePerPriority = 1000;

AdmissionController::AdmissionController(Options options)
    : options(options)
{
}

void AdmissionController::observe(int64_t priority, Instant now)
{
    auto position = this->seenAt.find(priority);
    if (position != this->seenAt.end())
        position->second = now;
    else if (this->seenAt.size() < maximumPriorities)
        this->seenAt.emplace(priority, now);
}

std::vector<int64_t> AdmissionController::knownPriorities() const
{
    std::vector<int64_t> priorities;
    for (const auto& [priority, time] : this->seenAt)
        priorities.push_back(priority);
    return priorities;
}

bool AdmissionController::isAtMinimum() const
{
    return !this->currentLevel.admitsAll() && this->position <= minimumPosition;
}

void AdmissionController::reset()
{
    this->currentLevel = {};
    this->nextReduction = {};
    this->futileSince = {};
}

void AdmissionController::reduce(Milliseconds lag, double priorityCount, Instant now)
{
    if (now < this->nextReduction)
        return;
    if (this->isAtMinimum()) {
        this->futileSince = this->futileSince.value_or(now);
        if (now - *this->futileSince < this->options.futileTime)
            return;
        this->position = priorityCount;
        this->futileSince = {};
        this->lagIgnoredUntil = now + this->options.ignoredTime;
        return;
    }
    if (this->currentLevel.admitsAll())
        this->position = priorityCount;
    auto ratio = std::clamp(toMilliseconds(lag) / toMilliseconds(this->options.upperLag), 1.0, strongLagRatio);
    auto factor = gentleFactor - (gentleFactor - strongFactor) * (ratio - 1) / (strongLagRatio - 1);
    this->position = std::max(this->position * factor, minimumPosition);
    this->raises = 0;
    this->nextReduction = now + this->options.reductionInterval;
}

void AdmissionController::raise(double priorityCount)
{
    auto growth = std::min(std::ldexp(firstGrowth, static_cast<int>(this->raises / 2)), largestGrowth);
    this->position = std::min(this->position * (1 + growth), priorityCount);
    ++this->raises;
    this->futileSince = {};
}

AdmissionLevel AdmissionController::levelAt(const std::vector<int64_t>& priorities) const
{
    if (this->position >= static_cast<double>(priorities.size()))
        return {};
    auto admitted = std::floor(this->position);
    auto permille = static_cast<uint32_t>((this->position - admitted) * permillePerPriority);
    return AdmissionLevel { priorities[static_cast<size_t>(admitted)], permille };
}

bool AdmissionController::update(const LoadMonitor& load, Instant now)
{
    if (now < this->nextChange)
        return false;
    this->nextChange = now + this->options.interval;
    std::erase_if(this->seenAt, [&](const auto& entry) { return now - entry.second > priorityRetention; });
    auto priorities = this->knownPriorities();
    auto priorityCount = static_cast<double>(priorities.size());
    bool isLimited = !this->currentLevel.admitsAll();
    // Once less is admitted, a return of the lag needs no proof that it lasts.
    auto lag = isLimited ? load.recentLag() : load.sustainedLag();
    if (load.recentLag() < this->options.lowerLag)
        this->lagIgnoredUntil = {};
    if (lag > this->options.upperLag && now < this->lagIgnoredUntil)
        return false;
    if (lag > this->options.upperLag)
        this->reduce(lag, priorityCount, now);
    else if (isLimited && load.recentLag() < this->options.lowerLag)
        this->raise(priorityCount);
    else
        return false;
    auto formerLevel = this->currentLevel;
    this->currentLevel = this->levelAt(priorities);
    return this->currentLevel != formerLevel;
}

}
