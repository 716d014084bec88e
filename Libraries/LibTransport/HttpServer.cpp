#include <LibBase/Try.h>
#include <LibTransport/DisconnectWatch.h>
#include <LibTransport/H2O.h>
#include <LibTransport/HttpServer.h>
#include <cstring>
#include <fcntl.h>
#include <map>
#include <netinet/tcp.h>
#include <optional>
#include <set>
#include <string_view>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Sassafrasshift::Transport {

static constexpr int listenBacklog = 4096;
// The timeout of h2o itself for receiving an HTTP/1.1 request and for idle HTTP/2 connections. It applies in addition to
// HttpServer::Timeouts.
static constexpr uint64_t idleTimeoutMilliseconds = 60'000;
// The limit for each HTTP/2 connection.
static constexpr size_t maximumConcurrentStreams = 256;
// h2o does not read from an HTTP/1.1 connection while its request is handled. A DisconnectWatch tells of clients that disconnect;
// those that it misses, because bytes before the end of the stream were unread, are found by polling.
static constexpr Milliseconds connectionCheckInterval { 100 };
static constexpr size_t exchangesPerConnectionCheck = 512;
static constexpr Milliseconds timeoutCheckInterval { 250 };
// The first request of a new connection is in transit for at most this time after the connection was accepted.
static constexpr Milliseconds firstRequestTimeout { 150 };

// The handler that h2o allocates and passes to onRequest(), extended by a pointer to the HttpServer::Implementation.
struct NativeHandler {
    h2o_handler_t super;
    void* server;
};

class ExchangeImplementation;

// The state of a connection as of the latest timeout check that covered it. The checks cover only idle connections.
struct IdleConnectionState {
    Instant acceptedAt {};
    // The number of bytes that the connection had received and sent.
    size_t bytes { 0 };
    // When a check last found that bytes had been received or sent; at first the same as `acceptedAt`.
    Instant lastActivityAt {};
    // When a check first found the current request head incomplete; empty if there is no incomplete head.
    std::optional<Instant> incompleteHeadSince;
    // The HTTP/1.1 request that is being handled, if any, and whether the client has disconnected.
    std::weak_ptr<ExchangeImplementation> exchange {};
    bool hasDisconnected { false };
};

struct HttpServer::Implementation {
    EventLoop* loop { nullptr };
    Handler handler;
    h2o_globalconf_t configuration {};
    h2o_context_t context {};
    h2o_accept_ctx_t acceptContext {};
    h2o_socket_t* listener { nullptr };
    std::vector<std::weak_ptr<ExchangeImplementation>> trackedExchanges;
    std::map<h2o_socket_t*, IdleConnectionState> connections;
    Timeouts timeouts;
    Instant nextTimeoutCheck {};
    std::unique_ptr<Timer> connectionCheckTimer;
    std::unique_ptr<DisconnectWatch> disconnectWatch;
    size_t openExchangeCount { 0 };
    bool isClosingGracefully { false };
    size_t nextCheckIndex { 0 };

    void closeListener();
    void checkConnections();
    void onDisconnect(h2o_socket_t*);
    void trackExchange(const std::shared_ptr<ExchangeImplementation>&);
    void closeIdleConnections();
    void closeTimedOutConnections();
    [[nodiscard]] std::vector<h2o_socket_t*> idleConnections() const;
    [[nodiscard]] bool updateAndCheckTimeouts(const h2o_socket_t*, IdleConnectionState&, Instant now) const;
};

class ExchangeImplementation final : public HttpExchange {
public:
    ExchangeImplementation(h2o_req_t* request, HttpServer::Implementation* server)
        : nativeRequest(request)
        , server(server)
    {
        this->received.method.assign(request->method.base, request->method.len);
        this->received.target.assign(request->path.base, request->path.len);
        this->received.body.assign(request->entity.base ? request->entity.base : "", request->entity.len);
        // h2o removes the host header from the list of headers.
        this->received.headers.push_back({ "host", std::string(request->input.authority.base ? request->input.authority.base : "", request->input.authority.len) });
        for (size_t i = 0; i < request->headers.size; ++i) {
            const auto& header = request->headers.entries[i];
            this->received.headers.push_back({ std::string(header.name->base, header.name->len), std::string(header.value.base, header.value.len) });
        }
        ++this->server->openExchangeCount;
    }

    ~ExchangeImplementation() override
    {
        if (this->nativeRequest)
            this->respond(HttpResponse { 500, {}, {} });
    }

    const HttpRequest& request() const override { return this->received; }

    bool isClosed() const override { return this->nativeRequest == nullptr || this->abandoned; }

    void setAbandonHandler(std::function<void()> function) override { this->abandonHandler = std::move(function); }

