#include "RequestForwarder.h"
#include "Problem.h"
#include <LibBase/Try.h>
#include <LibTelemetry/Log.h>
#include <charconv>

namespace Sassafrasshift::Daemon {

using Dispatch::Grant;
using Dispatch::WorkResult;
using Transport::HttpExchange;
using Transport::HttpRequest;
using Transport::HttpResponse;

static constexpr std::string_view servicesPrefix = "/v1/services/";
static constexpr size_t maximumInProgress = 20'000;
// The team name of a request without a team header.
static constexpr std::string_view defaultTeam = "";

RequestForwarder::RequestForwarder(Context& context, ConfigurationStore& configuration, GrantClient& grants)
    : context(context)
    , configuration(configuration)
    , grants(grants)
{
}

static ErrorOr<std::optional<Milliseconds>> parseDeadline(const HttpRequest& request)
{
    auto text = Transport::headerValue(request.headers, deadlineHeader);
    if (text.empty())
        return std::optional<Milliseconds>();
    int64_t value = 0;
    auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc {} || end != text.data() + text.size() || value < 1)
        return tl::unexpected(Error::notRun(Reason::InvalidInput, "sassafrasshift-deadline-ms must be a positive integer number of milliseconds"));
    return std::optional<Milliseconds>(value);
}

ErrorOr<RequestForwarder::ForwardingPointer> RequestForwarder::prepare(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto& request = exchange->request();
    const auto* catalog = this->configuration.catalog();
    if (!catalog)
        return tl::unexpected(Error::notRun(Reason::NoConfiguration, "no configuration is in force on this host").withRetryAfter(Milliseconds(1000)));
    auto pathAfterPrefix = request.path().substr(servicesPrefix.size());
    auto name = std::string(pathAfterPrefix.substr(0, pathAfterPrefix.find('/')));
    const auto* service = catalog->findService(name);
    if (!service)
        return tl::unexpected(Error::notRun(Reason::NotFound, "there is no service \"" + name + "\""));
    auto teamName = std::string(Transport::headerValue(request.headers, teamHeader));
    const auto* team = catalog->findTeam(teamName);
    if (!team && teamName != defaultTeam)
        return tl::unexpected(Error::notRun(Reason::NotFound, "there is no team \"" + teamName + "\""));
    auto requestedDeadline = TRY(parseDeadline(request));
    if (this->inProgressByNumber.size() >= maximumInProgress)
        return tl::unexpected(Error::notRun(Reason::Overloaded, "too many requests are in progress on this host").withRetryAfter(Milliseconds(500)));

    const auto& policy = *catalog->findPolicy(service->policy);
    auto forwarding = std::make_shared<Forwarding>();
    forwarding->number = this->nextNumber++;
    forwarding->exchange = exchange;
    forwarding->requestId = Transport::headerValue(request.headers, requestIdHeader);
    if (forwarding->requestId.empty())
        forwarding->requestId = makeRandomIdentity(this->context.random);
    forwarding->service = name;
    forwarding->idempotent = service->idempotent;
    forwarding->retryShare = policy.retryShare;
    forwarding->arrivedAt = this->context.now();
    forwarding->deadline = forwarding->arrivedAt + std::min(requestedDeadline.value_or(policy.deadline), policy.deadline);
    auto& grantRequest = forwarding->grantRequest;
    grantRequest.pool = service->pool;
    grantRequest.kind = name;
    grantRequest.team = teamName;
    grantRequest.priority = policy.priority;
    grantRequest.queueLimit = policy.queueLimit;
    if (team) {
        auto domains = static_cast<int64_t>(catalog->findPool(service->pool)->failureDomains.size());
        grantRequest.teamWeight = team->weight;
        grantRequest.teamLimit = (team->maximumInProgress + domains - 1) / domains;
    }
    return forwarding;
}

void RequestForwarder::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    this->context.metrics.count("requests_total");
    auto prepared = this->prepare(exchange);
    if (!prepared) {
        this->context.metrics.count("requests_refused_total");
        exchange->respond(makeProblem(prepared.error()));
        return;
    }
    auto forwarding = *prepared;
    this->inProgressByNumber.emplace(forwarding->number, forwarding);
    this->context.timeLine.record("request-received", { { "request", forwarding->requestId }, { "service", forwarding->service } });
    exchange->setAbandonHandler([this, weak = std::weak_ptr(forwarding)] {
        if (auto forwarding = weak.lock())
            this->onAbandoned(forwarding);
    });
    this->requestGrant(forwarding);
}

