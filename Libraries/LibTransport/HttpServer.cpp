#include <LibBase/Try.h>
#include <LibTransport/DisconnectWatch.h>
#include <LibTransport/H2O.h>
#include <LibTransport/Http2FrameCounter.h>
#include <LibTransport/HttpServer.h>
#include <LibTransport/IdleTimeout.h>
#include <cstring>
#include <fcntl.h>
#include <linux/sockios.h>
#include <map>
#include <netinet/tcp.h>
#include <optional>
#include <set>
#include <string_view>
#include <strings.h>
#include <sys/ioctl.h>
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

// The kernel buffers bytes that are not read or sent yet, which count as memory of the host. It allots twice these sizes.
static constexpr int kernelBufferBytes = 64 * 1024;
// What h2o, the kernel and this file allocate for each connection.
static constexpr size_t bytesPerConnection = 8192;
// Smaller input buffers of h2o are reused rather than returned to the system.
static constexpr size_t smallInputBuffer = 64 * 1024;
// The framing of an answer.
static constexpr size_t answerHeadBytes = 256;
static constexpr std::string_view retryAfterSeconds = "1";

// The handler that h2o allocates and passes to onRequest(), extended by a pointer to the HttpServer::Implementation.
struct NativeHandler {
    h2o_handler_t super;
    void* server;
};

class ExchangeImplementation;

// What is recorded about an open connection. `bytes`, `lastActivityAt` and `incompleteHeadSince` are as of the latest check or
// measurement that covered it.
struct ConnectionState {
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
    // Whether the socket was shut down. Nothing that is read from then on could be answered.
    bool isShutDown { false };
    // A request that is being received or an answer that is being sent, as seen by the latest timeout checks. `number` tells whether it is
    // the same one as before.
    struct Transfer {
        std::optional<Instant> since {};
        uint64_t number { 0 };

        void update(bool isActive, uint64_t currentNumber, Instant now)
        {
            if (!isActive)
                this->since.reset();
            else if (!this->since || this->number != currentNumber)
                this->since = now;
            this->number = currentNumber;
        }
        [[nodiscard]] bool hasLasted(Milliseconds timeout, Instant now) const { return this->since && now - *this->since >= timeout; }
    };
    Transfer incomingRequest {};
    Transfer outgoingAnswer {};
    // The number of requests that were received.
    uint64_t receivedRequests { 0 };
    // The number of requests that are being handled.
    size_t openExchanges { 0 };
    // The bytes of answers whose requests h2o has not disposed of.
    size_t answerBytes { 0 };
    // Whether the kernel may have bytes of an answer that the client has not acknowledged, and how many it last had.
    bool mayHaveUnsent { false };
    size_t unsentBytes { 0 };
    // The requests that followed one another without a pause.
    size_t pipelinedRequests { 0 };
    bool isTouched { false };
    // Only for HTTP/2: the frames that were received, the function of h2o that reads them, and what it left in the buffer.
    std::unique_ptr<Http2FrameCounter> frames {};
    h2o_socket_cb nativeRead { nullptr };
    size_t leftInput { 0 };
    // The connection of h2o that handles HTTP/1.1. It is replaced when the client changes to HTTP/2.
    void* protocolData { nullptr };
};

struct HttpServer::Implementation {
    EventLoop* loop { nullptr };
    Handler handler;
    h2o_globalconf_t configuration {};
    h2o_context_t context {};
    h2o_accept_ctx_t acceptContext {};
    h2o_socket_t* listener { nullptr };
    std::vector<std::weak_ptr<ExchangeImplementation>> trackedExchanges;
    std::map<h2o_socket_t*, ConnectionState> connections;
    Timeouts timeouts;
    IdleTimeout idleTimeout { timeouts.idle };
    Instant nextTimeoutCheck {};
    std::unique_ptr<Timer> connectionCheckTimer;
    std::unique_ptr<DisconnectWatch> disconnectWatch;
    size_t openExchangeCount { 0 };
    bool isClosingGracefully { false };
    size_t nextCheckIndex { 0 };
    Limits limits;
    ConnectionBudget budget { {} };
    LimitObserver observer;
    // The connections whose state has changed in this iteration of the loop.
    std::vector<h2o_socket_t*> touched;

