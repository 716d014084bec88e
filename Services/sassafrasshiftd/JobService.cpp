#include "JobService.h"
#include "Problem.h"
#include <LibBase/Try.h>
#include <LibTelemetry/Log.h>
#include <LibTransport/Codec.h>
#include <charconv>

namespace Sassafrasshift::Daemon {

using namespace Dispatch;
using DurableState::Intent;
using DurableState::JobStatus;
using DurableState::JobUpdateResult;
using Transport::HttpExchange;
using Transport::HttpResponse;

static constexpr std::string_view jobsPrefix = "/v1/jobs/";
static constexpr Milliseconds proposalTimeout { 3000 };
static constexpr Milliseconds reportInterval { 500 };
// How long a worker may delay its response to an attempt query while the attempt is running.
static constexpr Milliseconds attemptQueryWait { 800 };
static constexpr Milliseconds workerRequestTimeout { 2000 };
// Slightly longer than the time for which the runner waits for its first grants, so that the timer needs to fire only once.
static constexpr Milliseconds flushTimerDelay { 6 };
static constexpr size_t maximumJobs = 20'000;

JobService::JobService(Context& context, ConfigurationStore& configuration, GrantClient& grants, LedgerService& ledger)
    : context(context)
    , configuration(configuration)
    , grants(grants)
    , ledger(ledger)
{
    LedgerService::JobObserver observer;
    observer.queryCompleted = [this](const std::string& key, const JobQueryResponse& response) { this->onQueryResponse(key, response); };
    this->ledger.setJobObserver(std::move(observer));
}

void JobService::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    auto key = std::string(exchange->request().path().substr(jobsPrefix.size()));
    if (!isValidJobKey(key)) {
        exchange->respond(makeProblem(Error::notRun(Reason::InvalidInput, "a job key must consist of 1 to 128 letters, digits and \"._~-\"")));
        return;
    }
    const auto& method = exchange->request().method;
    if (method == "POST" || method == "PUT") {
        this->submit(key, exchange);
    } else if (method == "GET") {
        this->read(key, exchange);
    } else if (method == "DELETE") {
        this->cancel(key, exchange);
    } else {
        exchange->respond(HttpResponse { 405, { { "allow", "GET, POST, PUT, DELETE" } }, {} });
    }
}

void JobService::submit(const std::string& key, const std::shared_ptr<HttpExchange>& exchange)
{
    this->context.metrics.count("jobs_submitted_total");
    const auto* catalog = this->configuration.catalog();
    auto refuse = [&](const Error& error) { exchange->respond(makeProblem(error)); };
    if (!catalog)
        return refuse(Error::mayHaveRun(Reason::NoConfiguration, "no configuration is in force on this host; the host did not check whether a job with this key exists").withRetryAfter(Milliseconds(1000)));
    auto submission = parseSubmission(exchange->request().body, *catalog, this->context.wallMilliseconds());
    if (!submission)
        return refuse(submission.error());
    Waiter waiter { exchange, exchange->request().queryParameter("wait") == "accepted" };
    auto existing = this->jobs.find(key);
    if (existing != this->jobs.end()) {
        auto& job = *existing->second;
        if (job.contentHash != submission->contentHash || job.createdAt != submission->createdAt)
            return refuse(Error::notRun(Reason::KeyReused, "the key belongs to a job with other content"));
        if (waiter.acceptanceOnly && job.runner->isAccepted()) {
            exchange->respond(makeRunningResponse(key, 202));
            return;
        }
        job.waiters.push_back(std::move(waiter));
        return;
    }
    if (this->jobs.size() >= maximumJobs)
        return refuse(Error::mayHaveRun(Reason::Overloaded, "too many jobs are in progress on this host; the host did not check whether a job with this key exists").withRetryAfter(Milliseconds(500)));
    this->startJob(key, *submission, std::move(waiter));
}

