#include "SimulatedTargets.h"
#include <algorithm>
#include <type_traits>
#include <utility>

namespace Sassafrasshift::Scheduler {

static constexpr Milliseconds stepLength { 1 };
static constexpr Milliseconds renewalInterval { 250 };
static constexpr int64_t maximumLeaseMilliseconds = 1000;
static constexpr int64_t milliCoresPerCore = 1000;

SimulatedTarget::SimulatedTarget(std::string identity, Catalog::Resources capacity)
    : identity(std::move(identity))
    , address("127.0.0.1:" + std::to_string(1000 + std::hash<std::string> {}(this->identity) % 60'000))
    , capacity(capacity)
{
}

Membership::TargetReport SimulatedTarget::report() const
{
    Membership::TargetReport report;
    report.identity = this->identity;
    report.incarnation = this->incarnation;
    report.pool = "pool";
    report.address = this->address;
    report.capacity = this->capacity;
    report.state = this->state;
    report.sequence = this->sequence;
    return report;
}

int64_t SimulatedTarget::clock(Instant now) const
{
    return std::chrono::duration_cast<Milliseconds>(now - this->startedAt).count();
}

void SimulatedTarget::finish(const RunId& id, RunEnd end)
{
    this->ended.push_back(EndedRun { this->nextEnd++, id, end });
    auto& highestEnded = this->highestEndedRuns[id.task];
    highestEnded = std::max(highestEnded, id.number);
    this->runs.erase(id);
    this->runTimes.erase(id);
    this->needs.erase(id);
}

void SimulatedTarget::advance(Instant now)
{
    auto elapsed = now - std::exchange(this->lastAdvancedAt, now);
    for (auto& [id, endsAt] : this->runs)
        endsAt += this->tasksStandStill ? elapsed : Instant::duration(0);
    auto running = this->runs;
    for (const auto& [id, endsAt] : running) {
        if (now >= endsAt)
            this->finish(id, this->failing[id] ? RunEnd::Failed : RunEnd::Done);
    }
    if (this->runs.empty() || this->clock(now) < this->leaseEnd)
        return;
    running = this->runs;
    for (const auto& [id, endsAt] : running)
        this->finish(id, RunEnd::Lapsed);
}

void SimulatedTarget::restart()
{
    this->runs.clear();
    this->runTimes.clear();
    this->needs.clear();
    this->ended.clear();
    this->highestEndedRuns.clear();
    this->nextEnd = 1;
    this->fence = 0;
    this->leaseEnd = 0;
    this->startedAt = this->lastAdvancedAt;
    this->incarnation = std::to_string(std::stoi(this->incarnation) + 1);
    this->sequence = 1;
}

void SimulatedTarget::extendLease(int64_t end, Instant now)
{
    this->leaseEnd = std::max(this->leaseEnd, std::min(end, this->clock(now) + maximumLeaseMilliseconds));
}

static void makeFirstRowsUnreadable(RunList& list)
{
    if (!list.running.empty())
        list.running.erase(list.running.begin());
    if (!list.ended.empty()) {
        list.lastReadableEnd = list.ended.front().sequence - 1;
        list.ended.erase(list.ended.begin());
    }
    list.isComplete = false;
}

HoldAnswer SimulatedTarget::hold(const HoldOrder& order, Instant now)
{
    this->advance(now);
    ++this->holds;
    if (order.fence < this->fence)
        return Refused { OrderRefusal::Fenced };
    this->fence = order.fence;
    this->extendLease(order.leaseEnd, now);
    std::erase_if(this->ended, [&](const auto& end) { return end.sequence <= order.lastEndSeen; });
    RunList list;
    list.clock = this->clock(now);
    list.incarnation = this->incarnation;
    for (const auto& [id, endsAt] : this->runs) {
        list.running.push_back(id);
        auto percent = static_cast<int>(100 - 100 * (endsAt - now) / this->runTimes.at(id));
        list.progress.emplace(id, this->reportsProgress ? percent : 0);
    }
    list.ended = this->ended;
    if (this->hasUnreadableRow)
        makeFirstRowsUnreadable(list);
    return list;
}

OrderAnswer SimulatedTarget::start(const StartOrder& order, const Catalog::Resources& wanted, Milliseconds runTime, bool fails, Instant now)
{
    this->advance(now);
    if (order.fence < this->fence)
        return Refused { OrderRefusal::Fenced };
    this->fence = order.fence;
    if (this->clock(now) >= order.leaseEnd)
        return Refused { OrderRefusal::LeaseExpired };
    if (this->runs.contains(order.run))
        return Acknowledged { this->clock(now) };
    auto highestEnded = this->highestEndedRuns.find(order.run.task);
    if (highestEnded != this->highestEndedRuns.end() && order.run.number <= highestEnded->second)
        return Refused { OrderRefusal::StaleRun };
    this->extendLease(order.leaseEnd, now);
    this->runs.emplace(order.run, now + runTime);
    this->needs.emplace(order.run, wanted);
    this->runTimes.emplace(order.run, runTime);
    this->failing[order.run] = fails;
    ++this->starts;
    Catalog::Resources used { 0, 0, 0 };
    for (const auto& [id, needed] : this->needs)
        used = used.plus(needed);
    this->overcommitted = this->overcommitted || !used.fitInto(this->capacity);
    return Acknowledged { this->clock(now) };
}

OrderAnswer SimulatedTarget::stop(const StopOrder& order, Instant now)
{
    this->advance(now);
    if (order.fence < this->fence)
        return Refused { OrderRefusal::Fenced };
    this->fence = order.fence;
    if (this->runs.contains(order.run))
        this->finish(order.run, RunEnd::Stopped);
    auto& highestEnded = this->highestEndedRuns[order.run.task];
    highestEnded = std::max(highestEnded, order.run.number);
    return Acknowledged { this->clock(now) };
}

bool SimulatedTarget::isRunning(const TaskId& task) const
{
    return std::any_of(this->runs.begin(), this->runs.end(), [&](const auto& entry) { return entry.first.task == task; });
}

SimulatedFleet::SimulatedFleet(size_t count, TaskScheduler::Options options)
{
    for (size_t i = 0; i < count; ++i)
        this->dispatchers.push_back(std::make_unique<TaskScheduler>(options));
    for (size_t i = 0; i < count; ++i)
        this->relayPaths.emplace_back(i + 1);
}

SimulatedTarget& SimulatedFleet::addTarget(std::string identity, int64_t cores)
{
    return this->targets.emplace(identity, SimulatedTarget(identity, Catalog::Resources { cores * milliCoresPerCore, 1 << 30, 0 })).first->second;
}

void SimulatedFleet::report()
{
    for (auto& dispatcher : this->dispatchers) {
        for (auto& [identity, target] : this->targets)
            dispatcher->onReport(target.report(), this->now);
    }
}

void SimulatedFleet::report(const Membership::TargetReport& report)
{
    for (auto& dispatcher : this->dispatchers)
        dispatcher->onReport(report, this->now);
}

void SimulatedFleet::announceEnd(const std::string& identity, const std::string& incarnation)
{
    for (auto& dispatcher : this->dispatchers)
        dispatcher->onTargetGone(identity, incarnation, this->now);
}

void SimulatedFleet::submit(size_t dispatcher, const Submission& submission)
{
    this->submissions.insert_or_assign(submission.job, submission);
    this->owner[submission.job] = dispatcher;
    this->dispatchers[dispatcher]->submit("entry", submission, this->now);
}

void SimulatedFleet::schedule(Milliseconds delay, std::function<void()> action)
{
    this->events.emplace(this->now + delay, std::move(action));
}

SimulatedFleet::OrderFault SimulatedFleet::faultOf(size_t dispatcher, const TargetInstance& instance, bool isStart) const
{
    return this->injectFault ? this->injectFault(dispatcher, instance, isStart) : OrderFault {};
}

// Runs the function in the process of a relay after the transit of a message, if it exists then, and after its pause.
void SimulatedFleet::runAtRelay(size_t relay, uint64_t process, std::function<void()> action)
{
    const auto& receiver = this->relays[relay];
    if (receiver.isPartitioned || receiver.process != process)
        return;
    if (receiver.pausedUntil <= this->now)
        return action();
    this->schedule(std::chrono::duration_cast<Milliseconds>(receiver.pausedUntil - this->now), [this, relay, process, action = std::move(action)] { this->runAtRelay(relay, process, action); });
}

void SimulatedFleet::completeCall(size_t number, const RelayedCalls::Call& call, RelayedAnswer answer)
{
    auto& dispatcher = *this->dispatchers[number];
    if (call.kind == RelayedCalls::Kind::Hold)
        dispatcher.onHoldAnswer(call.instance, call.holdNumber, toHoldAnswer(std::move(answer)), this->now);
    else if (call.kind == RelayedCalls::Kind::Start)
        dispatcher.onStartAnswer(call.instance, call.run, toOrderAnswer(std::move(answer)), this->now);
    else
        dispatcher.onStopAnswer(call.instance, call.run, toOrderAnswer(std::move(answer)), this->now);
}

void SimulatedFleet::returnThroughRelay(size_t number, size_t relay, uint64_t process, RelayedAnswer answer)
{
    static constexpr Milliseconds collectionTime { 3 };
    static constexpr unsigned twicePercent = 10;
    this->runAtRelay(relay, process, [this, number, relay, answer] {
        size_t copies = this->relayDelays() % 100 < twicePercent ? 2 : 1;
        for (size_t i = 0; i < copies; ++i) {
            this->schedule(collectionTime + Milliseconds(1 + this->relayDelays() % 5), [this, number, relay, answer] {
                auto& path = this->relayPaths[number];
                auto call = this->relays[relay].isPartitioned ? std::nullopt : path.calls.close(number + 1, answer.call, this->relays[relay].address);
                if (call)
                    this->completeCall(number, *call, answer);
                else
                    ++path.ignoredAnswers;
            });
        }
    });
}

template <typename Order, typename Answer>
void SimulatedFleet::sendThroughRelay(size_t number, const Order& order, Milliseconds timeout, std::function<void(std::function<void(Answer)>)> execute)
{
    static constexpr Milliseconds maximumTransitTime { 250 };
    auto& path = this->relayPaths[number];
    const auto& address = *path.assignment.relayFor(order.instance.identity);
    auto relay = static_cast<size_t>(std::find_if(this->relays.begin(), this->relays.end(), [&](const auto& candidate) { return candidate.address == address; }) - this->relays.begin());
    auto process = this->relays[relay].process;
    auto call = path.calls.open(order, address, timeout, this->now);
    this->schedule(Milliseconds(1 + this->relayDelays() % 5), [this, number, relay, process, call, execute, sentAt = this->now] {
        this->runAtRelay(relay, process, [this, number, relay, process, call, execute, sentAt] {
            ++this->relays[relay].ordersReceived;
            if (this->now - sentAt > maximumTransitTime)
                return this->returnThroughRelay(number, relay, process, RelayedAnswer { call, Unanswered { Verdict::NotRun } });
            execute([this, number, relay, process, call](const Answer& answer) {
                std::visit([&](const auto& outcome) { this->returnThroughRelay(number, relay, process, RelayedAnswer { call, outcome }); }, answer);
            });
        });
    });
}

void SimulatedFleet::updateRelays(size_t number)
{
    // A number of targets that needs three relays.
    static constexpr size_t targetCount = 75;
    auto& path = this->relayPaths[number];
    for (const auto& call : path.calls.takeExpired(this->now)) {
        ++path.unansweredCalls;
        this->completeCall(number, call, RelayedAnswer { 0, Unanswered { Verdict::MayHaveRun } });
    }
    std::vector<std::string> candidates;
    for (const auto& relay : this->relays) {
        if (!relay.isLeaving && !path.calls.isLost(relay.address, this->now))
            candidates.push_back(relay.address);
    }
    (void)path.assignment.update(candidates, "shard", targetCount);
}

// Does not simulate the full wait of a hold order: the target answers after a short pause, which limits the number of orders.
void SimulatedFleet::executeEffects(size_t number)
{
    auto& dispatcher = *this->dispatchers[number];
    static constexpr Milliseconds answerTimeout { 350 };
    // How long a dispatcher waits for the answers to relayed orders, beside RelayedCalls::relayTime.
    static constexpr Milliseconds startTimeout { 150 };
    static constexpr Milliseconds holdTimeout { 200 };
    // An order is received within this time or never, since the connection is given up then. The process that has received it may
    // carry it out later, as long as it exists.
    static constexpr Milliseconds maximumTransitTime { 150 };
    if (this->beforeEffects)
        this->beforeEffects(dispatcher);
    auto effects = dispatcher.takeEffects(this->now);
    if (this->onEffects)
        this->onEffects(effects);
    auto sendDirectly = [this, number](const auto& order, Milliseconds pause, bool isStart, auto execute, auto handleAnswer) {
        auto fault = this->faultOf(number, order.instance, isStart);
        if constexpr (std::is_same_v<std::decay_t<decltype(order)>, StopOrder>)
            fault.orderLost = fault.orderLost || this->stopsAreLost;
        using Answer = decltype(execute(this->targets.begin()->second, Instant {}));
        auto handleTimeout = [handleAnswer] { handleAnswer(Answer { Unanswered {} }); };
        auto transit = std::min(fault.delay, maximumTransitTime);
        auto carryOut = [this, order, execute, handleAnswer, handleTimeout, fault](const std::string& receiver) {
            auto position = this->targets.find(order.instance.identity);
            if (position == this->targets.end() || position->second.address != order.instance.address || position->second.incarnation != receiver) {
                this->schedule(answerTimeout, handleTimeout);
                return;
            }
            auto answer = execute(position->second, this->now);
            if (!fault.answerLost && fault.delay + fault.answerDelay < answerTimeout)
                this->schedule(fault.answerDelay, [handleAnswer, answer] { handleAnswer(answer); });
        };
        if (!fault.orderLost) {
            this->schedule(transit, [this, order, carryOut, delay = fault.delay - transit + pause] {
                auto position = this->targets.find(order.instance.identity);
                auto receiver = position == this->targets.end() ? std::string() : position->second.incarnation;
                this->schedule(delay, [carryOut, receiver] { carryOut(receiver); });
            });
        }
        if (fault.orderLost || fault.answerLost || fault.delay + fault.answerDelay >= answerTimeout)
            this->schedule(answerTimeout + pause, handleTimeout);
    };
    auto perform = [&](const auto& order, Milliseconds pause, bool isStart, auto execute, auto handleAnswer) {
        using Answer = decltype(execute(this->targets.begin()->second, Instant {}));
        if (!this->relayPaths[number].assignment.relayFor(order.instance.identity))
            return sendDirectly(order, pause, isStart, execute, handleAnswer);
        this->sendThroughRelay<std::decay_t<decltype(order)>, Answer>(number, order, isStart ? startTimeout : holdTimeout + pause,
            [sendDirectly, order, pause, isStart, execute](const auto& relayAnswer) { sendDirectly(order, pause, isStart, execute, relayAnswer); });
    };
    for (const auto& order : effects.orders.starts) {
        auto submission = this->submissions.at(order.run.task.job);
        perform(
            order, Milliseconds(0), true, [this, order, submission](SimulatedTarget& target, Instant at) { return target.start(order, submission.needs, this->runTimeOf ? this->runTimeOf(order, target) : this->runTime, this->tasksFail, at); },
            [this, &dispatcher, order](const OrderAnswer& answer) { dispatcher.onStartAnswer(order.instance, order.run, answer, this->now); });
    }
    for (const auto& order : effects.orders.stops) {
        perform(
            order, Milliseconds(0), false, [order](SimulatedTarget& target, Instant at) { return target.stop(order, at); },
            [this, &dispatcher, order](const OrderAnswer& answer) { dispatcher.onStopAnswer(order.instance, order.run, answer, this->now); });
    }
    for (const auto& order : effects.orders.holds) {
        perform(
            order, std::min(order.wait, Milliseconds(10)), false, [order](SimulatedTarget& target, Instant at) { return target.hold(order, at); },
            [this, &dispatcher, order](const HoldAnswer& answer) { dispatcher.onHoldAnswer(order.instance, order.number, answer, this->now); });
    }
    for (const auto& notice : effects.notices)
        this->outcomes.insert_or_assign(notice.outcome.job, notice.outcome);
    for (const auto& [entry, request] : effects.renewalRequests) {
        this->schedule(Milliseconds(2), [this, number, request = request] {
            if (this->entriesRenew)
                this->renew(number, request);
        });
    }
}

size_t countConcurrentRuns(const SimulatedTargets& targets)
{
    size_t most = 0;
    std::map<TaskId, size_t> counts;
    for (const auto& [identity, target] : targets) {
        for (const auto& [id, endsAt] : target.running())
            most = std::max(most, ++counts[id.task]);
    }
    return most;
}

bool anyOvercommitted(const SimulatedTargets& targets)
{
    return std::any_of(targets.begin(), targets.end(), [](const auto& entry) { return entry.second.overcommitted; });
}

void SimulatedFleet::renew(size_t number, uint64_t answeredRequest)
{
    std::vector<std::string> open;
    for (const auto& [job, dispatcher] : this->owner) {
        if (dispatcher == number && !this->outcomes.contains(job))
            open.push_back(job);
    }
    (void)this->dispatchers[number]->renew("entry", open, this->now, TaskScheduler::RenewalKind::ExtendLease, answeredRequest);
}

void SimulatedFleet::step()
{
    this->now += stepLength;
    for (auto& [identity, target] : this->targets)
        target.advance(this->now);
    while (!this->events.empty() && this->events.begin()->first <= this->now) {
        auto action = std::move(this->events.begin()->second);
        this->events.erase(this->events.begin());
        action();
    }
    if (this->entriesRenew && this->now >= this->nextRenewal) {
        this->nextRenewal = this->now + renewalInterval;
        for (size_t i = 0; i < this->dispatchers.size(); ++i)
            this->renew(i, 0);
    }
    for (size_t i = 0; i < this->dispatchers.size(); ++i) {
        this->updateRelays(i);
        this->dispatchers[i]->tick(this->now);
        this->executeEffects(i);
    }
    this->maximumRunsSeen = std::max(this->maximumRunsSeen, countConcurrentRuns(this->targets));
}

void SimulatedFleet::run(Milliseconds duration)
{
    auto end = this->now + duration;
    while (this->now < end)
        this->step();
}

bool SimulatedFleet::runUntil(const std::function<bool()>& condition, Milliseconds limit)
{
    auto end = this->now + limit;
    while (!condition() && this->now < end)
        this->step();
    return condition();
}

const JobOutcome* SimulatedFleet::outcome(const std::string& job) const
{
    auto position = this->outcomes.find(job);
    return position == this->outcomes.end() ? nullptr : &position->second;
}

Submission makeJob(std::string name, uint32_t tasks, int64_t cores)
{
    Submission submission;
    submission.job = std::move(name);
    submission.queue = "queue";
    submission.pool = "pool";
    submission.taskCount = tasks;
    submission.needs = Catalog::Resources { cores * milliCoresPerCore, 0, 0 };
    submission.estimateMilliseconds = 100;
    submission.maximumFailures = 3;
    submission.untilDeadline = 60'000;
    submission.untilObjective = 500;
    return submission;
}

}
