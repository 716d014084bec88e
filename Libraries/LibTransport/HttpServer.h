#pragma once

#include <LibTransport/ConnectionBudget.h>
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
        /// Connections, and the memory that they hold. If a limit of connections is reached, a new one replaces the one without a request
        /// in progress that has been inactive for the longest time.
        ConnectionBudget::Limits budget {};
        /// The number of header fields and their bytes in a request. A request with more is answered with status 431. 0 means no limit.
        size_t headerFields { 0 };
        size_t headerBytes { 0 };
        /// The number of requests that a connection may send in a row without waiting for an answer. The connection is closed after the
        /// answer to the last of them. 0 means no limit.
        size_t pipelinedRequests { 0 };
        /// How many times a request exists while it is being handled: as received, as decoded, and as encoded for another host. These count
        /// as memory, and a request for which it does not suffice is answered with status 503. With 0, none is refused for it.
        size_t handledCopies { 3 };
    };

    /// Called when a limit or a timeout makes the server close a connection or refuse a request, with the name of the cause.
    using LimitObserver = std::function<void(std::string_view cause)>;

    /// The times after which a connection is closed. `head` and `idle` apply while no request is in progress; `request` and `answer` apply only
    /// if memory or connections are limited.
    struct Timeouts {
        /// The time from the first byte of a request's head to the last.
        Milliseconds head { 60'000 };
        /// The time during which no byte is received or sent. A shorter time than before is counted from the change on.
        Milliseconds idle { 60'000 };
        /// The time from the first byte of a request to the last, including its body.
        Milliseconds request { 60'000 };
        /// The time from the answer to a request until all of it is sent.
        Milliseconds answer { 60'000 };

        friend auto operator<=>(const Timeouts&, const Timeouts&) = default;
    };

    /// Listens on an endpoint and calls the handler with each request. Fails with Reason::InvalidInput if it cannot listen.
    [[nodiscard]] static ErrorOr<std::unique_ptr<HttpServer>> create(EventLoop&, const Endpoint&, Limits, Handler, LimitObserver = {});
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Closes the listening socket, so that new connections are refused. Open connections, and those that are waiting to be
    /// accepted, stay open.
    void stopAccepting();

    /// Ends each open connection after its next response.
    void closeGracefully();

    /// Closes the connections that have no request in progress, nothing of one received and no response left to write, except new ones
    /// whose first request may be in transit.
    void closeIdleConnections();

    void setTimeouts(Timeouts);

    /// Changes the largest accepted request body.
    void setMaximumBody(size_t);

    /// The number of open connections, and the memory in bytes that they hold. The memory is measured only if there are limits.
    [[nodiscard]] size_t connectionCount() const;
    [[nodiscard]] size_t heldBytes() const;

    /// The number of requests that were received and have no response yet.
    [[nodiscard]] size_t openExchangeCount() const;

    /// The state that the server shares with the callbacks of h2o; it is defined in the implementation file.
    struct Implementation;

private:
    HttpServer();

    std::unique_ptr<Implementation> implementation;
};

}
