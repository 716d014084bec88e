#include "LoadGenerator.h"
#include "Connection.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace Sassafrasshift::CommandLine {

using Json = nlohmann::ordered_json;
using Transport::HttpRequest;
using Transport::HttpResponse;

static constexpr Milliseconds doneCheckInterval { 20 };
static constexpr size_t idleConnections = 2000;
static constexpr size_t maximumOpenCalls = 50'000;

LoadGenerator::LoadGenerator(Transport::EventLoop& loop, LoadProfile profile, std::vector<Transport::Endpoint> entries, std::optional<Transport::Endpoint> direct, Telemetry::TimeLine& timeLine)
    : loop(loop)
    , profile(std::move(profile))
    , entries(std::move(entries))
    , direct(std::move(direct))
    , timeLine(timeLine)
    , random(this->profile.seed)
    , client(Transport::HttpClient::create(loop, { idleConnections, 128 * 1024 * 1024 }))
{
    // Ids differ between runs, also with the same seed: the ledger remembers keys.
    auto seeded = makeSeededRandom();
    this->runId = makeRandomIdentity(seeded).substr(0, 10);
}

void LoadGenerator::start()
{
    this->startedAt = this->loop.now();
    this->nextRequestAt = this->startedAt;
    this->nextJobAt = this->startedAt;
    if (this->profile.requestRate > 0)
        this->requestTimer = this->loop.after(Milliseconds(0), [this] { this->sendRequest(); });
    if (this->profile.jobRate > 0)
        this->jobTimer = this->loop.after(Milliseconds(0), [this] { this->startJob(); });
    this->stopWhenDone();
}

void LoadGenerator::stopWhenDone()
{
    bool over = this->loop.now() >= this->startedAt + this->profile.duration;
    if (over && this->calls.empty() && this->timers.empty()) {
        this->loop.stop();
        return;
    }
    this->stopTimer = this->loop.after(doneCheckInterval, [this] { this->stopWhenDone(); });
}

double LoadGenerator::rateNow(double rate) const
{
    if (this->profile.burstInterval.count() == 0)
        return rate;
    auto elapsed = std::chrono::duration_cast<Milliseconds>(this->loop.now() - this->startedAt);
    bool inBurst = elapsed.count() % this->profile.burstInterval.count() < this->profile.burstLength.count();
    return inBurst ? rate * this->profile.burstFactor : rate;
}

const Transport::Endpoint& LoadGenerator::anyEntry()
{
    return this->entries[this->random() % this->entries.size()];
}

double LoadGenerator::drawRunTime(const RunTimeRange& range)
{
    return std::uniform_real_distribution<double>(static_cast<double>(range.minimum.count()), static_cast<double>(range.maximum.count()) + 1e-9)(this->random);
}

void LoadGenerator::send(const Transport::Endpoint& endpoint, HttpRequest request, Transport::HttpClient::Completion completion)
{
    auto number = this->nextCall++;
    auto finished = [this, number, completion = std::move(completion)](ErrorOr<HttpResponse> answer) {
        completion(std::move(answer));
        this->loop.defer([this, number] { this->calls.erase(number); });
    };
    this->calls[number] = this->client->send(endpoint, std::move(request), this->profile.patience, std::move(finished));
}

void LoadGenerator::later(Milliseconds delay, std::function<void()> function)
{
    auto number = this->nextCall++;
    this->timers[number] = this->loop.after(delay, [this, number, function = std::move(function)] {
        function();
        this->loop.defer([this, number] { this->timers.erase(number); });
    });
}

void LoadGenerator::recordAnswer(std::string_view kind, const std::string& id, std::string_view result, std::string_view verdict, bool own)
{
    this->timeLine.record("client-answered", { { "kind", std::string(kind) }, { "id", id }, { "result", std::string(result) }, { "verdict", std::string(verdict) }, { "own", own ? "true" : "false" } });
}

void LoadGenerator::sendRequest()
{
    auto now = this->loop.now();
    if (now >= this->startedAt + this->profile.duration)
        return;
    // Arrivals that are due since the last turn are sent now, so that the rate does not depend on the timer.
    while (this->nextRequestAt <= now && this->calls.size() < maximumOpenCalls) {
        std::exponential_distribution<double> gap(this->rateNow(this->profile.requestRate));
        this->nextRequestAt += std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(gap(this->random)));
        auto id = this->runId + "-r" + std::to_string(this->nextId++);
        auto run = this->drawRunTime(this->profile.requestRunTime);
        HttpRequest request;
        request.method = "POST";
        request.target = this->direct ? "/load" : "/v1/services/" + this->profile.service + "/load";
        request.headers = { { "x-run-ms", std::to_string(run) }, { "x-request-id", id } };
        if (!this->profile.teams.empty())
            request.headers.push_back({ "sassafrasshift-team", this->profile.teams[this->random() % this->profile.teams.size()] });
        request.body = "body of " + id + " ";
        request.body.resize(std::max(request.body.size(), static_cast<size_t>(this->profile.bodyBytes)), '.');
        ++this->collected.requests;
        this->timeLine.record("client-sent", { { "kind", "request" }, { "id", id }, { "idempotent", this->profile.serviceIdempotent ? "true" : "false" } });
        auto body = request.body;
        this->send(this->direct ? *this->direct : this->anyEntry(), std::move(request), [this, id, body, run, now](const ErrorOr<HttpResponse>& answer) { this->onRequestAnswer(id, body, run, now, answer); });
    }
    this->requestTimer = this->loop.after(Milliseconds(1), [this] { this->sendRequest(); });
}

