#include <LibMembership/Cluster.h>
#include <algorithm>
#include <limits>
#include <tuple>

namespace Sassafrasshift::Membership {

Cluster::Cluster(MemberRecord self, std::vector<std::string> seeds, Options options, Random random, Instant now)
    : ownRecord(std::move(self))
    , initialIncarnation(this->ownRecord.incarnation)
    , seeds(std::move(seeds))
    , options(options)
    , random(random)
    , startedAt(now)
{
    this->updateDispatchingDomains();
}

Milliseconds Cluster::interval() const
{
    return this->peers.size() + 1 < this->options.largeClusterSize ? this->options.smallClusterInterval : this->options.largeClusterInterval;
}

Milliseconds Cluster::gossipInterval(Instant now) const
{
    return now - this->startedAt < this->options.startupTime ? this->options.smallClusterInterval : this->interval();
}

std::vector<std::string> Cluster::nextGossipRecipients(Instant now)
{
    this->incrementHeartbeat();
    std::vector<std::string> live;
    // One seed or failed member gets the message as well, so that the two sides of a healed partition discover each other again.
    std::vector<std::string> others;
    for (const auto& [address, peer] : this->peers)
        (this->isAlive(address, now) ? live : others).push_back(address);
    for (const auto& seed : this->seeds) {
        if (seed != this->ownRecord.address && !this->peers.contains(seed))
            others.push_back(seed);
    }
    std::shuffle(live.begin(), live.end(), this->random);
    // The recipients include a live member of this member's failure domain, if there is one. Right after a partition that cuts
    // off the domain, most members that still count as alive are unreachable; members of the same domain remain connected.
    auto isNeighbor = [&](const auto& address) { return this->peers.at(address).record.failureDomain == this->ownRecord.failureDomain; };
    auto neighbor = std::find_if(live.begin(), live.end(), isNeighbor);
    if (neighbor != live.end())
        std::iter_swap(live.begin(), neighbor);
    if (live.size() > this->options.fanout)
        live.resize(this->options.fanout);
    if (live.empty()) {
        for (const auto& seed : this->seeds) {
            if (seed != this->ownRecord.address)
                live.push_back(seed);
        }
        return live;
    }
    if (!others.empty())
        live.push_back(others[this->random() % others.size()]);
    return live;
}

std::vector<MemberRecord> Cluster::liveRecords(Instant now) const
{
    std::vector<MemberRecord> records { this->ownRecord };
    for (const auto& [address, peer] : this->peers) {
        if (this->isAlive(address, now))
            records.push_back(peer.record);
    }
    return records;
}

bool Cluster::shouldSendAllRecords(size_t membersKnownToSender, Instant now) const
{
    // Views that differ by less converge in the usual rounds.
    static constexpr size_t sufficientPercent = 90;
    return membersKnownToSender > 0 && membersKnownToSender * 100 < this->liveMembers(now).size() * sufficientPercent;
}

// The highest value of a counter in a record. Members derive higher values from it, which must not overflow.
static constexpr uint64_t maximumCounter = uint64_t { 1 } << 53;
// Epochs count seconds, and leave room in a fencing token for the bits that identify the claimant.
static constexpr uint64_t maximumEpoch = uint64_t { 1 } << 32;
static constexpr uint64_t maximumVersion = std::numeric_limits<int64_t>::max();

// The decoder casts any number to an enumeration.
static bool hasKnownEnumerators(const MemberRecord& record)
{
    bool isKnownLayout = record.layout == DispatchLayout::WholeCluster || record.layout == DispatchLayout::FailureDomains;
    bool isKnownState = record.state == HostState::Serving || record.state == HostState::Leaving;
    return isKnownLayout && isKnownState;
}

static bool isPlausible(const MemberRecord& record)
{
    bool hasPlausibleCounters = record.incarnation <= maximumCounter && record.heartbeat <= maximumCounter && record.ledgerTerm <= maximumCounter;
    return !record.address.empty() && hasKnownEnumerators(record) && hasPlausibleCounters && record.dispatchEpoch <= maximumEpoch && record.configurationVersion <= maximumVersion;
}

void Cluster::mergeRecords(const std::vector<MemberRecord>& records, Instant now)
{
    for (const auto& record : records) {
        if (!isPlausible(record))
            continue;
        this->highestEpoch = std::max(this->highestEpoch, record.dispatchEpoch);
        if (record.dispatchEpoch > 0)
            this->claimedShards.insert(record.dispatchShard);
        this->adoptLayout(record.layout);
        if (record.address == this->ownRecord.address)
            this->mergeOwnRecord(record);
        else
            this->mergePeerRecord(record, now);
    }
    auto expired = std::erase_if(this->peers, [&](const auto& entry) { return now - entry.second.lastHeartbeatAt > this->options.recordRetention; });
    if (expired > 0)
        this->updateDispatchingDomains();
    if (this->peers.size() + 1 >= this->options.shardedClusterSize)
        this->adoptLayout(DispatchLayout::FailureDomains);
}

// The layout only ever changes from WholeCluster to FailureDomains, so that members with different views converge.
void Cluster::adoptLayout(DispatchLayout layout)
{
    this->ownRecord.layout = std::max(this->ownRecord.layout, layout);
}

// Incarnations are derived from the clock: an earlier process at this address may have a higher one if its clock was ahead.
void Cluster::mergeOwnRecord(const MemberRecord& record)
{
    bool isFromEarlierProcess = record.incarnation > this->ownRecord.incarnation || (record.incarnation == this->ownRecord.incarnation && record.heartbeat > this->ownRecord.heartbeat);
    if (isFromEarlierProcess && record.incarnation < maximumCounter)
        this->ownRecord.incarnation = record.incarnation + 1;
}

void Cluster::mergePeerRecord(const MemberRecord& record, Instant now)
{
    auto [position, isNew] = this->peers.try_emplace(record.address, Peer { record, now, now, {} });
    if (!this->firstContactAt)
        this->firstContactAt = now;
    if (isNew)
        return this->updateDispatchingDomains();
    auto& peer = position->second;
    if (std::tie(record.incarnation, record.heartbeat) <= std::tie(peer.record.incarnation, peer.record.heartbeat))
        return;
    bool isSameProcess = record.incarnation == peer.record.incarnation;
    bool wasAlive = isSameProcess && this->isAlive(record.address, now);
    bool hasMoved = std::tie(record.failureDomain, record.dispatchWeight) != std::tie(peer.record.failureDomain, peer.record.dispatchWeight);
    peer = Peer { record, now, wasAlive ? peer.aliveSince : now, isSameProcess ? peer.suspectedUntil : Instant {} };
    if (hasMoved)
        this->updateDispatchingDomains();
}

void Cluster::updateDispatchingDomains()
{
    this->dispatchingDomains.clear();
    if (this->ownRecord.dispatchWeight > 0)
        this->dispatchingDomains.insert(this->ownRecord.failureDomain);
    for (const auto& [address, peer] : this->peers) {
        if (peer.record.dispatchWeight > 0)
            this->dispatchingDomains.insert(peer.record.failureDomain);
    }
}

bool Cluster::isAlive(const std::string& address, Instant now) const
{
    if (address == this->ownRecord.address)
        return true;
    auto position = this->peers.find(address);
    return position != this->peers.end() && now - position->second.lastHeartbeatAt <= this->failureTimeout() && now >= position->second.suspectedUntil;
}

void Cluster::suspect(const std::string& address, Instant now)
{
    auto position = this->peers.find(address);
    if (position != this->peers.end())
        position->second.suspectedUntil = now + this->failureTimeout();
}

void Cluster::clearSuspicion(const std::string& address)
{
    auto position = this->peers.find(address);
    if (position != this->peers.end())
        position->second.suspectedUntil = {};
}

const MemberRecord* Cluster::find(const std::string& address) const
{
    if (address == this->ownRecord.address)
        return &this->ownRecord;
    auto position = this->peers.find(address);
    return position == this->peers.end() ? nullptr : &position->second.record;
}

std::vector<const MemberRecord*> Cluster::liveMembers(Instant now) const
{
    std::vector<const MemberRecord*> members { &this->ownRecord };
    for (const auto& [address, peer] : this->peers) {
        if (this->isAlive(address, now))
            members.push_back(&peer.record);
    }
    return members;
}

bool Cluster::isStableFor(Milliseconds duration, Instant now) const
{
    if (now - this->startedAt < duration)
        return false;
    return std::all_of(this->peers.begin(), this->peers.end(), [&](const auto& entry) {
        const auto& peer = entry.second;
        return peer.record.isEntry || (this->isAlive(entry.first, now) && now - peer.aliveSince >= duration);
    });
}

std::string Cluster::shardFor(const std::string& failureDomain) const
{
    if (this->ownRecord.layout == DispatchLayout::WholeCluster)
        return {};
    const auto& domains = this->dispatchingDomains;
    if (domains.empty())
        return failureDomain;
    auto position = domains.lower_bound(failureDomain);
    return position == domains.end() ? *domains.begin() : *position;
}

std::vector<std::string> Cluster::targetListHosts(Instant now) const
{
    std::vector<std::string> hosts;
    for (const auto* member : this->liveMembers(now)) {
        bool isCandidate = member->dispatchWeight > 0 && member != &this->ownRecord && this->shardFor(member->failureDomain) == this->ownShard();
        if (!member->isEntry || isCandidate)
            hosts.push_back(member->address);
    }
    return hosts;
}

std::set<std::string> Cluster::recentEntries(const std::string& shard, Milliseconds within, Instant now) const
{
    std::set<std::string> entries;
    auto belongs = [&](const MemberRecord& record) { return record.isEntry && this->shardFor(record.failureDomain) == shard; };
    if (belongs(this->ownRecord))
        entries.insert(this->ownRecord.address);
    for (const auto& [address, peer] : this->peers) {
        if (belongs(peer.record) && now - peer.lastHeartbeatAt <= within)
            entries.insert(address);
    }
    return entries;
}

Milliseconds Cluster::sinceHeartbeat(const std::string& address, Instant now) const
{
    auto position = this->peers.find(address);
    return position == this->peers.end() ? Milliseconds(0) : std::chrono::duration_cast<Milliseconds>(now - position->second.lastHeartbeatAt);
}

const MemberRecord* Cluster::dispatcher(const std::string& shard, Instant now) const
{
    const MemberRecord* best = nullptr;
    for (const auto* member : this->liveMembers(now)) {
        if (member->dispatchEpoch == 0 || member->state != HostState::Serving || member->dispatchShard != shard)
            continue;
        if (!best || std::tie(member->dispatchEpoch, member->address) > std::tie(best->dispatchEpoch, best->address))
            best = member;
    }
    return best;
}

std::vector<const MemberRecord*> Cluster::dispatchers(Instant now) const
{
    std::map<std::string, const MemberRecord*> bestByShard;
    bool isSharded = this->ownRecord.layout == DispatchLayout::FailureDomains;
    for (const auto* member : this->liveMembers(now)) {
        if (member->dispatchEpoch == 0 || member->state != HostState::Serving || member->dispatchShard.empty() == isSharded)
            continue;
        auto& current = bestByShard[member->dispatchShard];
        if (!current || std::tie(member->dispatchEpoch, member->address) > std::tie(current->dispatchEpoch, current->address))
            current = member;
    }
    std::vector<const MemberRecord*> dispatchers;
    dispatchers.reserve(bestByShard.size());
    for (const auto& [shard, member] : bestByShard)
        dispatchers.push_back(member);
    return dispatchers;
}

bool Cluster::isBestCandidate(Instant now) const
{
    auto rank = [](const MemberRecord& member) { return std::tie(member.dispatchWeight, member.address); };
    if (this->ownRecord.state != HostState::Serving || this->ownRecord.dispatchWeight == 0)
        return false;
    auto members = this->liveMembers(now);
    return std::all_of(members.begin(), members.end(), [&](const auto* member) {
        return member->state != HostState::Serving || this->shardFor(member->failureDomain) != this->ownRecord.dispatchShard || rank(*member) <= rank(this->ownRecord);
    });
}

// Returns whether this member should take over, because the dispatcher has far less processor time for dispatching.
bool Cluster::shouldReplace(const MemberRecord& dispatcher, Instant now) const
{
    return this->ownRecord.state == HostState::Serving && now - this->startedAt >= this->options.takeoverMinimumUptime
        && dispatcher.dispatchWeight * this->options.takeoverWeightRatio <= this->ownRecord.dispatchWeight && this->isBestCandidate(now);
}

// A shard that is known to have had a dispatcher is claimed immediately. Otherwise the claim of another member may not have arrived
// yet.
bool Cluster::mayClaim(const std::string& shard, Instant now) const
{
    if (this->peers.empty())
        return now - this->startedAt >= this->options.isolatedClaimDelay;
    if (!this->hasRecentContact(now))
        return false;
    bool hasHeardOthers = this->firstContactAt && now - *this->firstContactAt >= this->options.claimDelay;
    return hasHeardOthers || (this->claimedShards.contains(shard) && now - this->startedAt >= this->options.claimDelay);
}

// A member of a large cluster that has lost contact to all others at once is cut off; the others go on without it.
bool Cluster::isCutOff(Instant now) const
{
    if (this->ownRecord.layout != DispatchLayout::FailureDomains || this->peers.empty())
        return false;
    return std::none_of(this->peers.begin(), this->peers.end(), [&](const auto& entry) { return this->isAlive(entry.first, now); });
}

// Within this number of gossip intervals, some heartbeat arrives at each member that is not cut off.
static constexpr int contactIntervals = 2;

// A member of a large cluster that hears no other one is probably cut off itself.
bool Cluster::hasRecentContact(Instant now) const
{
    if (this->ownRecord.layout != DispatchLayout::FailureDomains)
        return true;
    return std::any_of(this->peers.begin(), this->peers.end(), [&](const auto& entry) { return now - entry.second.lastHeartbeatAt <= this->interval() * contactIntervals; });
}

void Cluster::updateClaim(Instant now, uint64_t epochFloor)
{
    auto shard = this->ownShard();
    if (this->ownRecord.dispatchShard != shard || this->isCutOff(now)) {
        this->ownRecord.dispatchShard = shard;
        this->ownRecord.dispatchEpoch = 0;
    }
    if (this->isCutOff(now))
        return;
    const auto* current = this->dispatcher(shard, now);
    if (current == &this->ownRecord)
        return;
    if (this->ownRecord.state != HostState::Serving || (current && !this->shouldReplace(*current, now))) {
        this->ownRecord.dispatchEpoch = 0;
        return;
    }
    if (this->isBestCandidate(now) && this->mayClaim(shard, now))
        this->raiseEpoch(std::max(this->highestEpoch, epochFloor));
}

void Cluster::raiseEpoch(uint64_t above)
{
    this->highestEpoch = std::max(this->highestEpoch, above) + 1;
    this->ownRecord.dispatchEpoch = this->highestEpoch;
    this->claimedShards.insert(this->ownRecord.dispatchShard);
}

void Cluster::setSeeds(std::vector<std::string> addresses)
{
    this->seeds = std::move(addresses);
}

void Cluster::resetFailureTimeouts(Instant now)
{
    for (auto& [address, peer] : this->peers) {
        // A member whose last heartbeat arrived ten or more failure timeouts ago stays failed.
        if (this->failureTimeout() * 10 > now - peer.lastHeartbeatAt)
            peer.lastHeartbeatAt = now;
    }
}

}
