#include "GrantClient.h"
#include <LibTelemetry/Log.h>

namespace Sassafrasshift::Daemon {

using Dispatch::Grant;
using Dispatch::GrantRequest;
using Dispatch::Refusal;
using Dispatch::WorkResult;

static constexpr Milliseconds resendInterval { 2000 };
static constexpr Milliseconds namingInterval { 1000 };
// Beyond the patience given to the dispatcher, for its refusal to arrive.
static constexpr Milliseconds refusalAllowance { 500 };

GrantClient::GrantClient(Context& context)
    : context(context)
    // Numbers of an earlier process of this host are not used again while its grants may still be on the way.
    , nextNumber(static_cast<uint64_t>(context.wallMilliseconds()) << 20)
{
}

uint64_t GrantClient::ask(GrantRequest request, Callbacks callbacks)
{
    auto number = this->nextNumber++;
    request.id = Dispatch::RequestId { this->context.settings.host, number };
    auto deadline = this->context.now() + Milliseconds(request.patience) + refusalAllowance;
    auto count = request.count;
    auto& entry = this->pending.emplace(number, Pending { std::move(request), std::move(callbacks), count, {}, {}, deadline }).first->second;
    this->sendRequest(entry);
    return number;
}

void GrantClient::sendRequest(Pending& entry)
{
    auto now = this->context.now();
    entry.sentAt = now;
    entry.dispatcher = this->context.peers.dispatcherOf(this->context.settings.self().failureDomain, now);
    // While this host shuts down it may be the only one of its domain; its dispatcher still serves what is waiting.
    if (entry.dispatcher.empty())
        entry.dispatcher = this->context.settings.host;
    auto request = entry.request;
    request.count = entry.missing;
    request.patience = std::max<int64_t>(1, std::chrono::duration_cast<Milliseconds>(entry.deadline - refusalAllowance - now).count());
    this->context.send(entry.dispatcher, request);
}

void GrantClient::withdraw(uint64_t number)
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
    auto& entry = position->second;
    this->held[{ grant.dispatcher, grant.number }] = HeldGrant { grant, entry.request.pool, entry.request.needs, this->context.now() };
    auto granted = entry.callbacks.granted;
    if (--entry.missing == 0)
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
    for (auto& [number, entry] : this->pending) {
        if (now >= entry.deadline) {
            expired.push_back(number);
            continue;
        }
        bool replaced = !dispatcher.empty() && dispatcher != entry.dispatcher;
        if (!replaced && now < entry.sentAt + resendInterval)
            continue;
        if (replaced)
            this->context.send(entry.dispatcher, CancelGrantRequest { entry.request.id });
        this->context.metrics.count("grant_requests_resent_total");
        this->sendRequest(entry);
    }
    for (auto number : expired) {
        auto id = this->pending.at(number).request.id;
        this->onRefusal(Refusal { id, Reason::DeadlineExceeded, "the dispatcher of this failure domain did not answer in time", 1000 });
    }
    if (now >= this->nextNaming)
        this->nameHeldGrants();
}

void GrantClient::nameHeldGrants()
{
    auto now = this->context.now();
    this->nextNaming = now + namingInterval;
    std::map<std::tuple<std::string, std::string, Catalog::Resources>, HeldGrants> reports;
    for (const auto& [key, entry] : this->held) {
        if (now < entry.since + namingInterval)
            continue;
        auto receiver = entry.grant.dispatcher;
        // The successor of a lost dispatcher learns in this way which places are taken.
        if (!this->context.peers.isAlive(receiver, now))
            receiver = this->context.peers.dispatcherOf(this->context.settings.self().failureDomain, now);
        if (receiver.empty())
            continue;
        auto& report = reports[{ receiver, entry.pool, entry.needs }];
        report.pool = entry.pool;
        report.needs = entry.needs;
        report.grants.push_back(entry.grant);
    }
    for (const auto& [key, report] : reports)
        this->context.send(std::get<0>(key), report);
}

}
