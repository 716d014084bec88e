#include "HttpApi.h"
#include "Problem.h"
#include <LibBase/Try.h>
#include <LibTransport/Codec.h>
#include <nlohmann/json.hpp>

namespace Sassafrasshift::Daemon {

using DurableState::PublishCommand;
using DurableState::PublishResult;
using DurableState::PublishStatus;
using Json = nlohmann::ordered_json;
using Membership::TargetReport;
using Transport::HttpResponse;

static constexpr Milliseconds publishTimeout { 5000 };

HttpApi::HttpApi(Context& context, Components components)
    : context(context)
    , components(components)
{
}

void HttpApi::handle(const Exchange& exchange)
{
    auto path = exchange->request().path();
    if (path.starts_with("/v1/services/"))
        this->components.requests.handle(exchange);
    else if (path.starts_with("/v1/jobs/"))
        this->components.jobs.handle(exchange);
    else if (path == "/v1/targets")
        this->handleTargets(exchange);
    else if (path == "/v1/configuration")
        this->handleConfiguration(exchange);
    else if (path == "/v1/configuration/history")
        this->handleHistory(exchange);
    else if (path == "/v1/status")
        this->handleStatus(exchange);
    else if (path == "/v1/timeline")
        this->handleTimeLine(exchange);
    else if (path == "/healthz")
        exchange->respond(HttpResponse { 200, { { "content-type", "text/plain" } }, "ok\n" });
    else if (path == "/readyz")
        this->handleReadiness(exchange);
    else if (path == "/metrics")
        this->handleMetrics(exchange);
    else
        exchange->respond(makeProblem(Error::notRun(Reason::NotFound, "no resource exists at path " + std::string(path))));
}

static ErrorOr<TargetReport> parseTargetReport(const std::string& text)
{
    auto invalid = [](std::string detail) { return tl::unexpected(Error::notRun(Reason::InvalidInput, std::move(detail))); };
    auto body = Json::parse(text, nullptr, false);
    if (!body.is_object())
        return invalid("the body must be a JSON object");
    TargetReport report;
    for (auto [name, field] : { std::pair { "identity", &report.identity }, { "incarnation", &report.incarnation }, { "pool", &report.pool }, { "failureDomain", &report.failureDomain }, { "address", &report.address } }) {
        if (!body.contains(name) || !body[name].is_string() || body[name].get_ref<const std::string&>().empty())
            return invalid("\"" + std::string(name) + "\" must be a non-empty string");
        *field = body[name].get<std::string>();
    }
    TRY(Transport::Endpoint::parse(report.address));
    auto number = [&](const char* name, int64_t fallback) -> int64_t {
        return body.contains(name) && body[name].is_number() ? body[name].get<int64_t>() : fallback;
    };
    report.rack = body.value("rack", std::string());
    report.capacity.milliCores = body.contains("slots") ? number("slots", 0) * 1000 : static_cast<int64_t>((body.contains("cores") && body["cores"].is_number() ? body["cores"].get<double>() : 0) * 1000);
    report.capacity.memoryBytes = number("memoryBytes", 0);
    report.capacity.accelerators = number("accelerators", 0);
    report.connections = static_cast<uint32_t>(number("connections", 0));
    if (report.capacity.milliCores <= 0 || report.capacity.memoryBytes < 0 || report.capacity.accelerators < 0)
        return invalid("\"slots\" or \"cores\" must be positive, and \"memoryBytes\" and \"accelerators\" must not be negative");
    auto state = body.value("state", std::string("serving"));
    if (state != "serving" && state != "leaving")
        return invalid("\"state\" must be \"serving\" or \"leaving\"");
    report.state = state == "serving" ? Membership::TargetState::Serving : Membership::TargetState::Leaving;
    return report;
}

void HttpApi::handleTargets(const Exchange& exchange)
{
    const auto& request = exchange->request();
    if (request.method == "GET") {
        Json targets = Json::array();
        const auto& dispatcher = this->components.dispatcher.dispatcher();
        for (const auto& name : dispatcher.poolNames()) {
            for (const auto& [identity, target] : dispatcher.findPool(name)->allTargets()) {
                targets.push_back({ { "identity", identity }, { "pool", name }, { "failureDomain", target->report.failureDomain }, { "address", target->report.address },
                    { "state", target->report.state == Membership::TargetState::Serving ? "serving" : "leaving" }, { "grants", target->grants },
                    { "slowness", target->slowness }, { "ejected", target->ejected }, { "consecutiveFailures", target->consecutiveFailures } });
            }
        }
        exchange->respond(makeJsonResponse(200, targets.dump() + "\n"));
        return;
    }
    if (request.method != "POST") {
        exchange->respond(HttpResponse { 405, { { "allow", "GET, POST" } }, {} });
        return;
    }
    auto report = parseTargetReport(request.body);
    if (!report) {
        exchange->respond(makeProblem(report.error()));
        return;
    }
    auto announced = this->components.dispatcher.announce(*report);
    if (!announced)
        exchange->respond(makeProblem(announced.error()));
    else
        exchange->respond(makeJsonResponse(200, Json { { "leaseMs", this->context.settings.targetLease.count() } }.dump() + "\n"));
}

static Json configurationToJson(const DurableState::PublishedConfiguration& published)
{
    Json files = Json::array();
    for (const auto& file : published.files)
        files.push_back({ { "name", file.name }, { "text", file.text } });
    return Json { { "version", published.version }, { "author", published.author }, { "changeId", published.changeId }, { "publishedAt", published.publishedAt }, { "files", files } };
}

void HttpApi::handleConfiguration(const Exchange& exchange)
{
    const auto& method = exchange->request().method;
    if (method == "GET") {
        if (!this->components.configuration.catalog())
            exchange->respond(makeProblem(Error::notRun(Reason::NoConfiguration, "no configuration is in force on this host")));
        else
            exchange->respond(makeJsonResponse(200, configurationToJson(this->components.configuration.published()).dump() + "\n"));
        return;
    }
    if (method == "PUT" || method == "POST") {
        this->publish(exchange);
        return;
    }
    exchange->respond(HttpResponse { 405, { { "allow", "GET, PUT" } }, {} });
}

static ErrorOr<PublishCommand> parsePublication(const std::string& text)
{
    auto invalid = [](std::string detail) { return tl::unexpected(Error::notRun(Reason::InvalidInput, std::move(detail))); };
    auto body = Json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("files") || !body["files"].is_array())
        return invalid("the body must be a JSON object with \"baseVersion\", \"changeId\", \"author\" and \"files\"");
    PublishCommand command;
    if (!body.contains("baseVersion") || !body["baseVersion"].is_number_unsigned())
        return invalid("\"baseVersion\" must be the version that the change is based on, or zero if no version exists");
    command.baseVersion = body["baseVersion"].get<uint64_t>();
    for (auto [name, field] : { std::pair { "changeId", &command.changeId }, { "author", &command.author } }) {
        if (!body.contains(name) || !body[name].is_string() || body[name].get_ref<const std::string&>().empty())
            return invalid("\"" + std::string(name) + "\" must be a non-empty string");
        *field = body[name].get<std::string>();
    }
    for (const auto& file : body["files"]) {
        if (!file.is_object() || !file.contains("name") || !file["name"].is_string() || !file.contains("text") || !file["text"].is_string())
            return invalid("each element of \"files\" must have the strings \"name\" and \"text\"");
        command.files.push_back({ file["name"].get<std::string>(), file["text"].get<std::string>() });
    }
    auto checked = Catalog::Catalog::create(command.files);
    if (!checked)
        return invalid(Settings::toText(checked.error()));
    return command;
}

