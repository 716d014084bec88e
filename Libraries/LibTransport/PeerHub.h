#pragma once

#include <LibTransport/HttpServer.h>
#include <LibTransport/PeerLink.h>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Sassafrasshift::Transport {

/// Receives batches of messages from other processes, and opens a link to each process that messages are sent to.
class PeerHub {
public:
    /// Called with the name of the sender, as stated in a header, and the encoded messages of one batch. Returns whether the
    /// messages could be decoded.
    using Handler = std::function<bool(const std::string& sender, const std::string& batch)>;
    /// Called when a batch is refused, with the cause: "path", "version" or "malformed". The spelling is stable, since the
    /// causes are label values of a metric.
    using RefusalObserver = std::function<void(std::string_view cause)>;

    /// Listens for batches on an endpoint. The sender name is sent with every batch of this process. Fails with
    /// Reason::InvalidInput if the hub cannot listen. The limit of the body is replaced by one for messages, and no batch is refused because
    /// memory is short.
    [[nodiscard]] static ErrorOr<std::unique_ptr<PeerHub>> create(EventLoop&, const Endpoint& listenEndpoint, std::string senderName, Handler, RefusalObserver,
        HttpServer::Limits = {}, HttpServer::LimitObserver = {});

    /// Queues a message on the link to an endpoint; see PeerLink::send().
    void send(const Endpoint&, std::string encodedMessage);

    /// Whether every link is drained; see PeerLink::isDrained().
    [[nodiscard]] bool isDrained() const;
    [[nodiscard]] const std::map<Endpoint, std::unique_ptr<PeerLink>>& openLinks() const { return this->links; }
    [[nodiscard]] HttpServer& listeningServer() { return *this->server; }
    /// Closes the link to a process that no longer exists.
    void closeLink(const Endpoint&);

private:
    PeerHub(EventLoop&, std::string senderName, Handler, RefusalObserver);

    void receive(const std::shared_ptr<HttpExchange>&);
    void refuse(const std::shared_ptr<HttpExchange>&, int status, std::string_view cause);

    EventLoop& loop;
    std::string senderName;
    Handler handler;
    RefusalObserver refusalObserver;
    std::unique_ptr<HttpServer> server;
    std::map<Endpoint, std::unique_ptr<PeerLink>> links;
};

}
