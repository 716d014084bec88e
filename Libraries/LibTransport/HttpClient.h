#pragma once

#include <LibTransport/Endpoint.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/HttpMessage.h>
#include <functional>
#include <memory>

namespace Sassafrasshift::Transport {

/// A request in progress. Destroying it cancels the request: its connection is closed and its response is discarded.
class HttpCall {
public:
    virtual ~HttpCall() = default;
};

/// An HTTP/1.1 client that keeps a pool of idle connections for each endpoint.
///
/// The verdict of a failure is Verdict::NotRun only if no byte of the request can have reached the endpoint.
class HttpClient {
public:
    using Completion = std::function<void(ErrorOr<HttpResponse>)>;

    struct Limits {
        /// The number of idle connections that are kept for each endpoint.
        size_t maximumIdleConnections { 64 };
        /// The largest accepted response body in bytes. A request with a longer one fails with Reason::TooLarge.
        size_t maximumBody { 64 * 1024 * 1024 };
        /// The bytes that all unfinished responses may hold. The request whose response exceeds them fails with Reason::TooLarge. 0 means no
        /// limit.
        size_t unfinishedBytes { 0 };
    };

    /// Called when a limit makes a request fail.
    using LimitObserver = std::function<void()>;

    [[nodiscard]] static std::unique_ptr<HttpClient> create(EventLoop&, Limits, LimitObserver = {});
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends a request. The completion is called once, from the loop, with the complete response or a failure, unless the call
    /// is destroyed before. The reason of a failure is Unreachable, ConnectionLost, AnswerTruncated, TooLarge or
    /// DeadlineExceeded.
    [[nodiscard]] std::unique_ptr<HttpCall> send(const Endpoint&, HttpRequest, Milliseconds timeout, Completion);

    /// Discards the idle connections to an endpoint, for example after one of them stopped responding.
    void dropIdleConnections(const Endpoint&);

private:
    HttpClient();

    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