static HttpResponse makePublishResponse(const PublishResult& result)
{
    Json body { { "version", result.version }, { "author", result.author }, { "changeId", result.changeId } };
    if (result.status == PublishStatus::Accepted)
        return makeJsonResponse(200, body.dump() + "\n");
    auto detail = "version " + std::to_string(result.version) + " was published by \"" + result.author + "\" with change \"" + result.changeId + "\"; base the change on that version";
    auto response = makeProblem(Error::notRun(Reason::Conflict, detail));
    auto problem = Json::parse(response.body);
    problem.update(body);
    response.body = problem.dump() + "\n";
    return response;
}

void HttpApi::publish(const Exchange& exchange)
{
    auto command = parsePublication(exchange->request().body);
    if (!command) {
        exchange->respond(makeProblem(command.error()));
        return;
    }
    command->proposedAt = this->context.wallMilliseconds();
    auto changeId = command->changeId;
    this->components.ledger.propose(*command, publishTimeout, [this, exchange, changeId](const ErrorOr<std::string>& encodedResult) {
        if (!encodedResult) {
            exchange->respond(makeProblem(encodedResult.error()));
            return;
        }
        auto result = Transport::decodeValue<PublishResult>(*encodedResult);
        if (!result) {
            exchange->respond(makeProblem(Error::mayHaveRun(Reason::Internal, "the response of the ledger could not be decoded")));
            return;
        }
        this->context.timeLine.record("change-decided", { { "changeId", changeId }, { "accepted", result->status == PublishStatus::Accepted ? "true" : "false" }, { "version", std::to_string(result->version) } });
        exchange->respond(makePublishResponse(*result));
    });
}

