#include "Cluster/DispatchService.h"
#include <LibScheduler/JobOwner.h>
#include <LibTelemetry/Log.h>
#include <arpa/inet.h>
#include <netinet/in.h>

namespace Sassafrasshift::Daemon {

using Telemetry::LogLevel;

// The lower part of a fencing token tells the claimants of one epoch apart.
static constexpr unsigned claimantBits = 24;
static constexpr uint64_t claimantMask = (1U << claimantBits) - 1;
// By then, hosts that take reports have told a member that came back of all targets.
static constexpr Milliseconds settlingTime { 3500 };
static constexpr Milliseconds descriptionInterval { 1000 };
static constexpr unsigned linesPerInterval = 300;
static constexpr Scheduler::JobOwner::Options entryOptions {};
static constexpr Milliseconds raiseInterval { 200 };
// The longest pause between two raises, in intervals: two dispatchers that reach the same targets must not chase each other.
static constexpr uint64_t longestRaisePause = 16;

static Scheduler::TaskScheduler::Options makeOptions(const Settings::ClusterSettings& settings)
{
    Scheduler::TaskScheduler::Options options;
    options.leases.maximumLease = std::min(settings.maximumLease, options.leases.maximumLease);
    options.leases.holdWait = std::min(options.leases.holdWait, options.leases.maximumLease / 2);
    options.leases.answerTimeout = Platform::TargetClient::holdTimeout;
    return options;
}

DispatchService::DispatchService(ClusterContext& context, Transport::HttpClient& client)
    : context(context)
    , targets(context.loop, client)
    , scheduler(makeOptions(context.settings))
{
}

// Unique to this host and its claim, and above all tokens of earlier claims.
uint64_t DispatchService::fencingToken() const
{
    auto endpoint = Transport::Endpoint::parse(this->context.ownAddress());
    uint64_t claimant = endpoint ? ntohl(endpoint->toSocketAddress().sin_addr.s_addr) & claimantMask : 0;
    return (this->activeEpoch << claimantBits) | claimant;
}

// An entry counts on it that a message which was held up has no effect.
bool DispatchService::isHeldUp(const std::string& from, uint64_t incarnation, Milliseconds::rep sentAt)
{
    if (this->transitTimes.excessTransitTime(from, incarnation, Milliseconds(sentAt), this->context.now()) <= entryOptions.maximumTransitTime)
        return false;
    this->context.metrics.count("held_up_messages_total");
    return true;
}

void DispatchService::onMessage(const std::string& from, const Scheduler::Submission& submission)
{
    if (this->isHeldUp(from, submission.entryIncarnation, submission.sentAt))
        return;
    this->scheduler.submit(from, submission, this->context.now());
    this->scheduleCarryOut();
}

void DispatchService::onMessage(const std::string& from, const CancelSubmission& cancel)
{
    this->scheduler.cancel(from, cancel.job, this->context.now());
    this->scheduleCarryOut();
}

void DispatchService::onMessage(const std::string& from, const RenewSubmissions& renewal)
{
    if (!this->scheduler.isActive() || this->isHeldUp(from, renewal.entryIncarnation, renewal.sentAt))
        return;
    auto unknown = this->scheduler.renew(from, renewal.jobs, this->context.now(), renewal.kind);
    this->context.send(from, RenewAnswer { std::move(unknown), this->scheduler.loads() });
    this->scheduleCarryOut();
}

void DispatchService::onMessage(const std::string& from, const ReportNotice& notice)
{
    this->scheduler.onReport(notice.report, this->context.now());
    if (notice.number != 0 && this->scheduler.isActive())
        this->context.send(from, ReportTaken { notice.number });
    this->scheduleCarryOut();
}

void DispatchService::onMessage(const std::string&, const TargetGone& gone)
{
    this->scheduler.onTargetGone(gone.identity, this->context.now());
    this->scheduleCarryOut();
}

void DispatchService::onMessage(const std::string& from, const TargetListAnswer& answer)
{
    for (const auto& report : answer.reports)
        this->scheduler.onReport(report, this->context.now());
    this->survey.onAnswer(from, answer.number);
    this->scheduleCarryOut();
}

std::vector<std::string> DispatchService::reportHosts(Instant now) const
{
    std::vector<std::string> hosts;
    for (const auto* member : this->context.cluster.alive(now)) {
        if (!member->isEntry)
            hosts.push_back(member->address);
    }
    return hosts;
}

void DispatchService::continueSurvey(Instant now)
{
    if (!this->scheduler.isActive())
        return;
    for (const auto& host : this->survey.takeHostsToAsk(now))
        this->context.send(host, TargetListRequest { this->survey.number() });
    // Where some hosts have not been alive for long, targets may have reported to nobody yet.
    this->scheduler.setKnowsAllTargets(this->context.cluster.isSettled(settlingTime, now) && this->survey.isComplete(this->reportHosts(now)));
}

void DispatchService::followClaim(Instant now)
{
    auto& cluster = this->context.cluster;
    auto shard = cluster.ownShard();
    const auto* dispatcher = cluster.dispatcher(shard, now);
    uint64_t claimed = dispatcher == &cluster.self() ? cluster.self().dispatchEpoch : 0;
    if (claimed == this->activeEpoch && shard == this->activeShard)
        return;
    // What was started for another shard is left to its dispatchers.
    if (this->activeEpoch != 0 && (claimed == 0 || shard != this->activeShard)) {
        Telemetry::log(LogLevel::Information, "dispatch-ended", "another member dispatches", { { "shard", this->activeShard }, { "dispatcher", dispatcher ? dispatcher->name : "" }, { "openJobs", std::to_string(this->scheduler.openJobs()) } });
        this->scheduler.deactivate();
    }
    this->activeEpoch = claimed;
    this->activeShard = shard;
    if (claimed == 0)
        return;
    Telemetry::log(LogLevel::Information, "dispatch-begun", "this member dispatches", { { "epoch", std::to_string(claimed) }, { "shard", shard } });
    this->scheduler.activate(this->fencingToken(), now, [&cluster, shard](const auto& report) { return cluster.shardFor(report.failureDomain) == shard; });
    this->survey.begin(this->reportHosts(now));
    this->continueSurvey(now);
}

void DispatchService::tick(Instant now)
{
    this->followClaim(now);
    this->continueSurvey(now);
    this->scheduler.tick(now);
    this->raiseFenceIfDue(now);
    this->carryOut();
    this->describe(now);
}

void DispatchService::onPause(Instant now)
{
    this->scheduler.onPause(now);
}

static std::string_view eventName(Scheduler::Decision::Kind kind)
{
    using Kind = Scheduler::Decision::Kind;
    switch (kind) {
    case Kind::TargetAnswers:
        return "target-answers";
    case Kind::TargetSilent:
        return "target-silent";
    case Kind::TargetGone:
        return "target-gone";
    case Kind::TargetFenced:
        return "target-fenced";
    case Kind::StartUnanswered:
        return "start-unanswered";
    case Kind::RunFailed:
        return "run-failed";
    case Kind::RunLost:
        return "run-lost";
    case Kind::RunAdopted:
        return "run-adopted";
    case Kind::JobRefused:
        return "job-refused";
    case Kind::JobFailed:
        return "job-failed";
    case Kind::JobDropped:
        return "job-dropped";
    }
    return "unknown";
}

// Bounded by a number of lines a second; what is left out is counted.
void DispatchService::logDecision(const Scheduler::Decision& decision)
{
    auto event = eventName(decision.kind);
    this->context.metrics.count("decisions_total{event=\"" + std::string(event) + "\"}");
    if (this->linesLeft == 0) {
        this->context.metrics.count("log_lines_dropped_total");
        return;
    }
    --this->linesLeft;
    Telemetry::log(LogLevel::Information, event, decision.cause,
        { { "job", decision.job }, { "task", std::to_string(decision.task) }, { "run", std::to_string(decision.run) }, { "target", decision.target }, { "epoch", std::to_string(this->activeEpoch) } });
}

void DispatchService::describe(Instant now)
{
    if (!this->scheduler.isActive() || now < this->nextDescription)
        return;
    this->nextDescription = now + descriptionInterval;
    this->linesLeft = linesPerInterval;
    auto counts = this->scheduler.countTargets(now);
    Telemetry::log(LogLevel::Information, "dispatch-state", "what the dispatcher holds",
        { { "openJobs", std::to_string(this->scheduler.openJobs()) }, { "waitingTasks", std::to_string(this->scheduler.waitingTasks()) }, { "runs", std::to_string(this->scheduler.openRuns()) },
            { "targets", std::to_string(counts.known) }, { "usable", std::to_string(counts.usable) }, { "slow", std::to_string(counts.slow) } });
}

// The orders of one turn of the loop leave together.
void DispatchService::scheduleCarryOut()
{
    if (this->carryOutScheduled)
        return;
    this->carryOutScheduled = true;
    this->context.loop.defer([this] {
        this->carryOutScheduled = false;
        this->carryOut();
    });
}

void DispatchService::carryOut()
{
    auto effects = this->scheduler.takeEffects(this->context.now());
    for (const auto& order : effects.orders.starts) {
        this->targets.send(order, [this, instance = order.instance, run = order.run](const Scheduler::OrderAnswer& answer) {
            this->scheduler.onStartAnswer(instance, run, answer, this->context.now());
            this->scheduleCarryOut();
        });
    }
    for (const auto& order : effects.orders.stops) {
        this->targets.send(order, [this, instance = order.instance, run = order.run](const Scheduler::OrderAnswer& answer) {
            this->scheduler.onStopAnswer(instance, run, answer, this->context.now());
            this->scheduleCarryOut();
        });
    }
    for (const auto& order : effects.orders.holds) {
        this->targets.send(order, [this, instance = order.instance, number = order.number](const Scheduler::HoldAnswer& answer) {
            this->scheduler.onHoldAnswer(instance, number, answer, this->context.now());
            this->scheduleCarryOut();
        });
    }
    this->context.metrics.count("orders_total{kind=\"start\"}", effects.orders.starts.size());
    this->context.metrics.count("orders_total{kind=\"stop\"}", effects.orders.stops.size());
    this->context.metrics.count("orders_total{kind=\"hold\"}", effects.orders.holds.size());
    for (const auto& notice : effects.notices)
        this->context.send(notice.entry, notice.outcome);
    for (const auto& decision : effects.decisions)
        this->logDecision(decision);
}

// No live member claims a higher epoch, so that the tokens in force are those of one that is gone, or cut off.
void DispatchService::raiseFenceIfDue(Instant now)
{
    if (!this->scheduler.hasFencedTargets()) {
        this->raiseStep = 1;
        return;
    }
    if (this->activeEpoch == 0 || now < this->nextRaise)
        return;
    this->nextRaise = now + raiseInterval * static_cast<int64_t>(std::min(this->raiseStep, longestRaisePause));
    this->context.cluster.raiseEpoch(this->activeEpoch + this->raiseStep);
    this->raiseStep *= 2;
    Telemetry::log(LogLevel::Warning, "fence-raised", "targets are held under a higher token", { { "epoch", std::to_string(this->context.cluster.self().dispatchEpoch) } });
}

}
