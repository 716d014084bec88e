#pragma once

#include <LibTransport/Endpoint.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/HttpMessage.h>
#include <functional>
#include <memory>

namespace Sassafrasshift::Transport {

/// A request in progress. Destroying it closes its connection and drops its answer.
class HttpCall {
public:
    virtual ~HttpCall() = default;
};

/// An HTTP/1.1 client that keeps idle connections for each endpoint.
///
/// A failure's verdict is NotRun only where no byte of the request can have reached the endpoint.
class HttpClient {
public:
    using Completion = std::function<void(ErrorOr<HttpResponse>)>;

    struct Limits {
        /// Connections to one endpoint that are kept idle.
        size_t maximumIdleConnections { 64 };
        /// Bytes; a longer answer fails with Reason::TooLarge.
        size_t maximumBody { 64 * 1024 * 1024 };
    };

    [[nodiscard]] static std::unique_ptr<HttpClient> create(EventLoop&, Limits);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends a request and calls back once, from the loop, with the whole answer or a failure.
    [[nodiscard]] std::unique_ptr<HttpCall> send(const Endpoint&, HttpRequest, Milliseconds timeout, Completion);

    /// Drops the idle connections to an endpoint, as after a connection that fell silent.
    void dropIdleConnections(const Endpoint&);

private:
    HttpClient();

    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
