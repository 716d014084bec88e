#include "SimulatedCluster.h"
#include <algorithm>
#include <utility>

namespace Sassafrasshift::Ledger {

static constexpr size_t maximumMessages = 400;
static constexpr Index compactionInterval = 12;

SimulatedCluster::SimulatedCluster(uint64_t seed, size_t replicas, InjectedBug injectedBug)
    : random(seed)
    , injectedBug(injectedBug)
    , hosts(replicas)
{
    StoredState initialState;
    for (size_t i = 0; i < replicas; ++i) {
        this->hosts[i].name = "host-" + std::to_string(i);
        this->hosts[i].identity = makeRandomIdentity(this->random);
        initialState.snapshot.membership.members.push_back({ this->hosts[i].identity, this->hosts[i].name, MemberRole::Voter });
    }
    for (auto& host : this->hosts) {
        host.disk = initialState;
        this->start(host);
    }
}

void SimulatedCluster::fail(std::string violation)
{
    if (!this->firstViolation)
        this->firstViolation = std::move(violation);
}

void SimulatedCluster::start(Host& host)
{
    Replica::Options options;
    options.identity = host.identity;
    options.host = host.name;
    options.lostVoterTimeout = Milliseconds(3000);
    host.applied = host.disk.snapshot.index;
    host.digest = host.disk.snapshot.state.empty() ? 0 : std::stoull(host.disk.snapshot.state);
    host.replica = std::make_unique<Replica>(options, host.disk, Random(this->random()), this->clock.now());
    this->processEffects(host);
}

void SimulatedCluster::crash(Host& host)
{
    // A random prefix of the pending stores has reached the disk before the crash.
    auto completedCount = host.pendingStores.empty() ? 0 : this->randomBelow(host.pendingStores.size() + 1);
    for (size_t i = 0; i < completedCount; ++i) {
        for (const auto& operation : host.pendingStores[i].operations)
            applyOperation(host.disk, operation);
    }
    host.pendingStores.clear();
    host.replica.reset();
}

void SimulatedCluster::loseDisk(Host& host)
{
    this->crash(host);
    host.disk = {};
    ++this->lostDisks;
    if (this->injectedBug != InjectedBug::ReusedIdentityAfterDiskLoss)
        host.identity = makeRandomIdentity(this->random);
    else
        host.disk.snapshot.membership = this->hosts[0].disk.snapshot.membership;
}

bool SimulatedCluster::isLinkCut(const std::string& from, const std::string& to) const
{
    return this->cutLinks.contains({ from, to });
}

void SimulatedCluster::sendMessage(const Message& message)
{
    if (this->isLinkCut(message.fromHost, message.toHost) || this->network.size() >= maximumMessages)
        return;
    this->network.push_back(message);
}

void SimulatedCluster::processEffects(Host& host)
{
    auto effects = host.replica->takeEffects();
    if (effects.restoredSnapshot) {
        host.applied = effects.restoredSnapshot->index;
        host.digest = effects.restoredSnapshot->state.empty() ? 0 : std::stoull(effects.restoredSnapshot->state);
    }
    for (const auto& message : effects.immediateMessages)
        this->sendMessage(message);
    if (this->injectedBug == InjectedBug::RepliesBeforeStoring) {
        for (const auto& message : effects.messagesAfterStore)
            this->sendMessage(message);
        effects.messagesAfterStore.clear();
    }
    for (const auto& entry : effects.committedEntries)
        this->apply(host, entry);
    if (effects.operations.empty() && host.pendingStores.empty()) {
        host.replica->markStored(effects.ticket);
        for (const auto& message : effects.messagesAfterStore)
            this->sendMessage(message);
        return;
    }
    if (!effects.operations.empty() || !effects.messagesAfterStore.empty())
        host.pendingStores.push_back({ effects.ticket, std::move(effects.operations), std::move(effects.messagesAfterStore) });
}

void SimulatedCluster::apply(Host& host, const Entry& entry)
{
    if (entry.index != host.applied + 1)
        this->fail(host.name + " applied index " + std::to_string(entry.index) + " after " + std::to_string(host.applied));
    host.applied = entry.index;
    host.digest = (host.digest ^ std::hash<std::string> {}(entry.payload)) * 0x100000001b3ULL + entry.index;
    auto [position, isNew] = this->committedEntriesByIndex.try_emplace(entry.index, entry);
    if (!isNew && position->second != entry)
        this->fail("index " + std::to_string(entry.index) + " was committed with two different entries");
    auto [digest, firstDigest] = this->digests.try_emplace(entry.index, host.digest);
    if (!firstDigest && digest->second != host.digest)
        this->fail("the state after index " + std::to_string(entry.index) + " differs between replicas");
}

// Completes all pending stores of a host with one sync.
void SimulatedCluster::completeStore(Host& host)
{
    if (!host.replica || host.pendingStores.empty())
        return;
    auto batch = std::exchange(host.pendingStores, {});
    for (const auto& stored : batch) {
        for (const auto& operation : stored.operations)
            applyOperation(host.disk, operation);
    }
    host.replica->markStored(batch.back().ticket);
    for (const auto& stored : batch) {
        for (const auto& message : stored.messages)
            this->sendMessage(message);
    }
    this->processEffects(host);
}

void SimulatedCluster::deliverOne()
{
    if (this->network.empty())
        return;
    auto position = this->randomBelow(this->network.size());
    auto message = this->network[position];
    // One message in eight stays in the network and is delivered again later.
    if (this->randomBelow(8) != 0) {
        this->network[position] = this->network.back();
        this->network.pop_back();
    }
    if (this->isLinkCut(message.fromHost, message.toHost))
        return;
    auto host = std::find_if(this->hosts.begin(), this->hosts.end(), [&](const auto& candidate) { return candidate.name == message.toHost; });
    if (host == this->hosts.end() || !host->replica)
        return;
    if (!host->replica->receive(message, this->clock.now()))
        this->fail("a replica has refused a message of another one");
    this->processEffects(*host);
}

void SimulatedCluster::isolate(const Host& isolated)
{
    for (const auto& host : this->hosts) {
        this->cutLinks.insert({ isolated.name, host.name });
        this->cutLinks.insert({ host.name, isolated.name });
    }
}

void SimulatedCluster::checkLeaders()
{
    for (const auto& host : this->hosts) {
        if (!host.replica || host.replica->role() != Role::Leader)
            continue;
        auto [position, isNew] = this->leaders.try_emplace(host.replica->term(), host.identity);
        if (!isNew && position->second != host.identity)
            this->fail("term " + std::to_string(host.replica->term()) + " has two leaders");
    }
}

void SimulatedCluster::requestMissingJoins()
{
    for (auto& leader : this->hosts) {
        if (!leader.replica || leader.replica->role() != Role::Leader)
            continue;
        for (const auto& host : this->hosts) {
            if (host.replica && !leader.replica->membership().isVoter(host.identity))
                leader.replica->requestJoin(host.name, host.identity);
        }
    }
}

void SimulatedCluster::tickAll()
{
    this->clock.advance(Milliseconds(1 + this->randomBelow(30)));
    this->requestMissingJoins();
    for (auto& host : this->hosts) {
        if (!host.replica)
            continue;
        host.replica->tick(this->clock.now());
        this->processEffects(host);
    }
}

// Takes one of the less frequent steps: crashes or restarts a host, partitions or heals the network, loses a disk, or compacts a
// log.
void SimulatedCluster::injectFault(Host& host, Host& other)
{
    auto choice = this->randomBelow(30);
    if (choice < 2) {
        if (host.replica)
            this->crash(host);
    } else if (choice < 12) {
        if (!host.replica)
            this->start(host);
    } else if (choice < 13) {
        this->cutLinks.insert({ host.name, other.name });
    } else if (choice < 15) {
        this->isolate(host);
    } else if (choice < 20) {
        this->cutLinks.clear();
    } else if (choice < 22) {
        // The durability guarantee assumes that a disk is lost only while every other replica has its disk, runs, and is a voter.
        bool othersAreVoters = std::all_of(this->hosts.begin(), this->hosts.end(), [&](const auto& candidate) {
            return &candidate == &host || (candidate.replica && candidate.replica->membership().isVoter(candidate.identity) && candidate.replica->membership().voterCount() == this->hosts.size());
        });
        if (othersAreVoters)
            this->loseDisk(host);
    } else if (host.replica && host.applied >= host.replica->replicaLog().base() + compactionInterval) {
        host.replica->compact(host.applied, std::to_string(host.digest));
        this->processEffects(host);
    }
}

void SimulatedCluster::step()
{
    auto& host = this->hosts[this->randomBelow(this->hosts.size())];
    auto& other = this->hosts[this->randomBelow(this->hosts.size())];
    auto choice = this->randomBelow(1000);
    if (choice < 480) {
        this->deliverOne();
    } else if (choice < 760) {
        this->completeStore(host);
    } else if (choice < 880) {
        this->tickAll();
    } else if (choice < 970) {
        if (host.replica && host.replica->propose("command " + std::to_string(this->nextCommand++)))
            this->processEffects(host);
    } else {
        this->injectFault(host, other);
    }
    this->checkLeaders();
}

void SimulatedCluster::recoverAndVerify()
{
    this->cutLinks.clear();
    for (auto& host : this->hosts) {
        if (!host.replica)
            this->start(host);
    }
    auto target = this->committedEntriesByIndex.size() + 1;
    bool proposed = false;
    for (int round = 0; round < 4000 && !this->firstViolation; ++round) {
        if (round % 4 == 0)
            this->tickAll();
        for (auto& host : this->hosts)
            this->completeStore(host);
        for (size_t i = 0; i < 40; ++i)
            this->deliverOne();
        this->checkLeaders();
        for (auto& host : this->hosts) {
            if (!proposed && round > 200 && host.replica->isEstablishedLeader() && host.replica->propose("last command")) {
                target = host.replica->lastIndex();
                proposed = true;
                this->processEffects(host);
            }
        }
        bool appliedEverywhere = proposed && std::all_of(this->hosts.begin(), this->hosts.end(), [&](const auto& host) { return host.applied >= target; });
        if (appliedEverywhere)
            return;
    }
    this->fail("no command was applied on every host after the faults had ended");
}

}
