#include "Cluster/DispatchService.h"
#include <LibScheduler/Entry/JobOwner.h>
#include <LibTelemetry/Log.h>
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <set>
#include <utility>

namespace Sassafrasshift::Daemon {

using Telemetry::LogLevel;

// The lower bits of a fencing token distinguish the claimants of one epoch.
static constexpr unsigned claimantBits = 24;
static constexpr uint64_t claimantMask = (1U << claimantBits) - 1;
// Within this time after it has started or become reachable again, a host that accepts reports has received the report of every
// target and forwarded it.
static constexpr Milliseconds stabilizationTime { 3500 };
static constexpr Milliseconds stateLogInterval { 1000 };
static constexpr unsigned logLinesPerSecond = 300;
static constexpr Scheduler::JobOwner::Options jobOwnerOptions {};
// The shortest time between two passes over the queue that events cause, where orders go through relays: each pass sends up to one batch to
// each relay and entry host, whatever it contains. An event that comes alone is handled at once.
static constexpr Milliseconds relayedPassInterval { 3 };
static constexpr Milliseconds epochRaiseInterval { 200 };
// How long the jobs of an entry host may run after its last heartbeat: as long as runs may last after its last message, and the time between
// two heartbeats.
static constexpr Milliseconds entryRetention { 1500 };
// The maximum time between two raises, as a multiple of the interval. The back-off prevents two dispatchers that reach the same
// targets from continuously raising their epochs above each other's.
static constexpr uint64_t maximumRaiseIntervals = 16;

// The processor time that a dispatcher needs at least for the orders and answers of one task.
static constexpr Microseconds minimumTimePerTask { 20 };

static Scheduler::TaskScheduler::Options makeOptions(const Settings::ClusterSettings& settings)
{
    Scheduler::TaskScheduler::Options options;
    options.leases.maximumLease = std::min(settings.maximumLease, options.leases.maximumLeaseOfOthers);
    options.leases.maximumGrantedLease = settings.maximumLease;
    options.leases.holdWait = std::min(options.leases.holdWait, options.leases.maximumLease / 2);
    options.leases.answerTimeout = OrderSender::holdAnswerTimeout(settings);
    bool hasPartOfCore = settings.dispatchWeight > 0 && settings.dispatchWeight < Settings::milliCoresPerCore;
    options.minimumTimePerTask = hasPartOfCore ? minimumTimePerTask * Settings::milliCoresPerCore / settings.dispatchWeight : minimumTimePerTask;
    options.shareCapacity = settings.shareCapacity;
    options.separateInterfering = settings.separateInterfering;
    return options;
}

DispatchService::DispatchService(ClusterContext& context, Transport::HttpClient& client)
    : context(context)
    , orders(context, client, this->makeAnswerHandlers())
    , scheduler(makeOptions(context.settings))
    , inbox(jobOwnerOptions.scheduler.maximumTransitTime, context.cluster.processIncarnation())
    , home({})
    , admission(context)
    , logBudget(logLinesPerSecond)
{
    this->scheduler.setShareWeights(context.settings.domainWeights, context.settings.queueWeights);
}

OrderSender::AnswerHandlers DispatchService::makeAnswerHandlers()
{
    OrderSender::AnswerHandlers handlers;
    handlers.onHoldAnswer = [this](const auto& instance, uint64_t number, const auto& answer) {
        this->scheduler.onHoldAnswer(instance, number, answer, this->context.now());
        this->scheduleEffects();
    };
    handlers.onStartAnswer = [this](const auto& instance, const auto& run, const auto& answer) {
        this->scheduler.onStartAnswer(instance, run, answer, this->context.now());
        this->scheduleEffects();
    };
    handlers.onStopAnswer = [this](const auto& instance, const auto& run, const auto& answer) {
        this->scheduler.onStopAnswer(instance, run, answer, this->context.now());
        this->scheduleEffects();
    };
    return handlers;
}

void DispatchService::onMessage(const std::string& from, const Scheduler::RelayedAnswers& answers)
{
    this->orders.onMessage(from, answers);
}

// The token is unique to the claimant and its claim, and higher than the tokens of all earlier claims.
static uint64_t fencingToken(uint64_t epoch, const std::string& address)
{
    auto endpoint = Transport::Endpoint::parse(address);
    uint64_t claimant = endpoint ? ntohl(endpoint->toSocketAddress().sin_addr.s_addr) & claimantMask : 0;
    return (epoch << claimantBits) | claimant;
}

bool DispatchService::mayLog()
{
    if (this->logBudget.take(this->context.now()))
        return true;
    this->context.metrics.count("log_lines_dropped_total");
    return false;
}

// Entry hosts rely on the dispatcher ignoring messages that were delayed in transit.
void DispatchService::observeTransit(std::string_view metric, const std::string& from, bool isOnTime)
{
    this->admission.observeTransit(from, this->inbox.excessOfLastMessage());
    this->context.metrics.observeMilliseconds(metric, toMilliseconds(this->inbox.excessOfLastMessage()));
    if (!isOnTime)
        this->context.metrics.count("held_up_messages_total");
}

// A request is relayed once, so that members with different views do not pass it on in a circle.
void DispatchService::relay(const std::string& from, const Scheduler::Submission& submission)
{
    const auto* dispatcher = this->context.cluster.dispatcher(submission.placement.homeShard, this->context.now());
    if (dispatcher && dispatcher != &this->context.cluster.self() && from == submission.placement.entry)
        this->context.send(dispatcher->address, RelayedRequest { submission });
}

void DispatchService::onMessage(const std::string& from, const RelayedRequest& request)
{
    this->onMessage(from, request.submission);
}

void DispatchService::onMessage(const std::string& from, const Scheduler::Submission& submission)
{
    if (submission.placement.isRequested && !this->home.isHomeOf(submission.placement.homeShard))
        return this->relay(from, submission);
    if (this->admission.refuses(submission, this->context.now()) && this->home.isFirst(this->scheduler, from, submission)) {
        this->admission.observeTransit(from, this->inbox.observe(from, submission.entryIncarnation, Milliseconds(submission.sentAt), this->context.now()));
        return this->admission.refuse(from, submission, "level");
    }
    bool isOnTime = this->inbox.submit(this->home, this->scheduler, from, submission, this->context.now());
    this->observeTransit("submission_transit_excess_milliseconds", from, isOnTime);
    if (!isOnTime) {
        // Otherwise its entry host would send it again, which a late dispatcher ignores again.
        if (this->admission.isLimited() && this->home.isFirst(this->scheduler, from, submission))
            return this->admission.refuse(from, submission, "late");
        if (this->mayLog())
            Telemetry::log(LogLevel::Warning, "submission-ignored", "the submission was in transit for too long", { { "job", submission.job }, { "entry", from }, { "excessMs", std::to_string(this->inbox.excessOfLastMessage().count()) } });
        return;
    }
    this->scheduleEffects();
}

void DispatchService::onMessage(const std::string& from, const CancelSubmission& cancel)
{
    this->home.cancel(this->scheduler, from, cancel.job, cancel.hasNotRun, this->context.now());
    this->scheduleEffects();
}

void DispatchService::observeTransitTime(const std::string& from, const Gossip& gossip)
{
    this->admission.observeTransit(from, this->inbox.observe(from, gossip.senderIncarnation, Milliseconds(gossip.sentAt), this->context.now()));
}

void DispatchService::onMessage(const std::string& from, const Scheduler::RenewSubmissions& renewal)
{
    auto unknown = this->inbox.renew(this->home, this->scheduler, from, renewal, this->context.now());
    this->observeTransit("renewal_transit_excess_milliseconds", from, unknown.has_value());
    if (!unknown) {
        if (this->scheduler.isActive() && this->admission.isLimited())
            this->context.send(from, AdmissionNotice { this->admission.level() });
        if (this->mayLog())
            Telemetry::log(LogLevel::Warning, "renewal-ignored", "the renewal was in transit for too long", { { "entry", from }, { "jobs", std::to_string(renewal.jobs.size()) }, { "excessMs", std::to_string(this->inbox.excessOfLastMessage().count()) } });
        return;
    }
    if (!this->scheduler.isActive())
        return;
    auto sentAt = std::chrono::duration_cast<Milliseconds>(this->context.now().time_since_epoch()).count();
    auto withRuns = this->home.withRecords(this->scheduler, *unknown);
    auto activeFor = std::chrono::duration_cast<Milliseconds>(this->context.now() - this->activeSince).count();
    this->context.send(from, RenewResponse { std::move(*unknown), this->scheduler.loads(), sentAt, this->context.cluster.processIncarnation(), this->admission.level(), activeFor, std::move(withRuns), renewal.sentAt });
    this->scheduleEffects();
}

void DispatchService::onMessage(const std::string& from, const ReportNotice& notice)
{
    this->scheduler.onReport(notice.report, this->context.now());
    if (notice.number != 0 && this->scheduler.isActive())
        this->context.send(from, ReportAcknowledgment { notice.number });
    this->scheduleEffects();
}

void DispatchService::onMessage(const std::string&, const TargetGone& gone)
{
    this->scheduler.onTargetGone(gone.identity, gone.incarnation, this->context.now());
    this->scheduleEffects();
}

void DispatchService::onMessage(const std::string& from, const TargetListResponse& response)
{
    for (const auto& report : response.reports)
        this->scheduler.onReport(report, this->context.now());
    this->survey.onAnswer(from, response.number);
    this->scheduleEffects();
}

void DispatchService::onMessage(const std::string& from, const Scheduler::PlacedJobsRequest& request)
{
    if (auto response = this->home.onPlacedJobsRequest(this->scheduler, request, this->context.now()))
        this->context.send(from, *response);
}

void DispatchService::onMessage(const std::string& from, const Scheduler::PlacedJobsResponse& response)
{
    this->home.onPlacedJobsResponse(from, response, this->context.now());
}

// Tells a home that may not decide yet which members it waits for.
void DispatchService::updateContacts(const std::vector<const Membership::MemberRecord*>& dispatchers, Instant now)
{
    using Contact = Scheduler::HomeReadiness::Contact;
    const auto& cluster = this->context.cluster;
    auto contact = [&](const std::string& address) { return Contact { address, cluster.sinceHeartbeat(address, now) }; };
    std::set<std::string> dispatchedShards;
    std::vector<Contact> others;
    for (const auto* member : dispatchers) {
        dispatchedShards.insert(member->dispatchShard);
        if (member->dispatchShard != this->activeShard)
            others.push_back(contact(member->address));
    }
    std::vector<Contact> entries;
    for (const auto& address : cluster.recentEntries(this->activeShard, entryRetention, now))
        entries.push_back(contact(address));
    auto live = cluster.liveMembers(now);
    bool hasAllDispatchers = std::all_of(live.begin(), live.end(), [&](const auto* member) { return !member->isEntry || dispatchedShards.contains(cluster.shardFor(member->failureDomain)); });
    this->home.setDispatchers(std::move(others));
    this->home.setHasAllDispatchers(hasAllDispatchers);
    this->home.setEntries(std::move(entries));
}

void DispatchService::updateHome(Instant now)
{
    auto dispatchers = this->context.cluster.dispatchers(now);
    for (const auto* member : dispatchers)
        this->home.observeTerm(member->dispatchShard, fencingToken(member->dispatchEpoch, member->address));
    if (!this->scheduler.isActive())
        return;
    if (!this->home.state().isReady())
        this->updateContacts(dispatchers, now);
    this->home.tick(this->scheduler, now);
    for (const auto& question : this->home.takeQuestions(now))
        this->context.send(question.to, question.request);
}

void DispatchService::continueSurvey(Instant now)
{
    if (!this->scheduler.isActive())
        return;
    for (const auto& host : this->survey.takeHostsToAsk(now))
        this->context.send(host, TargetListRequest { this->survey.number() });
    // While some hosts have been alive only for a short time, there may be targets that have not reported to any host yet.
    this->scheduler.setKnowsAllTargets(this->context.cluster.isStableFor(stabilizationTime, now) && this->survey.isComplete(this->context.cluster.targetListHosts(now)));
}

void DispatchService::applyClaim(Instant now)
{
    auto& cluster = this->context.cluster;
    auto shard = cluster.ownShard();
    const auto* dispatcher = cluster.dispatcher(shard, now);
    uint64_t claimedEpoch = dispatcher == &cluster.self() ? cluster.self().dispatchEpoch : 0;
    if (claimedEpoch == this->activeEpoch && shard == this->activeShard)
        return;
    // Runs started for another shard are left to that shard's dispatcher.
    if (this->activeEpoch != 0 && (claimedEpoch == 0 || shard != this->activeShard)) {
        Telemetry::log(LogLevel::Information, "dispatch-ended", "this member stopped dispatching", { { "shard", this->activeShard }, { "dispatcher", dispatcher ? dispatcher->name : "" }, { "openJobs", std::to_string(this->scheduler.openJobs()) } });
        this->scheduler.deactivate();
        this->home.end();
    }
    if (!this->scheduler.isActive())
        this->activeSince = now;
    this->activeEpoch = claimedEpoch;
    this->activeShard = shard;
    if (claimedEpoch == 0)
        return;
    auto token = fencingToken(claimedEpoch, this->context.ownAddress());
    this->home.begin(shard, token, now);
    Telemetry::log(LogLevel::Information, "dispatch-begun", "this member started dispatching", { { "epoch", std::to_string(claimedEpoch) }, { "shard", shard } });
    this->scheduler.activate(token, now, [&cluster, shard](const auto& report) { return cluster.shardFor(report.failureDomain) == shard; });
    this->survey.begin(this->context.cluster.targetListHosts(now));
    this->continueSurvey(now);
}

void DispatchService::tick(Instant now)
{
    this->applyClaim(now);
    this->continueSurvey(now);
    this->updateHome(now);
    this->orders.tick(this->activeShard, this->scheduler.targetCount(), now);
    this->scheduler.setAnswerDelay(this->admission.answerDelay());
    this->scheduler.tick(now);
    this->raiseEpochIfFenced(now);
    this->executeEffects();
    this->logStateIfDue(now);
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
    case Kind::TargetRetired:
        return "target-retired";
    case Kind::RemovalIgnored:
        return "removal-ignored";
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
    case Kind::RunFoundDone:
        return "run-found-done";
    case Kind::RunUnexpected:
        return "run-unexpected";
    case Kind::RunOutlived:
        return "run-outlived";
    case Kind::RunFoundLate:
        return "run-found-late";
    case Kind::RunStalled:
        return "run-stalled";
    case Kind::RunStopped:
        return "stop-finished";
    case Kind::JobRefused:
        return "job-refused";
    case Kind::JobFailed:
        return "job-failed";
    case Kind::JobTakenOver:
        return "job-taken-over";
    case Kind::JobAnsweredAgain:
        return "job-answered-again";
    case Kind::JobSubmittedAgain:
        return "job-again";
    case Kind::JobDropped:
        return "job-dropped";
    case Kind::SharingBegan:
        return "sharing-began";
    case Kind::SharingEnded:
        return "sharing-ended";
    case Kind::InterferenceFound:
        return "interference-found";
    case Kind::InterferenceEnded:
        return "interference-ended";
    }
    return "unknown";
}