    void report(std::string_view cause) const
    {
        if (this->observer)
            this->observer(cause);
    }
    [[nodiscard]] bool isLimited() const { return this->limits.budget.memory > 0 || this->limits.budget.connections > 0; }
    void touch(h2o_socket_t*);
    void measureTouched();
    enum class Measurement {
        AfterEvent,
        Periodic,
    };
    void measure(h2o_socket_t*, ConnectionState&, Measurement, Instant now);
    void followFrames(h2o_socket_t*, ConnectionState&);
    void relieveMemory();
    [[nodiscard]] bool admit(h2o_socket_t*, uint32_t address);
    void read(h2o_socket_t*, const char* error);
    void followUpgrade(h2o_socket_t*, ConnectionState&);
    void watchRead(h2o_socket_t*, ConnectionState&);
    [[nodiscard]] bool hasTooLongHead(const h2o_socket_t*, const ConnectionState&) const;
    [[nodiscard]] bool hasTimedOutTransfer(const h2o_socket_t*, ConnectionState&, Instant now) const;
    void closeListener();
    void checkConnections();
    void onDisconnect(h2o_socket_t*);
    void trackExchange(const std::shared_ptr<ExchangeImplementation>&);
    void closeIdleConnections();
    void closeTimedOutConnections();
    void closeIfQuiet(h2o_socket_t*);
    void close(h2o_socket_t*);
    void shutDown(h2o_socket_t*);
    [[nodiscard]] std::vector<h2o_socket_t*> idleConnections() const;
    [[nodiscard]] bool updateAndCheckTimeouts(const h2o_socket_t*, ConnectionState&, Instant now) const;
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
        this->reservedBytes = request->entity.len * server->limits.handledCopies;
        this->server->budget.reserve(this->reservedBytes);
        if (auto* state = this->connectionState()) {
            ++state->openExchanges;
            ++state->receivedRequests;
            this->server->budget.setStage(this->connection(), ConnectionBudget::Stage::Handling);
            if (request->version >= 0x200 && this->server->isLimited())
                this->server->followUpgrade(this->connection(), *state);
        }
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
        this->countAnswer(response.body.size());
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

