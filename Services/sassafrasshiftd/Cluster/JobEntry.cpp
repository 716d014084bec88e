#include "Cluster/JobEntry.h"
#include <LibScheduler/TaskScheduler.h>
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

using Exchange = std::shared_ptr<HttpExchange>;

static constexpr Milliseconds renewalInterval { 250 };
// What an answer needs to reach its caller before the caller gives up.
static constexpr Milliseconds answerMargin { 25 };
static constexpr Milliseconds longestDeadline { 60'000 };
// How long after its last answer the runs of an unreachable dispatcher may go on. It may have heard this entry once more
// without being heard, keeps the runs for the entry's lease, may be followed by another one beyond the same partition that
// waits for their entry, and orders to stop take time.
static constexpr Milliseconds stopTime { 250 };
static constexpr Scheduler::TaskScheduler::Options schedulerOptions {};
static constexpr Milliseconds earlierRunsEnd = renewalInterval + schedulerOptions.entryLease + schedulerOptions.leases.adoptionWait + stopTime;
// The runs of an entry that is lost have to end before a caller whose connection broke may send its job again.
static constexpr Milliseconds callerRetransmission { 1300 };
static_assert(schedulerOptions.entryLease + stopTime < callerRetransmission);
// Each further dispatcher numbers its runs above those of the ones before.
static constexpr uint64_t runsPerDispatcher = 1000;
// How long a job waits for a dispatcher to be found.
static constexpr Milliseconds dispatcherWait { 1500 };
static constexpr size_t maximumOpenJobs = 10'000;

static void answer(const Exchange& exchange, int status, std::string body, Milliseconds retryAfter = Milliseconds(0))
{
    Transport::HttpHeaders headers { { "content-type", "application/json" } };
    if (retryAfter.count() > 0)
        headers.push_back({ "retry-after", std::to_string((retryAfter.count() + 999) / 1000) });
    exchange->respond(HttpResponse { status, std::move(headers), std::move(body) });
}

static void refuse(const Exchange& exchange, int status, std::string_view detail, Milliseconds retryAfter = Milliseconds(0))
{
    answer(exchange, status, Platform::encodeError(detail), retryAfter);
}

static Milliseconds readDeadline(const Transport::HttpRequest& request, const Catalog::Route& route)
{
    auto text = Transport::headerValue(request.headers, Platform::deadlineHeader);
    int64_t milliseconds = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (error != std::errc {} || milliseconds <= 0)
        return Milliseconds(route.timeoutMilliseconds);
    return std::min(Milliseconds(milliseconds), longestDeadline);
}

JobEntry::JobEntry(ClusterContext& context, RouteKeeper& routes)
    : context(context)
    , routes(routes)
{
}

bool JobEntry::isReady() const
{
    return !this->leaving && this->routes.routes() != nullptr && !this->dispatcher.empty();
}

void JobEntry::handle(const Exchange& exchange)
{
    const auto* table = this->routes.routes();
    if (!table)
        return refuse(exchange, 503, "there is no configuration yet", Milliseconds(1000));
    const auto& request = exchange->request();
    ParsedRequest parsed;
    parsed.route = table->match(Transport::headerValue(request.headers, "host"), request.path());
    if (!parsed.route)
        return refuse(exchange, 404, "no queue takes this request");
    parsed.job = request.path().substr(parsed.route->pathPrefix.size());
    if (static_cast<int64_t>(request.body.size()) > table->limits().maximumBodyBytes)
        return refuse(exchange, 413, "the body is too large");
    if (request.method == "POST" && !parsed.job.empty())
        return this->submit(exchange, parsed);
    if (request.method == "GET")
        return this->describe(exchange, parsed);
    if (request.method == "DELETE" && !parsed.job.empty())
        return this->cancel(exchange, parsed);
    refuse(exchange, 405, "this method is not served here");
}

// Names what a job asks for and is not served yet; empty for a job that is served.
static std::string_view unservedNeed(const JobDescription& job)
{
    if (!job.bestEffort)
        return "jobs that must be stored are not served yet";
    if (job.repeats || job.longRunning)
        return "jobs that repeat or last are not served yet";
    if (job.steps.size() != 1 || job.steps.front().needsMore)
        return "jobs of several steps, gangs and the like are not served yet";
    return {};
}

void JobEntry::submit(const Exchange& exchange, const ParsedRequest& parsed)
{
    auto now = this->context.now();
    auto known = this->jobs.find(parsed.job);
    if (known != this->jobs.end())
        return this->join(known->second, exchange);
    auto description = Platform::decodeJob(exchange->request().body);
    if (!description)
        return refuse(exchange, 400, description.error().detail);
    if (auto need = unservedNeed(*description); !need.empty())
        return refuse(exchange, 503, need);
    if (this->jobs.size() >= maximumOpenJobs)
        return refuse(exchange, 503, "too many jobs are open", Milliseconds(1000));
    const auto& step = description->steps.front();
    const auto& route = *parsed.route;
    Job job;
    job.arrivedAt = now;
    job.deadline = now + readDeadline(exchange->request(), route) - answerMargin;
    auto allowed = Milliseconds(static_cast<int64_t>(route.stretch * static_cast<double>(step.estimate.count())) + route.targetLatencyMilliseconds);
    job.objective = now + allowed;
    job.routesVersion = this->routes.document().version;
    auto& submission = job.submission;
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
    auto& kept = this->jobs.emplace(parsed.job, std::move(job)).first->second;
    this->join(kept, exchange);
    if (!this->dispatcher.empty())
        this->handOver(kept, now);
}

void JobEntry::join(Job& job, const Exchange& exchange)
{
    job.callers.push_back(exchange);
    exchange->whenAbandoned([this, name = job.submission.job] { this->onAbandoned(name); });
}

// A job that nobody waits for any more is withdrawn.
void JobEntry::onAbandoned(const std::string& name)
{
    auto position = this->jobs.find(name);
    if (position == this->jobs.end())
        return;
    auto& callers = position->second.callers;
    if (!std::all_of(callers.begin(), callers.end(), [](const auto& exchange) { return exchange->isClosed(); }))
        return;
    Telemetry::log(LogLevel::Information, "job-abandoned", "the caller has gone", { { "job", name }, { "queue", position->second.submission.queue } });
    this->withdraw(position->second);
    this->jobs.erase(position);
}

void JobEntry::describe(const Exchange& exchange, const ParsedRequest& parsed)
{
    if (parsed.job.empty()) {
        auto count = std::count_if(this->jobs.begin(), this->jobs.end(), [&](const auto& entry) { return entry.second.submission.queue == parsed.route->name; });
        return answer(exchange, 200, Platform::encodePending(static_cast<size_t>(count)));
    }
    if (this->jobs.contains(parsed.job))
        return answer(exchange, 200, Platform::encodeRunningState());
    refuse(exchange, 410, "no such job is known");
}

void JobEntry::cancel(const Exchange& exchange, const ParsedRequest& parsed)
{
    auto position = this->jobs.find(parsed.job);
    if (position == this->jobs.end())
        return refuse(exchange, 410, "no such job is known");
    this->withdraw(position->second);
    this->answerAll(position->second, 410, Platform::encodeError("the job was cancelled"), Milliseconds(0), "cancelled", "cancelled");
    this->jobs.erase(position);
    answer(exchange, 200, "{}");
}

void JobEntry::withdraw(const Job& job)
{
    if (!job.dispatcher.empty())
        this->context.send(job.dispatcher, CancelSubmission { job.submission.job });
}

void JobEntry::handOver(Job& job, Instant now)
{
    auto& submission = job.submission;
    auto remaining = [&](Instant until) { return std::chrono::duration_cast<Milliseconds>(until - now).count(); };
    submission.untilDeadline = remaining(job.deadline);
    submission.untilObjective = remaining(job.objective);
    submission.untilEarlierRunsEnd = 0;
    if (job.submissions > 0)
        submission.untilEarlierRunsEnd = std::max<Milliseconds::rep>(remaining(this->formerHeard + earlierRunsEnd), 0);
    submission.firstRun = job.submissions * runsPerDispatcher + 1;
    ++job.submissions;
    job.dispatcher = this->dispatcher;
    this->context.send(this->dispatcher, submission);
}

void JobEntry::followDispatcher(Instant now)
{
    auto present = this->context.dispatcherAddress();
    if (present == this->dispatcher)
        return;
    Telemetry::log(LogLevel::Information, "dispatcher-changed", "jobs go to another dispatcher", { { "from", this->dispatcher }, { "to", present }, { "openJobs", std::to_string(this->jobs.size()) } });
    if (!this->dispatcher.empty())
        this->formerHeard = this->dispatcherHeard;
    this->dispatcher = present;
    this->dispatcherHeard = now;
    if (present.empty())
        return;
    for (auto& [name, job] : this->jobs)
        this->handOver(job, now);
    this->renew(now);
}

void JobEntry::renew(Instant now)
{
    if (this->dispatcher.empty())
        return;
    this->nextRenewal = now + renewalInterval;
    RenewSubmissions renewal;
    renewal.jobs.reserve(this->jobs.size());
    for (const auto& [name, job] : this->jobs)
        renewal.jobs.push_back(name);
    this->context.send(this->dispatcher, renewal);
}

void JobEntry::onMessage(const std::string& from, const RenewAnswer& renewed)
{
    if (from != this->dispatcher)
        return;
    auto now = this->context.now();
    bool wasSilent = now - this->dispatcherHeard > Milliseconds(600);
    if (!wasSilent)
        this->formerHeard = this->dispatcherHeard;
    this->dispatcherHeard = now;
    for (const auto& name : renewed.unknownJobs) {
        auto position = this->jobs.find(name);
        // One that has just been handed over may still be on its way.
        if (position != this->jobs.end() && now - position->second.arrivedAt > renewalInterval)
            this->handOver(position->second, now);
    }
}

void JobEntry::answerAll(Job& job, int status, const std::string& body, Milliseconds retryAfter, std::string_view outcome, std::string_view reason)
{
    auto now = this->context.now();
    auto took = std::chrono::duration_cast<Milliseconds>(now - job.arrivedAt);
    for (const auto& caller : job.callers)
        answer(caller, status, body, retryAfter);
    this->context.metrics.count("jobs_total{outcome=\"" + std::string(outcome) + "\"}");
    this->context.metrics.observeMilliseconds("job_milliseconds", static_cast<double>(took.count()));
    Telemetry::log(LogLevel::Information, "job-answered", "a job was answered",
        { { "job", job.submission.job }, { "queue", job.submission.queue }, { "status", std::to_string(status) }, { "outcome", std::string(outcome) }, { "reason", std::string(reason) }, { "tookMs", std::to_string(took.count()) },
            { "routesVersion", std::to_string(job.routesVersion) }, { "dispatcher", job.dispatcher }, { "submissions", std::to_string(job.submissions) } });
}

void JobEntry::onMessage(const std::string& from, const JobOutcome& outcome)
{
    auto position = this->jobs.find(outcome.job);
    if (position == this->jobs.end() || position->second.dispatcher != from)
        return;
    auto& job = position->second;
    if (outcome.end != JobEnd::Refused)
        this->answerAll(job, 200, Platform::encodeJobState(outcome.end), Milliseconds(0), outcome.end == JobEnd::Completed ? "completed" : "failed", outcome.reason);
    else if (job.submissions > 1)
        // An earlier dispatcher may have started something of it.
        this->answerAll(job, 504, Platform::encodeError("the job may have run in part"), Milliseconds(0), "unknown", outcome.reason);
    else
        this->answerAll(job, outcome.reason == "overloaded" ? 429 : 503, Platform::encodeError(outcome.reason), Milliseconds(outcome.retryAfterMilliseconds), "refused", outcome.reason);
    this->jobs.erase(position);
}

void JobEntry::expire(Instant now)
{
    std::vector<std::string> ended;
    for (auto& [name, job] : this->jobs) {
        if (now >= job.deadline) {
            this->withdraw(job);
            if (job.submissions == 0)
                this->answerAll(job, 503, Platform::encodeError("no dispatcher was found in time"), Milliseconds(1000), "refused", "no-dispatcher");
            else
                this->answerAll(job, 504, Platform::encodeError("the job did not end in time"), Milliseconds(0), "unknown", "deadline");
            ended.push_back(name);
        } else if (job.submissions == 0 && now - job.arrivedAt >= dispatcherWait) {
            this->answerAll(job, 503, Platform::encodeError("no dispatcher is reachable"), Milliseconds(1000), "refused", "no-dispatcher");
            ended.push_back(name);
        }
    }
    for (const auto& name : ended)
        this->jobs.erase(name);
}

void JobEntry::tick(Instant now)
{
    this->followDispatcher(now);
    if (now >= this->nextRenewal)
        this->renew(now);
    this->expire(now);
}

}
