#pragma once

#include <LibTransport/Endpoint.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/HttpMessage.h>
#include <functional>
#include <memory>

namespace Sassafrasshift::Transport {

/// One request that a server has received whole, and the place of its answer.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    [[nodiscard]] virtual const HttpRequest& request() const = 0;

    /// Answers the request. Later calls, and calls after the caller has gone, do nothing.
    virtual void respond(HttpResponse) = 0;

    /// Whether an answer was given, or the caller has gone.
    [[nodiscard]] virtual bool isClosed() const = 0;

    /// Sets what is called once if the caller goes before it was answered.
    virtual void setAbandonHandler(std::function<void()>) = 0;

    /// Closes the caller's connection after the answer; for a peer that breaks the protocol.
    virtual void closeConnection() = 0;
};

/// An HTTP/1.1 and HTTP/2 server (prior knowledge, RFC 9113 section 3.3) on one address.
class HttpServer {
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    struct Limits {
        /// Bytes; a longer request body is answered with status 413.
        size_t maximumBody { 16 * 1024 * 1024 };
    };

    /// How long a connection may be without a request in progress before it is closed.
    struct Timeouts {
        /// From the first byte of a request's head to the last.
        Milliseconds head { 60'000 };
        /// Without any bytes.
        Milliseconds idle { 60'000 };

        friend auto operator<=>(const Timeouts&, const Timeouts&) = default;
    };

    [[nodiscard]] static ErrorOr<std::unique_ptr<HttpServer>> create(EventLoop&, const Endpoint&, Limits, Handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Refuses new connections; open ones go on.
    void stopAccepting();

    /// Ends each open connection with its next answer.
    void closeGracefully();

    /// Closes the connections on which no request is in progress.
    void closeIdleConnections();

    void setTimeouts(Timeouts);

    /// The number of requests that were received and not yet answered.
    [[nodiscard]] size_t openExchangeCount() const;

    /// The state that the callbacks of the underlying library share; its definition is private.
    struct Implementation;

private:
    HttpServer();

    std::unique_ptr<Implementation> implementation;
};

}
