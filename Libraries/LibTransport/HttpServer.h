#pragma once

#include <LibTransport/Endpoint.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/HttpMessage.h>
#include <functional>
#include <memory>

namespace Sassafrasshift::Transport {

/// A request that a server has received completely, and the means to respond to it. If the exchange is destroyed without a
/// response, the server responds with status 500.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    [[nodiscard]] virtual const HttpRequest& request() const = 0;

    /// Sends the response. Has no effect if a response was sent before or the client has disconnected.
    virtual void respond(HttpResponse) = 0;

    /// Whether a response was sent or the client has disconnected.
    [[nodiscard]] virtual bool isClosed() const = 0;

    /// Sets a function that is called once if the client disconnects before a response was sent.
    virtual void setAbandonHandler(std::function<void()>) = 0;

    /// Makes the server close an HTTP/1.1 client's connection after the response; an HTTP/2 connection stays open. Meant for
    /// clients that violate the protocol.
    virtual void closeConnection() = 0;
};

/// A server on one address for HTTP/1.1 and, with prior knowledge (RFC 9113 section 3.3), HTTP/2.
class HttpServer {
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    struct Limits {
        /// The largest accepted request body in bytes. A longer one is answered with status 413.
        size_t maximumBody { 16 * 1024 * 1024 };
    };

    /// The times after which a connection without a request in progress is closed.
    struct Timeouts {
        /// The time from the first byte of a request's head to the last.
        Milliseconds head { 60'000 };
        /// The time during which no byte is received or sent.
        Milliseconds idle { 60'000 };

        friend auto operator<=>(const Timeouts&, const Timeouts&) = default;
    };

    /// Listens on an endpoint and calls the handler with each request. Fails with Reason::InvalidInput if it cannot listen.
    [[nodiscard]] static ErrorOr<std::unique_ptr<HttpServer>> create(EventLoop&, const Endpoint&, Limits, Handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Closes the listening socket, so that new connections are refused. Open connections, and those that are waiting to be
    /// accepted, stay open.
    void stopAccepting();

    /// Ends each open connection after its next response.
    void closeGracefully();

    /// Closes the connections that have no request in progress and no response left to write, except new ones whose first
    /// request may be in transit.
    void closeIdleConnections();

    void setTimeouts(Timeouts);

    /// The number of requests that were received and have no response yet.
    [[nodiscard]] size_t openExchangeCount() const;

    /// The state that the server shares with the callbacks of h2o; it is defined in the implementation file.
    struct Implementation;

private:
    HttpServer();

    std::unique_ptr<Implementation> implementation;
};

}
