#include "Cluster/JobEntry.h"
#include <LibTelemetry/Log.h>
#include <algorithm>
#include <charconv>
#include <platform/Decode.h>
#include <platform/Paths.h>

namespace Sassafrasshift::Daemon {

using Scheduler::JobDescription;
using Scheduler::JobEnd;
using Scheduler::JobOutcome;
using Telemetry::LogLevel;
using Transport::HttpExchange;
using Transport::HttpResponse;

using Answer = Scheduler::JobOwner::Answer;
using Exchange = std::shared_ptr<HttpExchange>;

// Reserved for the transmission of the response, so that it reaches the caller before the deadline.
static constexpr Milliseconds responseMargin { 25 };
static constexpr Milliseconds maximumDeadline { 60'000 };
static constexpr size_t maximumOpenJobs = 10'000;
// Messages that leave later than this after the time that their leases are counted from get a log line.
static constexpr Milliseconds lateSendThreshold { 50 };
static constexpr unsigned logLinesPerSecond = 300;
static constexpr unsigned placementLogLinesPerSecond = 100;
static constexpr unsigned refusalLogLinesPerSecond = 10;

static void respond(const Exchange& exchange, int status, std::string body, Milliseconds retryAfter = Milliseconds(0))
{
    Transport::HttpHeaders headers { { "content-type", "application/json" } };
    if (retryAfter.count() > 0)
        headers.push_back({ "retry-after", std::to_string((retryAfter.count() + 999) / 1000) });
    exchange->respond(HttpResponse { status, std::move(headers), std::move(body) });
}

static void refuse(const Exchange& exchange, int status, std::string_view detail, Milliseconds retryAfter = Milliseconds(0))
{
    respond(exchange, status, Platform::encodeError(detail), retryAfter);
}

// The time from the arrival of a request to its deadline; the timeout of the route if the header is missing or invalid.
static Milliseconds parseDeadline(const Transport::HttpRequest& request, const Catalog::Route& route)
{
    auto text = Transport::headerValue(request.headers, Platform::deadlineHeader);
    int64_t milliseconds = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (error != std::errc {} || milliseconds <= 0)
        return Milliseconds(route.timeoutMilliseconds);
    return std::min(Milliseconds(milliseconds), maximumDeadline);
}

JobEntry::JobEntry(ClusterContext& context, DocumentStore& documents)
    : context(context)
    , documents(documents)
    , owner({})
    , logBudget(logLinesPerSecond)
    , placementLogBudget(placementLogLinesPerSecond)
    , refusalLogBudget(refusalLogLinesPerSecond)
{
}

bool JobEntry::isReady() const
{
    return !this->leaving && this->documents.routeTable() != nullptr && this->owner.hasDispatcher();
}

void JobEntry::handle(const Exchange& exchange)
{
    const auto* table = this->documents.routeTable();
    if (!table)
        return refuse(exchange, 503, "no configuration is in force on this host yet", Milliseconds(1000));
    const auto& request = exchange->request();
    ParsedRequest parsed;
    parsed.route = table->match(Transport::headerValue(request.headers, "host"), request.path());
    if (!parsed.route)
        return refuse(exchange, 404, "no queue matches this request");
    parsed.job = request.path().substr(parsed.route->pathPrefix.size());
    const auto& limits = table->limits();
    if (limits.maximumHeaderBytes > 0 && static_cast<int64_t>(request.headSize()) > limits.maximumHeaderBytes)
        return refuse(exchange, 431, "the header fields are too large");
    if (limits.maximumBodyBytes > 0 && static_cast<int64_t>(request.body.size()) > limits.maximumBodyBytes)
        return refuse(exchange, 413, "the body is too large");
    if (request.method == "POST" && !parsed.job.empty())
        return this->submit(exchange, parsed);
    if (request.method == "GET")
        return this->readStatus(exchange, parsed);
    if (request.method == "DELETE" && !parsed.job.empty())
        return this->cancel(exchange, parsed);
    refuse(exchange, 405, "this method is not allowed for this path");
}

// The reason why a job is not supported yet; empty for a supported job.
static std::string_view unsupportedFeature(const JobDescription& job)
{
    if (!job.bestEffort)
        return "durable jobs are not supported yet";
    if (job.repeats || job.longRunning)
        return "repeating and long-running jobs are not supported yet";
    if (job.steps.size() != 1 || job.steps.front().usesUnsupportedFeatures)
        return "jobs with several steps, gangs or similar requirements are not supported yet";
    return {};
}

// The name of a job is that of its tasks on targets, so that a job of the same name in another queue cannot run beside it; its callers
// must not get the answer of the other one.
bool JobEntry::isOpen(const ParsedRequest& parsed) const
{
    auto position = this->callers.find(parsed.job);
    return this->owner.contains(parsed.job) && position != this->callers.end() && position->second.queue == parsed.route->name;
}

void JobEntry::submit(const Exchange& exchange, const ParsedRequest& parsed)
{
    auto now = this->context.now();
    if (this->isOpen(parsed))
        return this->addCaller(parsed.job, exchange);
    if (this->owner.contains(parsed.job))
        return refuse(exchange, 409, "a job of this name is open in another queue");
    if (!Platform::isValidName(parsed.job))
        return refuse(exchange, 400, "the name of the job is too long, or has characters that are not printable ASCII");
    if (!this->owner.isAdmitted(parsed.route->pool, parsed.route->priority, parsed.job, now))
        return this->refuseLocally(exchange, parsed, now);
    auto description = Platform::decodeJob(exchange->request().body);
    if (!description)
        return refuse(exchange, 400, description.error().detail);
    if (auto feature = unsupportedFeature(*description); !feature.empty())
        return refuse(exchange, 503, feature);
    if (this->owner.openJobs() >= maximumOpenJobs)
        return refuse(exchange, 503, "too many jobs are open", Milliseconds(1000));
    const auto& step = description->steps.front();
    const auto& route = *parsed.route;
    auto deadline = now + parseDeadline(exchange->request(), route) - responseMargin;
    auto targetLatency = Milliseconds(static_cast<int64_t>(route.stretch * static_cast<double>(step.estimate.count())) + route.targetLatencyMilliseconds);
    Scheduler::Submission submission;
    submission.job = parsed.job;
    submission.queue = route.name;
    submission.pool = route.pool;
    submission.priority = route.priority;
    submission.taskCount = step.taskCount;
    submission.needs = step.needs;
    submission.estimateMilliseconds = step.estimate.count();
    submission.payload = std::move(description->payload);
    submission.preferredRack = step.preferredRack;
    submission.requiredLabel = step.requiredLabel;
    submission.maximumPerTarget = step.maximumPerTarget;
    submission.maximumFailures = static_cast<uint32_t>(std::max<int64_t>(route.maximumAttempts, 1));
    submission.originDomain = this->context.settings.failureDomain;
    this->callers.emplace(parsed.job, Callers { {}, route.name, now, this->documents.published().version });
    this->owner.add(std::move(submission), deadline, now + targetLatency, now);
    this->addCaller(parsed.job, exchange);
    this->executeEffects();
}

// Refuses a job that no reachable dispatcher admits, before it costs the dispatchers anything.
void JobEntry::refuseLocally(const Exchange& exchange, const ParsedRequest& parsed, Instant now)
{
    this->context.metrics.count("local_refusals_total{priority=\"" + std::to_string(parsed.route->priority) + "\"}");
    if (this->mayLog(this->refusalLogBudget, now))
        Telemetry::log(LogLevel::Information, "job-refused-locally", "no reachable dispatcher admits the job", { { "job", parsed.job }, { "queue", parsed.route->name }, { "priority", std::to_string(parsed.route->priority) } });
    refuse(exchange, 503, Scheduler::dispatcherOverloaded, Scheduler::LocalAdmission::retryAfter(parsed.job, now));
}

void JobEntry::addCaller(const std::string& job, const Exchange& exchange)
{
    this->callers[job].exchanges.push_back(exchange);
    exchange->setAbandonHandler([this, job] { this->onAbandoned(job); });
}

// Cancels a job when the last caller that waits for it has closed its connection.
void JobEntry::onAbandoned(const std::string& job)
{
    auto position = this->callers.find(job);
    if (position == this->callers.end())
        return;
    const auto& exchanges = position->second.exchanges;
    if (!std::all_of(exchanges.begin(), exchanges.end(), [](const auto& exchange) { return exchange->isClosed(); }))
        return;
    auto sinceArrival = std::chrono::duration_cast<Milliseconds>(this->context.now() - position->second.arrivedAt);
    Telemetry::log(LogLevel::Information, "job-abandoned", "all callers closed their connections; the job is cancelled",
        { { "job", job }, { "queue", position->second.queue }, { "sinceArrivalMs", std::to_string(sinceArrival.count()) } });
    this->owner.cancel(job);
    this->callers.erase(position);
    this->executeEffects();
}

void JobEntry::readStatus(const Exchange& exchange, const ParsedRequest& parsed)
{
    if (parsed.job.empty())
        return respond(exchange, 200, Platform::encodePendingJobs(this->owner.openJobsInQueue(parsed.route->name)));
    if (this->isOpen(parsed))
        return respond(exchange, 200, Platform::encodeRunningState());
    refuse(exchange, 410, "this host has no such job");
}

void JobEntry::cancel(const Exchange& exchange, const ParsedRequest& parsed)
{
    if (!this->isOpen(parsed))
        return refuse(exchange, 410, "this host has no such job");
    this->owner.cancel(parsed.job);
    Answer cancelled { parsed.job, Answer::Kind::Refused, "cancelled", Milliseconds(0), {}, 0 };
    this->respondToCallers(cancelled, 410, Platform::encodeError("the job was cancelled"), "cancelled");
    this->executeEffects();
    respond(exchange, 200, "{}");
}

void JobEntry::updateDispatchers(Instant now)
{
    std::vector<Scheduler::ShardDispatcher> currentDispatchers;
    for (const auto* member : this->context.cluster.dispatchers(now))
        currentDispatchers.push_back(Scheduler::ShardDispatcher { member->dispatchShard, member->address });
    if (currentDispatchers != this->dispatchers) {
        std::string dispatcherList;
        for (const auto& dispatcher : currentDispatchers)
            dispatcherList += (dispatcherList.empty() ? "" : " ") + dispatcher.shard + "=" + dispatcher.address;
        Telemetry::log(LogLevel::Information, "dispatchers-changed", "the set of dispatchers changed", { { "dispatchers", dispatcherList }, { "openJobs", std::to_string(this->owner.openJobs()) } });
        this->dispatchers = currentDispatchers;
    }
    this->owner.updateDispatchers(currentDispatchers, this->context.cluster.ownShard(), now);
}

void JobEntry::observeClock(const std::string& member, uint64_t incarnation, Milliseconds::rep reading)
{
    if (incarnation != 0)
        this->clockEchoes.observe(member, incarnation, Milliseconds(reading), this->context.now());
}

void JobEntry::onMessage(const std::string& from, const RenewResponse& response)
{
    this->observeClock(from, response.senderIncarnation, response.sentAt);
    this->owner.onRenewalAnswer(from, response.unknownJobs, response.loads, this->context.now(), { response.admission, Milliseconds(response.activeFor), response.unknownJobsWithRuns, Milliseconds(response.renewalSentAt) });
    this->executeEffects();
}

void JobEntry::onMessage(const std::string& from, const RenewalRequest& request)
{
    this->owner.onRenewalRequest(from, request.number, this->context.now());
    this->executeEffects();
}

void JobEntry::onMessage(const std::string& from, const AdmissionNotice& notice)
{
    this->owner.onAdmissionNotice(from, notice.admission, this->context.now());
}

void JobEntry::onMessage(const std::string& from, const JobOutcome& outcome)
{
    this->owner.onOutcome(from, outcome, this->context.now());
    this->executeEffects();
}

void JobEntry::onMessage(const std::string& from, const Scheduler::Placement& placement)
{
    this->owner.onPlacement(from, placement, this->context.now());
    this->executeEffects();
}

void JobEntry::onPause(Instant now)
{
    this->owner.onPause(now);
}

// In a sharded cluster, an unresponsive dispatcher of this member's failure domain has most likely failed. A dispatcher of
// another domain may only be unreachable because of a partition, and is left to the failure timeout.
void JobEntry::suspect(const std::string& dispatcher)
{
    auto& cluster = this->context.cluster;
    const auto* member = cluster.find(dispatcher);
    if (!member || cluster.layout() == Membership::DispatchLayout::WholeCluster || member->failureDomain != cluster.self().failureDomain)
        return;
    Telemetry::log(LogLevel::Warning, "dispatcher-suspected", "the dispatcher does not respond to messages", { { "dispatcher", dispatcher } });
    cluster.suspect(dispatcher, this->context.now());
}

bool JobEntry::mayLog(Telemetry::LogBudget& budget, Instant now)
{
    if (budget.take(now))
        return true;
    this->context.metrics.count("log_lines_dropped_total");
    return false;
}

// The time of sending is read before the effects are executed; what passes in between counts as time in transit at the dispatcher.
void JobEntry::observeSendDelay(const Scheduler::JobOwner::Effects& effects, Instant now)
{
    Milliseconds longestDelay { 0 };
    size_t lateJobs = 0;
    auto observe = [&](std::string_view metric, Milliseconds::rep sentAt, size_t jobs) {
        auto delay = now.time_since_epoch() - Milliseconds(sentAt);
        this->context.metrics.observeMilliseconds(metric, toMilliseconds(delay));
        longestDelay = std::max(longestDelay, std::chrono::duration_cast<Milliseconds>(delay));
        if (delay > lateSendThreshold)
            lateJobs += jobs;
    };
    for (const auto& handover : effects.handovers)
        observe("submission_send_delay_milliseconds", handover.submission.sentAt, 1);
    for (const auto& renewal : effects.renewals) {
        if (renewal.kind == Scheduler::TaskScheduler::RenewalKind::ExtendLease)
            observe("renewal_send_delay_milliseconds", renewal.sentAt, renewal.jobs.size());
    }
    if (lateJobs > 0 && this->mayLog(this->logBudget, now))
        Telemetry::log(LogLevel::Warning, "message-sent-late", "messages left long after the time that the leases of their jobs are counted from", { { "delayMs", std::to_string(longestDelay.count()) }, { "jobs", std::to_string(lateJobs) } });
}

static void addChoice(std::vector<Telemetry::EventField>& fields, const Scheduler::ShardChoice& choice)
{
    // What is not known stays empty.
    auto text = [](const std::optional<Milliseconds>& value) { return value ? std::to_string(value->count()) : std::string(); };
    fields.push_back({ "choice", std::string(toText(choice.reason)) });
    fields.push_back({ "ownShard", choice.own.shard });
    fields.push_back({ "sinceAnswerMs", text(choice.chosen.sinceAnswer) });
    fields.push_back({ "sinceLoadsMs", text(choice.chosen.sinceLoads) });
    fields.push_back({ "backlogMs", text(choice.chosen.backlog) });
    fields.push_back({ "ownSinceAnswerMs", text(choice.own.sinceAnswer) });
    fields.push_back({ "ownSinceLoadsMs", text(choice.own.sinceLoads) });
    fields.push_back({ "ownBacklogMs", text(choice.own.backlog) });
    fields.push_back({ "smallestBacklogMs", text(choice.smallestBacklog) });
}

// The first handover of a job to the own shard is part of its answer's line; later ones show when earlier runs were taken as ended.
void JobEntry::observeHandover(const Scheduler::JobOwner::Handover& handover, Instant now)
{
    const auto& choice = handover.choice;
    this->context.metrics.count("placements_total{reason=\"" + std::string(toText(choice.reason)) + "\"}");
    // The line of the request says why the shard is preferred.
    if (handover.cause.kind == Scheduler::HandoverCause::Kind::Placed)
        return;
    if (handover.submission.firstRunNumber > 1)
        return this->logRepeatedHandover(handover, now);
    if (choice.leavesOwnShard() || !choice.own.isFresh)
        this->logPlacement(handover, now);
}

void JobEntry::logPlacement(const Scheduler::JobOwner::Handover& handover, Instant now)
{
    if (!this->mayLog(this->placementLogBudget, now))
        return;
    std::vector<Telemetry::EventField> fields { { "job", handover.submission.job }, { "dispatcher", handover.dispatcher }, { "shard", handover.shard } };
    addChoice(fields, handover.choice);
    Telemetry::log(LogLevel::Information, "job-placed", "the entry host handed a job over to another shard than its own, or its own shard does not answer", fields);
}

void JobEntry::logRepeatedHandover(const Scheduler::JobOwner::Handover& handover, Instant now)
{
    if (!this->mayLog(this->logBudget, now))
        return;
    const auto& submission = handover.submission;
    std::vector<Telemetry::EventField> fields { { "job", submission.job }, { "dispatcher", handover.dispatcher }, { "shard", handover.shard }, { "reason", std::string(toText(handover.cause.kind)) },
        { "formerDispatcher", handover.cause.dispatcher }, { "formerShard", handover.cause.shard }, { "refusal", handover.cause.refusal }, { "knownRuns", std::to_string(handover.cause.knownRuns) }, { "firstRunNumber", std::to_string(submission.firstRunNumber) },
        { "untilEarlierRunsEndMs", std::to_string(submission.untilEarlierRunsEnd) }, { "untilOtherShardRunsEndMs", std::to_string(submission.untilOtherShardRunsEnd) } };
    addChoice(fields, handover.choice);
    Telemetry::log(LogLevel::Information, "job-handed-over", "the entry host handed a job over to another dispatcher, or again to the same one", fields);
}

void JobEntry::executeEffects()
{
    auto effects = this->owner.takeEffects();
    auto now = this->context.now();
    this->observeSendDelay(effects, now);
    auto incarnation = this->context.cluster.processIncarnation();
    for (auto& handover : effects.handovers) {
        handover.submission.entryIncarnation = incarnation;
        handover.submission.placement.entry = this->context.ownAddress();
        this->observeHandover(handover, now);
        bool isRelayed = handover.submission.placement.isRequested && handover.shard != handover.submission.placement.homeShard;
        const auto* home = isRelayed ? this->context.cluster.dispatcher(handover.submission.placement.homeShard, now) : nullptr;
        handover.submission.echo = this->clockEchoes.echoFor(home ? home->address : handover.dispatcher, Milliseconds(handover.submission.sentAt));
        if (isRelayed)
            this->context.send(handover.dispatcher, RelayedRequest { handover.submission });
        else
            this->context.send(handover.dispatcher, handover.submission);
    }
    for (const auto& cancellation : effects.cancellations)
        this->context.send(cancellation.dispatcher, CancelSubmission { cancellation.job, cancellation.hasNotRun });
    for (auto& renewal : effects.renewals)
        this->context.send(renewal.dispatcher, Scheduler::RenewSubmissions { std::move(renewal.jobs), renewal.kind, renewal.sentAt, incarnation, renewal.answeredRequest, std::move(renewal.placedJobs), this->clockEchoes.echoFor(renewal.dispatcher, Milliseconds(renewal.sentAt)) });
    for (const auto& answer : effects.answers)
        this->respondToCallers(answer);
    for (const auto& dispatcher : effects.suspectedDispatchers)
        this->suspect(dispatcher);
}

void JobEntry::respondToCallers(const Answer& answer)
{
    using Kind = Answer::Kind;
    switch (answer.kind) {
    case Kind::Completed:
        return this->respondToCallers(answer, 200, Platform::encodeJobState(JobEnd::Completed), "completed");
    case Kind::Failed:
        return this->respondToCallers(answer, 200, Platform::encodeJobState(JobEnd::Failed), "failed");
    case Kind::Refused:
        return this->respondToCallers(answer, answer.reason == "overloaded" ? 429 : 503, Platform::encodeError(answer.reason), "refused");
    case Kind::Unknown:
        return this->respondToCallers(answer, 504, Platform::encodeError("the job may have run partially: " + answer.reason), "unknown");
    }
}

void JobEntry::respondToCallers(const Answer& answer, int status, const std::string& body, std::string_view outcome)
{
    auto position = this->callers.find(answer.job);
    if (position == this->callers.end())
        return;
    auto waitingCallers = std::move(position->second);
    this->callers.erase(position);
    for (const auto& exchange : waitingCallers.exchanges)
        respond(exchange, status, body, answer.retryAfter);
    auto elapsed = std::chrono::duration_cast<Milliseconds>(this->context.now() - waitingCallers.arrivedAt);
    this->context.metrics.count("jobs_total{outcome=\"" + std::string(outcome) + "\"}");
    this->context.metrics.observeMilliseconds("job_milliseconds", static_cast<double>(elapsed.count()));
    Telemetry::log(LogLevel::Information, "job-answered", "the entry host responded to the callers of a job",
        { { "job", answer.job }, { "queue", waitingCallers.queue }, { "status", std::to_string(status) }, { "outcome", std::string(outcome) }, { "reason", answer.reason }, { "tookMs", std::to_string(elapsed.count()) },
            { "routesVersion", std::to_string(waitingCallers.routesVersion) }, { "dispatcher", answer.dispatcher }, { "submissions", std::to_string(answer.handoverCount) } });
}

void JobEntry::tick(Instant now)
{
    this->updateDispatchers(now);
    this->owner.tick(now);
    this->executeEffects();
}

}
