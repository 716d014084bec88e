#include <LibBase/Try.h>
#include <LibTransport/PeerHub.h>
#include <utility>

namespace Sassafrasshift::Transport {

// One message can contain a whole snapshot of the ledger.
static constexpr size_t maximumPeerBodyBytes = 256 * 1024 * 1024;

// The responses of a connection that are written together cost both processes one system call, and the sender waits for none of them. It is
// much shorter than the time after which a sender closes a connection without responses.
static constexpr Milliseconds acknowledgementDelay { 20 };
// Longer batches are acknowledged at once, since they occupy memory until then.
static constexpr size_t maximumDelayedBytes = 16 * 1024;

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
    this->acknowledge(exchange);
}

void PeerHub::acknowledge(const std::shared_ptr<HttpExchange>& exchange)
{
    if (exchange->request().body.size() > maximumDelayedBytes)
        return exchange->respond(HttpResponse { 204, {}, {} });
    this->unacknowledged.push_back(exchange);
    if (this->acknowledgementTimer)
        return;
    this->acknowledgementTimer = this->loop.after(acknowledgementDelay, [this] {
        this->acknowledgementTimer.reset();
        for (const auto& received : std::exchange(this->unacknowledged, {}))
            received->respond(HttpResponse { 204, {}, {} });
    });
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
