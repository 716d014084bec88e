#include "PeerNetwork.h"
#include <LibBase/Try.h>
#include <LibTelemetry/Log.h>
#include <LibTransport/Codec.h>

namespace Sassafrasshift::Daemon {

using Transport::Endpoint;

namespace {

struct IsWorkVisitor {
    bool operator()(const Membership::Heartbeat&) const { return false; }
    bool operator()(const Membership::TargetReport&) const { return false; }
    bool operator()(const HeldGrants&) const { return false; }
    bool operator()(const Dispatch::PoolAvailability&) const { return false; }
    bool operator()(const JoinRequest&) const { return false; }
    bool operator()(const ConfigurationRequest&) const { return false; }
    bool operator()(const ConfigurationTransfer&) const { return false; }
    bool operator()(const HeldJobs&) const { return false; }
    bool operator()(const Ledger::Message& message) const
    {
        const auto* append = std::get_if<Ledger::AppendRequest>(&message.body);
        return append && !append->entries.empty();
    }
    template <typename Message>
    bool operator()(const Message&) const { return true; }
};

}

bool isWorkMessage(const PeerMessage& message)
{
    return std::visit(IsWorkVisitor {}, message);
}

PeerNetwork::PeerNetwork(Transport::EventLoop& loop, const Settings::DaemonSettings& settings, Telemetry::Metrics& metrics, Handler handler)
    : loop(loop)
    , settings(settings)
    , metrics(metrics)
    , handler(std::move(handler))
{
}

ErrorOr<std::unique_ptr<PeerNetwork>> PeerNetwork::create(Transport::EventLoop& loop, const Settings::DaemonSettings& settings, Telemetry::Metrics& metrics, Handler handler)
{
    std::unique_ptr<PeerNetwork> network(new PeerNetwork(loop, settings, metrics, std::move(handler)));
    for (const auto& host : settings.hosts) {
        auto endpoint = TRY(Endpoint::parse(host.peerAddress));
        if (host.name != settings.host)
            network->peers.emplace(host.name, endpoint);
    }
    auto own = TRY(Endpoint::parse(settings.self().peerAddress));
    auto countRefusal = [&metrics](std::string_view cause) { metrics.count("peer_batches_refused_total{cause=\"" + std::string(cause) + "\"}"); };
    network->hub = TRY(Transport::PeerHub::create(
        loop, own, settings.host, [raw = network.get()](const auto& sender, const auto& batch) { return raw->receive(sender, batch); }, countRefusal));
    return network;
}

bool PeerNetwork::receive(const std::string& sender, const std::string& bytes)
{
    auto batch = Transport::decodeMessages<PeerMessage>(bytes);
    if (!batch)
        return false;
    if (batch->unknownKinds > 0)
        Telemetry::log(Telemetry::LogLevel::Warning, "messages-unknown", "a host sent messages of a kind that this version does not know; they are ignored", { { "from", sender }, { "messages", std::to_string(batch->unknownKinds) } });
    for (const auto& message : batch->messages)
        this->handler(sender, message);
    return true;
}

void PeerNetwork::send(const std::string& host, const PeerMessage& message)
{
    if (host == this->settings.host) {
        this->loop.defer([this, message] { this->handler(this->settings.host, message); });
        return;
    }
    auto position = this->peers.find(host);
    if (position == this->peers.end()) {
        this->metrics.count("peer_messages_unroutable_total");
        return;
    }
    this->metrics.count(isWorkMessage(message) ? "messages_total{purpose=\"work\"}" : "messages_total{purpose=\"upkeep\"}");
    this->hub->send(position->second, Transport::encodeMessage(message));
}

bool PeerNetwork::isDrained() const
{
    return this->hub->isDrained();
}

void PeerNetwork::exportCounters() const
{
    for (const auto& [host, endpoint] : this->peers) {
        auto position = this->hub->openLinks().find(endpoint);
        if (position == this->hub->openLinks().end())
            continue;
        const auto& counters = position->second->counters();
        auto label = "{peer=\"" + host + "\"}";
        this->metrics.setGauge("peer_bytes_sent" + label, static_cast<double>(counters.bytesSent));
        this->metrics.setGauge("peer_batches_sent" + label, static_cast<double>(counters.batchesSent));
        this->metrics.setGauge("peer_messages_sent" + label, static_cast<double>(counters.messagesSent));
        this->metrics.setGauge("peer_messages_dropped" + label, static_cast<double>(counters.messagesDropped));
        this->metrics.setGauge("peer_connections_lost" + label, static_cast<double>(counters.connectionsLost));
    }
}

}
