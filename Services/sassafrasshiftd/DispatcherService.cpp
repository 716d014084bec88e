#include "DispatcherService.h"
#include <algorithm>

namespace Sassafrasshift::Daemon {

using namespace Dispatch;
using Membership::TargetReport;

static Dispatcher::Options makeOptions(const Settings::DaemonSettings& settings)
{
    Dispatcher::Options options;
    options.host = settings.host;
    options.targets.lease = settings.targetLease;
    return options;
}

DispatcherService::DispatcherService(Context& context, ConfigurationStore& configuration)
    : context(context)
    , configuration(configuration)
    , localDispatcher(makeOptions(context.settings), static_cast<uint64_t>(context.wallMilliseconds()) << 20, context.now())
{
}

ErrorOr<void> DispatcherService::announce(const TargetReport& report)
{
    const auto* catalog = this->configuration.catalog();
    if (!catalog)
        return tl::unexpected(Error::notRun(Reason::NoConfiguration, "no configuration is in force on this host").withRetryAfter(Milliseconds(500)));
    const auto* pool = catalog->findPool(report.pool);
    if (!pool)
        return tl::unexpected(Error::notRun(Reason::NotFound, "there is no pool \"" + report.pool + "\""));
    if (std::find(pool->failureDomains.begin(), pool->failureDomains.end(), report.failureDomain) == pool->failureDomains.end())
        return tl::unexpected(Error::notRun(Reason::InvalidInput, "pool \"" + report.pool + "\" does not extend to failure domain \"" + report.failureDomain + "\""));
    auto now = this->context.now();
    for (const auto& [host, domain] : this->context.peers.failureDomains()) {
        if (domain != report.failureDomain || !this->context.peers.isAlive(host, now))
            continue;
        if (host == this->context.settings.host)
            this->onTargetReport(report);
        else
            this->context.send(host, report);
    }
    return {};
}

void DispatcherService::onTargetReport(const TargetReport& report)
{
    auto effectiveReport = report;
    const auto* catalog = this->configuration.catalog();
    const auto* domain = catalog ? catalog->findFailureDomain(report.failureDomain) : nullptr;
    if ((domain && domain->isolated) || (catalog && catalog->findDrain(report.identity)))
        effectiveReport.state = Membership::TargetState::Leaving;
    auto targetPool = this->localDispatcher.findPool(report.pool);
    auto* previous = targetPool ? const_cast<TargetPool*>(targetPool)->find(report.identity) : nullptr;
    if (!previous || previous->report.state != effectiveReport.state || previous->report.incarnation != effectiveReport.incarnation)
        this->context.timeLine.record("target-announced", { { "target", report.identity }, { "incarnation", report.incarnation }, { "state", effectiveReport.state == Membership::TargetState::Serving ? "serving" : "leaving" } });
    this->localDispatcher.updateTarget(effectiveReport, this->context.now());
    this->executeCommands();
}

void DispatcherService::onMessage(const std::string&, const GrantRequest& request)
{
    this->localDispatcher.request(request, this->context.now());
    this->executeCommands();
}

void DispatcherService::onMessage(const std::string&, const CancelGrantRequest& message)
{
    this->localDispatcher.cancel(message.request);
    this->executeCommands();
}

void DispatcherService::onMessage(const std::string&, const Release& release)
{
    this->localDispatcher.release(release, this->context.now());
    this->executeCommands();
}

void DispatcherService::onMessage(const std::string&, const HeldGrants& held)
{
    this->localDispatcher.renewGrants(held.grants, held.needs, held.pool, this->context.now());
    this->executeCommands();
}

void DispatcherService::onMessage(const std::string&, const PoolAvailability& availability)
{
    this->localDispatcher.updateAvailability(availability, this->context.now());
    this->executeCommands();
}

void DispatcherService::onMessage(const std::string&, const HandOver& message)
{
    this->localDispatcher.receiveHandOver(message, this->context.now());
    this->executeCommands();
}

void DispatcherService::onMessage(const std::string& from, const HandOverResult& result)
{
    if (result.returned > 0)
        this->context.metrics.count("messages_wasted_total{cause=\"hand-over-returned\"}", 2);
    this->localDispatcher.receiveHandOverResult(from, result, this->context.now());
    this->executeCommands();
}

void DispatcherService::tick()
{
    this->refreshOtherDispatchers();
    this->localDispatcher.tick(this->context.now());
    this->executeCommands();
}

void DispatcherService::refreshOtherDispatchers()
{
    auto now = this->context.now();
    std::map<std::string, std::string> current;
    for (const auto& [host, domain] : this->context.peers.failureDomains()) {
        if (domain == this->context.settings.self().failureDomain || current.contains(domain))
            continue;
        auto dispatcher = this->context.peers.dispatcherOf(domain, now);
        if (!dispatcher.empty())
            current.emplace(domain, dispatcher);
    }
    if (current == this->otherDispatchers)
        return;
    for (const auto& [domain, dispatcher] : this->otherDispatchers) {
        auto position = current.find(domain);
        if (position == current.end() || position->second != dispatcher)
            this->localDispatcher.forgetDispatcher(dispatcher);
    }
    this->otherDispatchers = std::move(current);
    // A new dispatcher does not know the free capacity of this domain yet.
    this->localDispatcher.announceAvailability();
}

void DispatcherService::executeCommands()
{
    for (const auto& command : this->localDispatcher.takeCommands())
        std::visit([this](const auto& alternative) { this->send(alternative); }, command);
}

void DispatcherService::send(const Grant& grant)
{
    this->context.send(grant.request.host, grant);
}

void DispatcherService::send(const Refusal& refusal)
{
    this->context.send(refusal.request.host, refusal);
}

void DispatcherService::send(const SendToDispatcher& command)
{
    std::visit([&](const auto& message) { this->context.send(command.host, message); }, command.message);
}

void DispatcherService::send(const PoolAvailability& availability)
{
    auto activeDispatcher = this->context.peers.dispatcherOf(this->context.settings.self().failureDomain, this->context.now());
    // Requests may be handed over only to the active dispatcher of a domain, so only that one advertises free capacity.
    if (activeDispatcher != this->context.settings.host)
        return;
    for (const auto& [domain, dispatcher] : this->otherDispatchers)
        this->context.send(dispatcher, availability);
}

}
