#include <LibBase/Try.h>
#include <LibTransport/H2O.h>
#include <LibTransport/PeerLink.h>
#include <array>
#include <cstring>
#include <deque>
#include <map>
#include <netinet/in.h>
#include <nghttp2/nghttp2.h>
#include <vector>

namespace Sassafrasshift::Transport {

static constexpr size_t maximumQueuedMessages = 65'536;
static constexpr size_t maximumQueuedBytes = 64 * 1024 * 1024;
// A longer message is sent in a batch of its own.
static constexpr size_t maximumBatchBytes = 1024 * 1024;
static constexpr size_t maximumBatchesInFlight = 4;
static constexpr Milliseconds acknowledgementTimeout { 700 };
static constexpr Milliseconds connectTimeout { 250 };
static constexpr Milliseconds minimumReconnectDelay { 20 };
static constexpr Milliseconds maximumReconnectDelay { 100 };

// A batch in flight and the progress of its request.
struct Batch {
    std::string body;
    size_t messageCount { 0 };
    // The length of the part of the body that nghttp2 has read.
    size_t bytesRead { 0 };
    // The status of the response, or 0 until it is received.
    int status { 0 };
};

struct PeerLink::Implementation {
    EventLoop* loop { nullptr };
    Endpoint endpoint;
    std::string senderName;
    Counters counters;

    std::deque<std::string> queue;
    size_t queuedBytes { 0 };
    bool flushScheduled { false };

    h2o_socket_t* socket { nullptr };
    nghttp2_session* session { nullptr };
    bool connected { false };
    // The bytes that h2o is writing to the socket.
    std::string outgoing;
    // The batches that are not acknowledged yet, by HTTP/2 stream.
    std::map<int32_t, Batch> batchesInFlight;
    // Closes the connection if it is not established, or no batch is acknowledged, in time.
    std::unique_ptr<Timer> acknowledgementTimer;
    std::unique_ptr<Timer> reconnectTimer;
    Milliseconds reconnectDelay { minimumReconnectDelay };

    void scheduleFlush();
    void flush();
    void connect();
    void disconnect();
    void startSession();
    void submitBatch();
    void writePending();
    void finishBatch(int32_t streamId);
    void armAcknowledgementTimer();
};

using Implementation = PeerLink::Implementation;

PeerLink::PeerLink()
    : implementation(std::make_unique<Implementation>())
{
}

PeerLink::~PeerLink()
{
    this->implementation->disconnect();
    this->implementation->reconnectTimer.reset();
}

std::unique_ptr<PeerLink> PeerLink::create(EventLoop& loop, const Endpoint& endpoint, std::string senderName)
{
    std::unique_ptr<PeerLink> link(new PeerLink);
    link->implementation->loop = &loop;
    link->implementation->endpoint = endpoint;
    link->implementation->senderName = std::move(senderName);
    return link;
}

void PeerLink::send(std::string message)
{
    auto& state = *this->implementation;
    state.queuedBytes += message.size();
    state.queue.push_back(std::move(message));
    while (state.queue.size() > maximumQueuedMessages || state.queuedBytes > maximumQueuedBytes) {
        state.queuedBytes -= state.queue.front().size();
        state.queue.pop_front();
        ++state.counters.messagesDropped;
    }
    state.scheduleFlush();
}

const PeerLink::Counters& PeerLink::counters() const
{
    return this->implementation->counters;
}

bool PeerLink::isDrained() const
{
    return this->implementation->queue.empty() && this->implementation->batchesInFlight.empty();
}

// The flush is deferred, so that messages that are sent in one iteration of the loop share a batch.
void Implementation::scheduleFlush()
{
    if (this->flushScheduled)
        return;
    this->flushScheduled = true;
    this->loop->defer([this] {
        this->flushScheduled = false;
        this->flush();
    });
}

void Implementation::flush()
{
    if (!this->socket) {
        if (!this->reconnectTimer && !this->queue.empty())
            this->connect();
        return;
    }
    if (!this->connected)
        return;
    while (!this->queue.empty() && this->batchesInFlight.size() < maximumBatchesInFlight)
        this->submitBatch();
    this->writePending();
}

static void onConnected(h2o_socket_t* socket, const char* error)
{
    auto* state = static_cast<Implementation*>(socket->data);
    if (error) {
        state->disconnect();
        return;
    }
    state->connected = true;
    ++state->counters.connectionsOpened;
    state->reconnectDelay = minimumReconnectDelay;
    state->acknowledgementTimer.reset();
    state->startSession();
    state->flush();
}

void Implementation::connect()
{
    auto address = this->endpoint.toSocketAddress();
    this->socket = h2o_socket_connect(this->loop->nativeLoop(), reinterpret_cast<sockaddr*>(&address), sizeof(address), onConnected);
    if (!this->socket) {
        this->disconnect();
        return;
    }
    this->socket->data = this;
    this->acknowledgementTimer = this->loop->after(connectTimeout, [this] { this->disconnect(); });
}

void Implementation::disconnect()
{
    if (this->connected)
        ++this->counters.connectionsLost;
    for (const auto& [streamId, batch] : this->batchesInFlight)
        this->counters.messagesDropped += batch.messageCount;
    // Queued messages would be stale by the time the next connection is open. The protocols above the link resend
    // what is still needed.
    this->counters.messagesDropped += this->queue.size();
    this->queue.clear();
    this->queuedBytes = 0;
    this->batchesInFlight.clear();
    this->outgoing.clear();
    this->connected = false;
    this->acknowledgementTimer.reset();
    if (auto* session = std::exchange(this->session, nullptr))
        nghttp2_session_del(session);
    if (auto* socket = std::exchange(this->socket, nullptr))
        h2o_socket_close(socket);
    this->reconnectTimer = this->loop->after(this->reconnectDelay, [this] {
        this->reconnectTimer.reset();
        this->flush();
    });
    this->reconnectDelay = std::min(this->reconnectDelay * 2, maximumReconnectDelay);
}

static ssize_t readBatch(nghttp2_session*, int32_t streamId, uint8_t* buffer, size_t length, uint32_t* flags, nghttp2_data_source*, void* userData)
{
    auto* state = static_cast<Implementation*>(userData);
    auto position = state->batchesInFlight.find(streamId);
    if (position == state->batchesInFlight.end())
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    auto& batch = position->second;
    size_t count = std::min(length, batch.body.size() - batch.bytesRead);
    std::memcpy(buffer, batch.body.data() + batch.bytesRead, count);
    batch.bytesRead += count;
    if (batch.bytesRead == batch.body.size())
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(count);
}

static int onHeader(nghttp2_session*, const nghttp2_frame* frame, const uint8_t* name, size_t nameLength, const uint8_t* value, size_t valueLength, uint8_t, void* userData)
{
    auto* state = static_cast<Implementation*>(userData);
    auto position = state->batchesInFlight.find(frame->hd.stream_id);
    if (position != state->batchesInFlight.end() && std::string_view(reinterpret_cast<const char*>(name), nameLength) == ":status")
        position->second.status = std::atoi(std::string(reinterpret_cast<const char*>(value), valueLength).c_str());
    return 0;
}

static int onStreamClose(nghttp2_session*, int32_t streamId, uint32_t, void* userData)
{
    static_cast<Implementation*>(userData)->finishBatch(streamId);
    return 0;
}

static void onReadable(h2o_socket_t* socket, const char* error)
{
    auto* state = static_cast<Implementation*>(socket->data);
    if (error) {
        state->disconnect();
        return;
    }
    auto* input = socket->input;
    auto consumed = nghttp2_session_mem_recv(state->session, reinterpret_cast<const uint8_t*>(input->bytes), input->size);
    if (consumed < 0) {
        state->disconnect();
        return;
    }
    h2o_buffer_consume(&socket->input, static_cast<size_t>(consumed));
    state->flush();
}

void Implementation::startSession()
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClose);
    nghttp2_session_client_new(&this->session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, nullptr, 0);
    h2o_socket_read_start(this->socket, onReadable);
}

