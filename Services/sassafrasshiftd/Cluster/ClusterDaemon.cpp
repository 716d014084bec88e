#include "Cluster/ClusterDaemon.h"
#include <LibBase/Try.h>
#include <LibLedger/FileOperations.h>
#include <LibTelemetry/Log.h>
#include <LibTransport/Codec.h>
#include <algorithm>
#include <malloc.h>
#include <platform/Paths.h>
#include <utility>

namespace Sassafrasshift::Daemon {

using Membership::HostState;
using Telemetry::LogLevel;
using Transport::Endpoint;
using Transport::HttpResponse;
using Transport::HttpServer;

static constexpr Milliseconds tickInterval { 20 };
static constexpr Milliseconds settingsCheckInterval { 1000 };
// A process that has executed nothing for this long, not even a tick, counts as having been paused.
static constexpr Milliseconds pauseThreshold { 350 };
// How long the load balancer needs to remove a host that is not ready from its rotation.
static constexpr Milliseconds loadBalancerDelay { 2200 };
// How long there must have been no open exchange before the process ends.
static constexpr Milliseconds idleTimeBeforeExit { 200 };
// The process ends this long before the shutdown timeout, even with exchanges still open.
static constexpr Milliseconds shutdownReserve { 300 };
// Epochs count seconds since 2020, so that they stay below 2^29 until 2037.
static constexpr WallTime epochOrigin { std::chrono::sys_days { std::chrono::year { 2020 } / 1 / 1 } };
static constexpr Milliseconds unknownMessageLogInterval { 10'000 };
static constexpr size_t maximumRequestBody = 8 * 1024 * 1024;
static constexpr size_t bodyTolerance = 16 * 1024;
// An answer of a target lists its runs in a few kilobytes. Decoding takes a multiple of its size.
static constexpr int64_t targetAnswersInMemory = 64;
static constexpr int64_t minimumTargetAnswer = 1024 * 1024;
static constexpr int64_t maximumTargetAnswer = 64 * 1024 * 1024;
static constexpr unsigned limitLogLinesPerSecond = 5;

ClusterDaemon::ClusterDaemon(const Settings::ClusterSettings& settings, std::string settingsFile)
    : settings(settings)
    , settingsFile(std::move(settingsFile))
    , loop(Transport::EventLoop::create())
    , random(makeEntropySeededRandom())
    , limitLogBudget(limitLogLinesPerSecond)
{
}

ErrorOr<std::unique_ptr<ClusterDaemon>> ClusterDaemon::create(const Settings::ClusterSettings& settings, std::string settingsFile)
{
    std::unique_ptr<ClusterDaemon> daemon(new ClusterDaemon(settings, std::move(settingsFile)));
    TRY_VOID(daemon->start());
    return daemon;
}

ErrorOr<void> ClusterDaemon::start()
{
    Membership::MemberRecord self;
    self.address = this->settings.peerAddress;
    self.name = this->settings.host;
    self.failureDomain = this->settings.failureDomain;
    self.incarnation = static_cast<uint64_t>(toUnixMilliseconds(this->loop->wallNow()));
    self.isEntry = !this->settings.jobsAddress.empty();
    self.relaysOrders = self.isEntry;
    self.dispatchWeight = static_cast<uint32_t>(this->settings.dispatchWeight);
    this->lastActiveAt = this->loop->now();
    this->cluster = std::make_unique<Membership::Cluster>(self, this->settings.seeds, Membership::Cluster::Options {}, Random(this->random()), this->loop->now());
    this->context = std::unique_ptr<ClusterContext>(new ClusterContext { this->settings, *this->loop, this->metrics, *this->cluster, this->random,
        [this](const std::string& address, const ClusterMessage& message) { this->send(address, message); } });
    this->openClient();
    this->documents = std::make_unique<DocumentStore>(*this->context);
    this->evacuations = std::make_unique<EvacuationStore>(*this->context);
    this->ledger = std::make_unique<DocumentLedger>(*this->context, *this->documents, *this->evacuations);
    this->dispatch = std::make_unique<DispatchService>(*this->context, *this->client);
    this->relay = std::make_unique<OrderRelay>(*this->context, *this->client);
    this->entry = std::make_unique<JobEntry>(*this->context, *this->documents);
    this->control = std::make_unique<ControlApi>(*this->context, *this->ledger, *this->documents, *this->evacuations, this->dispatch->taskScheduler());
    TRY_VOID(this->ledger->start());
    TRY_VOID(this->openServers());
    if (auto text = Ledger::readFile(this->settingsFile))
        this->settingsText = *text;
    this->tickTimer = this->loop->after(tickInterval, [this] { this->tick(); });
    this->nextTickAt = this->loop->now() + tickInterval;
    Telemetry::log(LogLevel::Information, "host-started", "the cluster member has started", { { "address", self.address }, { "failureDomain", self.failureDomain } });
    return {};
}

// Makes large buffers return to the system when they are freed. The C library would otherwise raise the size from which it does that to
// that of the largest buffer that was ever freed.
static void keepLargeBuffersSeparate()
{
    static constexpr int separateFrom = 64 * 1024;
    // With a lower threshold the heap would shrink and grow again in most iterations of a busy event loop.
    static constexpr int unusedHeap = 2 * 1024 * 1024;
    mallopt(M_MMAP_THRESHOLD, separateFrom);
    mallopt(M_TRIM_THRESHOLD, unusedHeap);
}

void ClusterDaemon::openClient()
{
    Transport::HttpClient::Limits limits;
    if (this->settings.memoryLimit > 0) {
        keepLargeBuffersSeparate();
        limits.maximumBody = static_cast<size_t>(std::clamp(this->settings.memoryLimit / targetAnswersInMemory, minimumTargetAnswer, maximumTargetAnswer));
    }
    limits.unfinishedBytes = static_cast<size_t>(this->settings.targetAnswerMemory);
    this->client = Transport::HttpClient::create(*this->loop, limits, [this] { this->onLimit("targets", "memory"); });
}

static HttpServer::Limits serverLimits(const Settings::PortLimits& port)
{
    HttpServer::Limits limits;
    limits.maximumBody = maximumRequestBody;
    limits.budget.memory = static_cast<size_t>(port.memory);
    limits.budget.connections = static_cast<size_t>(port.connections);
    limits.budget.connectionsPerAddress = static_cast<size_t>(port.connectionsPerAddress);
    limits.headerFields = static_cast<size_t>(port.headerFields);
    limits.headerBytes = static_cast<size_t>(port.headerBytes);
    limits.pipelinedRequests = static_cast<size_t>(port.pipelinedRequests);
    return limits;
}

static HttpServer::Timeouts serverTimeouts(const Settings::PortLimits& port)
{
    HttpServer::Timeouts timeouts;
    timeouts.request = port.requestTimeout;
    timeouts.answer = port.answerTimeout;
    return timeouts;
}

// Counts what a limit of a port has closed or refused. Connections that were merely idle get no line in the log.
void ClusterDaemon::onLimit(std::string_view port, std::string_view cause)
{
    this->metrics.count("limited_total{port=\"" + std::string(port) + "\",cause=\"" + std::string(cause) + "\"}");
    if (cause == "idle-timeout")
        return;
    if (this->limitLogBudget.take(this->loop->now()))
        Telemetry::log(LogLevel::Warning, "client-limited", "a limit closed a connection or refused a request", { { "port", std::string(port) }, { "cause", std::string(cause) } });
    else
        this->metrics.count("log_lines_dropped_total");
}

ErrorOr<void> ClusterDaemon::openServers()
{
    auto countRefusal = [this](std::string_view cause) { this->metrics.count("peer_batches_refused_total{cause=\"" + std::string(cause) + "\"}"); };
    auto limitObserver = [this](std::string_view port) { return [this, port](std::string_view cause) { this->onLimit(port, cause); }; };
    auto own = TRY(Endpoint::parse(this->settings.peerAddress));
    this->hub = TRY(Transport::PeerHub::create(
        *this->loop, own, this->settings.peerAddress, [this](const auto& from, const auto& batch) { return this->receive(from, batch); }, countRefusal, serverLimits(this->settings.peerLimits), limitObserver("peers")));
    this->hub->listeningServer().setTimeouts(serverTimeouts(this->settings.peerLimits));
    auto open = [&](std::string_view port, const std::string& address, const Settings::PortLimits& limits, HttpServer::Handler handler) -> ErrorOr<std::unique_ptr<HttpServer>> {
        if (address.empty())
            return std::unique_ptr<HttpServer> {};
        auto endpoint = TRY(Endpoint::parse(address));
        auto server = TRY(HttpServer::create(*this->loop, endpoint, serverLimits(limits), std::move(handler), limitObserver(port)));
        server->setTimeouts(serverTimeouts(limits));
        return server;
    };
    this->jobsServer = TRY(open("jobs", this->settings.jobsAddress, this->settings.jobsLimits, [this](const auto& exchange) { this->entry->handle(exchange); }));
    this->controlServer = TRY(open("control", this->settings.controlAddress, this->settings.controlLimits, [this](const auto& exchange) { this->control->handle(exchange); }));
    this->readinessServer = TRY(open("readiness", this->settings.readinessAddress, this->settings.readinessLimits, [this](const auto& exchange) {
        exchange->respond(HttpResponse { this->entry->isReady() ? 200 : 503, {}, {} });
    }));
    this->metricsServer = TRY(open("metrics", this->settings.metricsAddress, this->settings.metricsLimits, [this](const auto& exchange) {
        this->updateConnectionGauges();
        exchange->respond(HttpResponse { 200, { { "content-type", "text/plain; version=0.0.4" } }, this->metrics.toPrometheusText() });
    }));
    return {};
}

void ClusterDaemon::updateConnectionGauges()
{
    auto update = [this](const std::string& port, const HttpServer* server) {
        if (!server)
            return;
        this->metrics.setGauge("connections{port=\"" + port + "\"}", static_cast<double>(server->connectionCount()));
        this->metrics.setGauge("connection_memory_bytes{port=\"" + port + "\"}", static_cast<double>(server->heldBytes()));
    };
    update("jobs", this->jobsServer.get());
    update("control", this->controlServer.get());
    update("readiness", this->readinessServer.get());
    update("metrics", this->metricsServer.get());
    update("peers", &this->hub->listeningServer());
}

void ClusterDaemon::run()
{
    this->loop->run();
}

// The log gets at most one line per interval, since a member of a later version repeats its messages.
void ClusterDaemon::logUnknownMessages(const std::string& from, size_t count)
{
    this->metrics.count("peer_messages_of_unknown_kind_total", count);
    if (this->loop->now() < this->nextUnknownMessageLog)
        return;
    this->nextUnknownMessageLog = this->loop->now() + unknownMessageLogInterval;
    Telemetry::log(LogLevel::Warning, "messages-unknown", "a member sent messages of a kind that this version does not know; they are ignored", { { "from", from }, { "messages", std::to_string(count) } });
}

bool ClusterDaemon::receive(const std::string& from, const std::string& bytes)
{
    auto batch = Transport::decodeMessages<ClusterMessage>(bytes);
    if (!batch)
        return false;
    this->detectPause(this->loop->now());
    this->cluster->clearSuspicion(from);
    if (batch->unknownKinds > 0)
        this->logUnknownMessages(from, batch->unknownKinds);
    for (const auto& message : batch->messages)
        this->deliver(from, message);
    return true;
}

void ClusterDaemon::deliver(const std::string& from, const ClusterMessage& message)
{
    std::visit([&](const auto& alternative) { this->handle(from, alternative); }, message);
}

void ClusterDaemon::send(const std::string& address, const ClusterMessage& message)
{
    if (address == this->settings.peerAddress) {
        this->loop->defer([this, message] {
            this->detectPause(this->loop->now());
            this->deliver(this->settings.peerAddress, message);
        });
        return;
    }
    auto endpoint = Endpoint::parse(address);
    if (!endpoint) {
        this->metrics.count("peer_messages_unroutable_total");
        return;
    }
    this->hub->send(*endpoint, Transport::encodeMessage(message));
}

void ClusterDaemon::handle(const std::string& from, const Gossip& gossip)
{
    auto now = this->loop->now();
    this->dispatch->observeTransitTime(from, gossip);
    this->relay->observeTransitTime(from, gossip);
    this->entry->observeClock(from, gossip.senderIncarnation, gossip.sentAt);
    this->cluster->mergeRecords(gossip.members, now);
    if (this->cluster->shouldSendAllRecords(gossip.knownMembers, now))
        this->send(from, this->makeGossip(this->cluster->liveRecords(now)));
}

void ClusterDaemon::handle(const std::string& from, const ReportNotice& notice)
{
    this->control->onMessage(from, notice);
    this->dispatch->onMessage(from, notice);
}

void ClusterDaemon::handle(const std::string& from, const TargetGone& gone)
{
    this->control->onMessage(from, gone);
    this->dispatch->onMessage(from, gone);
}

// The home of a job answers the member that it got the request from, which may have relayed it for the entry host.
void ClusterDaemon::handle(const std::string& from, const Scheduler::Placement& placement)
{
    if (placement.entry == this->settings.peerAddress)
        this->entry->onMessage(from, placement);
    else
        this->send(placement.entry, placement);
}

void ClusterDaemon::handle(const std::string& from, const Scheduler::Submission& submission)
{
    this->enqueue({ from, submission, false });
}

void ClusterDaemon::handle(const std::string& from, const RelayedRequest& request)
{
    this->enqueue({ from, request.submission, true });
}

void ClusterDaemon::handle(const std::string& from, const CancelSubmission& cancellation)
{
    this->submissions.cancel(from, cancellation.job);
    this->dispatch->onMessage(from, cancellation);
}

void ClusterDaemon::enqueue(Scheduler::SubmissionQueue::Waiting waiting)
{
    for (const auto& excess : this->submissions.push(std::move(waiting)))
        this->deliver(excess);
    if (std::exchange(this->deliveryScheduled, true))
        return;
    this->loop->defer([this] { this->deliverSubmissions(); });
}

void ClusterDaemon::deliver(const Scheduler::SubmissionQueue::Waiting& waiting)
{
    if (waiting.isRelayed)
        this->dispatch->onMessage(waiting.from, RelayedRequest { waiting.submission });
    else
        this->dispatch->onMessage(waiting.from, waiting.submission);
}

// The event loop reads other messages between two batches.
void ClusterDaemon::deliverSubmissions()
{
    this->detectPause(this->loop->now());
    for (const auto& waiting : this->submissions.take())
        this->deliver(waiting);
    this->deliveryScheduled = !this->submissions.isEmpty();
    if (this->deliveryScheduled)
        this->loop->defer([this] { this->deliverSubmissions(); });
}

template <typename Message>
void ClusterDaemon::handle(const std::string& from, const Message& message)
{
    if constexpr (requires { this->dispatch->onMessage(from, message); })
        this->dispatch->onMessage(from, message);
    else if constexpr (requires { this->relay->onMessage(from, message); })
        this->relay->onMessage(from, message);
    else if constexpr (requires { this->entry->onMessage(from, message); })
        this->entry->onMessage(from, message);
    else if constexpr (requires { this->ledger->onMessage(from, message); })
        this->ledger->onMessage(from, message);
    else if constexpr (requires { this->documents->onMessage(from, message); })
        this->documents->onMessage(from, message);
    else if constexpr (requires { this->evacuations->onMessage(from, message); })
        this->evacuations->onMessage(from, message);
    else
        this->control->onMessage(from, message);
}

Gossip ClusterDaemon::makeGossip(std::vector<Membership::MemberRecord> records) const
{
    auto sentAt = std::chrono::duration_cast<Milliseconds>(this->loop->now().time_since_epoch()).count();
    auto knownMembers = static_cast<uint32_t>(this->cluster->liveMembers(this->loop->now()).size());
    return Gossip { std::move(records), sentAt, this->cluster->processIncarnation(), knownMembers };
}

void ClusterDaemon::gossip(Instant now)
{
    const auto& self = this->cluster->self();
    bool changed = self.dispatchEpoch != this->gossipedEpoch || self.configurationVersion != this->gossipedVersion || self.evacuationRevision != this->gossipedEvacuation;
    if (now < this->nextGossip && !changed)
        return;
    this->nextGossip = now + this->cluster->gossipInterval(now);
    auto recipients = this->cluster->nextGossipRecipients(now);
    if (self.dispatchEpoch != this->gossipedEpoch)
        this->broadcast(this->makeGossip({ self }), now);
    this->gossipedEpoch = self.dispatchEpoch;
    this->gossipedVersion = self.configurationVersion;
    this->gossipedEvacuation = self.evacuationRevision;
    auto message = this->makeGossip(this->cluster->liveRecords(now));
    for (const auto& address : recipients)
        this->send(address, message);
}

void ClusterDaemon::broadcast(const Gossip& message, Instant now)
{
    for (const auto* member : this->cluster->liveMembers(now)) {
        if (member != &this->cluster->self())
            this->send(member->address, message);
    }
}

// After a pause, what this process knew before is out of date, and missing heartbeats do not show that other members failed.
void ClusterDaemon::detectPause(Instant now)
{
    auto elapsed = now - this->lastActiveAt;
    this->lastActiveAt = now;
    if (elapsed < pauseThreshold)
        return;
    Telemetry::log(LogLevel::Warning, "process-paused", "the process was paused", { { "milliseconds", std::to_string(std::chrono::duration_cast<Milliseconds>(elapsed).count()) } });
    this->cluster->resetFailureTimeouts(now);
    this->dispatch->onPause(now);
    this->entry->onPause(now);
}

// The epoch floor is derived from the clock, so that a new claim is above earlier ones even if no member remembers those.
uint64_t ClusterDaemon::epochFloor() const
{
    auto seconds = std::chrono::duration_cast<std::chrono::seconds>(this->loop->wallNow() - epochOrigin);
    return static_cast<uint64_t>(std::max<int64_t>(seconds.count(), 0));
}

void ClusterDaemon::tick()
{
    this->tickTimer = this->loop->after(tickInterval, [this] { this->tick(); });
    auto now = this->loop->now();
    this->dispatch->observeTick(std::exchange(this->nextTickAt, now + tickInterval), now);
    this->detectPause(now);
    auto signals = this->pollSignals ? this->pollSignals() : Signals {};
    if (signals.stop)
        this->startShutdown(now);
    if (signals.reload || now >= this->nextSettingsCheck)
        this->reloadSettings(signals.reload);
    this->cluster->updateClaim(now, this->epochFloor());
    this->dispatch->setEvacuatedDomains(this->evacuations->domainsForDispatch());
    this->dispatch->tick(now);
    if (this->jobsServer)
        this->tickEntry();
    this->ledger->tick(now);
    this->control->tick(now);
    this->documents->synchronize(now);
    this->evacuations->synchronize(now);
    this->applyConnectionTimeouts();
    this->gossip(now);
    if (this->leaving)
        this->continueShutdown(now);
}

// Uses a new reading of the clock, so that the time that the dispatcher took does not make the messages of the entry look late.
void ClusterDaemon::tickEntry()
{
    auto now = this->loop->now();
    this->detectPause(now);
    this->entry->tick(now);
}

void ClusterDaemon::applyConnectionTimeouts()
{
    const auto* table = this->documents->routeTable();
    if (!table || !this->jobsServer)
        return;
    auto timeouts = serverTimeouts(this->settings.jobsLimits);
    if (auto head = table->limits().headerTimeoutMilliseconds; head > 0)
        timeouts.head = Milliseconds(head);
    // The body may take as long again as the head, whatever the document allows for that one.
    if (table->limits().headerTimeoutMilliseconds > 0)
        timeouts.request = std::max(timeouts.request, 2 * timeouts.head);
    if (auto idle = table->limits().idleTimeoutMilliseconds; idle > 0)
        timeouts.idle = Milliseconds(idle);
    this->jobsServer->setTimeouts(timeouts);
    // Bodies far above the published limit are refused before they are read. The others get the entry host's own answer.
    if (auto body = table->limits().maximumBodyBytes; body > 0 && this->settings.jobsLimits.memory > 0)
        this->jobsServer->setMaximumBody(std::min(static_cast<size_t>(body) + bodyTolerance, maximumRequestBody));
}

// Only the seeds are applied while the process runs; all other settings take effect at the next start.
void ClusterDaemon::reloadSettings(bool isForced)
{
    this->nextSettingsCheck = this->loop->now() + settingsCheckInterval;
    auto text = Ledger::readFile(this->settingsFile);
    if (!text || (*text == this->settingsText && !isForced))
        return;
    this->settingsText = *text;
    auto latest = Settings::ClusterSettings::parse(*text, this->settingsFile);
    if (!latest) {
        Telemetry::log(LogLevel::Error, "settings-refused", "the changed settings are invalid; the previous settings stay in effect", { { "detail", Settings::toText(latest.error()) } });
        return;
    }
    this->cluster->setSeeds(latest->seeds);
    Telemetry::log(LogLevel::Information, "settings-read", "the cluster member reloaded its settings file", { { "seeds", std::to_string(latest->seeds.size()) } });
}

void ClusterDaemon::startShutdown(Instant now)
{
    if (this->leaving)
        return;
    this->leaving = true;
    this->leavingSince = now;
    this->entry->startLeaving();
    this->ledger->startLeaving();
    this->lastExchangeOpenAt = now;
    // From now on each response closes its connection. The load balancer routes the caller's next connection to another host.
    if (this->jobsServer)
        this->jobsServer->closeGracefully();
    this->cluster->self().state = HostState::Leaving;
    this->cluster->self().dispatchEpoch = 0;
    // All other members are informed immediately, without waiting for the next gossip round.
    this->cluster->incrementHeartbeat();
    this->broadcast(this->makeGossip({ this->cluster->self() }), now);
    Telemetry::log(LogLevel::Information, "shutdown-started", "the cluster member is shutting down and completes its open jobs first", { { "openJobs", std::to_string(this->entry->openJobs()) } });
}

bool ClusterDaemon::hasOpenExchanges() const
{
    return (this->jobsServer && this->jobsServer->openExchangeCount() > 0) || (this->controlServer && this->controlServer->openExchangeCount() > 0);
}

void ClusterDaemon::continueShutdown(Instant now)
{
    auto elapsed = now - this->leavingSince;
    if (this->hasOpenExchanges())
        this->lastExchangeOpenAt = now;
    if (this->jobsServer && elapsed < loadBalancerDelay)
        return;
    if (this->jobsServer && this->acceptingConnections) {
        this->acceptingConnections = false;
        this->jobsServer->stopAccepting();
    }
    // The load balancer no longer selects this host, so a caller's next connection goes to another one.
    if (this->jobsServer)
        this->jobsServer->closeIdleConnections();
    bool expired = elapsed >= this->settings.shutdownTimeout - shutdownReserve;
    // The last responses have to be transmitted before the process ends.
    if (now - this->lastExchangeOpenAt < idleTimeBeforeExit && !expired)
        return;
    // A replica that ended as a voter would count toward the quorum of a group that it does not return to.
    if (!this->ledger->mayEnd() && !expired)
        return;
    Telemetry::log(expired ? LogLevel::Warning : LogLevel::Information, "shutdown-finished", "the cluster member is stopping", { { "openJobs", std::to_string(this->entry->openJobs()) } });
    this->loop->stop();
}

}