void JobService::startJob(const std::string& key, const JobSubmission& submission, Waiter waiter)
{
    auto job = std::make_shared<Job>();
    job->key = key;
    job->contentHash = submission.contentHash;
    job->createdAt = submission.createdAt;
    job->arrivedAt = this->context.wallMilliseconds();
    job->arrivalInstant = this->context.now();
    job->waiters.push_back(std::move(waiter));
    job->runner = std::make_unique<JobRunner>(submission.content, makeRandomIdentity(this->context.random), this->context.now());
    this->jobs.emplace(key, job);
    this->context.timeLine.record("job-received", { { "job", key }, { "tasks", std::to_string(submission.content.tasks.size()) } });
    this->executeCommands(job);
    // The timer ensures that a job that gets no grant promptly is still proposed to the ledger.
    job->flushTimer = this->context.loop.after(flushTimerDelay, [this, job] { this->scheduleFlush(job); });
}

void JobService::executeCommands(const JobPointer& job)
{
    while (true) {
        auto commands = job->runner->takeCommands();
        if (commands.empty())
            break;
        for (const auto& command : commands)
            std::visit([&](const auto& alternative) { this->execute(job, alternative); }, command);
    }
    if (job->runner->isDone())
        this->removeJob(job);
}

// Deferring the flush groups the grants of one batch of messages into one proposal.
void JobService::scheduleFlush(const JobPointer& job)
{
    if (job->flushScheduled)
        return;
    job->flushScheduled = true;
    this->context.loop.defer([this, job] {
        job->flushScheduled = false;
        job->runner->flush(this->context.now());
        this->executeCommands(job);
    });
}

void JobService::removeJob(const JobPointer& job)
{
    auto position = this->jobs.find(job->key);
    if (position != this->jobs.end() && position->second == job)
        this->jobs.erase(position);
    // Destruction of the calls is deferred, since this function may run inside one of their completion handlers.
    this->context.loop.defer([job] {
        job->calls.clear();
        job->flushTimer.reset();
    });
}

void JobService::execute(const JobPointer& job, const RequestGrants& command)
{
    const auto& content = job->runner->content();
    GrantRequest request;
    request.pool = content.pool;
    request.kind = content.taskKind;
    request.team = content.team;
    request.priority = content.priority;
    request.teamWeight = content.teamWeight;
    request.teamLimit = content.teamLimit;
    request.queueLimit = content.queueLimit;
    request.needs = content.needs;
    request.waitLimit = content.waitLimit;
    request.count = command.count;
    request.excludedTargets = command.excludedTargets;
    GrantClient::Callbacks callbacks;
    callbacks.granted = [this, job](const Grant& grant) {
        job->runner->onGrant(grant, this->context.now());
        this->executeCommands(job);
        this->scheduleFlush(job);
    };
    callbacks.refused = [this, job](const Refusal& refusal) {
        job->runner->onRefusal(refusal, this->context.now());
        this->executeCommands(job);
    };
    job->grantRequests.push_back(this->grants.requestGrants(std::move(request), std::move(callbacks)));
}

void JobService::execute(const JobPointer& job, const WithdrawGrantRequests&)
{
    for (auto number : job->grantRequests)
        this->grants.cancelRequest(number);
    job->grantRequests.clear();
}

void JobService::execute(const JobPointer&, const ReleaseGrant& command)
{
    this->grants.release(command.grant, command.result, command.runTime);
}

void JobService::proposeUpdate(const JobPointer& job, const DurableState::Command& command, UpdateHandler handler)
{
    this->ledger.propose(command, proposalTimeout, [this, job, handler = std::move(handler)](ErrorOr<std::string> result) {
        // Deferring the handler prevents reentrant calls into the runner.
        this->context.loop.defer([this, job, handler, result = std::move(result)] {
            if (!result)
                handler(tl::unexpected(result.error()));
            else
                handler(Transport::decodeValue<JobUpdateResult>(*result));
            this->executeCommands(job);
        });
    });
}