static void addEvidence(std::vector<Telemetry::EventField>& fields, const Scheduler::RunEvidence& evidence)
{
    fields.push_back({ "proof", std::string(toText(evidence.proof)) });
    fields.push_back({ "incarnation", evidence.incarnation });
    fields.push_back({ "fence", std::to_string(evidence.fence) });
    fields.push_back({ "stopOrders", std::to_string(evidence.stopOrders) });
    fields.push_back({ "sinceFirstStopMs", std::to_string(evidence.sinceFirstStop.count()) });
    fields.push_back({ "untilLeaseEndMs", std::to_string(evidence.untilLeaseEnd.count()) });
}

// The number of logged decisions per interval is limited; those that are not logged are counted.
void DispatchService::logDecision(const Scheduler::Decision& decision)
{
    auto event = eventName(decision.kind);
    this->context.metrics.count("decisions_total{event=\"" + std::string(event) + "\"}");
    if (!this->mayLog())
        return;
    std::vector<Telemetry::EventField> fields { { "job", decision.job }, { "task", std::to_string(decision.task) }, { "run", std::to_string(decision.run) }, { "target", decision.target }, { "epoch", std::to_string(this->activeEpoch) } };
    if (decision.evidence)
        addEvidence(fields, *decision.evidence);
    if (decision.sinceEnd)
        fields.push_back({ "sinceEndMs", std::to_string(decision.sinceEnd->count()) });
    if (!decision.entry.empty()) {
        fields.push_back({ "formerEntry", decision.formerEntry });
        fields.push_back({ "entry", decision.entry });
    }
    if (decision.isOpen)
        fields.push_back({ "open", *decision.isOpen ? "true" : "false" });
    if (decision.knownRuns) {
        fields.push_back({ "knownRuns", std::to_string(*decision.knownRuns) });
        fields.push_back({ "runsOnTargets", std::to_string(decision.runsOnTargets) });
    }
    Telemetry::log(LogLevel::Information, event, decision.cause, fields);
}

