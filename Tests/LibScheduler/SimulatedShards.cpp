#include "SimulatedShards.h"
#include <algorithm>
#include <utility>

namespace Sassafrasshift::Scheduler {

static constexpr Milliseconds stepLength { 1 };
static constexpr Milliseconds tickInterval { 20 };
static constexpr Milliseconds answerTimeout { 350 };
// A link without acknowledgements is reconnected after this time, and the messages in transit are lost.
static constexpr Milliseconds linkTimeout { 700 };
static constexpr Milliseconds linkRetryInterval { 50 };
static constexpr Milliseconds pauseThreshold { 350 };
static constexpr Milliseconds gossipInterval { 500 };
// As in the service: how long a member that is not heard of counts as an entry host of its shard, and how a claim is raised.
static constexpr Milliseconds entryRetention { 1500 };
static constexpr Milliseconds raiseInterval { 200 };
static constexpr uint64_t maximumRaiseIntervals { 16 };
// A fencing token is an epoch and a claimant.
static constexpr uint64_t claimantCount { 10 };
// Leaves room for claims below the first one.
static constexpr uint64_t firstFence { 100 };
static constexpr Milliseconds clockInterval { 250 };

SimulatedShards::SimulatedShards(size_t count, size_t targetsPerShard, unsigned seed, size_t entryCount)
    : random(seed)
{
    for (size_t i = 0; i < entryCount; ++i)
        this->entries.push_back(Entry { i == 0 ? entry : "entry-" + std::to_string(i), std::make_unique<JobOwner>(JobOwner::Options {}), 1, {} });
    for (size_t i = 0; i < count; ++i) {
        Shard shard;
        shard.number = i;
        shard.fence = firstFence;
        shard.name = "shard-" + std::to_string(i);
        for (size_t j = 0; j < targetsPerShard; ++j) {
            auto identity = shard.name + "-target-" + std::to_string(j);
            this->targets.emplace(identity, SimulatedTarget(identity, Catalog::Resources { 64'000, 1 << 30, 0 }));
            shard.targets.push_back(identity);
        }
        Shard second;
        second.number = i;
        second.role = Role::Second;
        second.name = shard.name;
        second.targets = shard.targets;
        second.startsAt = Instant::max();
        this->shards.push_back(std::move(shard));
        this->seconds.push_back(std::move(second));
    }
    for (auto& shard : this->shards)
        this->startDispatcher(shard);
}

uint64_t SimulatedShards::highestFence(size_t number) const
{
    return std::max(this->shards[number].fence, this->seconds[number].fence);
}

void SimulatedShards::startDispatcher(Shard& shard)
{
    shard.address = shard.name + (shard.role == Role::First ? "-dispatcher-" : "-second-dispatcher-") + std::to_string(++shard.generation);
    shard.startsAt = this->now;
    shard.nextClock = this->now;
    shard.scheduler = std::make_unique<TaskScheduler>(TaskScheduler::Options {});
    for (const auto& identity : shard.targets)
        shard.scheduler->onReport(this->targets.at(identity).report(), this->now);
    this->claimWith(shard, (this->highestFence(shard.number) / claimantCount + 1) * claimantCount + static_cast<uint64_t>(shard.role));
}

void SimulatedShards::claimWith(Shard& shard, uint64_t fence)
{
    shard.fence = fence;
    if (!shard.scheduler->isActive())
        shard.activeSince = this->now;
    shard.scheduler->activate(fence, this->now);
    shard.home.begin(shard.name, fence, this->now);
}

void SimulatedShards::claim(size_t number, Role role)
{
    auto& claimant = this->dispatcher(number, role);
    auto& other = this->dispatcher(number, role == Role::First ? Role::Second : Role::First);
    if (!claimant.scheduler) {
        // Its host has heard of the entry hosts all the time.
        claimant.inbox = other.inbox;
        this->startDispatcher(claimant);
    } else {
        this->claimWith(claimant, (this->highestFence(number) / claimantCount + 1) * claimantCount + static_cast<uint64_t>(role));
    }
    this->views.insert_or_assign({ claimant.address, number }, role);
    this->views.insert_or_assign({ other.address, number }, other.role);
}

void SimulatedShards::claimBelow(size_t number, Role role)
{
    auto& other = this->dispatcher(number, role == Role::First ? Role::Second : Role::First);
    auto fence = other.fence;
    other.fence = 0;
    this->dispatcher(number, role).fence = fence - 2 * claimantCount;
    this->claim(number, role);
    other.fence = fence;
}

void SimulatedShards::setView(const std::string& member, size_t number, Role role, Milliseconds delay)
{
    this->schedule(this->now + delay, [this, member, number, role] {
        this->runWhenResumed(member, [this, member, number, role] {
            this->views.insert_or_assign({ member, number }, role);
            auto* outranked = this->find(member);
            if (!outranked || outranked->number != number || outranked->role == role || !isActive(this->dispatcher(number, role)))
                return;
            outranked->scheduler->deactivate();
            outranked->home.end();
        });
    });
}

void SimulatedShards::announceHighestClaim(size_t number, Milliseconds maximumDelay)
{
    auto delay = [&] { return Milliseconds(this->random() % static_cast<unsigned>(maximumDelay.count() + 1)); };
    const auto& first = this->shards[number];
    const auto& second = this->seconds[number];
    bool isSecond = isActive(second) && (!isActive(first) || second.fence > first.fence);
    auto highest = isSecond ? Role::Second : Role::First;
    for (const auto& member : this->entries)
        this->setView(member.name, number, highest, delay());
    for (const auto* dispatchers : { &this->shards, &this->seconds }) {
        for (const auto& member : *dispatchers) {
            if (isActive(member))
                this->setView(member.address, number, highest, delay());
        }
    }
}

const SimulatedShards::Shard* SimulatedShards::dispatcherSeenBy(const std::string& member, size_t number) const
{
    auto view = this->views.find({ member, number });
    auto role = view == this->views.end() ? Role::First : view->second;
    const auto& seen = this->dispatcher(number, role);
    if (isActive(seen))
        return &seen;
    const auto& other = this->dispatcher(number, role == Role::First ? Role::Second : Role::First);
    return isActive(other) ? &other : nullptr;
}

Milliseconds SimulatedShards::sinceHeartbeat(const std::string& observer, const std::string& member) const
{
    auto hidden = this->hiddenSince.find({ observer, member });
    return hidden == this->hiddenSince.end() ? Milliseconds(0) : std::chrono::duration_cast<Milliseconds>(this->now - hidden->second);
}

void SimulatedShards::replaceDispatcher(size_t number, Milliseconds delay)
{
    auto& shard = this->shards[number];
    shard.scheduler.reset();
    shard.address.clear();
    shard.startsAt = this->now + delay;
}

void SimulatedShards::replaceDispatcherHost(size_t number, Milliseconds delay)
{
    this->replaceDispatcher(number, delay);
    auto incarnation = ++this->shards[number].hostIncarnation;
    this->shards[number].inbox = EntryInbox { JobOwner::Options {}.scheduler.maximumTransitTime, incarnation };
}

void SimulatedShards::schedule(Instant when, std::function<void()> action)
{
    this->events.emplace(when, std::move(action));
}

void SimulatedShards::runWhenResumed(const std::string& process, std::function<void()> action)
{
    auto paused = this->pausedUntil.find(process);
    if (paused == this->pausedUntil.end() || paused->second <= this->now)
        return action();
    this->schedule(paused->second, [this, process, action = std::move(action)] { this->runWhenResumed(process, action); });
}

void SimulatedShards::deliver(const std::string& from, const std::string& to, Instant sentAt, std::function<void()> action)
{
    if (auto delay = this->linkDelay(from, to); delay.count() > 0 && sentAt == this->now)
        return this->schedule(this->now + delay, [this, from, to, sentAt, action = std::move(action)] { this->deliver(from, to, sentAt, action); });
    if (!this->isCut(from, to))
        return this->runWhenResumed(to, std::move(action));
    if (this->now - sentAt > linkTimeout)
        return;
    this->schedule(this->now + linkRetryInterval, [this, from, to, sentAt, action = std::move(action)] { this->deliver(from, to, sentAt, action); });
}

void SimulatedShards::pauseProcess(const std::string& process, Milliseconds duration)
{
    if (process.empty())
        return;
    this->pausedUntil[process] = this->now + duration;
}

// Returns whether the process was paused since it was last active. Called before the process does anything else.
bool SimulatedShards::detectPause(const std::string& process)
{
    auto [position, isNew] = this->lastActive.try_emplace(process, this->now);
    auto elapsed = this->now - std::exchange(position->second, this->now);
    return !isNew && elapsed >= pauseThreshold;
}

SimulatedShards::Shard* SimulatedShards::find(const std::string& address)
{
    for (auto* dispatchers : { &this->shards, &this->seconds }) {
        auto position = std::find_if(dispatchers->begin(), dispatchers->end(), [&](const auto& shard) { return shard.address == address && shard.scheduler; });
        if (position != dispatchers->end())
            return &*position;
    }
    return nullptr;
}

void SimulatedShards::submit(const Submission& submission, size_t number)
{
    this->submissions.insert_or_assign(submission.job, submission);
    auto& owner = this->entries[number].owner;
    if (!owner)
        return this->submitAgain(submission.job, number);
    this->entryByJob[submission.job] = number;
    if (!owner->contains(submission.job))
        owner->add(submission, this->now + Milliseconds(submission.untilDeadline), this->now + Milliseconds(submission.untilObjective), this->now);
}

void SimulatedShards::submitAgain(const std::string& job, size_t number)
{
    auto next = (number + (this->callersStayInShard ? this->shards.size() : 1)) % this->entries.size();
    ++this->resubmissions;
    this->schedule(this->now + callerRetryDelay, [this, job, next] {
        --this->resubmissions;
        this->submit(this->submissions.at(job), next);
    });
}

void SimulatedShards::moveCaller(const std::string& job, size_t nextEntry, Milliseconds retryDelay, std::optional<Milliseconds> detectionDelay)
{
    auto connection = this->entryByJob.extract(job);
    if (connection.empty())
        return;
    ++this->resubmissions;
    this->schedule(this->now + retryDelay, [this, job, nextEntry] {
        // An entry host reads the submission when it is not paused.
        this->runWhenResumed(this->entries[nextEntry].name, [this, job, nextEntry] {
            --this->resubmissions;
            (void)this->activateEntry(nextEntry, this->entries[nextEntry].incarnation);
            this->submit(this->submissions.at(job), nextEntry);
        });
    });
    if (!detectionDelay)
        return;
    auto number = connection.mapped();
    this->schedule(this->now + *detectionDelay, [this, job, number, incarnation = this->entries[number].incarnation] {
        this->runWhenResumed(this->entries[number].name, [this, job, number, incarnation] {
            // The caller may have come back.
            if (auto* active = this->activateEntry(number, incarnation); active && this->entryOfCaller(job) != number)
                active->owner->cancel(job);
        });
    });
}

std::optional<size_t> SimulatedShards::entryOfCaller(const std::string& job) const
{
    auto connection = this->entryByJob.find(job);
    return connection == this->entryByJob.end() ? std::nullopt : std::optional(connection->second);
}

void SimulatedShards::killEntry(size_t number, Milliseconds restartDelay)
{
    auto& killed = this->entries[number];
    if (!killed.owner)
        return;
    killed.owner.reset();
    killed.startsAt = this->now + restartDelay;
    this->pausedUntil.erase(killed.name);
    this->lastActive.erase(killed.name);
    auto lost = std::exchange(this->entryByJob, {});
    for (const auto& [job, connected] : lost) {
        if (connected == number)
            this->submitAgain(job, number);
        else
            this->entryByJob.emplace(job, connected);
    }
}

void SimulatedShards::loseCallers(size_t number, Milliseconds detectionDelay)
{
    auto name = this->entries[number].name;
    auto incarnation = this->entries[number].incarnation;
    auto lost = std::exchange(this->entryByJob, {});
    for (const auto& [job, connected] : lost) {
        if (connected != number) {
            this->entryByJob.emplace(job, connected);
            continue;
        }
        this->submitAgain(job, number);
        auto cancel = [this, number, incarnation, job = job] {
            if (auto* active = this->activateEntry(number, incarnation))
                active->owner->cancel(job);
        };
        this->runWhenResumed(name, [this, name, detectionDelay, cancel] { this->schedule(this->now + detectionDelay, [this, name, cancel] { this->runWhenResumed(name, cancel); }); });
    }
}

void SimulatedShards::startEntry(Entry& started)
{
    ++started.incarnation;
    started.clockEchoes = {};
    started.owner = std::make_unique<JobOwner>(JobOwner::Options {});
}

// Returns null if that process no longer runs.
SimulatedShards::Entry* SimulatedShards::activateEntry(size_t number, uint64_t incarnation)
{
    auto& active = this->entries[number];
    if (!active.owner || active.incarnation != incarnation)
        return nullptr;
    if (this->detectPause(active.name))
        active.owner->onPause(this->now);
    return &active;
}

void SimulatedShards::recordAnswer(const JobOwner::Answer& answer, size_t number)
{
    this->answersByJob.insert_or_assign(answer.job, answer);
    auto connection = this->entryByJob.find(answer.job);
    if (connection == this->entryByJob.end() || connection->second != number)
        return;
    this->entryByJob.erase(connection);
    if (this->callersRetryUnknownJobs && answer.kind == JobOwner::Answer::Kind::Unknown)
        this->submitAgain(answer.job, number);
}

SimulatedShards::Shard* SimulatedShards::activateShard(const std::string& address)
{
    auto* shard = this->find(address);
    if (shard && this->detectPause(address))
        shard->scheduler->onPause(this->now);
    return shard;
}

Milliseconds SimulatedShards::transitDelay(const std::string& dispatcher) const
{
    auto position = this->transitDelays.find(dispatcher);
    return position == this->transitDelays.end() ? Milliseconds(1) : position->second;
}

Milliseconds SimulatedShards::linkDelay(const std::string& from, const std::string& to) const
{
    auto position = this->linkDelays.find({ from, to });
    return position == this->linkDelays.end() ? Milliseconds(0) : position->second;
}

// Processes a message with one reading of the clock, after the halt that a test has asked for.
void SimulatedShards::haltWithinMessage(Shard& shard, std::function<void(Shard&, Instant now)> action)
{
    auto halt = this->haltsWithinMessage.extract(shard.address);
    if (halt.empty())
        return action(shard, this->now);
    this->pauseProcess(shard.address, halt.mapped());
    this->runWhenResumed(shard.address, [this, address = shard.address, receivedAt = this->now, action = std::move(action)] {
        if (auto* active = this->find(address))
            action(*active, receivedAt);
    });
}

void SimulatedShards::executeEntryEffects(size_t number)
{
    const auto& sender = this->entries[number];
    auto effects = sender.owner->takeEffects();
    auto sentAt = this->now;
    auto send = [&](const std::string& to, auto execute) {
        this->schedule(this->now + this->transitDelay(to) + this->linkDelay(sender.name, to), [this, name = sender.name, to, sentAt, execute] {
            this->deliver(name, to, sentAt, [this, to, execute] {
                if (auto* shard = this->activateShard(to))
                    execute(*shard);
            });
        });
    };
    for (auto& handover : effects.handovers) {
        handover.submission.entryIncarnation = sender.incarnation;
        handover.submission.placement.entry = sender.name;
        const auto& request = handover.submission.placement;
        auto home = std::find_if(this->shards.begin(), this->shards.end(), [&](const auto& shard) { return request.isRequested && shard.name == request.homeShard; });
        handover.submission.echo = this->echoFor(sender, home == this->shards.end() ? handover.dispatcher : home->address, handover.submission.sentAt);
        send(handover.dispatcher, [this, name = sender.name, submission = handover.submission](Shard& shard) {
            this->haltWithinMessage(shard, [this, name, submission](Shard& active, Instant receivedAt) { this->submitTo(active, name, submission, receivedAt); });
        });
    }
    for (const auto& cancellation : effects.cancellations)
        send(cancellation.dispatcher, [this, name = sender.name, cancellation](Shard& shard) { shard.home.cancel(*shard.scheduler, name, cancellation.job, cancellation.hasNotRun, this->now); });
    for (const auto& renewal : effects.renewals) {
        auto echo = this->echoFor(sender, renewal.dispatcher, renewal.sentAt);
        send(renewal.dispatcher, [this, number, name = sender.name, incarnation = sender.incarnation, renewal, echo](Shard& shard) {
            this->haltWithinMessage(shard, [this, number, name, incarnation, renewal, echo](Shard& active, Instant receivedAt) {
                RenewSubmissions message { renewal.jobs, renewal.kind, renewal.sentAt, incarnation, renewal.answeredRequest, renewal.placedJobs, echo };
                auto unknown = active.inbox.renew(active.home, *active.scheduler, name, message, receivedAt);
                if (!unknown || !isActive(active))
                    return;
                DispatcherState state { {}, std::chrono::duration_cast<Milliseconds>(this->now - active.activeSince), active.home.withRecords(*active.scheduler, *unknown), Milliseconds(renewal.sentAt) };
                this->deliver(active.address, name, this->now, [this, number, incarnation, from = active.address, unknown = *unknown, loads = active.scheduler->loads(), state] {
                    if (auto* answered = this->activateEntry(number, incarnation))
                        answered->owner->onRenewalAnswer(from, unknown, loads, this->now, state);
                });
            });
        });
    }
    for (const auto& answer : effects.answers)
        this->recordAnswer(answer, number);
}

// Submits a job to a dispatcher, which relays the request if it is not the home of the job.
void SimulatedShards::submitTo(Shard& shard, const std::string& from, const Submission& submission, Instant receivedAt)
{
    const auto& request = submission.placement;
    if (!request.isRequested || request.homeShard == shard.name) {
        (void)shard.inbox.submit(shard.home, *shard.scheduler, from, submission, receivedAt);
        return;
    }
    auto number = std::find_if(this->shards.begin(), this->shards.end(), [&](const auto& candidate) { return candidate.name == request.homeShard; })->number;
    const auto* home = this->dispatcherSeenBy(shard.address, number);
    if (!home)
        return;
    this->deliver(shard.address, home->address, this->now, [this, relay = shard.address, to = home->address, submission] {
        if (auto* active = this->activateShard(to))
            this->submitTo(*active, relay, submission, this->now);
    });
}

// The receiver is the entry host, or the dispatcher that has relayed its request.
void SimulatedShards::sendPlacement(const std::string& from, const std::string& to, const Placement& placement)
{
    auto receiver = std::find_if(this->entries.begin(), this->entries.end(), [&](const auto& candidate) { return candidate.name == to; });
    if (receiver == this->entries.end()) {
        this->deliver(from, to, this->now, [this, to, placement] {
            if (this->activateShard(to))
                this->sendPlacement(to, placement.entry, placement);
        });
        return;
    }
    this->deliver(from, to, this->now, [this, from, number = static_cast<size_t>(receiver - this->entries.begin()), incarnation = receiver->incarnation, placement] {
        if (auto* active = this->activateEntry(number, incarnation))
            active->owner->onPlacement(from, placement, this->now);
    });
}

// The entry hosts that are alive, or are taken to be alive because they were recently.
std::vector<HomeReadiness::Contact> SimulatedShards::entriesOf(const Shard& shard) const
{
    std::vector<HomeReadiness::Contact> found;
    for (size_t i = shard.number; i < this->entries.size(); i += this->shards.size()) {
        auto age = this->sinceHeartbeat(shard.address, this->entries[i].name);
        if (this->entries[i].owner && age < entryRetention)
            found.push_back(HomeReadiness::Contact { this->entries[i].name, age });
    }
    return found;
}

std::vector<HomeReadiness::Contact> SimulatedShards::otherDispatchers(const Shard& shard) const
{
    std::vector<HomeReadiness::Contact> found;
    for (size_t number = 0; number < this->shards.size(); ++number) {
        const auto* other = this->dispatcherSeenBy(shard.address, number);
        if (number != shard.number && other)
            found.push_back(HomeReadiness::Contact { other->address, this->sinceHeartbeat(shard.address, other->address) });
    }
    return found;
}

// Where a test has set the view of a member, it learns the term of the dispatcher that it sees.
void SimulatedShards::observeTerms(Shard& shard)
{
    for (size_t number = 0; number < this->shards.size(); ++number) {
        const auto* seen = this->dispatcherSeenBy(shard.address, number);
        if (seen && this->views.contains({ shard.address, number }))
            shard.home.observeTerm(seen->name, seen->fence);
    }
}

// As DispatchService::raiseEpochIfFenced() does.
void SimulatedShards::raiseTermIfOutranked(Shard& shard)
{
    if (!shard.scheduler->hasFencedTargets() && !shard.home.state().isSuperseded()) {
        shard.raiseStep = 1;
        return;
    }
    if (this->now < shard.nextRaise)
        return;
    shard.nextRaise = this->now + raiseInterval * static_cast<int64_t>(std::min(shard.raiseStep, maximumRaiseIntervals));
    auto epoch = std::max(shard.fence / claimantCount + shard.raiseStep, shard.home.state().highestKnownTerm() / claimantCount);
    shard.raiseStep *= 2;
    this->claimWith(shard, epoch * claimantCount + static_cast<uint64_t>(shard.role));
}

void SimulatedShards::askDispatchers(Shard& shard)
{
    for (const auto& question : shard.home.takeQuestions(this->now)) {
        this->deliver(shard.address, question.to, this->now, [this, from = shard.address, question] {
            auto* asked = this->activateShard(question.to);
            auto response = asked ? asked->home.onPlacedJobsRequest(*asked->scheduler, question.request, this->now) : std::nullopt;
            if (!response)
                return;
            this->deliver(question.to, from, this->now, [this, from, answerer = question.to, response] {
                if (auto* asker = this->activateShard(from))
                    asker->home.onPlacedJobsResponse(answerer, *response, this->now);
            });
        });
    }
}

// Returns the additional delay of a stop order, or nothing if it is lost.
std::optional<Milliseconds> SimulatedShards::drawStopDelay()
{
    if (this->delayedStopPercent + this->lostStopPercent == 0)
        return Milliseconds(0);
    auto draw = this->random() % 100;
    if (draw < this->lostStopPercent)
        return {};
    return draw < this->lostStopPercent + this->delayedStopPercent ? Milliseconds(2000 + this->random() % 10'000) : Milliseconds(0);
}

// Does not simulate the full wait of a hold order: the target answers after a short pause.
void SimulatedShards::executeEffects(Shard& shard)
{
    auto effects = shard.scheduler->takeEffects(this->now);
    auto address = shard.address;
    auto perform = [&](const auto& order, Milliseconds pause, std::optional<Milliseconds> lateness, auto execute, auto handleAnswer) {
        using Answer = decltype(execute(this->targets.begin()->second, Instant {}));
        auto answered = std::make_shared<bool>(false);
        auto deliverAnswer = [this, address, answered, handleAnswer](const Answer& answer) {
            this->runWhenResumed(address, [this, address, answered, handleAnswer, answer] {
                auto* activeShard = this->find(address);
                if (!std::exchange(*answered, true) && activeShard)
                    handleAnswer(*activeShard, answer);
            });
        };
        auto delay = Milliseconds(1 + this->random() % 3) + pause + lateness.value_or(Milliseconds(0));
        if (this->random() % 100 < 1)
            delay += Milliseconds(1000 + this->random() % 3000);
        this->schedule(this->now + answerTimeout + pause, [deliverAnswer] { deliverAnswer(Answer { Unanswered {} }); });
        if (!lateness)
            return;
        this->schedule(this->now + delay, [this, address, order, execute, deliverAnswer, sentAt = this->now] {
            this->deliver(address, order.instance.identity, sentAt, [this, address, order, execute, deliverAnswer] {
                auto answer = execute(this->targets.at(order.instance.identity), this->now);
                this->deliver(order.instance.identity, address, this->now, [deliverAnswer, answer] { deliverAnswer(answer); });
            });
        });
    };
    for (const auto& order : effects.orders.starts) {
        const auto& submission = this->submissions.at(order.run.task.job);
        perform(
            order, Milliseconds(0), Milliseconds(0), [needs = submission.needs, order, runTime = this->runTime](SimulatedTarget& target, Instant when) { return target.start(order, needs, runTime, false, when); },
            [this, order](Shard& activeShard, const OrderAnswer& answer) { activeShard.scheduler->onStartAnswer(order.instance, order.run, answer, this->now); });
    }
    for (const auto& order : effects.orders.stops) {
        perform(
            order, Milliseconds(0), this->drawStopDelay(), [order](SimulatedTarget& target, Instant when) { return target.stop(order, when); },
            [this, order](Shard& activeShard, const OrderAnswer& answer) { activeShard.scheduler->onStopAnswer(order.instance, order.run, answer, this->now); });
    }
    for (const auto& order : effects.orders.holds) {
        perform(
            order, std::min(order.wait, Milliseconds(10)), Milliseconds(0), [order](SimulatedTarget& target, Instant when) { return target.hold(order, when); },
            [this, order](Shard& activeShard, const HoldAnswer& answer) { activeShard.scheduler->onHoldAnswer(order.instance, order.number, answer, this->now); });
    }
    for (const auto& answer : shard.home.takeAnswers())
        this->sendPlacement(address, answer.to, answer.placement);
    for (const auto& notice : effects.notices) {
        auto receiver = std::find_if(this->entries.begin(), this->entries.end(), [&](const auto& candidate) { return candidate.name == notice.entry; });
        this->deliver(address, notice.entry, this->now, [this, address, number = static_cast<size_t>(receiver - this->entries.begin()), incarnation = receiver->incarnation, outcome = notice.outcome] {
            if (auto* active = this->activateEntry(number, incarnation))
                active->owner->onOutcome(address, outcome, this->now);
        });
    }
    for (const auto& [name, request] : effects.renewalRequests) {
        auto receiver = std::find_if(this->entries.begin(), this->entries.end(), [&, name = name](const auto& candidate) { return candidate.name == name; });
        this->deliver(address, name, this->now, [this, address, number = static_cast<size_t>(receiver - this->entries.begin()), incarnation = receiver->incarnation, request = request] {
            if (auto* active = this->activateEntry(number, incarnation))
                active->owner->onRenewalRequest(address, request, this->now);
        });
    }
}

void SimulatedShards::tickShard(Shard& shard)
{
    if (!shard.scheduler && this->now >= shard.startsAt)
        this->startDispatcher(shard);
    if (!shard.scheduler)
        return;
    this->runWhenResumed(shard.address, [this, address = shard.address] {
        if (auto* activeShard = this->activateShard(address)) {
            if (!isActive(*activeShard))
                return;
            this->observeTerms(*activeShard);
            activeShard->home.setEntries(this->entriesOf(*activeShard));
            activeShard->home.setDispatchers(this->otherDispatchers(*activeShard));
            this->sendClock(*activeShard);
            activeShard->home.tick(*activeShard->scheduler, this->now);
            this->askDispatchers(*activeShard);
            activeShard->scheduler->tick(this->now);
            this->raiseTermIfOutranked(*activeShard);
            this->executeEffects(*activeShard);
        }
    });
}

// All members exchange messages that are not about jobs, also with a host that is not a dispatcher yet.
void SimulatedShards::sendGossip(Entry& sender)
{
    if (this->now < sender.nextGossip)
        return;
    sender.nextGossip = this->now + gossipInterval;
    auto clock = std::chrono::duration_cast<Milliseconds>(this->now.time_since_epoch());
    for (auto* dispatchers : { &this->shards, &this->seconds }) {
        for (auto& shard : *dispatchers) {
            this->schedule(this->now + Milliseconds(1) + this->linkDelay(sender.name, shard.address), [this, &shard, name = sender.name, incarnation = sender.incarnation, clock, sentAt = this->now] {
                auto record = [this, &shard, name, incarnation, clock] { shard.inbox.observe(name, incarnation, clock, this->now); };
                this->deliver(name, shard.address, sentAt, record);
            });
        }
    }
}

// Dispatchers send gossip, too, at first when they begin. Answers to renewals carry the clock as well; they add nothing here.
void SimulatedShards::sendClock(Shard& shard)
{
    if (this->now < shard.nextClock)
        return;
    shard.nextClock = this->now + clockInterval;
    auto clock = std::chrono::duration_cast<Milliseconds>(this->now.time_since_epoch());
    for (size_t i = 0; i < this->entries.size(); ++i) {
        this->schedule(this->now + Milliseconds(1) + this->linkDelay(shard.address, this->entries[i].name), [this, i, incarnation = this->entries[i].incarnation, from = shard.address, hostIncarnation = shard.hostIncarnation, clock, sentAt = this->now] {
            this->deliver(from, this->entries[i].name, sentAt, [this, i, incarnation, from, hostIncarnation, clock] {
                if (auto* active = this->activateEntry(i, incarnation))
                    active->clockEchoes.observe(from, hostIncarnation, clock, this->now);
            });
        });
    }
}

ClockEcho SimulatedShards::echoFor(const Entry& sender, const std::string& dispatcher, Milliseconds::rep sentAt) const
{
    return this->echoesClocks ? sender.clockEchoes.echoFor(dispatcher, Milliseconds(sentAt)) : ClockEcho {};
}

void SimulatedShards::tickEntry(size_t number)
{
    auto& ticked = this->entries[number];
    if (!ticked.owner && this->now >= ticked.startsAt)
        this->startEntry(ticked);
    if (!ticked.owner)
        return;
    this->runWhenResumed(ticked.name, [this, number, incarnation = ticked.incarnation] {
        auto* active = this->activateEntry(number, incarnation);
        if (!active)
            return;
        std::vector<ShardDispatcher> currentDispatchers;
        for (size_t shard = 0; shard < this->shards.size(); ++shard) {
            if (const auto* seen = this->dispatcherSeenBy(active->name, shard))
                currentDispatchers.push_back(ShardDispatcher { seen->name, seen->address });
        }
        this->sendGossip(*active);
        active->owner->updateDispatchers(currentDispatchers, this->shards[number % this->shards.size()].name, this->now);
        active->owner->tick(this->now);
        this->pauseProcess(active->name, std::exchange(active->haltWithinTick, Milliseconds(0)));
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
        for (size_t i = 0; i < this->entries.size(); ++i)
            this->tickEntry(i);
        for (auto* dispatchers : { &this->shards, &this->seconds }) {
            for (auto& shard : *dispatchers)
                this->tickShard(shard);
        }
    }
    for (size_t i = 0; i < this->entries.size(); ++i) {
        if (!this->entries[i].owner)
            continue;
        this->runWhenResumed(this->entries[i].name, [this, i, incarnation = this->entries[i].incarnation] {
            if (this->entries[i].owner && this->entries[i].incarnation == incarnation)
                this->executeEntryEffects(i);
        });
    }
    this->recordConcurrentRuns();
}

void SimulatedShards::recordConcurrentRuns()
{
    auto runs = countConcurrentRuns(this->targets);
    this->maximumRunsSeen = std::max(this->maximumRunsSeen, runs);
    if (runs <= 1)
        return;
    std::set<TaskId> seen;
    for (const auto& [identity, target] : this->targets) {
        for (const auto& [run, end] : target.running()) {
            if (!seen.insert(run.task).second)
                this->jobsSeenTwice.insert(run.task.job);
        }
    }
}

void SimulatedShards::run(Milliseconds duration)
{
    auto end = this->now + duration;
    while (this->now < end)
        this->step();
}

const JobOwner::Answer* SimulatedShards::answer(const std::string& job) const
{
    auto position = this->answersByJob.find(job);
    return position == this->answersByJob.end() ? nullptr : &position->second;
}

uint64_t SimulatedShards::startsOn(size_t number) const
{
    uint64_t starts = 0;
    for (const auto& identity : this->shards[number].targets)
        starts += this->targets.at(identity).starts;
    return starts;
}

}
