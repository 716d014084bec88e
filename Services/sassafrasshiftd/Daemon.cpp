#include "Daemon.h"
#include <LibBase/Try.h>
#include <LibTelemetry/Log.h>

namespace Sassafrasshift::Daemon {

using Membership::HostState;
using Telemetry::LogLevel;

static constexpr Milliseconds tickInterval { 20 };
static constexpr Milliseconds configurationRequestInterval { 500 };
// How long the load balancer needs to remove a host that is not ready from its rotation.
static constexpr Milliseconds loadBalancerDelay { 500 };

Daemon::Daemon(const Settings::DaemonSettings& settings)
    : settings(settings)
    , loop(Transport::EventLoop::create())
    , random(makeEntropySeededRandom())
{
}

ErrorOr<std::unique_ptr<Daemon>> Daemon::create(const Settings::DaemonSettings& settings)
{
    std::unique_ptr<Daemon> daemon(new Daemon(settings));
    TRY_VOID(daemon->start());
    return daemon;
}

static std::vector<Membership::PeerTable::Host> makePeerHosts(const Settings::DaemonSettings& settings)
{
    std::vector<Membership::PeerTable::Host> hosts;
    for (const auto& host : settings.hosts)
        hosts.push_back({ host.name, host.failureDomain });
    return hosts;
}

ErrorOr<void> Daemon::start()
{
    this->timeLine = TRY(Telemetry::TimeLine::create(*this->loop, this->settings.host, this->settings.timeLineFile));
    this->peers = std::make_unique<Membership::PeerTable>(this->settings.host, makePeerHosts(this->settings), this->settings.failureTimeout, this->loop->now());
    this->client = Transport::HttpClient::create(*this->loop, { 64, static_cast<size_t>(this->settings.maximumBody) });
    this->context = std::unique_ptr<Context>(new Context { this->settings, *this->loop, this->metrics, *this->timeLine, *this->peers, *this->client, this->random,
        makeRandomIdentity(this->random), [this](const std::string& host, const PeerMessage& message) { this->network->send(host, message); } });
    this->configuration = std::make_unique<ConfigurationStore>(*this->context);
    this->configuration->setChangeHandler([this] { this->nextHeartbeat = {}; });
    this->dispatcher = std::make_unique<DispatcherService>(*this->context, *this->configuration);
    this->grants = std::make_unique<GrantClient>(*this->context);
    this->ledger = std::make_unique<LedgerService>(*this->context, *this->configuration);
    this->requests = std::make_unique<RequestForwarder>(*this->context, *this->configuration, *this->grants);
    this->jobs = std::make_unique<JobService>(*this->context, *this->configuration, *this->grants, *this->ledger);
    this->network = TRY(PeerNetwork::create(*this->loop, this->settings, this->metrics, [this](const auto& from, const auto& message) { this->onPeerMessage(from, message); }));
    TRY_VOID(this->ledger->start());
    TRY_VOID(this->configuration->load());
    this->api = std::make_unique<HttpApi>(*this->context, HttpApi::Components { *this->configuration, *this->dispatcher, *this->grants, *this->ledger, *this->requests, *this->jobs, *this->network });
    auto endpoint = TRY(Transport::Endpoint::parse(this->settings.self().callerAddress));
    this->server = TRY(Transport::HttpServer::create(*this->loop, endpoint, { static_cast<size_t>(this->settings.maximumBody) }, [this](const auto& exchange) { this->api->handle(exchange); }));
    this->tickTimer = this->loop->after(tickInterval, [this] { this->tick(); });
    this->timeLine->record("host-started", { { "incarnation", this->context->incarnation } });
    Telemetry::log(LogLevel::Information, "host-started", "the host is serving", { { "callerAddress", this->settings.self().callerAddress } });
    return {};
}

void Daemon::run()
{
    this->loop->run();
    this->timeLine->flush();
}

void Daemon::onPeerMessage(const std::string& from, const PeerMessage& message)
{
    std::visit([&](const auto& alternative) { this->handle(from, alternative); }, message);
}

void Daemon::handle(const std::string& from, const Membership::Heartbeat& heartbeat)
{
    if (heartbeat.host != from)
        return;
    this->timeLine->hybridClock().observe({ heartbeat.wall, heartbeat.logical });
    bool wasAlive = this->peers->isAlive(from, this->loop->now());
    this->peers->observe(heartbeat, this->loop->now());
    if (!wasAlive)
        this->timeLine->record("peer-alive", { { "peer", from } });
    if (heartbeat.configurationVersion <= this->configuration->version())
        return;
    auto& requestedAt = this->configurationRequestedAt[from];
    if (this->loop->now() < requestedAt + configurationRequestInterval)
        return;
    requestedAt = this->loop->now();
    this->network->send(from, ConfigurationRequest { this->configuration->version() });
}

void Daemon::handle(const std::string&, const Membership::TargetReport& report)
{
    this->dispatcher->onTargetReport(report);
}

void Daemon::handle(const std::string&, const Dispatch::Grant& grant)
{
    this->grants->onGrant(grant);
}

void Daemon::handle(const std::string&, const Dispatch::Refusal& refusal)
{
    this->grants->onRefusal(refusal);
}

void Daemon::handle(const std::string& from, const ConfigurationRequest& request)
{
    if (this->configuration->version() > request.knownVersion)
        this->network->send(from, ConfigurationTransfer { this->configuration->published() });
}

void Daemon::handle(const std::string& from, const ConfigurationTransfer& transfer)
{
    this->configurationRequestedAt.erase(from);
    this->configuration->activateIfNewer(transfer.configuration);
}

void Daemon::handle(const std::string& from, const AdoptJob& message)
{
    this->jobs->onMessage(from, message);
}

void Daemon::handle(const std::string& from, const CancelNotice& message)
{
    this->jobs->onMessage(from, message);
}

template <typename Message>
void Daemon::handle(const std::string& from, const Message& message)
{
    if constexpr (requires { this->ledger->onMessage(from, message); })
        this->ledger->onMessage(from, message);
    else
        this->dispatcher->onMessage(from, message);
}

Membership::Heartbeat Daemon::makeHeartbeat()
{
    auto time = this->timeLine->hybridClock().tick();
    Membership::Heartbeat heartbeat;
    heartbeat.host = this->settings.host;
    heartbeat.incarnation = this->context->incarnation;
    heartbeat.state = this->leaving ? HostState::Leaving : HostState::Serving;
    heartbeat.configurationVersion = this->configuration->version();
    heartbeat.ledgerLeader = this->ledger->leaderHost();
    heartbeat.ledgerTerm = this->ledger->term();
    heartbeat.replicaIdentity = this->ledger->replicaIdentity();
    heartbeat.replicaInitialized = this->ledger->isInitialized();
    heartbeat.wall = time.wall;
    heartbeat.logical = time.logical;
    return heartbeat;
}

void Daemon::sendHeartbeats()
{
    this->nextHeartbeat = this->loop->now() + this->settings.heartbeatInterval;
    auto heartbeat = this->makeHeartbeat();
    for (const auto& host : this->settings.hosts) {
        if (host.name != this->settings.host)
            this->network->send(host.name, heartbeat);
    }
}

void Daemon::tick()
{
    this->tickTimer = this->loop->after(tickInterval, [this] { this->tick(); });
    if (this->pollSignal && this->pollSignal())
        this->requestShutdown();
    this->ledger->tick();
    this->dispatcher->tick();
    this->grants->tick();
    this->jobs->tick();
    if (this->loop->now() >= this->nextHeartbeat)
        this->sendHeartbeats();
    if (this->leaving)
        this->continueShutdown();
}

void Daemon::requestShutdown()
{
    if (this->leaving) {
        Telemetry::log(LogLevel::Warning, "shutdown-forced", "a second signal stops the process immediately",
            { { "requests", std::to_string(this->requests->requestsInProgress()) }, { "jobs", std::to_string(this->jobs->ownedJobs()) } });
        this->loop->stop();
        return;
    }
    this->leaving = true;
    this->leavingSince = this->loop->now();
    this->peers->setOwnState(HostState::Leaving);
    this->api->startLeaving();
    this->nextHeartbeat = {};
    this->timeLine->record("shutdown-started", {});
    Telemetry::log(LogLevel::Information, "shutdown-started", "the host is finishing its work in progress");
}

bool Daemon::isIdle() const
{
    return this->server->openExchangeCount() == 0 && this->requests->requestsInProgress() == 0 && this->jobs->ownedJobs() == 0 && this->grants->heldGrants() == 0
        && this->dispatcher->dispatcher().waitingGrantCount() == 0 && this->network->isDrained();
}

void Daemon::continueShutdown()
{
    auto elapsed = this->loop->now() - this->leavingSince;
    if (elapsed < loadBalancerDelay)
        return;
    if (this->acceptingConnections) {
        this->acceptingConnections = false;
        this->server->stopAccepting();
        this->server->closeGracefully();
    }
    bool timedOut = elapsed >= this->settings.shutdownTimeout;
    if (!this->isIdle() && !timedOut)
        return;
    this->timeLine->record("shutdown-finished", { { "requests", std::to_string(this->requests->requestsInProgress()) }, { "jobs", std::to_string(this->jobs->ownedJobs()) } });
    Telemetry::log(timedOut ? LogLevel::Warning : LogLevel::Information, "shutdown-finished", "the host is stopping",
        { { "requests", std::to_string(this->requests->requestsInProgress()) }, { "jobs", std::to_string(this->jobs->ownedJobs()) } });
    this->loop->stop();
}

}
