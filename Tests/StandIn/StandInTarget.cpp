#include "StandInTarget.h"
#include <LibBase/Try.h>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace Sassafrasshift::StandIn {

using Transport::headerValue;
using Transport::HttpResponse;
using Json = nlohmann::ordered_json;

static constexpr Milliseconds announceInterval { 500 };
static constexpr size_t maximumBody = 64 * 1024 * 1024;

StandInTarget::StandInTarget(Transport::EventLoop& loop, Transport::HttpClient& client, Telemetry::TimeLine& timeLine, Random& random, TargetOptions options)
    : loop(loop)
    , client(client)
    , timeLine(timeLine)
    , random(random)
    , options(std::move(options))
    , incarnation(makeRandomIdentity(random).substr(0, 16))
{
}

ErrorOr<std::unique_ptr<StandInTarget>> StandInTarget::create(Transport::EventLoop& loop, Transport::HttpClient& client, Telemetry::TimeLine& timeLine, Random& random, TargetOptions options)
{
    std::unique_ptr<StandInTarget> target(new StandInTarget(loop, client, timeLine, random, std::move(options)));
    target->server = TRY(Transport::HttpServer::create(loop, target->options.endpoint, { maximumBody }, [raw = target.get()](const auto& exchange) { raw->handle(exchange); }));
    target->announce();
    return target;
}

Milliseconds StandInTarget::scaledRunTime(double milliseconds) const
{
    return Milliseconds(static_cast<int64_t>(milliseconds * this->options.slowness));
}

bool StandInTarget::sampleFailure()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < this->options.failureShare;
}

void StandInTarget::announce()
{
    this->announceTimer = this->loop.after(announceInterval, [this] { this->announce(); });
    Json body;
    body["identity"] = this->options.identity;
    body["incarnation"] = this->incarnation;
    body["pool"] = this->options.pool;
    body["failureDomain"] = this->options.failureDomain;
    body["rack"] = this->options.rack;
    body["address"] = this->options.endpoint.toText();
    body[this->options.isWorker ? "cores" : "slots"] = this->options.capacity;
    body["memoryBytes"] = this->options.memoryBytes;
    body["connections"] = 60;
    body["state"] = this->leaving ? "leaving" : "serving";
    Transport::HttpRequest request;
    request.method = "POST";
    request.target = "/v1/targets";
    request.body = body.dump();
    const auto& entryHost = this->options.entryHosts[this->nextEntryHost % this->options.entryHosts.size()];
    this->announcement = this->client.send(entryHost, std::move(request), announceInterval, [this](const ErrorOr<HttpResponse>& response) {
        // After a failed announcement, the next interval tries the next entry host.
        if (!response || response->status != 200)
            ++this->nextEntryHost;
    });
}

void StandInTarget::leave()
{
    if (this->leaving)
        return;
    this->leaving = true;
    this->timeLine.record("target-leaving", { { "target", this->options.identity } });
    this->announce();
}

void StandInTarget::handle(const Exchange& exchange)
{
    const auto& request = exchange->request();
    auto path = request.path();
    if (path == "/control")
        this->handleControl(exchange);
    else if (path == "/v1/tasks")
        this->handleTask(exchange);
    else if (path == "/v1/attempts")
        this->handleAttemptQuery(exchange, request.method == "DELETE");
    else
        this->handleRequest(exchange);
}

void StandInTarget::handleControl(const Exchange& exchange)
{
    const auto& request = exchange->request();
    if (auto value = request.queryParameter("slowness"); !value.empty())
        this->options.slowness = std::strtod(std::string(value).c_str(), nullptr);
    if (auto value = request.queryParameter("failureShare"); !value.empty())
        this->options.failureShare = std::strtod(std::string(value).c_str(), nullptr);
    if (auto value = request.queryParameter("silent"); !value.empty())
        this->silent = value == "true";
    if (request.queryParameter("state") == "leaving")
        this->leave();
    exchange->respond(HttpResponse { 200, {}, "ok\n" });
}

void StandInTarget::refuse(const Exchange& exchange, const std::string& cause)
{
    exchange->respond(HttpResponse { 503, { { "sassafrasshift-verdict", "not-run" }, { "x-cause", cause } }, {} });
}

void StandInTarget::handleRequest(const Exchange& exchange)
{
    const auto& request = exchange->request();
    if (this->leaving || this->running >= this->options.capacity) {
        this->refuse(exchange, this->leaving ? "leaving" : "full");
        return;
    }
    std::string id(headerValue(request.headers, "x-request-id"));
    this->timeLine.record("request-started", { { "request", id }, { "target", this->options.identity }, { "attempt", std::string(headerValue(request.headers, "sassafrasshift-attempt")) } });
    if (this->silent)
        return;
    ++this->running;
    auto runMilliseconds = std::strtod(std::string(headerValue(request.headers, "x-run-ms")).c_str(), nullptr);
    bool shouldFail = this->sampleFailure();
    auto requestNumber = this->nextRequestNumber++;
    this->requestTimers[requestNumber] = this->loop.after(shouldFail ? Milliseconds(1) : this->scaledRunTime(runMilliseconds), [this, exchange, shouldFail, requestNumber] {
        --this->running;
        HttpResponse response;
        response.status = shouldFail ? 500 : 200;
        response.headers = { { "content-type", "application/octet-stream" }, { "x-target", this->options.identity }, { "x-path", exchange->request().target } };
        response.body = exchange->request().body;
        exchange->respond(std::move(response));
        auto timer = this->requestTimers.extract(requestNumber);
    });
}