void HttpApi::handleHistory(const Exchange& exchange)
{
    Json history = Json::array();
    for (const auto& entry : this->components.ledger.state().history())
        history.push_back({ { "version", entry.version }, { "author", entry.author }, { "changeId", entry.changeId }, { "publishedAt", entry.publishedAt } });
    exchange->respond(makeJsonResponse(200, history.dump() + "\n"));
}

void HttpApi::handleReadiness(const Exchange& exchange)
{
    std::string notReadyReason;
    if (this->leaving)
        notReadyReason = "leaving";
    else if (!this->components.configuration.catalog())
        notReadyReason = "no-configuration";
    exchange->respond(HttpResponse { notReadyReason.empty() ? 200 : 503, { { "content-type", "text/plain" } }, notReadyReason.empty() ? "ready\n" : notReadyReason + "\n" });
}

void HttpApi::handleStatus(const Exchange& exchange)
{
    auto now = this->context.now();
    Json peers = Json::object();
    for (const auto& [host, domain] : this->context.peers.failureDomains()) {
        const auto* heartbeat = this->context.peers.latestHeartbeat(host);
        auto version = host == this->context.settings.host ? this->components.configuration.version() : heartbeat ? heartbeat->configurationVersion
                                                                                                                  : 0;
        peers[host] = { { "failureDomain", domain }, { "alive", this->context.peers.isAlive(host, now) }, { "serving", this->context.peers.isServing(host, now) }, { "configurationVersion", version } };
    }
    Json body;
    body["host"] = this->context.settings.host;
    body["failureDomain"] = this->context.settings.self().failureDomain;
    body["incarnation"] = this->context.incarnation;
    body["state"] = this->leaving ? "leaving" : "serving";
    body["dispatcher"] = this->context.peers.dispatcherOf(this->context.settings.self().failureDomain, now);
    body["configurationVersion"] = this->components.configuration.version();
    body["requestsInProgress"] = this->components.requests.requestsInProgress();
    body["jobsOwned"] = this->components.jobs.ownedJobs();
    body["grantsHeld"] = this->components.grants.heldGrants();
    body["requestsWaiting"] = this->components.dispatcher.dispatcher().waitingGrantCount();
    Json ledger { { "leader", this->components.ledger.leaderHost() }, { "term", this->components.ledger.term() } };
    if (const auto* node = this->components.ledger.replicaNode()) {
        const auto& replica = node->replica();
        ledger["identity"] = replica.identity();
        ledger["leads"] = replica.isEstablishedLeader();
        ledger["commitIndex"] = replica.commitIndex();
        ledger["lastIndex"] = replica.lastIndex();
        ledger["storageFull"] = node->isStorageFull();
        ledger["openJobs"] = this->components.ledger.state().openJobs().size();
        Json members = Json::array();
        for (const auto& member : replica.membership().members)
            members.push_back({ { "host", member.host }, { "identity", member.identity }, { "voter", member.role == Ledger::MemberRole::Voter } });
        ledger["members"] = members;
    }
    if (!this->components.ledger.damage().empty())
        ledger["damage"] = this->components.ledger.damage();
    body["ledger"] = ledger;
    body["hosts"] = peers;
    exchange->respond(makeJsonResponse(200, body.dump() + "\n"));
}

void HttpApi::handleMetrics(const Exchange& exchange)
{
    auto& metrics = this->context.metrics;
    metrics.setGauge("requests_in_progress", static_cast<double>(this->components.requests.requestsInProgress()));
    metrics.setGauge("jobs_owned", static_cast<double>(this->components.jobs.ownedJobs()));
    metrics.setGauge("requests_waiting", static_cast<double>(this->components.dispatcher.dispatcher().waitingGrantCount()));
    metrics.setGauge("grants_held", static_cast<double>(this->components.grants.heldGrants()));
    metrics.setGauge("configuration_version", static_cast<double>(this->components.configuration.version()));
    if (const auto* node = this->components.ledger.replicaNode()) {
        metrics.setGauge("ledger_commit_index", static_cast<double>(node->replica().commitIndex()));
        metrics.setGauge("ledger_batches_stored", static_cast<double>(node->batchesStored()));
    }
    this->components.network.exportCounters();
    exchange->respond(HttpResponse { 200, { { "content-type", "text/plain; version=0.0.4" } }, metrics.toPrometheusText() });
}

void HttpApi::handleTimeLine(const Exchange& exchange)
{
    auto containing = exchange->request().queryParameter("containing");
    exchange->respond(HttpResponse { 200, { { "content-type", "application/x-ndjson" } }, this->context.timeLine.recentEvents(containing) });
}

}