void JobService::execute(const JobPointer& job, const ProposeAcceptance& command)
{
    DurableState::AcceptJobCommand accept;
    accept.key = job->key;
    accept.contentHash = job->contentHash;
    accept.createdAt = job->createdAt;
    accept.content = Transport::encodeValue(job->runner->content());
    accept.ownerHost = this->context.settings.host;
    accept.ownerIncarnation = this->context.incarnation;
    accept.submission = job->runner->submission();
    accept.intents = command.intents;
    accept.arrivedAt = job->arrivedAt;
    accept.proposedAt = this->context.wallMilliseconds();
    this->proposeUpdate(job, accept, [this, job](const ErrorOr<JobUpdateResult>& result) {
        job->runner->onAcceptance(result, this->context.now());
        if (job->runner->isAccepted()) {
            this->context.timeLine.record("job-accepted", { { "job", job->key }, { "epoch", std::to_string(job->runner->epoch()) } });
            this->respondOnAcceptance(*job);
        }
    });
}

void JobService::respondOnAcceptance(Job& job)
{
    std::vector<Waiter> remaining;
    for (auto& waiter : job.waiters) {
        if (waiter.acceptanceOnly)
            waiter.exchange->respond(makeRunningResponse(job.key, 202));
        else
            remaining.push_back(std::move(waiter));
    }
    job.waiters = std::move(remaining);
}

void JobService::execute(const JobPointer& job, const ProposeRefusal&)
{
    DurableState::RefuseJobCommand refuse { job->key, job->contentHash, job->createdAt, this->context.wallMilliseconds() };
    this->proposeUpdate(job, refuse, [this, job](const auto& result) { job->runner->onAcceptance(result, this->context.now()); });
}

void JobService::execute(const JobPointer& job, const ProposeIntents& command)
{
    DurableState::RecordIntentsCommand record { job->key, job->runner->epoch(), command.intents };
    this->proposeUpdate(job, record, [this, job](const auto& result) { job->runner->onIntentsRecorded(result, this->context.now()); });
}

void JobService::execute(const JobPointer& job, const ProposeOutcome& command)
{
    DurableState::RecordOutcomeCommand record { job->key, job->runner->epoch(), command.outcome };
    this->proposeUpdate(job, record, [this, job](const auto& result) { job->runner->onOutcomeRecorded(result, this->context.now()); });
}

void JobService::execute(const JobPointer& job, const SendTask& command)
{
    const auto& intent = command.intent;
    auto endpoint = Transport::Endpoint::parse(intent.targetAddress);
    if (!endpoint) {
        this->onTaskResponse(job, intent, tl::unexpected(endpoint.error()));
        return;
    }
    this->context.metrics.count("messages_total{purpose=\"work\"}");
    this->context.timeLine.record("task-sent", { { "job", job->key }, { "task", std::to_string(intent.task) }, { "attempt", std::to_string(intent.attempt) }, { "target", intent.target }, { "epoch", std::to_string(job->runner->epoch()) } });
    auto request = makeTaskRequest(job->key, job->runner->epoch(), job->runner->content(), intent);
    auto timeout = Milliseconds(job->runner->content().runLimit);
    job->calls[intent.task].execution = this->context.client.send(*endpoint, std::move(request), timeout, [this, job, intent](const ErrorOr<HttpResponse>& response) {
        this->onTaskResponse(job, intent, response);
    });
}

void JobService::onTaskResponse(const JobPointer& job, const Intent& intent, const ErrorOr<HttpResponse>& response)
{
    auto answer = parseTaskAnswer(response);
    std::string result = answer ? "answered" : std::string(toString(answer.error().verdict));
    this->context.timeLine.record("task-answered", { { "job", job->key }, { "task", std::to_string(intent.task) }, { "attempt", std::to_string(intent.attempt) }, { "result", result } });
    job->runner->onTaskAnswer(intent.task, intent.attempt, answer, this->context.now());
    this->executeCommands(job);
}

void JobService::execute(const JobPointer& job, const ResolveAttempt& command)
{
    const auto& intent = command.intent;
    auto endpoint = Transport::Endpoint::parse(intent.targetAddress);
    if (!endpoint)
        return;
    // Idle connections to the worker may be dead as well as the one that delivered no response, so the query uses a new connection.
    this->context.client.dropIdleConnections(*endpoint);
    this->context.metrics.count("attempts_resolved_total");
    auto request = makeAttemptQuery(job->key, job->runner->epoch(), intent, attemptQueryWait);
    job->calls[intent.task].statusQuery = this->context.client.send(*endpoint, std::move(request), workerRequestTimeout, [this, job, intent](const ErrorOr<HttpResponse>& response) {
        job->runner->onAttemptReport(intent.task, intent.attempt, parseAttemptReport(response), this->context.now());
        this->executeCommands(job);
    });
}

