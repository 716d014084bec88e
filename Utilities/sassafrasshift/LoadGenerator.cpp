#include "LoadGenerator.h"
#include "Connection.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace Sassafrasshift::CommandLine {

using Json = nlohmann::ordered_json;
using Transport::HttpRequest;
using Transport::HttpResponse;

static constexpr Milliseconds completionCheckInterval { 20 };
static constexpr size_t maximumIdleConnections = 2000;
static constexpr size_t maximumOpenCalls = 50'000;

LoadGenerator::LoadGenerator(Transport::EventLoop& loop, LoadProfile profile, std::vector<Transport::Endpoint> entryHosts, std::optional<Transport::Endpoint> directTarget, Telemetry::TimeLine& timeLine)
    : loop(loop)
    , profile(std::move(profile))
    , entryHosts(std::move(entryHosts))
    , directTarget(std::move(directTarget))
    , timeLine(timeLine)
    , random(this->profile.seed)
    , client(Transport::HttpClient::create(loop, { maximumIdleConnections, 128 * 1024 * 1024 }))
{
    // IDs must differ between runs even with the same seed, because the ledger remembers job keys.
    auto idRandom = makeEntropySeededRandom();
    this->idPrefix = makeRandomIdentity(idRandom).substr(0, 10);
}

void LoadGenerator::start()
{
    this->startedAt = this->loop.now();
    this->nextRequestAt = this->startedAt;
    this->nextJobAt = this->startedAt;
    if (this->profile.requestRate > 0)
        this->requestTimer = this->loop.after(Milliseconds(0), [this] { this->sendDueRequests(); });
    if (this->profile.jobRate > 0)
        this->jobTimer = this->loop.after(Milliseconds(0), [this] { this->submitDueJobs(); });
    this->stopWhenDone();
}

void LoadGenerator::stopWhenDone()
{
    bool durationElapsed = this->loop.now() >= this->startedAt + this->profile.duration;
    if (durationElapsed && this->calls.empty() && this->timers.empty()) {
        this->loop.stop();
        return;
    }
    this->stopTimer = this->loop.after(completionCheckInterval, [this] { this->stopWhenDone(); });
}

double LoadGenerator::currentRate(double rate) const
{
    if (this->profile.burstInterval.count() == 0)
        return rate;
    auto elapsed = std::chrono::duration_cast<Milliseconds>(this->loop.now() - this->startedAt);
    bool inBurst = elapsed.count() % this->profile.burstInterval.count() < this->profile.burstLength.count();
    return inBurst ? rate * this->profile.burstFactor : rate;
}

const Transport::Endpoint& LoadGenerator::randomEntryHost()
{
    return this->entryHosts[this->random() % this->entryHosts.size()];
}

double LoadGenerator::sampleRunTime(const RunTimeRange& range)
{
    return std::uniform_real_distribution<double>(static_cast<double>(range.minimum.count()), static_cast<double>(range.maximum.count()) + 1e-9)(this->random);
}

void LoadGenerator::send(const Transport::Endpoint& endpoint, HttpRequest request, Transport::HttpClient::Completion completion)
{
    auto handle = this->nextHandle++;
    auto onCompletion = [this, handle, completion = std::move(completion)](ErrorOr<HttpResponse> response) {
        completion(std::move(response));
        this->loop.defer([this, handle] { this->calls.erase(handle); });
    };
    this->calls[handle] = this->client->send(endpoint, std::move(request), this->profile.patience, std::move(onCompletion));
}

void LoadGenerator::runAfter(Milliseconds delay, std::function<void()> function)
{
    auto handle = this->nextHandle++;
    this->timers[handle] = this->loop.after(delay, [this, handle, function = std::move(function)] {
        function();
        this->loop.defer([this, handle] { this->timers.erase(handle); });
    });
}

void LoadGenerator::recordResponse(std::string_view kind, const std::string& id, std::string_view result, std::string_view verdict, bool contentMatches)
{
    // The field "own" tells the checker whether the client received the response to its own request.
    this->timeLine.record("client-answered", { { "kind", std::string(kind) }, { "id", id }, { "result", std::string(result) }, { "verdict", std::string(verdict) }, { "own", contentMatches ? "true" : "false" } });
}

void LoadGenerator::sendDueRequests()
{
    auto now = this->loop.now();
    if (now >= this->startedAt + this->profile.duration)
        return;
    // Sends all requests that became due since the last timer tick, so that the rate does not depend on the timer.
    while (this->nextRequestAt <= now && this->calls.size() < maximumOpenCalls) {
        std::exponential_distribution<double> interarrivalTime(this->currentRate(this->profile.requestRate));
        this->nextRequestAt += std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(interarrivalTime(this->random)));
        auto id = this->idPrefix + "-r" + std::to_string(this->nextWorkId++);
        auto runTime = this->sampleRunTime(this->profile.requestRunTime);
        HttpRequest request;
        request.method = "POST";
        request.target = this->directTarget ? "/load" : "/v1/services/" + this->profile.service + "/load";
        request.headers = { { "x-run-ms", std::to_string(runTime) }, { "x-request-id", id } };
        if (!this->profile.teams.empty())
            request.headers.push_back({ "sassafrasshift-team", this->profile.teams[this->random() % this->profile.teams.size()] });
        request.body = "body of " + id + " ";
        request.body.resize(std::max(request.body.size(), static_cast<size_t>(this->profile.bodyBytes)), '.');
        ++this->collectedResults.requestsSent;
        this->timeLine.record("client-sent", { { "kind", "request" }, { "id", id }, { "idempotent", this->profile.serviceIdempotent ? "true" : "false" } });
        auto body = request.body;
        this->send(this->directTarget ? *this->directTarget : this->randomEntryHost(), std::move(request), [this, id, body, runTime, now](const ErrorOr<HttpResponse>& response) { this->onRequestResponse(id, body, runTime, now, response); });
    }
    this->requestTimer = this->loop.after(Milliseconds(1), [this] { this->sendDueRequests(); });
}