Milliseconds RequestForwarder::remainingTime(const Forwarding& forwarding) const
{
    return std::chrono::duration_cast<Milliseconds>(forwarding.deadline - this->context.now());
}

void RequestForwarder::requestGrant(const ForwardingPointer& forwarding)
{
    auto request = forwarding->grantRequest;
    request.waitLimit = this->remainingTime(*forwarding).count();
    if (request.waitLimit <= 0) {
        this->refuse(forwarding, Error::notRun(Reason::DeadlineExceeded, "the deadline passed before the request was sent to a target"));
        return;
    }
    GrantClient::Callbacks callbacks;
    callbacks.granted = [this, forwarding](const Grant& grant) {
        forwarding->pendingGrant.reset();
        this->sendAttempt(forwarding, grant);
    };
    callbacks.refused = [this, forwarding](const Dispatch::Refusal& refusal) {
        forwarding->pendingGrant.reset();
        auto error = Error::notRun(refusal.reason, refusal.detail);
        this->refuse(forwarding, refusal.retryAfter > 0 ? error.withRetryAfter(Milliseconds(refusal.retryAfter)) : error);
    };
    forwarding->pendingGrant = this->grants.requestGrants(std::move(request), std::move(callbacks));
}

HttpRequest RequestForwarder::makeTargetRequest(const Forwarding& forwarding) const
{
    const auto& original = forwarding.exchange->request();
    HttpRequest request;
    request.method = original.method;
    request.body = original.body;
    request.target = original.target.substr(servicesPrefix.size() + forwarding.service.size());
    if (request.target.empty() || request.target.front() != '/')
        request.target.insert(0, "/");
    auto connectionOptions = Transport::headerValue(original.headers, "connection");
    for (const auto& header : original.headers) {
        // Headers that are listed in Connection are hop-by-hop headers as well (RFC 9110 section 7.6.1).
        bool dropped = Transport::isHopByHopHeader(header.name) || header.name == "host" || header.name == "content-length" || header.name == "expect"
            || header.name == requestIdHeader || header.name == attemptHeader || (!connectionOptions.empty() && connectionOptions.find(header.name) != std::string_view::npos);
        if (!dropped)
            request.headers.push_back(header);
    }
    request.headers.push_back({ std::string(requestIdHeader), forwarding.requestId });
    request.headers.push_back({ std::string(attemptHeader), forwarding.attempt });
    return request;
}

void RequestForwarder::sendAttempt(const ForwardingPointer& forwarding, const Grant& grant)
{
    forwarding->grant = grant;
    auto endpoint = Transport::Endpoint::parse(grant.targetAddress);
    auto timeout = this->remainingTime(*forwarding);
    if (!endpoint || timeout.count() <= 0) {
        this->releaseGrant(*forwarding, WorkResult::Unused);
        this->refuse(forwarding, Error::notRun(Reason::DeadlineExceeded, "the deadline passed before the request was sent to a target"));
        return;
    }
    ++forwarding->attempts;
    forwarding->attempt = this->context.settings.host + "-" + this->context.incarnation.substr(0, 8) + "-" + std::to_string(forwarding->number) + "-" + std::to_string(forwarding->attempts);
    forwarding->sentAt = this->context.now();
    this->context.metrics.count("messages_total{purpose=\"work\"}");
    this->context.timeLine.record("attempt-sent", { { "request", forwarding->requestId }, { "attempt", forwarding->attempt }, { "target", grant.target } });
    forwarding->call = this->context.client.send(*endpoint, this->makeTargetRequest(*forwarding), timeout, [this, forwarding](ErrorOr<HttpResponse> targetResponse) {
        this->onTargetResponse(forwarding, std::move(targetResponse));
    });
}

void RequestForwarder::releaseGrant(Forwarding& forwarding, WorkResult result)
{
    if (!forwarding.grant)
        return;
    auto runTime = std::chrono::duration_cast<Microseconds>(this->context.now() - forwarding.sentAt);
    this->grants.release(*forwarding.grant, result, runTime);
    forwarding.grant.reset();
}

