#include <LibBase/Try.h>
#include <LibTransport/PeerHub.h>

namespace Sassafrasshift::Transport {

// One message can contain a whole snapshot of the ledger.
static constexpr size_t maximumPeerBodyBytes = 256 * 1024 * 1024;

PeerHub::PeerHub(EventLoop& loop, std::string senderName, Handler handler, RefusalObserver refusalObserver)
    : loop(loop)
    , senderName(std::move(senderName))
    , handler(std::move(handler))
    , refusalObserver(std::move(refusalObserver))
{
}

ErrorOr<std::unique_ptr<PeerHub>> PeerHub::create(EventLoop& loop, const Endpoint& listenEndpoint, std::string senderName, Handler handler, RefusalObserver refusalObserver, HttpServer::Limits limits, HttpServer::LimitObserver limitObserver)
{
    std::unique_ptr<PeerHub> hub(new PeerHub(loop, std::move(senderName), std::move(handler), std::move(refusalObserver)));
    limits.maximumBody = maximumPeerBodyBytes;
    // A member sends a refused batch again, so that one for which memory does not suffice would never arrive.
    limits.handledCopies = 0;
    hub->server = TRY(HttpServer::create(
        loop, listenEndpoint, limits, [raw = hub.get()](auto exchange) { raw->receive(exchange); }, std::move(limitObserver)));
    return hub;
}

void PeerHub::refuse(const std::shared_ptr<HttpExchange>& exchange, int status, std::string_view cause)
{
    this->refusalObserver(cause);
    exchange->closeConnection();
    exchange->respond(HttpResponse { status, {}, {} });
}

void PeerHub::receive(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto& request = exchange->request();
    if (request.path() != peerMessagesPath)
        return this->refuse(exchange, 404, "path");
    if (headerValue(request.headers, peerVersionHeader) != peerProtocolVersion)
        return this->refuse(exchange, 426, "version");
    std::string sender(headerValue(request.headers, peerSenderHeader));
    if (!this->handler(sender, request.body))
        return this->refuse(exchange, 400, "malformed");
    exchange->respond(HttpResponse { 204, {}, {} });
}

void PeerHub::send(const Endpoint& endpoint, std::string encodedMessage)
{
    auto& link = this->links[endpoint];
    if (!link)
        link = PeerLink::create(this->loop, endpoint, this->senderName);
    link->send(std::move(encodedMessage));
}

bool PeerHub::isDrained() const
{
    for (const auto& [endpoint, link] : this->links) {
        if (!link->isDrained())
            return false;
    }
    return true;
}

void PeerHub::closeLink(const Endpoint& endpoint)
{
    this->links.erase(endpoint);
}

}
