#include <LibScheduler/TargetSession.h>
#include <algorithm>
#include <utility>

namespace Sassafrasshift::Scheduler {

// How long a target gets nothing new after one failure; doubled with each further one.
static constexpr Milliseconds firstSetAside { 250 };
static constexpr Milliseconds maximumSetAside { 4000 };
// Failures in a row after which a target is set aside.
static constexpr int toleratedFailures { 2 };
static constexpr Milliseconds stopRepeat { 120 };

TargetSession::TargetSession(Membership::TargetReport report, uint64_t fence, LeaseOptions options, Instant now)
    : report(std::move(report))
    , options(options)
    , fence(fence)
{
    // Answers to an earlier session with the same target are told apart by their numbers.
    this->nextNumber = static_cast<uint64_t>(now.time_since_epoch().count());
    this->reclaim(fence, now);
}

TargetPlace TargetSession::place() const
{
    return TargetPlace { this->report.identity, this->report.incarnation, this->report.address };
}

void TargetSession::updateReport(const Membership::TargetReport& latest)
{
    if (latest.sequence >= this->report.sequence)
        this->report = latest;
}

void TargetSession::reclaim(uint64_t token, Instant now)
{
    if (this->phase == Phase::Gone)
        return;
    this->fence = token;
    this->phase = Phase::Claiming;
    this->openHold.reset();
    this->openProbe.reset();
    this->nextHold = now;
    this->expectUnknownLeases(now);
    this->sendHold(now);
}

// Another dispatcher may have granted leases up to now that are not known here.
void TargetSession::expectUnknownLeases(Instant now)
{
    this->leasesUnknownUntil = std::max(this->leasesUnknownUntil, now + this->options.maximumLease * (100 + this->options.clockDriftPercent) / 100);
}

bool TargetSession::mayStart(Instant now) const
{
    return this->phase == Phase::Claimed && this->unknownNeeds == 0 && !this->isSuspect && this->clock && now >= this->setAsideUntil
        && this->report.state == Membership::TargetState::Serving;
}

uint32_t TargetSession::runsOf(const std::string& job) const
{
    uint32_t count = 0;
    for (auto position = this->knownRuns.lower_bound(RunName { TaskName { job, 0, 0, 0 }, 0 }); position != this->knownRuns.end() && position->first.task.job == job; ++position)
        ++count;
    return count;
}

// The end of a lease that starts now, on the target's clock; noted as granted, since the order may arrive.
int64_t TargetSession::leaseEnd(Instant now)
{
    if (!this->clock)
        return 0;
    auto elapsed = std::chrono::duration_cast<Milliseconds>(now - this->clockReadAt);
    auto end = *this->clock + elapsed.count() + this->options.maximumLease.count();
    this->latestLeaseEnd = std::max(this->latestLeaseEnd, end);
    return end;
}

void TargetSession::observeClock(int64_t reading, Instant now)
{
    this->clock = reading;
    this->clockReadAt = now;
}

bool TargetSession::leasesLapsed(Instant now) const
{
    if (now < this->leasesUnknownUntil)
        return false;
    if (!this->clock)
        return true;
    auto remaining = Milliseconds(this->latestLeaseEnd - *this->clock) * (100 + this->options.clockDriftPercent) / 100;
    return now >= this->clockReadAt + remaining + Milliseconds(1);
}

TargetSession::OpenHold TargetSession::makeHold(Milliseconds wait, Instant now)
{
    OpenHold hold { this->nextNumber++, now };
    this->orders.holds.push_back(HoldOrder { this->place(), hold.number, this->fence, this->lastEndSeen, this->leaseEnd(now), wait });
    this->lastEndReported = this->lastEndSeen;
    return hold;
}

void TargetSession::sendHold(Instant now)
{
    bool settled = this->phase == Phase::Claimed && this->clock;
    this->openHold = this->makeHold(settled ? this->options.holdWait : Milliseconds(0), now);
}

// Asks what runs now, beside a hold that waits for an end.
void TargetSession::sendProbe(Instant now)
{
    this->openProbe = this->makeHold(Milliseconds(0), now);
}

void TargetSession::start(const RunName& name, const Catalog::Resources& needs, const std::string& payload, Instant now)
{
    Run run;
    run.needs = needs;
    run.since = now;
    this->knownRuns.emplace(name, run);
    this->used = this->used.plus(needs);
    this->orders.starts.push_back(StartOrder { this->place(), this->fence, name, payload, this->leaseEnd(now) });
}

void TargetSession::sendStop(const RunName& name, Run& run, Instant now)
{
    run.stopSentAt = now;
    this->orders.stops.push_back(StopOrder { this->place(), this->fence, name });
}

void TargetSession::stop(const RunName& name, Instant now)
{
    auto position = this->knownRuns.find(name);
    if (position == this->knownRuns.end() || position->second.state == RunState::Stopping || position->second.state == RunState::Uncertain)
        return;
    position->second.state = RunState::Stopping;
    this->sendStop(name, position->second, now);
}

void TargetSession::adopt(const RunName& name, const Catalog::Resources& needs)
{
    auto position = this->knownRuns.find(name);
    if (position == this->knownRuns.end() || position->second.state != RunState::Foreign)
        return;
    position->second.state = RunState::Running;
    this->learnNeeds(position->second, needs);
}

void TargetSession::learnNeeds(Run& run, const Catalog::Resources& needs)
{
    --this->unknownNeeds;
    run.needsKnown = true;
    run.needs = needs;
    this->used = this->used.plus(needs);
}

void TargetSession::finish(std::map<RunName, Run>::iterator position, std::optional<RunEnd> end, Instant now, bool staleNumber)
{
    const auto& run = position->second;
    if (!run.needsKnown)
        --this->unknownNeeds;
    this->used = this->used.minus(run.needs);
    // Where answers were missing, the run may have ended long ago.
    bool isKnown = run.startedAt != Instant {} && this->unansweredHolds == 0;
    auto duration = isKnown ? std::chrono::duration_cast<Milliseconds>(now - run.startedAt) : Milliseconds(0);
    this->events.push_back(Event { Event::Kind::Over, position->first, end, staleNumber, duration });
    this->knownRuns.erase(position);
}

void TargetSession::noteEvent(Event::Kind kind, const RunName& run)
{
    this->events.push_back(Event { kind, run, {}, false, {} });
}

void TargetSession::finishAll(std::optional<RunEnd> end, Instant now)
{
    while (!this->knownRuns.empty())
        this->finish(this->knownRuns.begin(), end, now);
}

void TargetSession::end()
{
    this->phase = Phase::Gone;
    this->openHold.reset();
    this->finishAll({}, {});
    this->noteEvent(Event::Kind::Gone);
}

void TargetSession::setAside(Milliseconds duration, Instant now)
{
    this->setAsideUntil = std::max(this->setAsideUntil, now + duration);
}

void TargetSession::countFailure(Instant now)
{
    ++this->consecutiveFailures;
    if (this->consecutiveFailures < toleratedFailures)
        return;
    int doublings = std::min(this->consecutiveFailures - toleratedFailures, 4);
    this->setAside(std::min(firstSetAside * (1 << doublings), maximumSetAside), now);
}

void TargetSession::onRefusal(OrderRefusal why, Instant now)
{
    switch (why) {
    case OrderRefusal::Fenced:
        if (this->phase != Phase::Fenced && this->phase != Phase::Gone) {
            this->phase = Phase::Fenced;
            this->openHold.reset();
            this->noteEvent(Event::Kind::Fenced);
        }
        return;
    case OrderRefusal::OtherIncarnation:
        this->end();
        return;
    case OrderRefusal::Unhealthy:
        this->countFailure(now);
        this->setAside(firstSetAside, now);
        return;
    case OrderRefusal::LeaseEnded:
    case OrderRefusal::NoRoom:
        // What is believed of the target is wrong: nothing is started before it has been asked again.
        if (this->phase == Phase::Claimed)
            this->reclaim(this->fence, now);
        return;
    case OrderRefusal::StaleRun:
    case OrderRefusal::Malformed:
        return;
    }
}

void TargetSession::onHoldAnswer(uint64_t number, const HoldAnswer& answer, Instant now)
{
    bool isProbe = this->openProbe && this->openProbe->number == number;
    bool isHold = this->openHold && this->openHold->number == number;
    if ((!isProbe && !isHold) || this->phase == Phase::Gone)
        return;
    auto hold = *std::exchange(isProbe ? this->openProbe : this->openHold, std::nullopt);
    if (const auto* list = std::get_if<RunList>(&answer)) {
        this->takeInAnswer(hold, *list, now);
        this->nextHold = now;
        return;
    }
    if (const auto* refused = std::get_if<Refused>(&answer)) {
        this->nextHold = now + this->options.claimRetry;
        this->onRefusal(refused->why, now);
        return;
    }
    if (isHold)
        this->onUnansweredHold(now);
}

void TargetSession::takeInAnswer(const OpenHold& hold, const RunList& list, Instant now)
{
    if (!list.incarnation.empty() && list.incarnation != this->report.incarnation)
        this->onRestart(list.incarnation);
    this->observeClock(list.clock, now);
    // What runs there was held by somebody else until this answer.
    if (this->phase != Phase::Claimed)
        this->expectUnknownLeases(now);
    if (this->phase != Phase::Claimed || this->unansweredHolds >= toleratedFailures)
        this->noteEvent(Event::Kind::Answering);
    this->phase = Phase::Claimed;
    this->takeIn(list, hold.sentAt, now);
    this->unansweredHolds = 0;
    this->isSuspect = false;
}

void TargetSession::onUnansweredHold(Instant now)
{
    ++this->unansweredHolds;
    this->nextHold = now + (this->knownRuns.empty() ? this->options.claimRetry : Milliseconds(0));
    if (this->unansweredHolds == toleratedFailures)
        this->noteEvent(Event::Kind::Silent);
    if (this->unansweredHolds >= toleratedFailures)
        this->setAside(this->options.claimRetry, now);
}

// Another process answers under the same identity: it knows nothing of earlier runs, and its counts begin anew.
void TargetSession::onRestart(const std::string& incarnation)
{
    this->report.incarnation = incarnation;
    this->report.sequence = 0;
    this->lastEndSeen = 0;
    this->lastEndReported = 0;
    this->latestLeaseEnd = 0;
}

void TargetSession::takeIn(const RunList& list, Instant sentAt, Instant now)
{
    for (const auto& ended : list.ended) {
        this->lastEndSeen = std::max(this->lastEndSeen, ended.sequence);
        auto position = this->knownRuns.find(ended.run);
        if (position == this->knownRuns.end())
            continue;
        if (ended.end == RunEnd::Failed)
            this->countFailure(now);
        else if (ended.end == RunEnd::Done)
            this->consecutiveFailures = 0;
        this->finish(position, ended.end, now);
    }
    this->takeInRunning(list, sentAt, now);
}

void TargetSession::takeInRunning(const RunList& list, Instant sentAt, Instant now)
{
    std::set<RunName> running(list.running.begin(), list.running.end());
    for (const auto& name : running) {
        auto [position, isNew] = this->knownRuns.try_emplace(name);
        position->second.seenAt = now;
        if (!isNew)
            continue;
        position->second.state = RunState::Foreign;
        position->second.needs = Catalog::Resources { 0, 0, 0 };
        position->second.needsKnown = false;
        position->second.since = now;
        ++this->unknownNeeds;
        this->noteEvent(Event::Kind::Found, name);
    }
    std::vector<RunName> absent;
    for (const auto& [name, run] : this->knownRuns) {
        if (running.contains(name))
            continue;
        // Only an answer to a question that was asked later than the run's state was confirmed says that it is over.
        bool wasConfirmed = (run.state == RunState::Running && run.startedAt < sentAt) || run.state == RunState::Foreign
            || (run.stopConfirmed && *run.stopConfirmed <= sentAt);
        if (wasConfirmed)
            absent.push_back(name);
    }
    for (const auto& name : absent)
        this->finish(this->knownRuns.find(name), {}, now);
}

void TargetSession::onStartAnswer(const RunName& name, const OrderAnswer& answer, Instant now)
{
    auto position = this->knownRuns.find(name);
    if (position == this->knownRuns.end())
        return;
    auto& run = position->second;
    if (const auto* obeyed = std::get_if<Obeyed>(&answer)) {
        this->observeClock(obeyed->clock, now);
        run.startedAt = now;
        if (run.state == RunState::Starting)
            run.state = RunState::Running;
        return;
    }
    if (const auto* refused = std::get_if<Refused>(&answer)) {
        this->finish(position, {}, now, refused->why == OrderRefusal::StaleRun);
        this->onRefusal(refused->why, now);
        return;
    }
    this->countFailure(now);
    if (std::get<Unanswered>(answer).verdict == Verdict::NotRun) {
        this->setAside(firstSetAside, now);
        this->finish(position, {}, now);
        return;
    }
    this->isSuspect = true;
    this->noteEvent(Event::Kind::StartUnanswered, name);
    // A stop that is answered keeps the start from being carried out later.
    run.state = RunState::Uncertain;
    this->sendStop(name, run, now);
}

void TargetSession::onStopAnswer(const RunName& name, const OrderAnswer& answer, Instant now)
{
    auto position = this->knownRuns.find(name);
    if (std::holds_alternative<Obeyed>(answer)) {
        if (position != this->knownRuns.end())
            position->second.stopConfirmed = now;
        if (position != this->knownRuns.end() && !this->openProbe)
            this->sendProbe(now);
        return;
    }
    if (const auto* refused = std::get_if<Refused>(&answer))
        this->onRefusal(refused->why, now);
}

bool TargetSession::needsHold() const
{
    return !this->knownRuns.empty() || this->lastEndSeen > this->lastEndReported || this->phase == Phase::Claiming;
}

void TargetSession::tick(Instant now)
{
    if (this->phase == Phase::Gone)
        return;
    auto latest = this->options.holdWait + this->options.answerTimeout + Milliseconds(50);
    for (auto open : { this->openHold, this->openProbe }) {
        if (open && now >= open->sentAt + latest)
            this->onHoldAnswer(open->number, Unanswered {}, now);
    }
    if (this->leasesLapsed(now) && !this->knownRuns.empty()) {
        this->finishAll(RunEnd::Lapsed, now);
        if (this->phase == Phase::Claimed)
            this->reclaim(this->fence, now);
    }
    if (this->phase == Phase::Fenced)
        return;
    std::vector<RunName> orphans;
    for (auto& [name, run] : this->knownRuns) {
        if (run.state == RunState::Foreign && now >= run.since + this->options.adoptionWait)
            orphans.push_back(name);
        bool unconfirmed = (run.state == RunState::Stopping || run.state == RunState::Uncertain) && !run.stopConfirmed;
        if (unconfirmed && run.stopSentAt && now >= *run.stopSentAt + stopRepeat)
            this->sendStop(name, run, now);
    }
    for (const auto& name : orphans)
        this->stop(name, now);
    if (!this->openHold && now >= this->nextHold && this->needsHold())
        this->sendHold(now);
}

std::vector<TargetSession::Event> TargetSession::takeEvents()
{
    return std::exchange(this->events, {});
}

TargetSession::Orders TargetSession::takeOrders()
{
    return std::exchange(this->orders, {});
}

}
