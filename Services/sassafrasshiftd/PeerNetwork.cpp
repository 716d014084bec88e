#include "PeerNetwork.h"
#include <LibBase/Try.h>
#include <LibTelemetry/Log.h>
#include <LibTransport/Codec.h>

namespace Sassafrasshift::Daemon {

using Transport::Endpoint;
using Transport::HttpExchange;
using Transport::HttpResponse;

// Snapshots of the ledger travel in one message.
static constexpr size_t maximumPeerBody = 256 * 1024 * 1024;

namespace {

struct ServesWorkVisitor {
    bool operator()(const Membership::Heartbeat&) const { return false; }
    bool operator()(const Membership::TargetReport&) const { return false; }
    bool operator()(const HeldGrants&) const { return false; }
    bool operator()(const Dispatch::DomainView&) const { return false; }
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

bool servesWork(const PeerMessage& message)
{
    return std::visit(ServesWorkVisitor {}, message);
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
            network->links.emplace(host.name, Transport::PeerLink::create(loop, endpoint, settings.host));
    }
    auto own = TRY(Endpoint::parse(settings.self().peerAddress));
    network->server = TRY(Transport::HttpServer::create(loop, own, { maximumPeerBody }, [raw = network.get()](auto exchange) { raw->receive(exchange); }));
    return network;
}

void PeerNetwork::receive(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto& request = exchange->request();
    auto refuse = [&](int status, const char* counter) {
        this->metrics.count(counter);
        exchange->closeConnection();
        exchange->respond(HttpResponse { status, {}, {} });
    };
    if (request.path() != Transport::peerMessagesPath)
        return refuse(404, "peer_batches_refused_total{cause=\"path\"}");
    if (Transport::headerValue(request.headers, Transport::peerVersionHeader) != Transport::peerProtocolVersion)
        return refuse(426, "peer_batches_refused_total{cause=\"version\"}");
    auto messages = Transport::decodeMessages<PeerMessage>(request.body);
    if (!messages)
        return refuse(400, "peer_batches_refused_total{cause=\"malformed\"}");
    std::string sender(Transport::headerValue(request.headers, Transport::peerSenderHeader));
    exchange->respond(HttpResponse { 204, {}, {} });
    for (const auto& message : *messages)
        this->handler(sender, message);
}

void PeerNetwork::send(const std::string& host, const PeerMessage& message)
{
    if (host == this->settings.host) {
        this->loop.defer([this, message] { this->handler(this->settings.host, message); });
        return;
    }
    auto position = this->links.find(host);
    if (position == this->links.end()) {
        this->metrics.count("peer_messages_unroutable_total");
        return;
    }
    this->metrics.count(servesWork(message) ? "messages_total{purpose=\"work\"}" : "messages_total{purpose=\"upkeep\"}");
    position->second->send(Transport::encodeMessage(message));
}

bool PeerNetwork::isDrained() const
{
    for (const auto& [host, link] : this->links) {
        if (!link->isDrained())
            return false;
    }
    return true;
}

void PeerNetwork::exportCounters() const
{
    for (const auto& [host, link] : this->links) {
        const auto& counters = link->counters();
        auto label = "{peer=\"" + host + "\"}";
        this->metrics.setGauge("peer_bytes_sent" + label, static_cast<double>(counters.bytesSent));
        this->metrics.setGauge("peer_batches_sent" + label, static_cast<double>(counters.batchesSent));
        this->metrics.setGauge("peer_messages_sent" + label, static_cast<double>(counters.messagesSent));
        this->metrics.setGauge("peer_messages_dropped" + label, static_cast<double>(counters.messagesDropped));
        this->metrics.setGauge("peer_connections_lost" + label, static_cast<double>(counters.connectionsLost));
    }
}

}