void JobService::execute(const JobPointer& job, const StopTask& command)
{
    const auto& intent = command.intent;
    auto endpoint = Transport::Endpoint::parse(intent.targetAddress);
    if (!endpoint)
        return;
    // The completion handler shares ownership of the call, which keeps the call alive until it has completed.
    auto call = std::make_shared<std::unique_ptr<Transport::HttpCall>>();
    *call = this->context.client.send(*endpoint, makeStopRequest(job->key, job->runner->epoch(), intent), workerRequestTimeout, [this, call](const auto&) {
        this->context.loop.defer([call] { call->reset(); });
    });
}

void JobService::respondToWaiters(std::vector<Waiter>& waiters, const HttpResponse& response)
{
    for (auto& waiter : waiters)
        waiter.exchange->respond(response);
    waiters.clear();
}

void JobService::execute(const JobPointer& job, const AnswerJob& command)
{
    this->context.metrics.observeMilliseconds("job_duration_milliseconds", toMilliseconds(this->context.now() - job->arrivalInstant));
    bool complete = command.outcome.result == DurableState::JobResult::Complete;
    this->context.metrics.count(complete ? "jobs_finished_total{result=\"complete\"}" : "jobs_finished_total{result=\"failed\"}");
    this->context.timeLine.record("job-finished", { { "job", job->key }, { "result", complete ? "complete" : "failed" }, { "verdict", std::string(toString(command.outcome.verdict)) } });
    this->respondToWaiters(job->waiters, makeOutcomeResponse(job->key, command.outcome));
}

void JobService::execute(const JobPointer& job, const RefuseSubmission& command)
{
    this->context.metrics.count("jobs_refused_total{verdict=\"" + std::string(toString(command.error.verdict)) + "\"}");
    this->context.timeLine.record("job-refused", { { "job", job->key }, { "verdict", std::string(toString(command.error.verdict)) }, { "reason", std::string(toString(command.error.reason)) } });
    this->respondToWaiters(job->waiters, makeProblem(command.error));
}

void JobService::execute(const JobPointer& job, const FollowOwner&)
{
    this->awaitLedgerResponse(job->key, std::move(job->waiters));
    job->waiters.clear();
}

void JobService::awaitLedgerResponse(const std::string& key, std::vector<Waiter> waiters)
{
    auto& ledgerWaiters = this->ledgerWaiters[key];
    for (auto& waiter : waiters) {
        if (waiter.acceptanceOnly)
            waiter.exchange->respond(makeRunningResponse(key, 202));
        else
            ledgerWaiters.push_back(std::move(waiter));
    }
    if (ledgerWaiters.empty())
        this->ledgerWaiters.erase(key);
    else
        this->ledger.queryJob(key, QueryMode::WhenFinished);
}

void JobService::onQueryResponse(const std::string& key, const JobQueryResponse& response)
{
    auto position = this->ledgerWaiters.find(key);
    if (position == this->ledgerWaiters.end())
        return;
    auto waiters = std::move(position->second);
    this->ledgerWaiters.erase(position);
    if (!response.found)
        this->respondToWaiters(waiters, makeProblem(Error::mayHaveRun(Reason::NotFound, "the ledger has no job with this key; the job was never accepted, or its retention period has passed")));
    else if (response.finished)
        this->respondToWaiters(waiters, makeOutcomeResponse(key, response.outcome));
    else
        this->respondToWaiters(waiters, makeRunningResponse(key, 200));
}

void JobService::read(const std::string& key, const std::shared_ptr<HttpExchange>& exchange)
{
    bool waitsForOutcome = exchange->request().queryParameter("wait") == "finished";
    auto existing = this->jobs.find(key);
    if (existing != this->jobs.end()) {
        if (waitsForOutcome)
            existing->second->waiters.push_back(Waiter { exchange, false });
        else
            exchange->respond(makeRunningResponse(key, 200));
        return;
    }
    this->ledgerWaiters[key].push_back(Waiter { exchange, false });
    // A query that waits for the outcome is replaced, so that this caller gets the current state immediately.
    if (!waitsForOutcome)
        this->ledger.cancelQuery(key);
    this->ledger.queryJob(key, waitsForOutcome ? QueryMode::WhenFinished : QueryMode::Immediate);
}

