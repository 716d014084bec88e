#include <LibScheduler/Dispatcher/CapacityShares.h>
#include <algorithm>
#include <string_view>
#include <utility>

namespace Sassafrasshift::Scheduler {

static const CapacityShares::Share overflowShare { "other", "other" };

CapacityShares::CapacityShares(Options options)
    : options(options)
{
}

void CapacityShares::setWeights(std::map<std::string, double> domains, std::map<std::string, double> queues)
{
    this->domainWeights = std::move(domains);
    this->queueWeights = std::move(queues);
}

CapacityShares::Change CapacityShares::observe(bool isShort, double newCapacity, Instant now)
{
    this->capacity = newCapacity;
    if (isShort)
        this->lastShortAt = now;
    if (isShort && !this->sharing) {
        this->sharing = true;
        ++this->period;
        this->stepWidth = std::max(1.0, newCapacity * toMilliseconds(this->options.tagStep));
        // What was used before this shortage does not count in it.
        for (auto& [priority, level] : this->levels) {
            level.virtualTime = 0;
            level.waitingTags.clear();
            for (auto& [share, flow] : level.flows)
                flow.finish = 0;
        }
        for (auto& [share, guarantee] : this->guarantees)
            guarantee = Guarantee { guarantee.openJobs, 0, now };
        return Change::Began;
    }
    if (this->sharing && now - this->lastShortAt >= this->options.calmTime) {
        this->sharing = false;
        this->removeIdle();
        return Change::Ended;
    }
    return Change::None;
}

// Callers choose neither domains nor queues, but a configuration may have very many queues.
CapacityShares::Share CapacityShares::bounded(const Share& share) const
{
    if (this->guarantees.contains(share) || this->guarantees.size() < this->options.maximumShares)
        return share;
    return overflowShare;
}

double CapacityShares::weightOf(const std::map<std::string, double>& weights, const std::string& name)
{
    auto position = weights.find(name);
    return position == weights.end() ? 1 : position->second;
}

// A domain's weight is divided between its queues that have jobs.
double CapacityShares::weightOf(const Level& level, const Share& share) const
{
    double siblings = 0;
    for (auto position = level.flows.lower_bound(Share { share.domain, {} }); position != level.flows.end() && position->first.domain == share.domain; ++position)
        siblings += weightOf(this->queueWeights, position->first.queue);
    return weightOf(this->domainWeights, share.domain) * weightOf(this->queueWeights, share.queue) / siblings;
}

// The work that a share may have done ahead of other priorities, per millisecond. A queue's part is divided between the domains that ask for it.
double CapacityShares::guaranteedRate(const Share& share) const
{
    std::set<std::string_view> queues;
    double queueWeights = 0;
    double domainWeights = 0;
    for (const auto& [other, guarantee] : this->guarantees) {
        if (queues.insert(other.queue).second)
            queueWeights += weightOf(this->queueWeights, other.queue);
        if (other.queue == share.queue)
            domainWeights += weightOf(this->domainWeights, other.domain);
    }
    auto queuePart = weightOf(this->queueWeights, share.queue) / queueWeights;
    return this->capacity * this->options.guaranteedPart * queuePart * weightOf(this->domainWeights, share.domain) / domainWeights;
}

double CapacityShares::guaranteedCredit(const Share& share, Instant now) const
{
    auto rate = this->guaranteedRate(share);
    const auto& guarantee = this->guarantees.at(share);
    auto limit = rate * toMilliseconds(this->options.guaranteeRetention);
    return std::min(limit, guarantee.credit + rate * toMilliseconds(now - guarantee.updatedAt));
}

bool CapacityShares::takeGuarantee(const Share& share, double work, Instant now)
{
    auto& guarantee = this->guarantees.at(share);
    guarantee.credit = this->guaranteedCredit(share, now);
    guarantee.updatedAt = now;
    // A job may overdraw the credit, since its work may exceed the limit.
    if (guarantee.credit <= 0)
        return false;
    guarantee.credit -= work;
    return true;
}

CapacityShares::Position CapacityShares::add(const Share& asked, int64_t priority, double work, Instant now)
{
    Position position { this->bounded(asked), priority, std::max(work, 0.0) };
    auto& level = this->levels[priority];
    auto& flow = level.flows[position.share];
    ++flow.openJobs;
    ++this->guarantees.try_emplace(position.share, Guarantee { 0, 0, now }).first->second.openJobs;
    if (!this->sharing)
        return position;
    position.period = this->period;
    position.isGuaranteed = this->takeGuarantee(position.share, position.work, now);
    // A flow that was idle gets no credit for that time.
    position.tag = std::max(level.virtualTime, flow.finish);
    position.charge = position.work / this->weightOf(level, position.share);
    flow.finish = position.tag + position.charge;
    if (position.charge > 0)
        level.waitingTags.insert(position.tag);
    return position;
}

CapacityShares::Position CapacityShares::preview(const Share& asked, int64_t priority, Instant now) const
{
    Position position { this->bounded(asked), priority };
    if (!this->sharing)
        return position;
    position.isGuaranteed = this->guarantees.contains(position.share) && this->guaranteedCredit(position.share, now) > 0;
    auto level = this->levels.find(priority);
    if (level == this->levels.end())
        return position;
    auto flow = level->second.flows.find(position.share);
    position.tag = std::max(level->second.virtualTime, flow == level->second.flows.end() ? 0 : flow->second.finish);
    return position;
}

int64_t CapacityShares::stepsOf(double tag) const
{
    return static_cast<int64_t>(tag / this->stepWidth);
}

void CapacityShares::removeWaiting(Position& position)
{
    auto& level = this->levels[position.priority];
    auto tag = level.waitingTags.find(position.tag);
    if (tag != level.waitingTags.end())
        level.waitingTags.erase(tag);
    level.virtualTime = std::max(level.virtualTime, level.waitingTags.empty() ? position.tag : *level.waitingTags.begin());
    position.charge = 0;
}

void CapacityShares::onStarted(Position& position)
{
    if (position.charge > 0 && position.period == this->period)
        this->removeWaiting(position);
}

// Takes back the charge of a job that has not started.
void CapacityShares::refund(Position& position)
{
    if (position.charge <= 0 || position.period != this->period)
        return;
    this->levels[position.priority].flows[position.share].finish -= position.charge;
    if (position.isGuaranteed)
        this->guarantees[position.share].credit += position.work;
    this->removeWaiting(position);
}

void CapacityShares::onLate(Position& position)
{
    this->refund(position);
}

void CapacityShares::onEnded(Position& position)
{
    this->refund(position);
    --this->levels[position.priority].flows[position.share].openJobs;
    --this->guarantees[position.share].openJobs;
}

// While capacity is shared, idle flows keep what they have used.
void CapacityShares::removeIdle()
{
    for (auto& [priority, level] : this->levels)
        std::erase_if(level.flows, [](const auto& entry) { return entry.second.openJobs == 0; });
    std::erase_if(this->levels, [](const auto& entry) { return entry.second.flows.empty(); });
    std::erase_if(this->guarantees, [](const auto& entry) { return entry.second.openJobs == 0; });
}

void CapacityShares::count(const Share& share, const Counts& counts)
{
    bool isKnown = this->counts.contains(share) || this->counts.size() < this->options.maximumShares;
    auto& sum = this->counts[isKnown ? this->bounded(share) : overflowShare];
    sum.asked += counts.asked;
    sum.admitted += counts.admitted;
    sum.refused += counts.refused;
    sum.late += counts.late;
}

std::map<CapacityShares::Share, CapacityShares::Counts> CapacityShares::takeCounts()
{
    if (!this->sharing)
        this->removeIdle();
    return std::exchange(this->counts, {});
}

void CapacityShares::clear()
{
    this->sharing = false;
    this->levels.clear();
    this->guarantees.clear();
    this->counts.clear();
}

}