void RequestForwarder::onTargetResponse(const ForwardingPointer& forwarding, ErrorOr<HttpResponse> targetResponse)
{
    if (!targetResponse) {
        this->onAttemptFailed(forwarding, targetResponse.error());
        return;
    }
    bool refusedByTarget = targetResponse->status == 503 && Transport::headerValue(targetResponse->headers, verdictHeader) == toString(Verdict::NotRun);
    if (refusedByTarget) {
        this->onAttemptFailed(forwarding, Error::notRun(Reason::TargetFailed, "the target refused the request"));
        return;
    }
    this->releaseGrant(*forwarding, targetResponse->status < 500 ? WorkResult::Succeeded : WorkResult::Failed);
    this->retryBudgets[forwarding->service].addSuccess(forwarding->retryShare);
    HttpResponse response;
    response.status = targetResponse->status;
    response.body = std::move(targetResponse->body);
    for (auto& header : targetResponse->headers) {
        bool dropped = Transport::isHopByHopHeader(header.name) || header.name == "content-length" || header.name == verdictHeader || header.name == requestIdHeader;
        if (!dropped)
            response.headers.push_back(std::move(header));
    }
    response.headers.push_back({ std::string(requestIdHeader), forwarding->requestId });
    response.headers.push_back({ std::string(verdictHeader), std::string(toString(Verdict::Ran)) });
    this->context.metrics.observeMilliseconds("request_duration_milliseconds", toMilliseconds(this->context.now() - forwarding->arrivedAt));
    this->context.metrics.count("requests_answered_total");
    this->finish(forwarding, std::move(response), "request-answered");
}

void RequestForwarder::onAttemptFailed(const ForwardingPointer& forwarding, const Error& error)
{
    bool notRun = error.verdict == Verdict::NotRun;
    auto target = forwarding->grant ? forwarding->grant->target : std::string();
    this->releaseGrant(*forwarding, notRun ? WorkResult::NotStarted : WorkResult::Failed);
    this->context.timeLine.record("attempt-failed", { { "request", forwarding->requestId }, { "attempt", forwarding->attempt }, { "verdict", std::string(toString(error.verdict)) }, { "detail", error.detail } });
    bool mayRetry = notRun || (forwarding->idempotent && error.verdict == Verdict::MayHaveRun);
    if (mayRetry && this->remainingTime(*forwarding).count() > 0 && this->retryBudgets[forwarding->service].take()) {
        this->context.metrics.count("retries_total");
        forwarding->grantRequest.excludedTargets.push_back(target);
        this->requestGrant(forwarding);
        return;
    }
    // Once an attempt may have run, no later attempt can establish that the request did not run.
    this->refuse(forwarding, error);
}

void RequestForwarder::refuse(const ForwardingPointer& forwarding, const Error& error)
{
    auto reportedError = error;
    // An earlier attempt of an idempotent request may have run even if the last one did not.
    if (forwarding->attempts > 1 && forwarding->idempotent && reportedError.verdict == Verdict::NotRun)
        reportedError.verdict = Verdict::MayHaveRun;
    this->context.metrics.count("requests_refused_total{verdict=\"" + std::string(toString(reportedError.verdict)) + "\"}");
    auto response = makeProblem(reportedError);
    response.headers.push_back({ std::string(requestIdHeader), forwarding->requestId });
    this->finish(forwarding, std::move(response), reportedError.verdict == Verdict::NotRun ? "request-refused" : "request-unknown");
}

void RequestForwarder::finish(const ForwardingPointer& forwarding, HttpResponse response, std::string_view event)
{
    this->context.timeLine.record(event, { { "request", forwarding->requestId }, { "status", std::to_string(response.status) } });
    this->inProgressByNumber.erase(forwarding->number);
    forwarding->exchange->respond(std::move(response));
    // Destruction of the call is deferred, since this function may run inside its completion handler.
    this->context.loop.defer([forwarding] { forwarding->call.reset(); });
}

void RequestForwarder::onAbandoned(const ForwardingPointer& forwarding)
{
    if (this->inProgressByNumber.erase(forwarding->number) == 0)
        return;
    this->context.metrics.count("requests_abandoned_total");
    this->context.timeLine.record("request-abandoned", { { "request", forwarding->requestId } });
    if (forwarding->pendingGrant)
        this->grants.cancelRequest(*forwarding->pendingGrant);
    forwarding->pendingGrant.reset();
    this->releaseGrant(*forwarding, WorkResult::Unused);
    this->context.loop.defer([forwarding] { forwarding->call.reset(); });
}

}
