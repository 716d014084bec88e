#include <LibTransport/H2O.h>
#include <LibTransport/HttpClient.h>
#include <map>
#include <sys/socket.h>
#include <utility>

namespace Sassafrasshift::Transport {

// How long h2o waits for input or output on a connection, whatever the timeout of the call.
static constexpr uint64_t inputOutputTimeoutMilliseconds = 120'000;
static constexpr uint64_t idleConnectionTimeoutMilliseconds = 5'000;

// h2o does not limit the head of a response. It parses an incomplete one from its start whenever bytes arrive, so that a long head takes
// much processor time, too.
static constexpr size_t maximumHeadBytes = 256 * 1024;
static constexpr Milliseconds headCheckInterval { 10 };
// The kernel allots twice this size.
static constexpr int limitedKernelBufferBytes = 64 * 1024;

// What the calls of a client share. A call may exist longer than its client.
struct SharedLimits {
    HttpClient::Limits limits;
    HttpClient::LimitObserver observer;
    // The bytes of all responses that are not complete.
    size_t unfinishedBytes { 0 };
};

struct CallState;

struct HttpClient::Implementation {
    EventLoop* loop { nullptr };
    Limits limits;
    std::shared_ptr<SharedLimits> sharedLimits;
    h2o_timeout_t inputOutputTimeout {};
    h2o_http1client_ctx_t context {};
    std::map<Endpoint, std::shared_ptr<h2o_socketpool_t>> pools;
    // The calls that may be open, if responses are limited.
    std::vector<std::weak_ptr<CallState>> checkedCalls;
    std::unique_ptr<Timer> headCheckTimer;

    void checkHeads();
    std::shared_ptr<h2o_socketpool_t> poolFor(const Endpoint&);
};

// The state of one call, shared by the call's owner and the callbacks of h2o.
struct CallState {
    h2o_http1client_t* nativeClient { nullptr };
    std::shared_ptr<h2o_socketpool_t> pool;
    EventLoop* loop { nullptr };
    HttpClient::Completion completion;
    std::unique_ptr<Timer> deadlineTimer;
    // The request as it is sent. The buffers refer to the head and the body.
    std::string head;
    std::string body;
    h2o_iovec_t buffers[2] {};
    HttpResponse response;
    std::shared_ptr<SharedLimits> sharedLimits;
    // The part of the response that counts as unfinished.
    size_t countedBytes { 0 };
    bool isHeadRequest { false };
    bool sendStarted { false };
    bool lengthKnown { false };

    ~CallState() { this->countBytes(0); }

    void countBytes(size_t bytes)
    {
        this->sharedLimits->unfinishedBytes += bytes - std::exchange(this->countedBytes, bytes);
    }

    [[nodiscard]] bool exceedsLimits(size_t bytes)
    {
        this->countBytes(bytes);
        const auto& limits = this->sharedLimits->limits;
        if (bytes <= limits.maximumBody && (limits.unfinishedBytes == 0 || this->sharedLimits->unfinishedBytes <= limits.unfinishedBytes))
            return false;
        if (this->sharedLimits->observer)
            this->sharedLimits->observer();
        return true;
    }

    [[nodiscard]] bool hasTooLongHead() const
    {
        return this->nativeClient && this->nativeClient->sock && this->nativeClient->sock->input->size > maximumHeadBytes;
    }

    void finish(ErrorOr<HttpResponse> result)
    {
        this->countBytes(0);
        this->nativeClient = nullptr;
        this->deadlineTimer.reset();
        if (auto function = std::move(this->completion)) {
            this->completion = nullptr;
            function(std::move(result));
        }
    }

    // Closes the connection. h2o makes no further callback for the call.
    void abort();

    // The verdict of the error depends on whether h2o has begun to send the request.
    [[nodiscard]] Error failure(Reason reason, std::string detail) const
    {
        return this->sendStarted ? Error::mayHaveRun(reason, std::move(detail)) : Error::notRun(reason, std::move(detail));
    }
};

class HttpCallImplementation final : public HttpCall {
public:
    explicit HttpCallImplementation(std::shared_ptr<CallState> state)
        : state(std::move(state))
    {
    }

    ~HttpCallImplementation() override
    {
        this->state->completion = nullptr;
        this->state->deadlineTimer.reset();
        this->state->abort();
    }

