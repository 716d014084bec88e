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

Milliseconds StandInTarget::runTime(double milliseconds) const
{
    return Milliseconds(static_cast<int64_t>(milliseconds * this->options.slowness));
}

bool StandInTarget::failsNow()
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
    const auto& entry = this->options.entries[this->nextEntry % this->options.entries.size()];
    this->announcement = this->client.send(entry, std::move(request), announceInterval, [this](const ErrorOr<HttpResponse>& response) {
        // Where one entry host does not take the announcement, the next one is tried.
        if (!response || response->status != 200)
            ++this->nextEntry;
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
        this->handleQuestion(exchange, request.method == "DELETE");
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
    auto run = std::strtod(std::string(headerValue(request.headers, "x-run-ms")).c_str(), nullptr);
    bool fails = this->failsNow();
    auto number = this->nextRequest++;
    this->requestTimers[number] = this->loop.after(fails ? Milliseconds(1) : this->runTime(run), [this, exchange, fails, number] {
        --this->running;
        HttpResponse response;
        response.status = fails ? 500 : 200;
        response.headers = { { "content-type", "application/octet-stream" }, { "x-target", this->options.identity }, { "x-path", exchange->request().target } };
        response.body = exchange->request().body;
        exchange->respond(std::move(response));
        auto timer = this->requestTimers.extract(number);
    });
}

void StandInTarget::handleTask(const Exchange& exchange)
{
    const auto& request = exchange->request();
    auto number = [&](std::string_view name) { return std::strtoull(std::string(headerValue(request.headers, name)).c_str(), nullptr, 10); };
    AttemptName name { std::string(headerValue(request.headers, "sassafrasshift-job")), static_cast<uint32_t>(number("sassafrasshift-task")), static_cast<uint32_t>(number("sassafrasshift-attempt-number")) };
    auto epoch = number("sassafrasshift-epoch");
    auto& highest = this->highestEpoch[name.job];
    // A worker refuses what a former owner of the job sends, what was meant for its predecessor, and what it has
    // already said never to have started.
    auto known = this->attempts.find(name);
    if (known != this->attempts.end() && !known->second.refused) {
        exchange->respond(HttpResponse { 409, { { "sassafrasshift-verdict", "may-have-run" } }, {} });
        return;
    }
    bool stale = epoch < highest || headerValue(request.headers, "sassafrasshift-incarnation") != this->incarnation || known != this->attempts.end();
    if (stale || this->leaving || this->running >= this->options.capacity) {
        this->refuse(exchange, stale ? "stale" : this->leaving ? "leaving"
                                                               : "full");
        return;
    }
    highest = epoch;
    this->timeLine.record("task-started", { { "job", name.job }, { "task", std::to_string(name.task) }, { "attempt", std::to_string(name.attempt) }, { "target", this->options.identity } });
    auto& attempt = this->attempts[name];
    ++this->running;
    attempt.exchange = exchange;
    double run = 0;
    if (request.body.starts_with("run="))
        run = std::strtod(request.body.c_str() + 4, nullptr);
    bool fails = this->failsNow();
    auto answer = fails ? std::string("failed") : "done " + request.body;
    if (this->silent)
        attempt.exchange.reset();
    attempt.timer = this->loop.after(fails ? Milliseconds(1) : this->runTime(run), [this, name, fails, answer] { this->finishAttempt(name, !fails, answer); });
}

void StandInTarget::finishAttempt(const AttemptName& name, bool succeeded, std::string answer)
{
    auto& attempt = this->attempts.at(name);
    if (attempt.finished)
        return;
    --this->running;
    attempt.finished = true;
    attempt.succeeded = succeeded;
    attempt.answer = std::move(answer);
    this->timeLine.record("task-ended", { { "job", name.job }, { "task", std::to_string(name.task) }, { "target", this->options.identity }, { "succeeded", succeeded ? "true" : "false" } });
    if (attempt.exchange && !this->silent)
        attempt.exchange->respond(HttpResponse { succeeded ? 200 : 500, { { "sassafrasshift-verdict", "ran" } }, attempt.answer });
    attempt.exchange.reset();
    for (const auto& question : attempt.questions)
        this->answerQuestion(question, attempt);
    attempt.questions.clear();
}

void StandInTarget::answerQuestion(const Exchange& exchange, const Attempt& attempt)
{
    Json body;
    body["state"] = attempt.refused ? "never-started" : attempt.finished ? "finished"
                                                                         : "running";
    body["succeeded"] = attempt.succeeded;
    body["answer"] = attempt.answer;
    exchange->respond(HttpResponse { 200, { { "content-type", "application/json" } }, body.dump() });
}

void StandInTarget::handleQuestion(const Exchange& exchange, bool stop)
{
    const auto& request = exchange->request();
    auto number = [&](std::string_view name) { return std::strtoull(std::string(request.queryParameter(name)).c_str(), nullptr, 10); };
    AttemptName name { std::string(request.queryParameter("job")), static_cast<uint32_t>(number("task")), static_cast<uint32_t>(number("attempt")) };
    auto& highest = this->highestEpoch[name.job];
    highest = std::max<uint64_t>(highest, number("epoch"));
    if (request.queryParameter("incarnation") != this->incarnation) {
        exchange->respond(HttpResponse { 200, { { "content-type", "application/json" } }, R"({"state":"lost"})" });
        return;
    }
    auto [position, isNew] = this->attempts.try_emplace(name);
    auto& attempt = position->second;
    // From now on this attempt is refused, so that the answer stays true.
    if (isNew)
        attempt.refused = true;
    if (stop && !attempt.refused && !attempt.finished)
        this->finishAttempt(name, false, "stopped");
    auto wait = Milliseconds(number("wait"));
    if (attempt.refused || attempt.finished || wait.count() == 0) {
        this->answerQuestion(exchange, attempt);
        return;
    }
    attempt.questions.push_back(exchange);
    auto keeper = std::make_shared<std::unique_ptr<Transport::Timer>>();
    *keeper = this->loop.after(wait, [this, name, exchange, keeper] {
        if (!exchange->isClosed())
            this->answerQuestion(exchange, this->attempts.at(name));
        this->loop.defer([keeper] { keeper->reset(); });
    });
}

}
