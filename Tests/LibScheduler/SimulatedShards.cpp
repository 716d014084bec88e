#include "SimulatedShards.h"
#include <algorithm>
#include <utility>

namespace Sassafrasshift::Scheduler {

static constexpr Milliseconds stepLength { 1 };
static constexpr Milliseconds tickInterval { 20 };
static constexpr Milliseconds answerTimeout { 350 };
// A link that gets no acknowledgement for this long is opened anew, and what was under way is lost.
static constexpr Milliseconds linkTimeout { 700 };
static constexpr Milliseconds linkRetry { 50 };
static constexpr Milliseconds pauseThreshold { 350 };

SimulatedShards::SimulatedShards(size_t count, size_t targetsPerShard, unsigned seed)
    : owner({}, Random(seed))
    , random(seed)
{
    for (size_t i = 0; i < count; ++i) {
        Shard shard;
        shard.name = "shard-" + std::to_string(i);
        for (size_t j = 0; j < targetsPerShard; ++j) {
            auto identity = shard.name + "-target-" + std::to_string(j);
            this->targets.emplace(identity, SimulatedTarget(identity, Catalog::Resources { 64'000, 1 << 30, 0 }));
            shard.targets.push_back(identity);
        }
        this->shards.push_back(std::move(shard));
    }
    for (auto& shard : this->shards)
        this->startDispatcher(shard);
}

void SimulatedShards::startDispatcher(Shard& shard)
{
    shard.address = shard.name + "-dispatcher-" + std::to_string(++shard.generation);
    shard.fence += 10;
    shard.startsAt = this->now;
    shard.scheduler = std::make_unique<TaskScheduler>(TaskScheduler::Options {});
    shard.transit = std::make_unique<TransitTimes>();
    for (const auto& identity : shard.targets)
        shard.scheduler->onReport(this->targets.at(identity).report(), this->now);
    shard.scheduler->activate(shard.fence, this->now);
}

void SimulatedShards::replaceDispatcher(size_t number, Milliseconds until)
{
    auto& shard = this->shards[number];
    shard.scheduler.reset();
    shard.address.clear();
    shard.startsAt = this->now + until;
}

void SimulatedShards::at(Instant when, std::function<void()> action)
{
    this->events.emplace(when, std::move(action));
}

void SimulatedShards::whenAwake(const std::string& process, std::function<void()> action)
{
    auto frozen = this->frozenUntil.find(process);
    if (frozen == this->frozenUntil.end() || frozen->second <= this->now)
        return action();
    this->at(frozen->second, [this, process, action = std::move(action)] { this->whenAwake(process, action); });
}

void SimulatedShards::deliver(const std::string& from, const std::string& to, Instant sentAt, std::function<void()> action)
{
    if (!this->isCut(from, to))
        return this->whenAwake(to, std::move(action));
    if (this->now - sentAt > linkTimeout)
        return;
    this->at(this->now + linkRetry, [this, from, to, sentAt, action = std::move(action)] { this->deliver(from, to, sentAt, action); });
}

void SimulatedShards::freeze(const std::string& process, Milliseconds duration)
{
    if (process.empty())
        return;
    this->frozenUntil[process] = this->now + duration;
}

// Whether the process stood still since it was last active; noticed before it does anything else.
bool SimulatedShards::noticePause(const std::string& process)
{
    auto [position, isNew] = this->lastActive.try_emplace(process, this->now);
    auto elapsed = this->now - std::exchange(position->second, this->now);
    return !isNew && elapsed >= pauseThreshold;
}

SimulatedShards::Shard* SimulatedShards::find(const std::string& address)
{
    auto position = std::find_if(this->shards.begin(), this->shards.end(), [&](const auto& shard) { return shard.address == address && shard.scheduler; });
    return position == this->shards.end() ? nullptr : &*position;
}

void SimulatedShards::submit(const Submission& submission)
{
    this->submissions.insert_or_assign(submission.job, submission);
    this->owner.add(submission, this->now + Milliseconds(submission.untilDeadline), this->now + Milliseconds(submission.untilObjective), this->now);
}

void SimulatedShards::wakeEntry()
{
    if (this->noticePause(entry))
        this->owner.onPause(this->now);
}

SimulatedShards::Shard* SimulatedShards::wakeShard(const std::string& address)
{
    auto* shard = this->find(address);
    if (shard && this->noticePause(address))
        shard->scheduler->onPause(this->now);
    return shard;
}

void SimulatedShards::carryOutEntry()
{
    auto effects = this->owner.takeEffects();
    auto sentAt = this->now;
    auto clock = std::chrono::duration_cast<Milliseconds>(sentAt.time_since_epoch());
    auto send = [&](const std::string& to, auto act) {
        this->at(this->now + Milliseconds(1), [this, to, sentAt, act] {
            this->deliver(entry, to, sentAt, [this, to, act] {
                if (auto* shard = this->wakeShard(to))
                    act(*shard);
            });
        });
    };
    auto isHeldUp = [this, clock](Shard& shard) { return shard.transit->excess(entry, 1, clock, this->now) > JobOwner::Options {}.maximumTransit; };
    for (const auto& handover : effects.handovers) {
        send(handover.dispatcher, [this, isHeldUp, submission = handover.submission](Shard& shard) {
            if (!isHeldUp(shard))
                shard.scheduler->submit(entry, submission, this->now);
        });
    }
    for (const auto& withdrawal : effects.withdrawals)
        send(withdrawal.dispatcher, [this, job = withdrawal.job](Shard& shard) { shard.scheduler->cancel(entry, job, this->now); });
    for (const auto& renewal : effects.renewals) {
        send(renewal.dispatcher, [this, isHeldUp, renewal](Shard& shard) {
            if (isHeldUp(shard))
                return;
            auto unknown = shard.scheduler->renew(entry, renewal.jobs, this->now, renewal.kind);
            this->deliver(shard.address, entry, this->now, [this, from = shard.address, unknown, loads = shard.scheduler->loads()] {
                this->wakeEntry();
                this->owner.onRenewed(from, unknown, loads, this->now);
            });
        });
    }
    for (const auto& answer : effects.answers)
        this->answers.insert_or_assign(answer.job, answer);
}

// The wait of a hold is left out: it is answered after a short pause.
void SimulatedShards::carryOut(Shard& shard)
{
    auto effects = shard.scheduler->takeEffects(this->now);
    auto address = shard.address;
    auto perform = [&](const auto& order, Milliseconds pause, auto act, auto take) {
        using Answer = decltype(act(this->targets.begin()->second, Instant {}));
        auto answered = std::make_shared<bool>(false);
        auto give = [this, address, answered, take](const Answer& answer) {
            this->whenAwake(address, [this, address, answered, take, answer] {
                auto* present = this->find(address);
                if (!std::exchange(*answered, true) && present)
                    take(*present, answer);
            });
        };
        auto delay = Milliseconds(1 + this->random() % 3) + pause;
        if (this->random() % 100 < 1)
            delay += Milliseconds(1000 + this->random() % 3000);
        this->at(this->now + delay, [this, address, order, act, give, sentAt = this->now] {
            this->deliver(address, order.place.identity, sentAt, [this, address, order, act, give] {
                auto answer = act(this->targets.at(order.place.identity), this->now);
                this->deliver(order.place.identity, address, this->now, [give, answer] { give(answer); });
            });
        });
        this->at(this->now + answerTimeout + pause, [give] { give(Answer { Unanswered {} }); });
    };
    for (const auto& order : effects.orders.starts) {
        const auto& submission = this->submissions.at(order.run.task.job);
        perform(
            order, Milliseconds(0), [needs = submission.needs, order, work = this->work](SimulatedTarget& target, Instant when) { return target.start(order, needs, work, false, when); },
            [this, order](Shard& present, const OrderAnswer& answer) { present.scheduler->onStartAnswer(order.place, order.run, answer, this->now); });
    }
    for (const auto& order : effects.orders.stops) {
        perform(
            order, Milliseconds(0), [order](SimulatedTarget& target, Instant when) { return target.stop(order, when); },
            [this, order](Shard& present, const OrderAnswer& answer) { present.scheduler->onStopAnswer(order.place, order.run, answer, this->now); });
    }
    for (const auto& order : effects.orders.holds) {
        perform(
            order, std::min(order.wait, Milliseconds(10)), [order](SimulatedTarget& target, Instant when) { return target.hold(order, when); },
            [this, order](Shard& present, const HoldAnswer& answer) { present.scheduler->onHoldAnswer(order.place, order.number, answer, this->now); });
    }
    for (const auto& notice : effects.notices)
        this->deliver(address, entry, this->now, [this, address, outcome = notice.outcome] {
            this->wakeEntry();
            this->owner.onOutcome(address, outcome, this->now);
        });
}

void SimulatedShards::tickShard(Shard& shard)
{
    if (!shard.scheduler && this->now >= shard.startsAt)
        this->startDispatcher(shard);
    if (!shard.scheduler)
        return;
    this->whenAwake(shard.address, [this, address = shard.address] {
        if (auto* present = this->wakeShard(address)) {
            present->scheduler->tick(this->now);
            this->carryOut(*present);
        }
    });
}

void SimulatedShards::step()
{
    this->now += stepLength;
    for (auto& [identity, target] : this->targets)
        target.advance(this->now);
    while (!this->events.empty() && this->events.begin()->first <= this->now) {
        auto action = std::move(this->events.begin()->second);
        this->events.erase(this->events.begin());
        action();
    }
    if (this->now.time_since_epoch() % tickInterval == Instant::duration(0)) {
        this->whenAwake(entry, [this] {
            std::vector<ShardDispatcher> present;
            for (const auto& shard : this->shards) {
                if (shard.scheduler)
                    present.push_back(ShardDispatcher { shard.name, shard.address });
            }
            this->wakeEntry();
            this->owner.follow(present, this->shards.front().name, this->now);
            this->owner.tick(this->now);
        });
        for (auto& shard : this->shards)
            this->tickShard(shard);
    }
    this->whenAwake(entry, [this] { this->carryOutEntry(); });
    this->copies = std::max(this->copies, countCopies(this->targets));
}

void SimulatedShards::run(Milliseconds duration)
{
    auto end = this->now + duration;
    while (this->now < end)
        this->step();
}

const JobOwner::Answer* SimulatedShards::answer(const std::string& job) const
{
    auto position = this->answers.find(job);
    return position == this->answers.end() ? nullptr : &position->second;
}

uint64_t SimulatedShards::startsOn(size_t number) const
{
    uint64_t starts = 0;
    for (const auto& identity : this->shards[number].targets)
        starts += this->targets.at(identity).starts;
    return starts;
}

}