    std::shared_ptr<CallState> state;
};

// The data that h2o passes to the callbacks of a call. With the weak reference, a callback finds out whether the call still
// exists, and keeps the state of the call alive while the callback runs.
struct CallReference {
    std::weak_ptr<CallState> state;
};

void CallState::abort()
{
    if (auto* client = std::exchange(this->nativeClient, nullptr)) {
        delete static_cast<CallReference*>(client->data);
        h2o_http1client_cancel(client);
    }
}

static std::shared_ptr<CallState> stateOf(h2o_http1client_t* client)
{
    return static_cast<CallReference*>(client->data)->state.lock();
}

// Ends a call from a callback of h2o, which makes no further callback for the call.
static void finishFromCallback(h2o_http1client_t* client, ErrorOr<HttpResponse> result)
{
    auto* data = static_cast<CallReference*>(client->data);
    auto state = data->state.lock();
    delete data;
    if (!state)
        return;
    state->nativeClient = nullptr;
    state->deadlineTimer.reset();
    // The completion is deferred until h2o has released the connection, so that it may start another call.
    state->loop->defer([state, result = std::move(result)]() mutable { state->finish(std::move(result)); });
}

static int onBody(h2o_http1client_t* client, const char* error)
{
    auto state = stateOf(client);
    auto* input = client->sock->input;
    if (state) {
        if (state->exceedsLimits(state->response.body.size() + input->size)) {
            // Frees the storage at once.
            std::string().swap(state->response.body);
            state->countBytes(0);
            finishFromCallback(client, tl::unexpected(Error::ran(Reason::TooLarge, "the response body exceeds the size limit")));
            return -1;
        }
        state->response.body.append(input->bytes, input->size);
    }
    h2o_buffer_consume(&client->sock->input, input->size);
    if (!error)
        return 0;
    if (error != h2o_http1client_error_is_eos)
        finishFromCallback(client, tl::unexpected(Error::mayHaveRun(Reason::AnswerTruncated, error)));
    else if (state && !state->lengthKnown)
        finishFromCallback(client, tl::unexpected(Error::mayHaveRun(Reason::AnswerTruncated, "the response does not declare its length, so a truncated body could not be detected")));
    else
        finishFromCallback(client, state ? ErrorOr<HttpResponse>(std::move(state->response)) : HttpResponse {});
    return 0;
}

static h2o_http1client_body_cb onHead(h2o_http1client_t* client, const char* error, int, int status, h2o_iovec_t,
    h2o_header_t* headers, size_t headerCount, int)
{
    auto state = stateOf(client);
    if (error && error != h2o_http1client_error_is_eos) {
        finishFromCallback(client, tl::unexpected(Error::mayHaveRun(Reason::ConnectionLost, error)));
        return nullptr;
    }
    if (state) {
        state->response.status = status;
        for (size_t i = 0; i < headerCount; ++i) {
            HttpHeader header { std::string(headers[i].name->base, headers[i].name->len), std::string(headers[i].value.base, headers[i].value.len) };
            if (header.name == "content-length" || header.name == "transfer-encoding")
                state->lengthKnown = true;
            state->response.headers.push_back(std::move(header));
        }
    }
    if (error) {
        finishFromCallback(client, state ? ErrorOr<HttpResponse>(std::move(state->response)) : HttpResponse {});
        return nullptr;
    }
    return onBody;
}

static h2o_http1client_head_cb onConnect(h2o_http1client_t* client, const char* error, h2o_iovec_t** buffers, size_t* bufferCount, int* isHeadRequest)
{
    auto state = stateOf(client);
    if (error || !state) {
        finishFromCallback(client, tl::unexpected(Error::notRun(Reason::Unreachable, error ? error : "the call was canceled before it was connected")));
        return nullptr;
    }
    state->sendStarted = true;
    // The kernel would otherwise let a response grow to megabytes between two reads.
    if (state->sharedLimits->limits.unfinishedBytes > 0)
        setsockopt(h2o_socket_get_fd(client->sock), SOL_SOCKET, SO_RCVBUF, &limitedKernelBufferBytes, sizeof(limitedKernelBufferBytes));
    *buffers = state->buffers;
    *bufferCount = state->body.empty() ? 1 : 2;
    *isHeadRequest = state->isHeadRequest;
    return onHead;
}

std::shared_ptr<h2o_socketpool_t> HttpClient::Implementation::poolFor(const Endpoint& endpoint)
{
    auto& pool = this->pools[endpoint];
    if (!pool) {
        pool = std::shared_ptr<h2o_socketpool_t>(new h2o_socketpool_t {}, [](h2o_socketpool_t* pool) {
            h2o_socketpool_dispose(pool);
            delete pool;
        });
        auto address = endpoint.toSocketAddress();
        h2o_socketpool_init_by_address(pool.get(), reinterpret_cast<sockaddr*>(&address), sizeof(address), 0, this->limits.maximumIdleConnections);
        h2o_socketpool_set_timeout(pool.get(), this->loop->nativeLoop(), idleConnectionTimeoutMilliseconds);
    }
    return pool;
}

HttpClient::HttpClient()
    : implementation(std::make_unique<Implementation>())
{
}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient> HttpClient::create(EventLoop& loop, Limits limits, LimitObserver observer)
{
    std::unique_ptr<HttpClient> client(new HttpClient);
    auto& state = *client->implementation;
    state.loop = &loop;
    state.limits = limits;
    state.sharedLimits = std::make_shared<SharedLimits>(SharedLimits { limits, std::move(observer) });
    h2o_timeout_init(loop.nativeLoop(), &state.inputOutputTimeout, inputOutputTimeoutMilliseconds);
    state.context.loop = loop.nativeLoop();
    state.context.getaddr_receiver = loop.hostLookupReceiver();
    state.context.io_timeout = &state.inputOutputTimeout;
    return client;
}

static std::string formatHead(const Endpoint& endpoint, const HttpRequest& request)
{
    std::string head = request.method + " " + request.target + " HTTP/1.1\r\nhost: " + endpoint.toText() + "\r\n";
    for (const auto& header : request.headers)
        head += header.name + ": " + header.value + "\r\n";
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
        head += "content-length: " + std::to_string(request.body.size()) + "\r\n";
    head += "\r\n";
    return head;
}

// Ends the calls whose response has too long a head, and forgets those that have ended.
void HttpClient::Implementation::checkHeads()
{
    std::vector<std::shared_ptr<CallState>> tooLong;
    std::erase_if(this->checkedCalls, [&](const auto& weak) {
        auto state = weak.lock();
        if (state && state->hasTooLongHead())
            tooLong.push_back(state);
        return !state || !state->completion;
    });
    for (const auto& state : tooLong) {
        state->abort();
        if (this->sharedLimits->observer)
            this->sharedLimits->observer();
        state->finish(tl::unexpected(Error::mayHaveRun(Reason::TooLarge, "the head of the response exceeds the size limit")));
    }
    this->headCheckTimer.reset();
    if (!this->checkedCalls.empty())
        this->headCheckTimer = this->loop->after(headCheckInterval, [this] { this->checkHeads(); });
}

std::unique_ptr<HttpCall> HttpClient::send(const Endpoint& endpoint, HttpRequest request, Milliseconds timeout, Completion completion)
{
    auto& client = *this->implementation;
    auto state = std::make_shared<CallState>();
    state->loop = client.loop;
    state->pool = client.poolFor(endpoint);
    state->completion = std::move(completion);
    state->sharedLimits = client.sharedLimits;
    state->isHeadRequest = request.method == "HEAD";
    state->head = formatHead(endpoint, request);
    state->body = std::move(request.body);
    state->buffers[0] = h2o_iovec_init(state->head.data(), state->head.size());
    state->buffers[1] = h2o_iovec_init(state->body.data(), state->body.size());
    state->deadlineTimer = client.loop->after(timeout, [this, endpoint, weak = std::weak_ptr(state)] {
        auto state = weak.lock();
        if (!state || !state->nativeClient)
            return;
        auto error = state->failure(Reason::DeadlineExceeded, "no complete response was received within the timeout");
        state->abort();
        // Other idle connections to this endpoint may have stopped responding as well.
        this->dropIdleConnections(endpoint);
        state->finish(tl::unexpected(std::move(error)));
    });
    auto call = std::make_unique<HttpCallImplementation>(state);
    if (client.limits.unfinishedBytes > 0) {
        client.checkedCalls.push_back(state);
        if (!client.headCheckTimer)
            client.headCheckTimer = client.loop->after(headCheckInterval, [&client] { client.checkHeads(); });
    }
    // Deferred, because input and output must be started in a callback of the loop; see EventLoop.
    client.loop->defer([this, weak = std::weak_ptr(state)] {
        auto state = weak.lock();
        if (!state || !state->completion)
            return;
        h2o_http1client_connect_with_pool(&state->nativeClient, new CallReference { state }, &this->implementation->context, state->pool.get(), onConnect);
    });
    return call;
}

void HttpClient::dropIdleConnections(const Endpoint& endpoint)
{
    auto position = this->implementation->pools.find(endpoint);
    if (position == this->implementation->pools.end())
        return;
    // Calls in progress share ownership of the pool, so it exists until the last of them has returned its connection.
    this->implementation->pools.erase(position);
}

}