static std::string join(const std::vector<std::string>& names)
{
    std::string text;
    for (const auto& name : names)
        text += (text.empty() ? "" : " ") + name;
    return text;
}

// A home without room for records refuses many jobs: these are counted, and each is logged by its entry host.
static std::string metricOf(const Scheduler::HomeEvent& event)
{
    using Kind = Scheduler::HomeEvent::Kind;
    switch (event.kind) {
    case Kind::Ready:
        return "homes_ready_total{cause=\"" + event.cause + "\"}";
    case Kind::RequestedAgain:
        return "jobs_requested_again_total{answer=\"" + event.cause + "\"}";
    case Kind::Refused:
        return "home_full_refusals_total{cause=\"" + event.cause + "\"}";
    }
    return {};
}

void DispatchService::logHomeEvent(const Scheduler::HomeEvent& event)
{
    using Kind = Scheduler::HomeEvent::Kind;
    bool isReady = event.kind == Kind::Ready;
    this->context.metrics.count(metricOf(event));
    if (event.kind == Kind::Refused || !this->mayLog())
        return;
    std::vector<Telemetry::EventField> fields { { "shard", this->activeShard }, { "epoch", std::to_string(this->activeEpoch) }, { "cause", event.cause }, { "sinceBeginMs", std::to_string(event.sinceBegin.count()) } };
    if (isReady) {
        fields.push_back({ "unheard", join(event.unheard) });
        return Telemetry::log(LogLevel::Information, "home-ready", "the home of its entry hosts' jobs has begun to decide about first submissions", fields);
    }
    fields.push_back({ "job", event.job });
    fields.push_back({ "formerEntry", event.formerEntry });
    fields.push_back({ "entry", event.entry });
    fields.push_back({ "placedIn", event.shard });
    Telemetry::log(LogLevel::Information, "job-requested-again", "another entry host has asked the home for the shard of a job", fields);
}