    // Whether the server shut the connection down before it read the request.
    bool isShutDown() const
    {
        const auto* state = this->connectionState();
        return state && state->isShutDown;
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
    // The state of the connection that carries the request, or null if there is none.
    ConnectionState* connectionState() const
    {
        auto position = this->server->connections.find(this->connection());
        return position == this->server->connections.end() ? nullptr : &position->second;
    }

    void countAnswer(size_t bodyBytes)
    {
        auto* state = this->connectionState();
        if (!state || !this->server->isLimited())
            return;
        state->mayHaveUnsent = true;
        if (this->answerBytes) {
            *this->answerBytes = bodyBytes + answerHeadBytes;
            state->answerBytes += *this->answerBytes;
        }
        this->server->touch(this->connection());
    }

    // Detaches the exchange from its h2o request, so that it no longer uses a request that h2o may have freed.
    void release()
    {
        this->server->budget.release(this->reservedBytes);
        if (auto* state = this->connectionState())
            --state->openExchanges;
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
    size_t reservedBytes { 0 };

public:
    // The bytes of the answer in the memory pool of the request, which outlives this object; null for a request that was refused.
    size_t* answerBytes { nullptr };
};

// Allocated in the memory pool of an h2o request, so that the exchange is notified when h2o disposes of the request.
struct ExchangeReference {
    std::weak_ptr<ExchangeImplementation> exchange;
    HttpServer::Implementation* server;
    h2o_socket_t* connection;
    size_t answerBytes;
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

// Responds to a request that is not handled, before anything of it is copied.
static int refuse(h2o_req_t* request, int status)
{
    request->http1_is_persistent = 0;
    request->res.status = status;
    request->res.reason = "";
    if (status == 503)
        h2o_add_header(&request->pool, &request->res.headers, H2O_TOKEN_RETRY_AFTER, nullptr, retryAfterSeconds.data(), retryAfterSeconds.size());
    request->res.content_length = 0;
    h2o_send_inline(request, "", 0);
    return 0;
}

static bool hasTooLargeHead(const h2o_req_t* request, const HttpServer::Limits& limits)
{
    if (limits.headerFields > 0 && request->headers.size > limits.headerFields)
        return true;
    if (limits.headerBytes == 0)
        return false;
    size_t bytes = request->path.len + request->input.authority.len;
    for (size_t i = 0; i < request->headers.size && bytes <= limits.headerBytes; ++i)
        bytes += request->headers.entries[i].name->len + request->headers.entries[i].value.len;
    return bytes > limits.headerBytes;
}

// Whether memory is short even after the connections that may be closed for it are gone.
static bool lacksMemoryFor(HttpServer::Implementation* server, const h2o_req_t* request)
{
    if (!server->isLimited() || server->limits.handledCopies == 0)
        return false;
    auto bytes = request->entity.len * server->limits.handledCopies;
    server->budget.reserve(bytes);
    server->relieveMemory();
    bool isShort = server->budget.isMemoryShort();
    server->budget.release(bytes);
    return isShort;
}

// Closes an HTTP/1.1 connection after the answer to a request if it has sent too many requests in a row.
static void limitPipelining(HttpServer::Implementation* server, h2o_req_t* request, const h2o_socket_t* connection)
{
    auto position = server->connections.find(const_cast<h2o_socket_t*>(connection));
    if (server->limits.pipelinedRequests == 0 || request->version >= 0x200 || position == server->connections.end())
        return;
    std::string_view received(connection->input->bytes, connection->input->size);
    auto headEnd = received.find("\r\n\r\n");
    // The body of a request with chunks is decoded in place, so that what follows it cannot be told by its length.
    bool hasMore = headEnd != std::string_view::npos && headEnd + 4 + request->entity.len < received.size();
    auto& count = position->second.pipelinedRequests;
    count = hasMore ? count + 1 : 0;
    if (count < server->limits.pipelinedRequests)
        return;
    request->http1_is_persistent = 0;
    server->report("pipelined-requests");
}

static int onRequest(h2o_handler_t* self, h2o_req_t* request)
{
    auto* server = static_cast<HttpServer::Implementation*>(reinterpret_cast<NativeHandler*>(self)->server);
    if (hasTooLargeHead(request, server->limits)) {
        server->report("header-size");
        return refuse(request, 431);
    }
    if (lacksMemoryFor(server, request)) {
        server->report("memory-refused");
        return refuse(request, 503);
    }
    auto exchange = std::make_shared<ExchangeImplementation>(request, server);
    if (exchange->isShutDown()) {
        exchange->respond(HttpResponse { 503, {}, {} });
        return 0;
    }
    if (hasAmbiguousLength(receivedHead(*exchange, request))) {
        exchange->closeConnection();
        exchange->respond(HttpResponse { 400, {}, "the length of the body is given more than once" });
        return 0;
    }
    auto* connection = exchange->connection();
    limitPipelining(server, request, connection);
    auto* memory = h2o_mem_alloc_shared(&request->pool, sizeof(ExchangeReference), [](void* pointer) {
        auto* reference = static_cast<ExchangeReference*>(pointer);
        if (auto exchange = reference->exchange.lock())
            exchange->onRequestDisposed();
        auto position = reference->server->connections.find(reference->connection);
        if (position != reference->server->connections.end())
            position->second.answerBytes -= reference->answerBytes;
        reference->~ExchangeReference();
    });
    auto* reference = new (memory) ExchangeReference { exchange, server, connection, 0 };
    exchange->answerBytes = &reference->answerBytes;
    server->trackExchange(exchange);
    server->handler(exchange);
    return 0;
}

// The data that h2o passes to the function that is called when a connection is closed.
struct AcceptedConnection {
    HttpServer::Implementation* server;
    h2o_socket_t* socket;
};

// Returns whether a connection was pending.
static bool acceptConnection(HttpServer::Implementation* server)
{
    auto* socket = h2o_evloop_socket_accept(server->listener);
    if (!socket)
        return false;
    uint32_t address = 0;
    sockaddr_in peer {};
    if (server->limits.budget.connectionsPerAddress > 0 && h2o_socket_getpeername(socket, reinterpret_cast<sockaddr*>(&peer)) > 0)
        address = peer.sin_addr.s_addr;
    if (!server->admit(socket, address))
        return true;
    auto now = server->loop->now();
    server->connections.emplace(socket, ConnectionState { now, 0, now, {} });
    server->budget.add(socket, address, now);
    server->disconnectWatch->add(socket);
    socket->on_close.data = new AcceptedConnection { server, socket };
    socket->on_close.cb = [](void* data) {
        std::unique_ptr<AcceptedConnection> accepted(static_cast<AcceptedConnection*>(data));
        accepted->server->connections.erase(accepted->socket);
        accepted->server->budget.remove(accepted->socket);
    };
    h2o_accept(&server->acceptContext, socket);
    if (server->isLimited()) {
        auto& state = server->connections.at(socket);
        state.protocolData = socket->data;
        server->watchRead(socket, state);
    }
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
    for (const auto& [socket, state] : this->connections) {
        if (!busy.contains(socket) && !h2o_socket_is_writing(socket))
            idle.push_back(socket);
    }
    return idle;
}

static size_t kernelBytes(const h2o_socket_t* socket, unsigned long request)
{
    int bytes = 0;
    int descriptor = h2o_socket_get_fd(const_cast<h2o_socket_t*>(socket));
    return ioctl(descriptor, request, &bytes) == 0 && bytes > 0 ? static_cast<size_t>(bytes) : 0;
}

// Closes an idle connection unless a request has arrived, also one that h2o has not read yet, or an answer is on its way.
void HttpServer::Implementation::closeIfQuiet(h2o_socket_t* socket)
{
    bool isQuiet = socket->input->size == 0 && kernelBytes(socket, FIONREAD) == 0 && kernelBytes(socket, SIOCOUTQ) == 0;
    if (isQuiet)
        this->close(socket);
}

// Closes a connection at once, so that no request is read from it that could not be answered any more. h2o closes it as after a failed read;
// while it handles a request, it does not read.
void HttpServer::Implementation::close(h2o_socket_t* socket)
{
    if (socket->_cb.read)
        socket->_cb.read(socket, h2o_socket_error_closed);
    else
        this->shutDown(socket);
}

// Shuts down the socket. h2o sees the end of the stream at its next read and then closes the connection.
void HttpServer::Implementation::shutDown(h2o_socket_t* socket)
{
    this->connections.at(socket).isShutDown = true;
    shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
}

// Makes room for a new connection if necessary. Closes it and returns false if that is not possible.
bool HttpServer::Implementation::admit(h2o_socket_t* socket, uint32_t address)
{
    auto admission = this->budget.admission(address);
    if (admission == ConnectionBudget::Admission::Admitted)
        return true;
    bool isAddressLimit = admission == ConnectionBudget::Admission::AddressLimit;
    if (auto replaced = this->budget.takeReplaced(admission, address)) {
        this->report(isAddressLimit ? "address-connections-replaced" : "connections-replaced");
        this->close(static_cast<h2o_socket_t*>(const_cast<void*>(*replaced)));
        return true;
    }
    this->report(isAddressLimit ? "address-connections-refused" : "connections-refused");
    h2o_socket_close(socket);
    return false;
}

// Measures a connection at the end of this iteration of the loop, when h2o has read what has arrived.
void HttpServer::Implementation::touch(h2o_socket_t* socket)
{
    auto position = this->connections.find(socket);
    if (position == this->connections.end() || std::exchange(position->second.isTouched, true))
        return;
    if (this->touched.empty())
        this->loop->defer([this] { this->measureTouched(); });
    this->touched.push_back(socket);
}

void HttpServer::Implementation::measureTouched()
{
    auto now = this->loop->now();
    for (auto* socket : std::exchange(this->touched, {})) {
        auto position = this->connections.find(socket);
        if (position == this->connections.end())
            continue;
        position->second.isTouched = false;
        this->measure(socket, position->second, Measurement::AfterEvent, now);
    }
    this->relieveMemory();
}

// Whether a client sends a head without an end. h2o itself accepts up to 408 KiB (H2O_MAX_REQLEN).
bool HttpServer::Implementation::hasTooLongHead(const h2o_socket_t* socket, const ConnectionState& state) const
{
    if (this->limits.headerBytes == 0 || state.frames || state.openExchanges > 0 || socket->input->size <= this->limits.headerBytes)
        return false;
    return std::string_view(socket->input->bytes, this->limits.headerBytes).find("\r\n\r\n") == std::string_view::npos;
}

// Between two periodic measurements, the unacknowledged bytes of an HTTP/2 client are not asked for again: members send many small
// batches on one connection, and the system call for each answer would cost more than the answer.
void HttpServer::Implementation::measure(h2o_socket_t* socket, ConnectionState& state, Measurement measurement, Instant now)
{
    this->followUpgrade(socket, state);
    if (this->hasTooLongHead(socket, state)) {
        this->report("header-size");
        return this->shutDown(socket);
    }
    bool isWriting = h2o_socket_is_writing(socket) != 0;
    // Returns a large buffer that is empty. h2o would keep it until the connection is closed.
    if (state.openExchanges == 0 && socket->input->size == 0 && socket->input->capacity > smallInputBuffer) {
        h2o_buffer_dispose(&socket->input);
        h2o_buffer_init(&socket->input, &h2o_socket_buffer_prototype);
    }
    size_t unread = state.openExchanges > 0 && !state.frames ? kernelBytes(socket, FIONREAD) : 0;
    if (measurement == Measurement::Periodic || !state.frames) {
        state.unsentBytes = state.mayHaveUnsent ? kernelBytes(socket, SIOCOUTQ) : 0;
        state.mayHaveUnsent = state.unsentBytes > 0 || isWriting;
    }
    auto held = bytesPerConnection + std::max(socket->input->size, std::min(socket->input->capacity, smallInputBuffer)) + unread + state.unsentBytes + state.answerBytes;
    if (state.frames) {
        if (!isWriting)
            state.frames->clearAnswerable();
        held += state.frames->unfinishedBytes() + state.frames->answerableBytes();
    }
    auto stage = ConnectionBudget::Stage::Waiting;
    if (state.openExchanges > 0) {
        bool hasMore = unread > 0 || state.pipelinedRequests > 0 || (state.frames && state.frames->hasUnfinished());
        stage = hasMore ? ConnectionBudget::Stage::HandlingWithMore : ConnectionBudget::Stage::Handling;
    }
    auto bytes = socket->bytes_read + socket->bytes_written;
    bool hasProgressed = bytes != state.bytes;
    if (hasProgressed) {
        state.bytes = bytes;
        state.lastActivityAt = now;
    }
    this->budget.update(socket, stage, held, hasProgressed, now);
}

void HttpServer::Implementation::relieveMemory()
{
    for (auto key : this->budget.takeEvictions()) {
        this->report("memory-closed");
        auto* socket = static_cast<h2o_socket_t*>(const_cast<void*>(key));
        this->shutDown(socket);
        // While a request is handled, h2o does not see the end of the stream. The handler gives the request up.
        this->loop->defer([weak = this->connections.at(socket).exchange] {
            if (auto exchange = weak.lock())
                exchange->notifyAbandoned();
        });
    }
}

static void onRead(h2o_socket_t* socket, const char* error)
{
    auto* accepted = static_cast<AcceptedConnection*>(socket->on_close.data);
    accepted->server->read(socket, error);
}

// Places a function before the one with which h2o reads from a connection, until it is known that it is not used for HTTP/2.
void HttpServer::Implementation::watchRead(h2o_socket_t* socket, ConnectionState& state)
{
    if (!socket->_cb.read || socket->_cb.read == onRead)
        return;
    state.nativeRead = socket->_cb.read;
    socket->_cb.read = onRead;
}

// Counts the frames of an HTTP/2 client from now on. The function that reads from the connection tells of its input then.
void HttpServer::Implementation::followFrames(h2o_socket_t* socket, ConnectionState& state)
{
    state.frames = std::make_unique<Http2FrameCounter>(this->configuration.max_request_entity_size);
    this->disconnectWatch->ignoreInput(socket);
}

// Follows the frames of a client that changes to HTTP/2 by an upgrade (RFC 7540 section 3.2). Such a client sends its first frames when it
// has the answer to the upgrade, and the preface before them. Frames that came earlier are not known. They count as heads, and since no
// preface follows them, the connection is closed at the next ones.
void HttpServer::Implementation::followUpgrade(h2o_socket_t* socket, ConnectionState& state)
{
    if (!state.frames && socket->data != state.protocolData) {
        this->followFrames(socket, state);
        state.frames->addUnknown(socket->bytes_read + socket->bytes_written - state.bytes);
        state.leftInput = 0;
    }
    if (state.frames)
        this->watchRead(socket, state);
}

void HttpServer::Implementation::read(h2o_socket_t* socket, const char* error)
{
    auto& state = this->connections.at(socket);
    std::string_view input(socket->input->bytes, socket->input->size);
    bool isHttp2 = input.starts_with(Http2FrameCounter::preface);
    if (!state.frames && isHttp2)
        this->followFrames(socket, state);
    if (state.frames)
        this->touch(socket);
    if (state.frames && input.size() > state.leftInput) {
        state.frames->feed(input.substr(state.leftInput));
        if (state.frames->isAbusive()) {
            this->report("http2-abuse");
            this->shutDown(socket);
        }
    }
    bool mayBecomeHttp2 = state.frames || (!input.empty() && Http2FrameCounter::preface.starts_with(input));
    socket->_cb.read = state.nativeRead;
    state.nativeRead(socket, error);
    // h2o may have closed the connection.
    auto position = this->connections.find(socket);
    if (position == this->connections.end() || !mayBecomeHttp2)
        return;
    position->second.leftInput = state.frames ? socket->input->size : 0;
    this->watchRead(socket, position->second);
}

void HttpServer::Implementation::closeIdleConnections()
{
    auto now = this->loop->now();
    for (auto* socket : this->idleConnections()) {
        bool isNew = socket->bytes_written == 0 && now - this->connections.at(socket).acceptedAt < firstRequestTimeout;
        if (!isNew)
            this->closeIfQuiet(socket);
    }
}

// Whether the request that a connection receives, or the answer that it sends, takes too long.
bool HttpServer::Implementation::hasTimedOutTransfer(const h2o_socket_t* socket, ConnectionState& state, Instant now) const
{
    if (state.frames)
        state.incomingRequest.update(state.frames->hasUnfinished(), state.frames->oldestUnfinished(), now);
    else
        state.incomingRequest.update(state.openExchanges == 0 && socket->input->size > 0, state.receivedRequests, now);
    state.outgoingAnswer.update(h2o_socket_is_writing(const_cast<h2o_socket_t*>(socket)) != 0, state.receivedRequests, now);
    if (state.incomingRequest.hasLasted(this->timeouts.request, now)) {
        this->report("request-timeout");
        return true;
    }
    if (state.outgoingAnswer.hasLasted(this->timeouts.answer, now)) {
        this->report("answer-timeout");
        return true;
    }
    return false;
}

// Updates the state of an idle connection, and returns whether one of its timeouts has expired.
bool HttpServer::Implementation::updateAndCheckTimeouts(const h2o_socket_t* socket, ConnectionState& state, Instant now) const
{
    auto bytes = socket->bytes_read + socket->bytes_written;
    if (bytes != state.bytes) {
        state.bytes = bytes;
        state.lastActivityAt = now;
    }
    std::string_view received(socket->input->bytes, socket->input->size);
    bool isHeadIncomplete = !received.empty() && received.find("\r\n\r\n") == std::string_view::npos;
    if (!isHeadIncomplete)
        state.incompleteHeadSince.reset();
    else if (!state.incompleteHeadSince)
        state.incompleteHeadSince = now;
    if (state.incompleteHeadSince && now - *state.incompleteHeadSince >= this->timeouts.head)
        return true;
    return received.empty() && this->idleTimeout.hasExpired(state.lastActivityAt, now) && kernelBytes(socket, FIONREAD) == 0;
}

void HttpServer::Implementation::closeTimedOutConnections()
{
    auto now = this->loop->now();
    if (now < this->nextTimeoutCheck)
        return;
    this->nextTimeoutCheck = now + timeoutCheckInterval;
    for (auto* socket : this->idleConnections()) {
        if (!this->updateAndCheckTimeouts(socket, this->connections.at(socket), now))
            continue;
        this->report("idle-timeout");
        this->close(socket);
    }
    if (!this->isLimited())
        return;
    for (auto& [socket, state] : this->connections) {
        if (this->hasTimedOutTransfer(socket, state, now))
            this->shutDown(socket);
        this->measure(socket, state, Measurement::Periodic, now);
    }
    this->relieveMemory();
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

ErrorOr<std::unique_ptr<HttpServer>> HttpServer::create(EventLoop& loop, const Endpoint& endpoint, Limits limits, Handler handler, LimitObserver observer)
{
    std::unique_ptr<HttpServer> server(new HttpServer);
    auto& state = *server->implementation;
    state.limits = limits;
    state.budget = ConnectionBudget(limits.budget);
    state.observer = std::move(observer);
    DisconnectWatch::Handler inputHandler;
    if (state.isLimited())
        inputHandler = [&state](auto* socket) { state.touch(socket); };
    auto watch = TRY(DisconnectWatch::create(
        loop, [&state](auto* socket) { state.onDisconnect(socket); }, std::move(inputHandler)));
    int descriptor = TRY(openListeningSocket(endpoint));
    // Accepted connections inherit the sizes.
    if (state.isLimited()) {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kernelBufferBytes, sizeof(kernelBufferBytes));
        setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &kernelBufferBytes, sizeof(kernelBufferBytes));
    }
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
    this->implementation->idleTimeout.set(timeouts.idle, this->implementation->loop->now());
    this->implementation->timeouts = timeouts;
}

void HttpServer::setMaximumBody(size_t bytes)
{
    this->implementation->configuration.max_request_entity_size = bytes;
}

size_t HttpServer::connectionCount() const
{
    return this->implementation->budget.connectionCount();
}

size_t HttpServer::heldBytes() const
{
    return this->implementation->budget.heldBytes();
}

size_t HttpServer::openExchangeCount() const
{
    return this->implementation->openExchangeCount;
}

}
