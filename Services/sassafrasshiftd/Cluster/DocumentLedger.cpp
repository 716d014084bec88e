#include "Cluster/DocumentLedger.h"
#include <LibBase/Try.h>
#include <LibLedger/StorageThread.h>
#include <LibTelemetry/Log.h>
#include <LibTransport/Codec.h>
#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace Sassafrasshift::Daemon {

using Telemetry::LogLevel;

static constexpr Milliseconds electionTimeout { 300 };
static constexpr Milliseconds ledgerHeartbeatInterval { 75 };
// Short enough that a voter which is gone for good is removed, also by a leader that was elected meanwhile, before the next disk may be
// lost. Longer than most restarts take.
static constexpr Milliseconds lostVoterTimeout { 2000 };
static constexpr Milliseconds proposalResendInterval { 300 };
static constexpr Milliseconds joinRequestInterval { 300 };
static constexpr Milliseconds openRetryInterval { 200 };
static constexpr Milliseconds gaugeInterval { 1000 };
// A group that has just been formed, or lost hosts, gets more voters within this time if hosts can join.
static constexpr Milliseconds voterWarningDelay { 10'000 };
static constexpr Milliseconds jobKeyRetention { 3'600'000 };
static constexpr size_t maximumPendingProposals = 4096;
// The number of log entries after which a snapshot replaces the log. It is low, since documents in the log may be large.
static constexpr Ledger::Index snapshotInterval = 256;
static constexpr int storageFailureExitCode = 74;

DocumentLedger::DocumentLedger(ClusterContext& context, DocumentStore& documents, EvacuationStore& evacuations)
    : context(context)
    , documents(documents)
    , evacuations(evacuations)
    , state(jobKeyRetention, DurableState::DurableState::Observer { {}, {}, [this](const auto& document) { this->documents.activateIfNewer(document); } })
    , proposals({ proposalResendInterval, maximumPendingProposals, true })
{
}

ErrorOr<void> DocumentLedger::start()
{
    if (this->context.settings.dataFolder.empty())
        return {};
    auto opened = this->openStore();
    if (opened || opened.error().reason != Reason::StorageFull)
        return opened;
    // The member takes reports and answers its operators meanwhile.
    this->logStorageFull(true);
    this->nextOpenAttempt = this->context.now() + openRetryInterval;
    return {};
}

ErrorOr<void> DocumentLedger::openStore()
{
    auto store = TRY(Ledger::DiskStore::open(this->context.settings.dataFolder + "/ledger", this->context.random));
    this->identity = store->identity();
    this->pendingStore = std::move(store);
    // Only seeds that are started with firstStart create a new ledger; all other members join the existing one.
    bool isInitialMember = this->context.settings.firstStart && std::ranges::count(this->context.settings.seeds, this->context.ownAddress()) > 0;
    if (this->pendingStore->isInitialized() || !isInitialMember)
        this->startNode(nullptr);
    this->updateOwnRecord();
    return {};
}

void DocumentLedger::openStoreIfDue(Instant now)
{
    if (!this->nextOpenAttempt || now < *this->nextOpenAttempt)
        return;
    auto opened = this->openStore();
    if (opened) {
        this->nextOpenAttempt.reset();
        this->logStorageFull(false);
        return;
    }
    if (opened.error().reason != Reason::StorageFull)
        return this->exitOnStorageFailure(opened.error());
    this->nextOpenAttempt = now + openRetryInterval;
}

// Each initial member creates the same initial membership once it knows the replica identities of all seeds.
void DocumentLedger::initializeLedgerIfReady(Instant now)
{
    if (!this->pendingStore)
        return;
    Ledger::StoredState initialState;
    bool knowsAllIdentities = true;
    for (const auto& seed : this->context.settings.seeds) {
        const auto* member = this->context.cluster.isAlive(seed, now) ? this->context.cluster.find(seed) : nullptr;
        if (member && member->replicaInitialized) {
            // Other seeds have already initialized the ledger. Its membership may or may not contain this replica.
            this->startNode(nullptr);
            return;
        }
        if (!member || member->replicaIdentity.empty())
            knowsAllIdentities = false;
        else
            initialState.snapshot.membership.members.push_back({ member->replicaIdentity, seed, Ledger::MemberRole::Voter });
    }
    if (!knowsAllIdentities)
        return;
    std::sort(initialState.snapshot.membership.members.begin(), initialState.snapshot.membership.members.end());
    this->startNode(&initialState);
}

void DocumentLedger::startNode(const Ledger::StoredState* initialState)
{
    if (initialState) {
        std::vector<Ledger::StoreOperation> operations { Ledger::SnapshotOperation { initialState->snapshot, {}, {} } };
        auto stored = this->pendingStore->store(operations);
        // While the disk is full, nothing has changed on it, and the next tick tries again.
        if (!stored && stored.error().reason == Reason::StorageFull)
            return;
        if (!stored)
            return this->exitOnStorageFailure(stored.error());
    }
    Ledger::Node::Options options;
    options.replica.identity = this->identity;
    options.replica.host = this->context.ownAddress();
    options.replica.electionTimeout = electionTimeout;
    options.replica.heartbeatInterval = ledgerHeartbeatInterval;
    options.replica.lostVoterTimeout = lostVoterTimeout;
    options.replica.toleratedDiskLosses = this->context.settings.toleratedDiskLosses;
    options.snapshotInterval = snapshotInterval;
    Ledger::Node::Environment environment;
    environment.clock = &this->context.loop;
    environment.send = [this](const Ledger::Message& message) { this->context.send(message.toHost, message); };
    environment.post = [this](std::function<void()> function) { this->context.loop.post(std::move(function)); };
    environment.storageFailed = [this](const Error& error) { this->exitOnStorageFailure(error); };
    environment.messageRefused = [this](const Ledger::Message& message) {
        this->context.metrics.count("ledger_messages_refused_total");
        Telemetry::log(LogLevel::Warning, "ledger-message-refused", "another replica sent a message that no correct replica sends; it is ignored", { { "from", message.fromHost } });
    };
    environment.storageFullChanged = [this](bool full) { this->logStorageFull(full); };
    environment.membershipChanged = [](const Ledger::MembershipChange& change) { logMembershipChange(change); };
    this->initialized = initialState || this->pendingStore->isInitialized();
    auto stored = initialState ? *initialState : this->pendingStore->recovered();
    if (!stored.snapshot.state.empty())
        this->state.restore(stored.snapshot.state);
    this->node = std::make_unique<Ledger::Node>(options, std::make_unique<Ledger::StorageThread>(std::move(this->pendingStore)), stored, this->state, environment, Random(this->context.random()));
    Telemetry::log(LogLevel::Information, "ledger-started", "the ledger replica has started", { { "identity", this->identity }, { "initialized", this->initialized ? "true" : "false" } });
}

void DocumentLedger::logMembershipChange(const Ledger::MembershipChange& change)
{
    Telemetry::log(LogLevel::Information, "ledger-membership-changed", "the leader of the ledger has proposed a membership change",
        { { "kind", std::string(toString(change.kind)) }, { "host", change.host }, { "identity", change.identity },
            { "votersBefore", std::to_string(change.votersBefore) }, { "quorumBefore", std::to_string(change.quorumBefore) },
            { "voters", std::to_string(change.votersAfter) }, { "quorum", std::to_string(change.quorumAfter) }, { "reachable", std::to_string(change.reachableVoters) } });
}

void DocumentLedger::updateGaugesIfDue(Instant now)
{
    if (!this->node || now < this->nextGaugeUpdate)
        return;
    this->nextGaugeUpdate = now + gaugeInterval;
    const auto& replica = this->node->replica();
    const auto& membership = replica.membership();
    bool leads = replica.isEstablishedLeader();
    auto reachable = leads ? replica.reachableVoterCount() : 0;
    this->context.metrics.setGauge("ledger_leads", leads ? 1 : 0);
    this->context.metrics.setGauge("ledger_voters", static_cast<double>(membership.voterCount()));
    this->context.metrics.setGauge("ledger_quorum", static_cast<double>(membership.quorum()));
    this->context.metrics.setGauge("ledger_tolerable_losses", reachable > membership.quorum() ? static_cast<double>(reachable - membership.quorum()) : 0);
    this->warnIfVotersAreMissing(leads && membership.voterCount() < replica.minimumVoters(), now);
}

// Logs once while the group has too few voters for the disk losses that it has to survive.
void DocumentLedger::warnIfVotersAreMissing(bool missing, Instant now)
{
    if (!missing) {
        this->votersMissingSince.reset();
        this->votersMissingLogged = false;
        return;
    }
    if (!this->votersMissingSince)
        this->votersMissingSince = now;
    if (this->votersMissingLogged || now < *this->votersMissingSince + voterWarningDelay)
        return;
    this->votersMissingLogged = true;
    const auto& replica = this->node->replica();
    Telemetry::log(LogLevel::Warning, "ledger-voters-missing", "the ledger has too few voters to survive the loss of as many disks as the settings name",
        { { "voters", std::to_string(replica.membership().voterCount()) }, { "needed", std::to_string(replica.minimumVoters()) }, { "toleratedDiskLosses", std::to_string(this->context.settings.toleratedDiskLosses) } });
}

void DocumentLedger::logStorageFull(bool full)
{
    this->context.metrics.setGauge("ledger_storage_full", full ? 1 : 0);
    if (full)
        Telemetry::log(LogLevel::Warning, "storage-full", "the disk of the data folder is full; the replica stores nothing until there is room");
    else
        Telemetry::log(LogLevel::Information, "storage-writable", "the disk of the data folder has room again");
}

// After a failed sync, the state on disk is unknown. Only a new process can establish it by reading the disk again.
void DocumentLedger::exitOnStorageFailure(const Error& error)
{
    Telemetry::log(LogLevel::Error, "storage-failed", "a storage operation in the data folder failed; the process terminates", { { "detail", error.detail } });
    std::cout.flush();
    Telemetry::stopLog();
    std::_Exit(storageFailureExitCode);
}

std::string DocumentLedger::leaderAddress(Instant now) const
{
    if (this->node) {
        auto leader = this->node->replica().leaderHost();
        if (!leader.empty())
            return leader;
    }
    return this->gossipedLeader(now);
}

std::string DocumentLedger::gossipedLeader(Instant now) const
{
    std::string leader;
    uint64_t highestTerm = 0;
    for (const auto* member : this->context.cluster.liveMembers(now)) {
        if (member->ledgerLeader.empty() || member->ledgerTerm < highestTerm)
            continue;
        leader = member->ledgerLeader;
        highestTerm = member->ledgerTerm;
    }
    return leader;
}

template <typename Result>
void DocumentLedger::proposeFor(const DurableState::Command& command, Milliseconds timeout, std::function<void(ErrorOr<Result>)> completion)
{
    auto now = this->context.now();
    auto decode = [completion = std::move(completion)](ErrorOr<std::string> encoded) {
        if (!encoded)
            return completion(tl::unexpected(encoded.error()));
        completion(Transport::decodeValue<Result>(*encoded));
    };
    this->proposals.add(Transport::encodeValue(command), timeout, std::move(decode), now);
    this->sendProposals(now);
}

void DocumentLedger::propose(const DurableState::Command& command, Milliseconds timeout, Completion completion)
{
    this->proposeFor<DurableState::DocumentResult>(command, timeout, [completion = std::move(completion)](ErrorOr<DurableState::DocumentResult> result) {
        if (!result)
            return completion(tl::unexpected(result.error()));
        completion(result->version);
    });
}

void DocumentLedger::evacuate(const std::string& failureDomain, bool isWithdrawn, Milliseconds timeout, EvacuationCompletion completion)
{
    DurableState::EvacuateCommand command { failureDomain, isWithdrawn, this->evacuations.evacuated().revision };
    this->proposeEvacuation(std::move(command), this->context.now() + timeout, std::move(completion));
}

void DocumentLedger::proposeEvacuation(DurableState::EvacuateCommand command, Instant deadline, EvacuationCompletion completion)
{
    auto timeout = std::chrono::duration_cast<Milliseconds>(deadline - this->context.now());
    this->proposeFor<DurableState::EvacuationResult>(command, timeout, [this, command, deadline, completion = std::move(completion)](ErrorOr<DurableState::EvacuationResult> result) {
        if (!result)
            return completion(tl::unexpected(result.error()));
        if (result->status == DurableState::EvacuationStatus::TooMany)
            return completion(tl::unexpected(Error::notRun(Reason::Overloaded, "too many failure domains are evacuated")));
        if (result->status == DurableState::EvacuationStatus::Outdated)
            return this->proposeEvacuation({ command.failureDomain, command.isWithdrawn, result->evacuated.revision }, deadline, completion);
        this->evacuations.activateIfNewer(result->evacuated, EvacuationStore::Distribution::ToAllMembers);
        completion(result->evacuated);
    });
}

// The state of a replica may be older than the set that was acknowledged last: only a leader that has committed an entry of its own term
// has applied all earlier ones. Other replicas follow their log once they have a set of that origin.
void DocumentLedger::publishEvacuations()
{
    if (!this->node)
        return;
    bool leads = this->node->replica().isEstablishedLeader();
    if (leads || this->evacuations.isKnown())
        this->evacuations.activateIfNewer(this->state.evacuated(), leads ? EvacuationStore::Distribution::ToAllMembers : EvacuationStore::Distribution::None);
}

void DocumentLedger::sendProposals(Instant now)
{
    for (auto& proposal : this->proposals.takeDue(this->leaderAddress(now), now))
        this->context.send(proposal.leader, ProposeRequest { proposal.number, std::move(proposal.command) });
}

void DocumentLedger::onMessage(const std::string& from, const ProposeRequest& request)
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

void DocumentLedger::onMessage(const std::string& from, const ProposeResponse& response)
{
    if (response.succeeded)
        this->proposals.onResult(response.number, response.result);
    else
        this->proposals.onFailure(from, response.number, Error { response.reason, response.verdict, response.detail }, this->context.now());
}

void DocumentLedger::onMessage(const std::string&, const Ledger::Message& message)
{
    if (this->node)
        this->node->receive(message);
}

void DocumentLedger::onMessage(const std::string&, const JoinRequest& request)
{
    if (this->node)
        this->node->requestJoin(request.host, request.identity);
}

void DocumentLedger::onMessage(const std::string& from, const LeaveRequest& request)
{
    if (!this->node)
        return;
    // A replica that does not lead says nothing; the sender asks the leader that it knows of then.
    if (auto outcome = this->node->requestLeave(request.identity))
        this->context.send(from, LeaveResponse { request.identity, *outcome });
}

void DocumentLedger::onMessage(const std::string&, const LeaveResponse& response)
{
    if (response.identity == this->identity)
        this->departure.onOutcome(response.outcome);
}

void DocumentLedger::requestLeaveIfDue(Instant now)
{
    if (!this->node || !this->departure.takeRequest(this->node->replica(), now))
        return;
    auto leader = this->leaderAddress(now);
    if (!leader.empty())
        this->context.send(leader, LeaveRequest { this->identity });
}

void DocumentLedger::requestJoinIfDue(Instant now)
{
    if (!this->node || this->departure.hasBegun() || now < this->nextJoinRequest)
        return;
    bool isVoter = this->node->replica().membership().isVoter(this->identity);
    this->initialized = this->initialized || isVoter;
    // A replica that was removed while it was down is not informed of its removal, since the leader no longer sends it the log.
    // The missing leader shows it that it may have been removed.
    bool hasLeader = !this->node->replica().leaderHost().empty();
    if (isVoter && hasLeader)
        return;
    this->nextJoinRequest = now + joinRequestInterval;
    auto leader = hasLeader ? this->node->replica().leaderHost() : this->gossipedLeader(now);
    if (!leader.empty() && leader != this->context.ownAddress())
        this->context.send(leader, JoinRequest { this->context.ownAddress(), this->identity });
}

// Updates the ledger fields of this member's record, which other members receive by gossip.
void DocumentLedger::updateOwnRecord()
{
    auto& record = this->context.cluster.self();
    record.replicaIdentity = this->identity;
    record.replicaInitialized = this->node && this->initialized;
    record.ledgerLeader = this->node ? this->node->replica().leaderHost() : std::string();
    record.ledgerTerm = this->node ? this->node->replica().term() : 0;
}

void DocumentLedger::tick(Instant now)
{
    this->openStoreIfDue(now);
    this->initializeLedgerIfReady(now);
    if (this->node)
        this->node->tick();
    this->publishEvacuations();
    this->requestJoinIfDue(now);
    this->requestLeaveIfDue(now);
    this->updateOwnRecord();
    this->updateGaugesIfDue(now);
    this->proposals.expire(now);
    this->sendProposals(now);
}

}
