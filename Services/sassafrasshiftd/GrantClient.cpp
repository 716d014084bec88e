#include "GrantClient.h"
#include <LibTelemetry/Log.h>

namespace Sassafrasshift::Daemon {

using Dispatch::Grant;
using Dispatch::GrantRequest;
using Dispatch::Refusal;
using Dispatch::WorkResult;

static constexpr Milliseconds resendInterval { 2000 };
static constexpr Milliseconds reportInterval { 1000 };
// How long after the wait limit of a request the dispatcher's refusal may still arrive.
static constexpr Milliseconds refusalGracePeriod { 500 };

GrantClient::GrantClient(Context& context)
    : context(context)
    // The wall clock in the upper bits keeps request numbers distinct from those of an earlier process of this host, whose grants may
    // still be in transit.
    , nextNumber(static_cast<uint64_t>(context.wallMilliseconds()) << 20)
{
}

uint64_t GrantClient::requestGrants(GrantRequest request, Callbacks callbacks)
{
    auto number = this->nextNumber++;
    request.id = Dispatch::RequestId { this->context.settings.host, number };
    auto deadline = this->context.now() + Milliseconds(request.waitLimit) + refusalGracePeriod;
    auto count = request.count;
    auto& pendingRequest = this->pending.emplace(number, PendingRequest { std::move(request), std::move(callbacks), count, {}, {}, deadline }).first->second;
    this->sendRequest(pendingRequest);
    return number;
}

void GrantClient::sendRequest(PendingRequest& pendingRequest)
{
    auto now = this->context.now();
    pendingRequest.sentAt = now;
    pendingRequest.dispatcher = this->context.peers.dispatcherOf(this->context.settings.self().failureDomain, now);
    // If this host is shutting down and no other host of the domain serves, there is no active dispatcher. The local dispatcher
    // still processes waiting requests.
    if (pendingRequest.dispatcher.empty())
        pendingRequest.dispatcher = this->context.settings.host;
    auto request = pendingRequest.request;
    request.count = pendingRequest.outstandingCount;
    request.waitLimit = std::max<int64_t>(1, std::chrono::duration_cast<Milliseconds>(pendingRequest.deadline - refusalGracePeriod - now).count());
    this->context.send(pendingRequest.dispatcher, request);
}

void GrantClient::cancelRequest(uint64_t number)
{
    auto position = this->pending.find(number);
    if (position == this->pending.end())
        return;
    this->context.send(position->second.dispatcher, CancelGrantRequest { position->second.request.id });
    this->pending.erase(position);
}

void GrantClient::release(const Grant& grant, WorkResult result, Microseconds runTime)
{
    this->held.erase({ grant.dispatcher, grant.number });
    if (result == WorkResult::Unused || result == WorkResult::NotStarted)
        this->context.metrics.count("messages_wasted_total{cause=\"unused-grant\"}", 2);
    this->context.send(grant.dispatcher, Dispatch::Release { grant.number, result, runTime.count() });
}

void GrantClient::onGrant(const Grant& grant)
{
    auto position = this->pending.find(grant.request.number);
    if (position == this->pending.end()) {
        this->release(grant, WorkResult::Unused, Microseconds(0));
        return;
    }
    auto& pendingRequest = position->second;
    this->held[{ grant.dispatcher, grant.number }] = HeldGrant { grant, pendingRequest.request.pool, pendingRequest.request.needs, this->context.now() };
    auto granted = pendingRequest.callbacks.granted;
    if (--pendingRequest.outstandingCount == 0)
        this->pending.erase(position);
    granted(grant);
}

void GrantClient::onRefusal(const Refusal& refusal)
{
    auto position = this->pending.find(refusal.request.number);
    if (position == this->pending.end())
        return;
    auto refused = std::move(position->second.callbacks.refused);
    this->pending.erase(position);
    refused(refusal);
}

void GrantClient::tick()
{
    auto now = this->context.now();
    auto dispatcher = this->context.peers.dispatcherOf(this->context.settings.self().failureDomain, now);
    std::vector<uint64_t> expired;
    for (auto& [number, pendingRequest] : this->pending) {
        if (now >= pendingRequest.deadline) {
            expired.push_back(number);
            continue;
        }
        bool dispatcherChanged = !dispatcher.empty() && dispatcher != pendingRequest.dispatcher;
        if (!dispatcherChanged && now < pendingRequest.sentAt + resendInterval)
            continue;
        if (dispatcherChanged)
            this->context.send(pendingRequest.dispatcher, CancelGrantRequest { pendingRequest.request.id });
        this->context.metrics.count("grant_requests_resent_total");
        this->sendRequest(pendingRequest);
    }
    for (auto number : expired) {
        auto id = this->pending.at(number).request.id;
        this->onRefusal(Refusal { id, Reason::DeadlineExceeded, "the dispatcher of this failure domain did not respond in time", 1000 });
    }
    if (now >= this->nextReport)
        this->reportHeldGrants();
}

void GrantClient::reportHeldGrants()
{
    auto now = this->context.now();
    this->nextReport = now + reportInterval;
    std::map<std::tuple<std::string, std::string, Catalog::Resources>, HeldGrants> reports;
    for (const auto& [key, heldGrant] : this->held) {
        if (now < heldGrant.since + reportInterval)
            continue;
        auto receiver = heldGrant.grant.dispatcher;
        // If the dispatcher has failed, the report tells its successor which capacity is in use.
        if (!this->context.peers.isAlive(receiver, now))
            receiver = this->context.peers.dispatcherOf(this->context.settings.self().failureDomain, now);
        if (receiver.empty())
            continue;
        auto& report = reports[{ receiver, heldGrant.pool, heldGrant.needs }];
        report.pool = heldGrant.pool;
        report.needs = heldGrant.needs;
        report.grants.push_back(heldGrant.grant);
    }
    for (const auto& [key, report] : reports)
        this->context.send(std::get<0>(key), report);
}

}
