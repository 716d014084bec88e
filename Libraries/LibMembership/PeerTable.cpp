#include <LibMembership/PeerTable.h>

namespace Sassafrasshift::Membership {

PeerTable::PeerTable(std::string self, std::vector<Host> hosts, Milliseconds failureTimeout, Instant now)
    : self(std::move(self))
    , failureTimeout(failureTimeout)
{
    for (auto& host : hosts) {
        this->peers.emplace(host.name, Peer { now, {} });
        this->failureDomainByHost.emplace(std::move(host.name), std::move(host.failureDomain));
    }
}

void PeerTable::observe(const Heartbeat& heartbeat, Instant now)
{
    auto position = this->peers.find(heartbeat.host);
    if (position == this->peers.end() || heartbeat.host == this->self)
        return;
    position->second.lastHeartbeatAt = now;
    position->second.heartbeat = heartbeat;
}

void PeerTable::setOwnState(HostState state)
{
    this->ownState = state;
}

bool PeerTable::isAlive(const std::string& host, Instant now) const
{
    if (host == this->self)
        return true;
    auto position = this->peers.find(host);
    return position != this->peers.end() && position->second.heartbeat && now < position->second.lastHeartbeatAt + this->failureTimeout;
}

bool PeerTable::isServing(const std::string& host, Instant now) const
{
    if (host == this->self)
        return this->ownState == HostState::Serving;
    return this->isAlive(host, now) && this->peers.at(host).heartbeat->state == HostState::Serving;
}

bool PeerTable::isLost(const std::string& host, const std::string& incarnation, Instant now) const
{
    if (host == this->self)
        return false;
    auto position = this->peers.find(host);
    if (position == this->peers.end())
        return true;
    const auto& peer = position->second;
    if (peer.heartbeat && peer.heartbeat->incarnation != incarnation && now < peer.lastHeartbeatAt + this->failureTimeout)
        return true;
    return now >= peer.lastHeartbeatAt + this->failureTimeout;
}

const Heartbeat* PeerTable::latestHeartbeat(const std::string& host) const
{
    auto position = this->peers.find(host);
    return position == this->peers.end() || !position->second.heartbeat ? nullptr : &*position->second.heartbeat;
}

std::string PeerTable::dispatcherOf(const std::string& failureDomain, Instant now) const
{
    for (const auto& [host, domain] : this->failureDomainByHost) {
        if (domain == failureDomain && this->isServing(host, now))
            return host;
    }
    return {};
}

std::vector<std::string> PeerTable::servingHosts(Instant now) const
{
    std::vector<std::string> result;
    for (const auto& [host, peer] : this->peers) {
        if (this->isServing(host, now))
            result.push_back(host);
    }
    return result;
}

}