void StandInTarget::handleTask(const Exchange& exchange)
{
    const auto& request = exchange->request();
    auto numberFromHeader = [&](std::string_view name) { return std::strtoull(std::string(headerValue(request.headers, name)).c_str(), nullptr, 10); };
    AttemptKey key { std::string(headerValue(request.headers, "sassafrasshift-job")), static_cast<uint32_t>(numberFromHeader("sassafrasshift-task")), static_cast<uint32_t>(numberFromHeader("sassafrasshift-attempt-number")) };
    auto epoch = numberFromHeader("sassafrasshift-epoch");
    auto& highest = this->highestEpoch[key.job];
    // An attempt that has already been started is answered with 409, and the repeated request starts nothing.
    //
    // An attempt is refused as stale if it comes from a previous owner of the job (lower epoch), is addressed to an
    // earlier incarnation of this worker, or has already been reported as never started.
    auto existing = this->attempts.find(key);
    if (existing != this->attempts.end() && !existing->second.neverStarted) {
        exchange->respond(HttpResponse { 409, { { "sassafrasshift-verdict", "may-have-run" } }, {} });
        return;
    }
    bool stale = epoch < highest || headerValue(request.headers, "sassafrasshift-incarnation") != this->incarnation || existing != this->attempts.end();
    if (stale || this->leaving || this->running >= this->options.capacity) {
        this->refuse(exchange, stale ? "stale" : this->leaving ? "leaving"
                                                               : "full");
        return;
    }
    highest = epoch;
    this->timeLine.record("task-started", { { "job", key.job }, { "task", std::to_string(key.task) }, { "attempt", std::to_string(key.attempt) }, { "target", this->options.identity } });
    auto& attempt = this->attempts[key];
    ++this->running;
    attempt.exchange = exchange;
    double runMilliseconds = 0;
    if (request.body.starts_with("run="))
        runMilliseconds = std::strtod(request.body.c_str() + 4, nullptr);
    bool shouldFail = this->sampleFailure();
    auto answer = shouldFail ? std::string("failed") : "done " + request.body;
    if (this->silent)
        attempt.exchange.reset();
    attempt.timer = this->loop.after(shouldFail ? Milliseconds(1) : this->scaledRunTime(runMilliseconds), [this, key, shouldFail, answer] { this->finishAttempt(key, !shouldFail, answer); });
}

void StandInTarget::finishAttempt(const AttemptKey& key, bool succeeded, std::string answer)
{
    auto& attempt = this->attempts.at(key);
    if (attempt.finished)
        return;
    --this->running;
    attempt.finished = true;
    attempt.succeeded = succeeded;
    attempt.answer = std::move(answer);
    this->timeLine.record("task-ended", { { "job", key.job }, { "task", std::to_string(key.task) }, { "target", this->options.identity }, { "succeeded", succeeded ? "true" : "false" } });
    if (attempt.exchange && !this->silent)
        attempt.exchange->respond(HttpResponse { succeeded ? 200 : 500, { { "sassafrasshift-verdict", "ran" } }, attempt.answer });
    attempt.exchange.reset();
    for (const auto& query : attempt.pendingQueries)
        this->respondWithState(query, attempt);
    attempt.pendingQueries.clear();
}

void StandInTarget::respondWithState(const Exchange& exchange, const Attempt& attempt)
{
    Json body;
    body["state"] = attempt.neverStarted ? "never-started" : attempt.finished ? "finished"
                                                                              : "running";
    body["succeeded"] = attempt.succeeded;
    body["answer"] = attempt.answer;
    exchange->respond(HttpResponse { 200, { { "content-type", "application/json" } }, body.dump() });
}

void StandInTarget::handleAttemptQuery(const Exchange& exchange, bool stop)
{
    const auto& request = exchange->request();
    auto numberFromQuery = [&](std::string_view name) { return std::strtoull(std::string(request.queryParameter(name)).c_str(), nullptr, 10); };
    AttemptKey key { std::string(request.queryParameter("job")), static_cast<uint32_t>(numberFromQuery("task")), static_cast<uint32_t>(numberFromQuery("attempt")) };
    auto& highest = this->highestEpoch[key.job];
    highest = std::max<uint64_t>(highest, numberFromQuery("epoch"));
    if (request.queryParameter("incarnation") != this->incarnation) {
        exchange->respond(HttpResponse { 200, { { "content-type", "application/json" } }, R"({"state":"lost"})" });
        return;
    }
    auto [iterator, inserted] = this->attempts.try_emplace(key);
    auto& attempt = iterator->second;
    // Records an unknown attempt as never started, so that handleTask() refuses it if it arrives after this answer.
    if (inserted)
        attempt.neverStarted = true;
    if (stop && !attempt.neverStarted && !attempt.finished)
        this->finishAttempt(key, false, "stopped");
    auto wait = Milliseconds(numberFromQuery("wait"));
    if (attempt.neverStarted || attempt.finished || wait.count() == 0) {
        this->respondWithState(exchange, attempt);
        return;
    }
    attempt.pendingQueries.push_back(exchange);
    auto waitTimer = std::make_shared<std::unique_ptr<Transport::Timer>>();
    *waitTimer = this->loop.after(wait, [this, key, exchange, waitTimer] {
        if (!exchange->isClosed())
            this->respondWithState(exchange, this->attempts.at(key));
        this->loop.defer([waitTimer] { waitTimer->reset(); });
    });
}

}