    void closeConnection() override
    {
        if (this->nativeRequest)
            this->nativeRequest->http1_is_persistent = 0;
    }

    void respond(HttpResponse response) override
    {
        if (!this->nativeRequest)
            return;
        auto* request = this->nativeRequest;
        this->release();
        // Tells an HTTP/1.1 client to open another connection for its next request (RFC 9112 section 9.6).
        if (this->server->isClosingGracefully)
            request->http1_is_persistent = 0;
        request->res.status = response.status;
        request->res.reason = "";
        for (const auto& header : response.headers)
            this->addHeader(request, header);
        request->res.content_length = response.body.size();
        h2o_send_inline(request, response.body.data(), response.body.size());
    }

    // Called when h2o is about to free the memory of the request.
    void onRequestDisposed()
    {
        if (!this->nativeRequest)
            return;
        this->release();
        this->notifyAbandoned();
    }

    // The connection that carries the request, or null if h2o has disposed of the request or it was answered.
    h2o_socket_t* connection() const
    {
        if (!this->nativeRequest || !this->nativeRequest->conn->callbacks->get_socket)
            return nullptr;
        return this->nativeRequest->conn->callbacks->get_socket(this->nativeRequest->conn);
    }

    // Whether an HTTP/1.1 client has disconnected. h2o itself detects disconnected HTTP/2 clients and disposes of their requests.
    bool hasClientDisconnected()
    {
        auto* socket = this->connection();
        if (!socket || this->nativeRequest->version >= 0x200 || this->abandoned)
            return false;
        char byte = 0;
        auto count = recv(h2o_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        bool hasFailed = count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
        return count == 0 || hasFailed;
    }

    void notifyIfDisconnected()
    {
        if (this->hasClientDisconnected())
            this->notifyAbandoned();
    }

    void notifyAbandoned()
    {
        if (this->abandoned)
            return;
        this->abandoned = true;
        if (auto function = std::move(this->abandonHandler))
            function();
    }

private:
    // Detaches the exchange from its h2o request, so that it no longer uses a request that h2o may have freed.
    void release()
    {
        this->nativeRequest = nullptr;
        --this->server->openExchangeCount;
    }

    static void addHeader(h2o_req_t* request, const HttpHeader& header)
    {
        auto name = h2o_strdup(&request->pool, header.name.data(), header.name.size());
        h2o_strtolower(name.base, name.len);
        auto value = h2o_strdup(&request->pool, header.value.data(), header.value.size());
        h2o_add_header_by_str(&request->pool, &request->res.headers, name.base, name.len, 1, nullptr, value.base, value.len);
    }

    h2o_req_t* nativeRequest;
    HttpServer::Implementation* server;
    HttpRequest received;
    std::function<void()> abandonHandler;
    bool abandoned { false };
};

// Allocated in the memory pool of an h2o request, so that the exchange is notified when h2o disposes of the request.
struct ExchangeReference {
    std::weak_ptr<ExchangeImplementation> exchange;
};

// Whether the head of a request declares the length of its body more than once. Intermediaries may disagree about where such a
// request ends, which allows request smuggling (RFC 9112 section 6.3).
static bool hasAmbiguousLength(std::string_view head)
{
    static constexpr std::string_view lengthNames[] { "content-length", "transfer-encoding" };
    size_t found = 0;
    for (auto lineEnd = head.find("\r\n"); lineEnd != std::string_view::npos; lineEnd = head.find("\r\n")) {
        head = head.substr(lineEnd + 2);
        if (head.starts_with("\r\n"))
            break;
        for (auto name : lengthNames) {
            if (head.size() > name.size() && strncasecmp(head.data(), name.data(), name.size()) == 0 && head[name.size()] == ':')
                ++found;
        }
    }
    return found > 1;
}

// The head of an HTTP/1.1 request as it was received; empty for HTTP/2. h2o removes the headers that describe the body from
// the list of headers, but keeps the received head in its buffer while the request is handled.
static std::string_view receivedHead(const ExchangeImplementation& exchange, const h2o_req_t* request)
{
    auto* connection = exchange.connection();
    if (!connection || request->version >= 0x200)
        return {};
    return { connection->input->bytes, connection->input->size };
}

static int onRequest(h2o_handler_t* self, h2o_req_t* request)
{
    auto* server = static_cast<HttpServer::Implementation*>(reinterpret_cast<NativeHandler*>(self)->server);
    auto exchange = std::make_shared<ExchangeImplementation>(request, server);
    if (hasAmbiguousLength(receivedHead(*exchange, request))) {
        exchange->closeConnection();
        exchange->respond(HttpResponse { 400, {}, "the length of the body is given more than once" });
        return 0;
    }
    auto* memory = h2o_mem_alloc_shared(&request->pool, sizeof(ExchangeReference), [](void* pointer) {
        auto* reference = static_cast<ExchangeReference*>(pointer);
        if (auto exchange = reference->exchange.lock())
            exchange->onRequestDisposed();
        reference->~ExchangeReference();
    });
    new (memory) ExchangeReference { exchange };
    server->trackExchange(exchange);
    server->handler(exchange);
    return 0;
}

// Returns whether a connection was pending.
static bool acceptConnection(HttpServer::Implementation* server)
{
    auto* socket = h2o_evloop_socket_accept(server->listener);
    if (!socket)
        return false;
    auto now = server->loop->now();
    server->connections.emplace(socket, IdleConnectionState { now, 0, now, {} });
    server->disconnectWatch->add(socket);
    struct AcceptedConnection {
        HttpServer::Implementation* server;
        h2o_socket_t* socket;
    };
    socket->on_close.data = new AcceptedConnection { server, socket };
    socket->on_close.cb = [](void* data) {
        std::unique_ptr<AcceptedConnection> accepted(static_cast<AcceptedConnection*>(data));
        accepted->server->connections.erase(accepted->socket);
    };
    h2o_accept(&server->acceptContext, socket);
    return true;
}

static void onAccept(h2o_socket_t* listener, const char* error)
{
    if (error)
        return;
    auto* server = static_cast<HttpServer::Implementation*>(listener->data);
    // Accepts a bounded number of connections at a time, so that a burst of new ones does not hold up the open ones.
    for (int accepted = 0; accepted < 64; ++accepted) {
        if (!acceptConnection(server))
            return;
    }
}

void HttpServer::Implementation::onDisconnect(h2o_socket_t* socket)
{
    auto position = this->connections.find(socket);
    if (position == this->connections.end())
        return;
    position->second.hasDisconnected = true;
    if (auto exchange = position->second.exchange.lock())
        exchange->notifyIfDisconnected();
}

void HttpServer::Implementation::trackExchange(const std::shared_ptr<ExchangeImplementation>& exchange)
{
    this->trackedExchanges.push_back(exchange);
    auto position = this->connections.find(exchange->connection());
    if (position == this->connections.end())
        return;
    position->second.exchange = exchange;
    // The client may have disconnected right after it had sent the request. The handler is to see the request first.
    if (position->second.hasDisconnected)
        this->loop->defer([weak = std::weak_ptr(exchange)] {
            if (auto pending = weak.lock())
                pending->notifyIfDisconnected();
        });
}

void HttpServer::Implementation::checkConnections()
{
    // Each call checks a bounded number of exchanges, in turn, and stops tracking those that are closed.
    for (size_t checked = 0; checked < exchangesPerConnectionCheck && this->nextCheckIndex < this->trackedExchanges.size(); ++checked) {
        auto exchange = this->trackedExchanges[this->nextCheckIndex].lock();
        if (!exchange || exchange->isClosed()) {
            this->trackedExchanges[this->nextCheckIndex] = std::move(this->trackedExchanges.back());
            this->trackedExchanges.pop_back();
            continue;
        }
        exchange->notifyIfDisconnected();
        ++this->nextCheckIndex;
    }
    if (this->nextCheckIndex >= this->trackedExchanges.size())
        this->nextCheckIndex = 0;
    this->closeTimedOutConnections();
    this->connectionCheckTimer = this->loop->after(connectionCheckInterval, [this] { this->checkConnections(); });
}

// The connections that have no request in progress and no response left to write. Their next request may be partly received.
std::vector<h2o_socket_t*> HttpServer::Implementation::idleConnections() const
{
    std::set<h2o_socket_t*> busy;
    for (const auto& weak : this->trackedExchanges) {
        if (auto exchange = weak.lock())
            busy.insert(exchange->connection());
    }
    std::vector<h2o_socket_t*> idle;
    for (const auto& [socket, idleState] : this->connections) {
        if (!busy.contains(socket) && !h2o_socket_is_writing(socket))
            idle.push_back(socket);
    }
    return idle;
}

// Shuts down the socket. h2o sees the end of the stream at its next read and then closes the connection.
static void shutDownConnection(h2o_socket_t* socket)
{
    shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
}

void HttpServer::Implementation::closeIdleConnections()
{
    auto now = this->loop->now();
    for (auto* socket : this->idleConnections()) {
        bool isNew = socket->bytes_written == 0 && now - this->connections.at(socket).acceptedAt < firstRequestTimeout;
        if (!isNew)
            shutDownConnection(socket);
    }
}

// Updates the state of an idle connection, and returns whether one of its timeouts has expired.
bool HttpServer::Implementation::updateAndCheckTimeouts(const h2o_socket_t* socket, IdleConnectionState& idleState, Instant now) const
{
    auto bytes = socket->bytes_read + socket->bytes_written;
    if (bytes != idleState.bytes) {
        idleState.bytes = bytes;
        idleState.lastActivityAt = now;
    }
    std::string_view received(socket->input->bytes, socket->input->size);
    bool isHeadIncomplete = !received.empty() && received.find("\r\n\r\n") == std::string_view::npos;
    if (!isHeadIncomplete)
        idleState.incompleteHeadSince.reset();
    else if (!idleState.incompleteHeadSince)
        idleState.incompleteHeadSince = now;
    if (idleState.incompleteHeadSince && now - *idleState.incompleteHeadSince >= this->timeouts.head)
        return true;
    return received.empty() && now - idleState.lastActivityAt >= this->timeouts.idle;
}

void HttpServer::Implementation::closeTimedOutConnections()
{
    auto now = this->loop->now();
    if (now < this->nextTimeoutCheck)
        return;
    this->nextTimeoutCheck = now + timeoutCheckInterval;
    for (auto* socket : this->idleConnections()) {
        if (this->updateAndCheckTimeouts(socket, this->connections.at(socket), now))
            shutDownConnection(socket);
    }
}

HttpServer::HttpServer()
    : implementation(std::make_unique<Implementation>())
{
}

HttpServer::~HttpServer()
{
    this->implementation->closeListener();
}

static ErrorOr<int> openListeningSocket(const Endpoint& endpoint)
{
    auto failure = [&](const char* what) {
        return tl::unexpected(Error::notRun(Reason::InvalidInput, std::string(what) + " " + endpoint.toText() + ": " + std::strerror(errno)));
    };
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0)
        return failure("cannot open a socket for");
    int enabled = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    auto address = endpoint.toSocketAddress();
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(descriptor, listenBacklog) != 0) {
        close(descriptor);
        return failure("cannot listen on");
    }
    return descriptor;
}