void LoadGenerator::onRequestResponse(const std::string& id, const std::string& expectedBody, double runTime, Instant sentAt, const ErrorOr<HttpResponse>& response)
{
    auto& results = this->collectedResults;
    auto latency = toMilliseconds(this->loop.now() - sentAt);
    if (response && response->status == 200) {
        bool contentMatches = response->body == expectedBody;
        ++(contentMatches ? results.requestsAnswered : results.wrongResponses);
        results.requestLatencies.push_back(latency);
        results.requestRatios.push_back(latency / std::max(runTime, 1.0));
        this->recordResponse("request", id, "complete", "ran", contentMatches);
        return;
    }
    auto verdict = response ? verdictFromString(Transport::headerValue(response->headers, "sassafrasshift-verdict")).value_or(Verdict::MayHaveRun) : response.error().verdict;
    if (verdict == Verdict::NotRun) {
        ++results.requestsRefusedNotRun;
        results.refusalLatencies.push_back(latency);
    } else {
        ++(verdict == Verdict::Ran ? results.requestsFailed : results.requestsUnknown);
    }
    this->recordResponse("request", id, "failed", toString(verdict), true);
}

void LoadGenerator::submitDueJobs()
{
    auto now = this->loop.now();
    if (now >= this->startedAt + this->profile.duration)
        return;
    while (this->nextJobAt <= now && this->calls.size() < maximumOpenCalls) {
        std::exponential_distribution<double> interarrivalTime(this->currentRate(this->profile.jobRate));
        this->nextJobAt += std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(interarrivalTime(this->random)));
        auto job = std::make_shared<Job>();
        job->id = this->idPrefix + "-j" + std::to_string(this->nextWorkId++);
        Json tasks = Json::array();
        auto width = std::uniform_int_distribution<int64_t>(this->profile.minimumWidth, this->profile.maximumWidth)(this->random);
        for (int64_t i = 0; i < width; ++i) {
            auto runTime = this->sampleRunTime(this->profile.taskRunTime);
            job->longestRunTime = std::max(job->longestRunTime, runTime);
            auto task = "run=" + std::to_string(runTime) + " " + job->id + "/" + std::to_string(i);
            tasks.push_back(task);
            job->expectedAnswers.push_back("done " + task);
        }
        Json body { { "taskKind", this->profile.taskKind }, { "createdAt", toUnixMilliseconds(this->loop.wallNow()) }, { "tasks", tasks } };
        if (!this->profile.teams.empty())
            body["team"] = this->profile.teams[this->random() % this->profile.teams.size()];
        job->body = body.dump();
        this->submitJob(job);
        std::uniform_real_distribution<double> probability(0, 1);
        if (probability(this->random) < this->profile.resubmitShare)
            this->runAfter(Milliseconds(this->random() % 300), [this, job] { this->submitJob(job); });
        if (probability(this->random) < this->profile.cancelShare)
            this->runAfter(Milliseconds(20 + this->random() % 200), [this, id = job->id] { this->cancelJob(id); });
    }
    this->jobTimer = this->loop.after(Milliseconds(1), [this] { this->submitDueJobs(); });
}

void LoadGenerator::submitJob(const std::shared_ptr<Job>& job)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/jobs/" + job->id;
    request.body = job->body;
    ++this->collectedResults.jobsSubmitted;
    auto now = this->loop.now();
    this->timeLine.record("client-sent", { { "kind", "job" }, { "id", job->id }, { "tasks", std::to_string(job->expectedAnswers.size()) } });
    this->send(this->randomEntryHost(), std::move(request), [this, job, now](const ErrorOr<HttpResponse>& response) { this->onJobResponse(*job, now, response); });
}

void LoadGenerator::onJobResponse(const Job& job, Instant sentAt, const ErrorOr<HttpResponse>& response)
{
    auto& results = this->collectedResults;
    auto latency = toMilliseconds(this->loop.now() - sentAt);
    auto body = response ? Json::parse(response->body, nullptr, false) : Json();
    if (response && response->status == 200 && body.is_object() && body.value("result", "") == "complete") {
        bool contentMatches = body["key"] == job.id && body["answers"] == Json(job.expectedAnswers);
        ++(contentMatches ? results.jobsComplete : results.wrongResponses);
        results.jobLatencies.push_back(latency);
        results.jobRatios.push_back(latency / std::max(job.longestRunTime, 1.0));
        this->recordResponse("job", job.id, "complete", "ran", contentMatches);
        return;
    }
    // A refused connection does not show that an earlier submission of the same key did not run.
    auto error = response ? parseErrorResponse(*response) : Error::mayHaveRun(response.error().reason, response.error().detail);
    auto result = body.is_object() ? body.value("result", std::string("refused")) : std::string("refused");
    if (result == "cancelled") {
        ++results.jobsCancelled;
    } else if (error.verdict == Verdict::NotRun) {
        ++results.jobsRefusedNotRun;
        results.refusalLatencies.push_back(latency);
    } else {
        ++(error.verdict == Verdict::Ran || result == "failed" ? results.jobsFailed : results.jobsUnknown);
    }
    this->recordResponse("job", job.id, result, toString(error.verdict), true);
}

void LoadGenerator::cancelJob(const std::string& id)
{
    this->send(this->randomEntryHost(), { "DELETE", "/v1/jobs/" + id, {}, {} }, [](const auto&) {});
}

}