void LoadGenerator::onRequestAnswer(const std::string& id, const std::string& body, double run, Instant sentAt, const ErrorOr<HttpResponse>& answer)
{
    auto& results = this->collected;
    auto latency = toMilliseconds(this->loop.now() - sentAt);
    if (answer && answer->status == 200) {
        bool own = answer->body == body;
        ++(own ? results.answered : results.wrong);
        results.requestLatencies.push_back(latency);
        results.requestRatios.push_back(latency / std::max(run, 1.0));
        this->recordAnswer("request", id, "complete", "ran", own);
        return;
    }
    auto verdict = answer ? verdictFromString(Transport::headerValue(answer->headers, "sassafrasshift-verdict")).value_or(Verdict::MayHaveRun) : answer.error().verdict;
    if (verdict == Verdict::NotRun) {
        ++results.refusedNotRun;
        results.refusalLatencies.push_back(latency);
    } else {
        ++(verdict == Verdict::Ran ? results.failed : results.unknown);
    }
    this->recordAnswer("request", id, "failed", toString(verdict), true);
}

void LoadGenerator::startJob()
{
    auto now = this->loop.now();
    if (now >= this->startedAt + this->profile.duration)
        return;
    while (this->nextJobAt <= now && this->calls.size() < maximumOpenCalls) {
        std::exponential_distribution<double> gap(this->rateNow(this->profile.jobRate));
        this->nextJobAt += std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(gap(this->random)));
        auto job = std::make_shared<Job>();
        job->id = this->runId + "-j" + std::to_string(this->nextId++);
        Json tasks = Json::array();
        auto width = std::uniform_int_distribution<int64_t>(this->profile.minimumWidth, this->profile.maximumWidth)(this->random);
        for (int64_t i = 0; i < width; ++i) {
            auto run = this->drawRunTime(this->profile.taskRunTime);
            job->longestRun = std::max(job->longestRun, run);
            auto task = "run=" + std::to_string(run) + " " + job->id + "/" + std::to_string(i);
            tasks.push_back(task);
            job->expected.push_back("done " + task);
        }
        Json body { { "taskKind", this->profile.taskKind }, { "createdAt", toUnixMilliseconds(this->loop.wallNow()) }, { "tasks", tasks } };
        if (!this->profile.teams.empty())
            body["team"] = this->profile.teams[this->random() % this->profile.teams.size()];
        job->body = body.dump();
        this->submitJob(job);
        std::uniform_real_distribution<double> share(0, 1);
        if (share(this->random) < this->profile.resubmitShare)
            this->later(Milliseconds(this->random() % 300), [this, job] { this->submitJob(job); });
        if (share(this->random) < this->profile.cancelShare)
            this->later(Milliseconds(20 + this->random() % 200), [this, id = job->id] { this->cancelJob(id); });
    }
    this->jobTimer = this->loop.after(Milliseconds(1), [this] { this->startJob(); });
}

void LoadGenerator::submitJob(const std::shared_ptr<Job>& job)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/jobs/" + job->id;
    request.body = job->body;
    ++this->collected.jobsSubmitted;
    auto now = this->loop.now();
    this->timeLine.record("client-sent", { { "kind", "job" }, { "id", job->id }, { "tasks", std::to_string(job->expected.size()) } });
    this->send(this->anyEntry(), std::move(request), [this, job, now](const ErrorOr<HttpResponse>& answer) { this->onJobAnswer(*job, now, answer); });
}

void LoadGenerator::onJobAnswer(const Job& job, Instant sentAt, const ErrorOr<HttpResponse>& answer)
{
    auto& results = this->collected;
    auto latency = toMilliseconds(this->loop.now() - sentAt);
    auto body = answer ? Json::parse(answer->body, nullptr, false) : Json();
    if (answer && answer->status == 200 && body.is_object() && body.value("result", "") == "complete") {
        bool own = body["key"] == job.id && body["answers"] == Json(job.expected);
        ++(own ? results.jobsComplete : results.wrong);
        results.jobLatencies.push_back(latency);
        results.jobRatios.push_back(latency / std::max(job.longestRun, 1.0));
        this->recordAnswer("job", job.id, "complete", "ran", own);
        return;
    }
    // A connection that was refused says nothing of an earlier sending of the same key.
    auto error = answer ? readProblem(*answer) : Error::mayHaveRun(answer.error().reason, answer.error().detail);
    auto result = body.is_object() ? body.value("result", std::string("refused")) : std::string("refused");
    if (result == "cancelled") {
        ++results.jobsCancelled;
    } else if (error.verdict == Verdict::NotRun) {
        ++results.jobsRefusedNotRun;
        results.refusalLatencies.push_back(latency);
    } else {
        ++(error.verdict == Verdict::Ran || result == "failed" ? results.jobsFailed : results.jobsUnknown);
    }
    this->recordAnswer("job", job.id, result, toString(error.verdict), true);
}

void LoadGenerator::cancelJob(const std::string& id)
{
    this->send(this->anyEntry(), { "DELETE", "/v1/jobs/" + id, {}, {} }, [](const auto&) {});
}

}
