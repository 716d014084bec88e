#include "LedgerService.h"
#include <LibBase/Try.h>
#include <LibLedger/StorageThread.h>
#include <LibTelemetry/Log.h>
#include <LibTransport/Codec.h>
#include <algorithm>
#include <cstdlib>
#include <functional>

namespace Sassafrasshift::Daemon {

using DurableState::JobRecord;
using Telemetry::LogLevel;

static constexpr Milliseconds proposalResendInterval { 400 };
static constexpr Milliseconds supervisionInterval { 200 };
static constexpr Milliseconds joinRequestInterval { 500 };
static constexpr Milliseconds queryResendInterval { 1000 };
// The leader sends a job to its owner again if the owner has not reported it for this long.
static constexpr Milliseconds ownerReminderDelay { 2000 };
static constexpr size_t maximumPendingProposals = 65'536;
static constexpr int storageFailureExitCode = 74;

LedgerService::LedgerService(Context& context, ConfigurationStore& configuration)
    : context(context)
    , configuration(configuration)
    , durableState(context.settings.jobKeyRetention, DurableState::DurableState::Observer { [this](const auto& published) { this->configuration.activateIfNewer(published); }, [this](const auto& job) { this->onJobChanged(job); } })
    , proposals({ proposalResendInterval, maximumPendingProposals, false })
{
}

ErrorOr<void> LedgerService::start()
{
    if (!this->context.settings.self().replica)
        return {};
    auto store = Ledger::DiskStore::open(this->context.settings.dataFolder + "/ledger", this->context.random);
    if (!store) {
        if (store.error().reason != Reason::Damaged)
            return tl::unexpected(store.error());
        this->damageDetail = store.error().detail;
        Telemetry::log(LogLevel::Error, "ledger-damaged", "the replica is damaged and does not participate in the ledger", { { "detail", this->damageDetail } });
        return {};
    }
    this->identity = (*store)->identity();
    this->pendingStore = std::move(store).value();
    if (this->pendingStore->isInitialized())
        this->startNode(nullptr);
    return {};
}

// The initial membership is created only when every configured replica is reachable and none is initialized, so that all replicas
// create the same one.
void LedgerService::initializeLedgerIfReady()
{
    if (!this->pendingStore)
        return;
    auto now = this->context.now();
    bool knowsAllIdentities = true;
    Ledger::StoredState initialState;
    for (const auto& host : this->context.settings.hosts) {
        if (!host.replica)
            continue;
        if (host.name == this->context.settings.host) {
            initialState.snapshot.membership.members.push_back({ this->identity, host.name, Ledger::MemberRole::Voter });
            continue;
        }
        const auto* heartbeat = this->context.peers.isAlive(host.name, now) ? this->context.peers.latestHeartbeat(host.name) : nullptr;
        if (heartbeat && heartbeat->replicaInitialized) {
            this->startNode(nullptr);
            return;
        }
        if (!heartbeat || heartbeat->replicaIdentity.empty())
            knowsAllIdentities = false;
        else
            initialState.snapshot.membership.members.push_back({ heartbeat->replicaIdentity, host.name, Ledger::MemberRole::Voter });
    }
    if (!knowsAllIdentities)
        return;
    std::sort(initialState.snapshot.membership.members.begin(), initialState.snapshot.membership.members.end());
    this->startNode(&initialState);
}

void LedgerService::startNode(const Ledger::StoredState* initialState)
{
    if (initialState) {
        std::vector<Ledger::StoreOperation> operations { Ledger::SnapshotOperation { initialState->snapshot, {}, {} } };
        auto stored = this->pendingStore->store(operations);
        if (!stored) {
            this->exitOnStorageFailure(stored.error());
            return;
        }
    }
    Ledger::Node::Options options;
    options.replica.identity = this->identity;
    options.replica.host = this->context.settings.host;
    options.replica.electionTimeout = this->context.settings.electionTimeout;
    options.replica.heartbeatInterval = this->context.settings.electionTimeout / 3;
    Ledger::Node::Environment environment;
    environment.clock = &this->context.loop;
    environment.send = [this](const Ledger::Message& message) { this->context.send(message.toHost, message); };
    environment.post = [this](std::function<void()> function) { this->context.loop.post(std::move(function)); };
    environment.storageFailed = [this](const Error& error) { this->exitOnStorageFailure(error); };
    environment.messageRefused = [](const Ledger::Message& message) {
        Telemetry::log(LogLevel::Warning, "ledger-message-refused", "another replica sent a message that no correct replica sends; it is ignored", { { "from", message.fromHost } });
    };
    this->initialized = initialState || this->pendingStore->isInitialized();
    auto stored = initialState ? *initialState : this->pendingStore->recovered();
    this->node = std::make_unique<Ledger::Node>(options, std::make_unique<Ledger::StorageThread>(std::move(this->pendingStore)), stored, this->durableState, environment, Random(this->context.random()));
    this->context.timeLine.record("ledger-started", { { "identity", this->identity }, { "initialized", this->initialized ? "true" : "false" } });
}

// After a failed sync the content of the disk is unknown. The process must restart and recover from what it reads.
void LedgerService::exitOnStorageFailure(const Error& error)
{
    Telemetry::log(LogLevel::Error, "storage-failed", "a storage operation in the data folder failed; the process terminates", { { "detail", error.detail } });
    this->context.timeLine.record("storage-failed", { { "detail", error.detail } });
    this->context.timeLine.flush();
    Telemetry::stopLog();
    std::_Exit(storageFailureExitCode);
}

std::string LedgerService::leaderHost() const
{
    if (this->node) {
        auto host = this->node->replica().leaderHost();
        if (!host.empty())
            return host;
    }
    auto now = this->context.now();
    std::string leader;
    uint64_t highestTerm = 0;
    for (const auto& [host, domain] : this->context.peers.failureDomains()) {
        const auto* heartbeat = this->context.peers.isAlive(host, now) ? this->context.peers.latestHeartbeat(host) : nullptr;
        if (!heartbeat || heartbeat->ledgerLeader.empty() || heartbeat->ledgerTerm < highestTerm)
            continue;
        leader = heartbeat->ledgerLeader;
        highestTerm = heartbeat->ledgerTerm;
    }
    return leader;
}

uint64_t LedgerService::term() const
{
    return this->node ? this->node->replica().term() : 0;
}

void LedgerService::propose(const DurableState::Command& command, Milliseconds timeout, Completion completion)
{
    this->proposals.add(Transport::encodeValue(command), timeout, std::move(completion), this->context.now());
    this->sendProposals();
}

void LedgerService::sendProposals()
{
    for (auto& proposal : this->proposals.takeDue(this->leaderHost(), this->context.now())) {
        if (proposal.isResend)
            this->context.metrics.count("messages_wasted_total{cause=\"proposal-repeated\"}");
        this->context.send(proposal.leader, ProposeRequest { proposal.number, std::move(proposal.command) });
    }
}

void LedgerService::onMessage(const std::string& from, const ProposeRequest& request)
{
    auto respond = [this, from, number = request.number](ErrorOr<std::string> result) {
        this->context.send(from, ProposeResponse::create(number, std::move(result)));
    };
    if (!this->node) {
        respond(tl::unexpected(Error::notRun(Reason::NotLeader, "this host runs no replica")));
        return;
    }
    this->node->propose(request.command, respond);
}

void LedgerService::onMessage(const std::string& from, const ProposeResponse& response)
{
    if (response.succeeded)
        this->proposals.onResult(response.number, response.result);
    else
        this->proposals.onFailure(from, response.number, Error { response.reason, response.verdict, response.detail }, this->context.now());
}

void LedgerService::onMessage(const std::string&, const Ledger::Message& message)
{
    if (this->node)
        this->node->receive(message);
}

void LedgerService::onMessage(const std::string&, const JoinRequest& request)
{
    if (this->node)
        this->node->requestJoin(request.host, request.identity);
}

void LedgerService::onMessage(const std::string&, const HeldJobs& held)
{
    auto now = this->context.now();
    for (const auto& job : held.jobs) {
        const auto* record = this->durableState.findJob(job.key);
        if (record && !record->finished && record->ownerHost == held.host && record->epoch == job.epoch)
            this->lastReportedAt[job.key] = now;
    }
}

JobQueryResponse LedgerService::makeQueryResponse(const std::string& key) const
{
    JobQueryResponse response;
    const auto* record = this->durableState.findJob(key);
    response.found = record != nullptr;
    if (record) {
        response.finished = record->finished;
        response.ownerHost = record->ownerHost;
        response.outcome = record->outcome;
    }
    return response;
}

void LedgerService::onMessage(const std::string& from, const JobQuery& query)
{
    // Only an established leader is known to have applied every committed command, so other replicas leave the query unanswered.
    if (!this->node || !this->node->replica().isEstablishedLeader())
        return;
    auto response = this->makeQueryResponse(query.key);
    response.number = query.number;
    if (query.mode == QueryMode::Immediate || response.finished || !response.found) {
        this->context.send(from, response);
        return;
    }
    this->watchers[query.key].insert(Watcher { from, query.number });
}

void LedgerService::onMessage(const std::string&, const JobQueryResponse& response)
{
    for (auto position = this->pendingQueries.begin(); position != this->pendingQueries.end(); ++position) {
        if (position->second.number != response.number)
            continue;
        auto key = position->first;
        this->pendingQueries.erase(position);
        if (this->observer.queryCompleted)
            this->observer.queryCompleted(key, response);
        return;
    }
}

void LedgerService::queryJob(const std::string& key, QueryMode mode)
{
    auto [position, isNew] = this->pendingQueries.try_emplace(key, PendingQuery { this->nextNumber++, mode, {} });
    if (isNew)
        this->sendQuery(key, position->second);
}

void LedgerService::cancelQuery(const std::string& key)
{
    this->pendingQueries.erase(key);
}

void LedgerService::sendQuery(const std::string& key, PendingQuery& query)
{
    query.sentAt = this->context.now();
    auto leader = this->leaderHost();
    if (!leader.empty())
        this->context.send(leader, JobQuery { query.number, key, query.mode });
}

void LedgerService::onJobChanged(const JobRecord& job)
{
    if (job.finished) {
        this->lastReportedAt.erase(job.key);
        auto position = this->watchers.find(job.key);
        if (position == this->watchers.end())
            return;
        auto response = this->makeQueryResponse(job.key);
        for (const auto& watcher : position->second) {
            response.number = watcher.number;
            this->context.send(watcher.host, response);
        }
        this->watchers.erase(position);
        return;
    }
    if (job.cancelRequested && this->node && this->node->replica().role() == Ledger::Role::Leader)
        this->context.send(job.ownerHost, CancelNotice { job.key });
}

// Prefers hosts in the failure domain of the former owner, to keep the job close to its workers.
std::string LedgerService::chooseOwner(const JobRecord& job) const
{
    auto servingHosts = this->context.peers.servingHosts(this->context.now());
    const auto& domains = this->context.peers.failureDomains();
    auto ownerDomain = domains.find(job.ownerHost);
    std::vector<std::string> sameDomain;
    for (const auto& host : servingHosts) {
        if (ownerDomain != domains.end() && domains.at(host) == ownerDomain->second)
            sameDomain.push_back(host);
    }
    const auto& candidates = sameDomain.empty() ? servingHosts : sameDomain;
    if (candidates.empty())
        return {};
    return candidates[std::hash<std::string> {}(job.key) % candidates.size()];
}

void LedgerService::superviseJobs()
{
    auto now = this->context.now();
    if (!this->node || !this->node->replica().isEstablishedLeader()) {
        this->lastReportedAt.clear();
        this->watchers.clear();
        return;
    }
    if (now < this->nextSupervision)
        return;
    this->nextSupervision = now + supervisionInterval;
    for (const auto& key : this->durableState.openJobs())
        this->superviseJob(*this->durableState.findJob(key), now);
}

void LedgerService::superviseJob(const JobRecord& job, Instant now)
{
    auto [position, isNew] = this->lastReportedAt.try_emplace(job.key, now);
    if (!isNew && this->context.peers.isLost(job.ownerHost, job.ownerIncarnation, now)) {
        auto owner = this->chooseOwner(job);
        if (owner.empty())
            return;
        const auto* heartbeat = this->context.peers.latestHeartbeat(owner);
        auto incarnation = owner == this->context.settings.host ? this->context.incarnation : heartbeat ? heartbeat->incarnation
                                                                                                        : std::string();
        this->context.timeLine.record("job-taken-over", { { "job", job.key }, { "from", job.ownerHost }, { "to", owner }, { "epoch", std::to_string(job.epoch + 1) } });
        this->lastReportedAt.erase(position);
        this->node->propose(Transport::encodeValue(DurableState::Command { DurableState::TakeOverCommand { job.key, job.epoch, owner, incarnation } }), [](const auto&) {});
        return;
    }
    // This message informs the owner of a new epoch, and an owner that never received the response to its acceptance.
    bool newOwner = isNew && job.epoch > 1;
    if (newOwner || now >= position->second + ownerReminderDelay) {
        position->second = now;
        this->context.send(job.ownerHost, AdoptJob { job });
    }
}

void LedgerService::tick()
{
    this->initializeLedgerIfReady();
    if (this->node) {
        this->node->tick();
        auto now = this->context.now();
        bool isVoter = this->node->replica().membership().isVoter(this->identity);
        this->initialized = this->initialized || isVoter;
        if (!isVoter && now >= this->nextJoinRequest) {
            this->nextJoinRequest = now + joinRequestInterval;
            auto leader = this->leaderHost();
            if (!leader.empty() && leader != this->context.settings.host)
                this->context.send(leader, JoinRequest { this->context.settings.host, this->identity });
        }
    }
    this->proposals.expire(this->context.now());
    this->sendProposals();
    this->superviseJobs();
    auto now = this->context.now();
    for (auto& [key, query] : this->pendingQueries) {
        if (now >= query.sentAt + queryResendInterval)
            this->sendQuery(key, query);
    }
}

}