void JobService::cancel(const std::string& key, const std::shared_ptr<HttpExchange>& exchange)
{
    auto existing = this->jobs.find(key);
    if (existing != this->jobs.end() && !existing->second->runner->isAccepted()) {
        existing->second->runner->cancel(this->context.now());
        this->executeCommands(existing->second);
    }
    this->ledger.propose(DurableState::CancelJobCommand { key }, proposalTimeout, [exchange, key](const ErrorOr<std::string>& result) {
        if (!result) {
            exchange->respond(makeProblem(result.error()));
            return;
        }
        auto update = Transport::decodeValue<JobUpdateResult>(*result);
        if (update && update->status == JobStatus::Done)
            exchange->respond(makeRunningResponse(key, 202));
        else
            exchange->respond(makeProblem(Error::notRun(Reason::NotFound, "the ledger has no job with this key")));
    });
}

void JobService::onMessage(const std::string&, const CancelNotice& notice)
{
    auto position = this->jobs.find(notice.key);
    if (position == this->jobs.end())
        return;
    auto job = position->second;
    job->runner->cancel(this->context.now());
    this->executeCommands(job);
}

void JobService::onMessage(const std::string&, const AdoptJob& message)
{
    const auto& record = message.record;
    if (record.ownerHost != this->context.settings.host || record.ownerIncarnation != this->context.incarnation || record.finished)
        return;
    std::vector<Waiter> waiters;
    auto existing = this->jobs.find(record.key);
    if (existing != this->jobs.end()) {
        auto job = existing->second;
        bool isNewer = record.epoch > job->runner->epoch();
        if (job->runner->isAccepted() && !isNewer)
            return;
        if (job->runner->isAccepting() && job->runner->submission() == record.submission && record.epoch == 1) {
            // The ledger accepted this submission, but its response was lost.
            job->runner->onAcceptance(JobUpdateResult { JobStatus::Accepted, 1, record.ownerHost, record.submission }, this->context.now());
            this->executeCommands(job);
            return;
        }
        waiters = std::move(job->waiters);
        this->execute(job, WithdrawGrantRequests {});
        this->removeJob(job);
    }
    auto content = Transport::decodeValue<JobContent>(record.content);
    if (!content) {
        Telemetry::log(Telemetry::LogLevel::Error, "job-unreadable", "a job in the ledger cannot be decoded by this software version", { { "job", record.key } });
        return;
    }
    auto job = std::make_shared<Job>();
    job->key = record.key;
    job->contentHash = record.contentHash;
    job->createdAt = record.createdAt;
    job->arrivedAt = record.acceptedAt;
    job->arrivalInstant = this->context.now();
    job->waiters = std::move(waiters);
    this->context.timeLine.record("job-adopted", { { "job", record.key }, { "epoch", std::to_string(record.epoch) } });
    job->runner = std::make_unique<JobRunner>(std::move(content).value(), record, this->context.now());
    this->jobs.emplace(record.key, job);
    this->executeCommands(job);
}

void JobService::reportHeldJobs()
{
    HeldJobs held { this->context.settings.host, this->context.incarnation, {} };
    for (const auto& [key, job] : this->jobs) {
        if (job->runner->isAccepted())
            held.jobs.push_back(HeldJob { key, job->runner->epoch() });
    }
    auto leader = this->ledger.leaderHost();
    if (!held.jobs.empty() && !leader.empty())
        this->context.send(leader, held);
}

void JobService::tick()
{
    auto now = this->context.now();
    std::vector<JobPointer> current;
    for (const auto& [key, job] : this->jobs)
        current.push_back(job);
    for (const auto& job : current) {
        job->runner->tick(now);
        this->executeCommands(job);
    }
    if (now >= this->nextReport) {
        this->nextReport = now + reportInterval;
        this->reportHeldJobs();
    }
}

}