void DispatchService::countShares()
{
    for (const auto& [share, counts] : this->scheduler.takeShareCounts()) {
        auto labels = "domain=\"" + share.domain + "\",queue=\"" + share.queue + "\"";
        std::array<std::pair<std::string_view, uint64_t>, 4> results { { { "asked", counts.asked }, { "admitted", counts.admitted }, { "refused", counts.refused }, { "late", counts.late } } };
        for (const auto& [result, amount] : results)
            this->context.metrics.count("share_jobs_total{" + labels + ",result=\"" + std::string(result) + "\"}", amount);
    }
}

// The number of pairs is limited by InterferenceModel::Options::maximumKinds.
void DispatchService::countInterference(Instant now)
{
    auto names = [](const auto& pair) { return "{queue=\"" + pair.queue + "\",neighbour=\"" + pair.neighbour + "\"}"; };
    // A pair that is no longer kept apart has the ratio 1.
    for (const auto& labels : std::exchange(this->interferenceLabels, {})) {
        this->context.metrics.setGauge("interference_ratio" + labels, 1);
        this->context.metrics.setGauge("interference_seconds" + labels, 0);
    }
    for (const auto& pair : this->scheduler.interferingPairs()) {
        this->context.metrics.setGauge("interference_ratio" + names(pair), pair.ratio);
        this->context.metrics.setGauge("interference_seconds" + names(pair), toMilliseconds(now - pair.since) / 1000);
        this->interferenceLabels.push_back(names(pair));
    }
    if (auto tasks = this->scheduler.takeSeparatedTasks(); tasks > 0)
        this->context.metrics.count("separated_tasks_total", tasks);
}