ErrorOr<std::unique_ptr<HttpServer>> HttpServer::create(EventLoop& loop, const Endpoint& endpoint, Limits limits, Handler handler)
{
    std::unique_ptr<HttpServer> server(new HttpServer);
    auto& state = *server->implementation;
    auto watch = TRY(DisconnectWatch::create(loop, [&state](auto* socket) { state.onDisconnect(socket); }));
    int descriptor = TRY(openListeningSocket(endpoint));
    state.loop = &loop;
    state.handler = std::move(handler);
    h2o_config_init(&state.configuration);
    state.configuration.server_name = h2o_iovec_init(H2O_STRLIT("sassafrasshift"));
    state.configuration.max_request_entity_size = limits.maximumBody;
    state.configuration.http1.req_timeout = idleTimeoutMilliseconds;
    state.configuration.http2.idle_timeout = idleTimeoutMilliseconds;
    state.configuration.http2.max_concurrent_requests_per_connection = maximumConcurrentStreams;
    auto* host = h2o_config_register_host(&state.configuration, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    auto* path = h2o_config_register_path(host, "/", 0);
    auto* nativeHandler = reinterpret_cast<NativeHandler*>(h2o_create_handler(path, sizeof(NativeHandler)));
    nativeHandler->super.on_req = onRequest;
    nativeHandler->server = &state;
    h2o_context_init(&state.context, loop.nativeLoop(), &state.configuration);
    state.acceptContext.ctx = &state.context;
    state.acceptContext.hosts = state.configuration.hosts;
    state.disconnectWatch = std::move(watch);
    state.listener = h2o_evloop_socket_create(loop.nativeLoop(), descriptor, H2O_SOCKET_FLAG_DONT_READ);
    state.listener->data = &state;
    h2o_socket_read_start(state.listener, onAccept);
    state.connectionCheckTimer = loop.after(connectionCheckInterval, [&state] { state.checkConnections(); });
    return server;
}

void HttpServer::Implementation::closeListener()
{
    if (!this->listener)
        return;
    h2o_socket_read_stop(this->listener);
    h2o_socket_close(this->listener);
    this->listener = nullptr;
}

void HttpServer::stopAccepting()
{
    auto& state = *this->implementation;
    // The kernel resets connections that are still pending when the listening socket is closed.
    for (int accepted = 0; state.listener && accepted < listenBacklog; ++accepted) {
        if (!acceptConnection(&state))
            break;
    }
    state.closeListener();
}

void HttpServer::closeGracefully()
{
    this->implementation->isClosingGracefully = true;
    h2o_context_request_shutdown(&this->implementation->context);
}

void HttpServer::closeIdleConnections()
{
    this->implementation->closeIdleConnections();
}

void HttpServer::setTimeouts(Timeouts timeouts)
{
    this->implementation->timeouts = timeouts;
}

size_t HttpServer::openExchangeCount() const
{
    return this->implementation->openExchangeCount;
}

}