static nghttp2_nv makeHeaderField(std::string_view name, std::string_view value)
{
    return nghttp2_nv {
        reinterpret_cast<uint8_t*>(const_cast<char*>(name.data())),
        reinterpret_cast<uint8_t*>(const_cast<char*>(value.data())),
        name.size(), value.size(), NGHTTP2_NV_FLAG_NONE
    };
}

void Implementation::submitBatch()
{
    Batch batch;
    while (!this->queue.empty() && (batch.messageCount == 0 || batch.body.size() + this->queue.front().size() <= maximumBatchBytes)) {
        batch.body += this->queue.front();
        this->queuedBytes -= this->queue.front().size();
        this->queue.pop_front();
        ++batch.messageCount;
    }
    auto authority = this->endpoint.toText();
    std::array fields {
        makeHeaderField(":method", "POST"),
        makeHeaderField(":scheme", "http"),
        makeHeaderField(":authority", authority),
        makeHeaderField(":path", peerMessagesPath),
        makeHeaderField(peerVersionHeader, peerProtocolVersion),
        makeHeaderField(peerSenderHeader, this->senderName),
    };
    nghttp2_data_provider provider {};
    provider.read_callback = readBatch;
    int32_t streamId = nghttp2_submit_request(this->session, nullptr, fields.data(), fields.size(), &provider, nullptr);
    if (streamId < 0) {
        this->counters.messagesDropped += batch.messageCount;
        return;
    }
    this->counters.messagesSent += batch.messageCount;
    this->counters.bytesSent += batch.body.size();
    ++this->counters.batchesSent;
    this->batchesInFlight.emplace(streamId, std::move(batch));
    if (!this->acknowledgementTimer)
        this->armAcknowledgementTimer();
}

void Implementation::armAcknowledgementTimer()
{
    this->acknowledgementTimer = this->loop->after(acknowledgementTimeout, [this] { this->disconnect(); });
}

static void onWritten(h2o_socket_t* socket, const char* error)
{
    auto* state = static_cast<Implementation*>(socket->data);
    if (error) {
        state->disconnect();
        return;
    }
    state->outgoing.clear();
    state->flush();
}

void Implementation::writePending()
{
    if (!this->session || !this->outgoing.empty())
        return;
    while (this->outgoing.size() < maximumBatchBytes) {
        const uint8_t* bytes = nullptr;
        auto length = nghttp2_session_mem_send(this->session, &bytes);
        if (length <= 0)
            break;
        this->outgoing.append(reinterpret_cast<const char*>(bytes), static_cast<size_t>(length));
    }
    if (this->outgoing.empty())
        return;
    auto buffer = h2o_iovec_init(this->outgoing.data(), this->outgoing.size());
    h2o_socket_write(this->socket, &buffer, 1, onWritten);
}

void Implementation::finishBatch(int32_t streamId)
{
    auto position = this->batchesInFlight.find(streamId);
    if (position == this->batchesInFlight.end())
        return;
    if (position->second.status != 204)
        this->counters.messagesDropped += position->second.messageCount;
    this->batchesInFlight.erase(position);
    // The timeout applies to the time without any acknowledgement, so each acknowledgement restarts the timer.
    this->acknowledgementTimer.reset();
    if (!this->batchesInFlight.empty())
        this->armAcknowledgementTimer();
}

}
