#include <LibMembership/Cluster.h>
#include <algorithm>
#include <tuple>

namespace Sassafrasshift::Membership {

Cluster::Cluster(MemberRecord self, std::vector<std::string> seeds, Options options, Random random, Instant now)
    : own(std::move(self))
    , seeds(std::move(seeds))
    , options(options)
    , random(random)
    , startedAt(now)
{
}

Milliseconds Cluster::interval() const
{
    return this->peers.size() + 1 < this->options.largeCluster ? this->options.smallClusterInterval : this->options.largeClusterInterval;
}

std::vector<std::string> Cluster::nextRecipients(Instant now)
{
    ++this->own.heartbeat;
    std::vector<std::string> live;
    // Seeds and lost members are tried too, so that the two sides of a healed partition find each other again.
    std::vector<std::string> others;
    for (const auto& [address, peer] : this->peers)
        (this->isAlive(address, now) ? live : others).push_back(address);
    for (const auto& seed : this->seeds) {
        if (seed != this->own.address && !this->peers.contains(seed))
            others.push_back(seed);
    }
    std::shuffle(live.begin(), live.end(), this->random);
    // One neighbour always: a partition leaves the members of a failure domain together, and right after it most of those
    // that still count as alive are out of reach.
    auto isNeighbour = [&](const auto& address) { return this->peers.at(address).record.failureDomain == this->own.failureDomain; };
    auto neighbour = std::find_if(live.begin(), live.end(), isNeighbour);
    if (neighbour != live.end())
        std::iter_swap(live.begin(), neighbour);
    if (live.size() > this->options.fanout)
        live.resize(this->options.fanout);
    if (live.empty()) {
        for (const auto& seed : this->seeds) {
            if (seed != this->own.address)
                live.push_back(seed);
        }
        return live;
    }
    if (!others.empty())
        live.push_back(others[this->random() % others.size()]);
    return live;
}

std::vector<MemberRecord> Cluster::gossip(Instant now) const
{
    std::vector<MemberRecord> records { this->own };
    for (const auto& [address, peer] : this->peers) {
        if (this->isAlive(address, now))
            records.push_back(peer.record);
    }
    return records;
}

void Cluster::observe(const std::vector<MemberRecord>& records, Instant now)
{
    for (const auto& record : records) {
        this->highestEpoch = std::max(this->highestEpoch, record.dispatchEpoch);
        if (record.address == this->own.address)
            this->observeSelf(record);
        else
            this->observeOne(record, now);
    }
    std::erase_if(this->peers, [&](const auto& entry) { return now - entry.second.lastRise > this->options.forgetAfter; });
}

// An earlier process at this address may have had a clock ahead of this one's.
void Cluster::observeSelf(const MemberRecord& record)
{
    bool isOther = record.incarnation > this->own.incarnation || (record.incarnation == this->own.incarnation && record.heartbeat > this->own.heartbeat);
    if (isOther)
        this->own.incarnation = record.incarnation + 1;
}

void Cluster::observeOne(const MemberRecord& record, Instant now)
{
    auto [position, isNew] = this->peers.try_emplace(record.address, Peer { record, now, now });
    if (isNew)
        return;
    auto& peer = position->second;
    if (std::tie(record.incarnation, record.heartbeat) <= std::tie(peer.record.incarnation, peer.record.heartbeat))
        return;
    bool wasAlive = this->isAlive(record.address, now) && record.incarnation == peer.record.incarnation;
    peer = Peer { record, now, wasAlive ? peer.aliveSince : now };
}

bool Cluster::isAlive(const std::string& address, Instant now) const
{
    if (address == this->own.address)
        return true;
    auto position = this->peers.find(address);
    return position != this->peers.end() && now - position->second.lastRise <= this->failureTimeout();
}

const MemberRecord* Cluster::find(const std::string& address) const
{
    if (address == this->own.address)
        return &this->own;
    auto position = this->peers.find(address);
    return position == this->peers.end() ? nullptr : &position->second.record;
}

std::vector<const MemberRecord*> Cluster::alive(Instant now) const
{
    std::vector<const MemberRecord*> members { &this->own };
    for (const auto& [address, peer] : this->peers) {
        if (this->isAlive(address, now))
            members.push_back(&peer.record);
    }
    return members;
}

bool Cluster::isSettled(Milliseconds duration, Instant now) const
{
    if (now - this->startedAt < duration)
        return false;
    return std::all_of(this->peers.begin(), this->peers.end(), [&](const auto& entry) {
        const auto& peer = entry.second;
        return peer.record.isEntry || (this->isAlive(entry.first, now) && now - peer.aliveSince >= duration);
    });
}

const MemberRecord* Cluster::dispatcher(Instant now) const
{
    const MemberRecord* best = nullptr;
    for (const auto* member : this->alive(now)) {
        if (member->dispatchEpoch == 0 || member->state != HostState::Serving)
            continue;
        if (!best || std::tie(member->dispatchEpoch, member->address) > std::tie(best->dispatchEpoch, best->address))
            best = member;
    }
    return best;
}

bool Cluster::isBestCandidate(Instant now) const
{
    auto rank = [](const MemberRecord& member) { return std::tie(member.dispatchWeight, member.address); };
    if (this->own.state != HostState::Serving || this->own.dispatchWeight == 0)
        return false;
    auto members = this->alive(now);
    return std::all_of(members.begin(), members.end(), [&](const auto* member) { return member->state != HostState::Serving || rank(*member) <= rank(this->own); });
}

void Cluster::updateClaim(Instant now, uint64_t epochFloor)
{
    const auto* present = this->dispatcher(now);
    if (present == &this->own)
        return;
    if (present || this->own.state != HostState::Serving) {
        this->own.dispatchEpoch = 0;
        this->candidateSince.reset();
        return;
    }
    if (!this->isBestCandidate(now)) {
        this->candidateSince.reset();
        return;
    }
    if (!this->candidateSince)
        this->candidateSince = now;
    // A claim that is known to have ended is followed at once; otherwise others may still be on their way.
    auto delay = this->peers.empty() ? this->options.lonelyClaimDelay : this->options.claimDelay;
    bool mayClaim = this->highestEpoch > 0 || now - *this->candidateSince >= delay;
    if (mayClaim && now - this->startedAt >= delay)
        this->raiseEpoch(std::max(this->highestEpoch, epochFloor));
}

void Cluster::raiseEpoch(uint64_t above)
{
    this->highestEpoch = std::max(this->highestEpoch, above) + 1;
    this->own.dispatchEpoch = this->highestEpoch;
}

void Cluster::setSeeds(std::vector<std::string> addresses)
{
    this->seeds = std::move(addresses);
}

void Cluster::excuseSilence(Instant now)
{
    for (auto& [address, peer] : this->peers) {
        if (this->failureTimeout() * 10 > now - peer.lastRise)
            peer.lastRise = now;
    }
}

}