void DispatchService::logStateIfDue(Instant now)
{
    if (!this->scheduler.isActive() || now < this->nextStateLog)
        return;
    this->nextStateLog = now + stateLogInterval;
    this->countShares();
    this->countInterference(now);
    auto counts = this->scheduler.countTargets(now);
    Telemetry::log(LogLevel::Information, "dispatch-state", "state of the dispatcher on this member",
        { { "openJobs", std::to_string(this->scheduler.openJobs()) }, { "waitingTasks", std::to_string(this->scheduler.waitingTasks()) }, { "runs", std::to_string(this->scheduler.openRuns()) },
            { "targets", std::to_string(counts.known) }, { "usable", std::to_string(counts.usable) }, { "slow", std::to_string(counts.slow) }, { "sharing", this->scheduler.isSharingCapacity() ? "true" : "false" } });
}

// Deferring the execution sends the orders from one iteration of the event loop, or from `relayedPassInterval`, together.
void DispatchService::scheduleEffects()
{
    if (this->effectsScheduled)
        return;
    this->effectsScheduled = true;
    auto execute = [this] {
        this->effectsScheduled = false;
        this->executeEffects();
    };
    auto wait = std::chrono::ceil<Milliseconds>(this->nextPass - this->context.now());
    if (wait.count() > 0)
        this->passTimer = this->context.loop.after(wait, execute);
    else
        this->context.loop.defer(execute);
}

void DispatchService::executeEffects()
{
    if (this->context.settings.usesOrderRelays())
        this->nextPass = this->context.now() + relayedPassInterval;
    auto effects = this->scheduler.takeEffects(this->context.now());
    if (this->scheduler.hasMoreEffects())
        this->scheduleEffects();
    this->context.metrics.count("orders_total{kind=\"start\"}", effects.orders.starts.size());
    this->context.metrics.count("orders_total{kind=\"stop\"}", effects.orders.stops.size());
    this->context.metrics.count("orders_total{kind=\"hold\"}", effects.orders.holds.size());
    this->orders.send(std::move(effects.orders));
    for (const auto& answer : this->home.takeAnswers())
        this->context.send(answer.to, answer.placement);
    for (const auto& event : this->home.takeEvents())
        this->logHomeEvent(event);
    for (const auto& notice : effects.notices)
        this->context.send(notice.entry, notice.outcome);
    for (const auto& [entry, number] : effects.renewalRequests)
        this->context.send(entry, RenewalRequest { number });
    for (const auto& decision : effects.decisions)
        this->logDecision(decision);
}

// Whether targets, or dispatchers of other shards, know of a higher claim to this shard.
bool DispatchService::isOutranked() const
{
    return this->scheduler.hasFencedTargets() || this->home.state().isSuperseded();
}

// No live member claims a higher epoch, so the higher tokens come from a member that has failed or is partitioned from this one.
void DispatchService::raiseEpochIfFenced(Instant now)
{
    if (!this->isOutranked()) {
        this->epochRaiseStep = 1;
        return;
    }
    if (this->activeEpoch == 0 || now < this->nextEpochRaise)
        return;
    this->nextEpochRaise = now + epochRaiseInterval * static_cast<int64_t>(std::min(this->epochRaiseStep, maximumRaiseIntervals));
    auto highestKnownEpoch = this->home.state().highestKnownTerm() >> claimantBits;
    this->context.cluster.raiseEpoch(std::max(this->activeEpoch + this->epochRaiseStep, highestKnownEpoch));
    this->epochRaiseStep *= 2;
    Telemetry::log(LogLevel::Warning, "fence-raised", "this member raised its epoch, since targets or dispatchers of other shards know of a higher claim", { { "epoch", std::to_string(this->context.cluster.self().dispatchEpoch) } });
}

}
