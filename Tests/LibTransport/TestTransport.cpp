#include <LibTransport/Codec.h>
#include <LibTransport/CodecFields.h>
#include <LibTransport/HttpClient.h>
#include <LibTransport/HttpServer.h>
#include <LibTransport/IdleTimeout.h>
#include <LibTransport/PeerHub.h>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Transport;
using namespace std::chrono_literals;

namespace {

const Endpoint serverEndpoint { "127.0.9.1", 18'101 };

struct Fixture {
    std::unique_ptr<EventLoop> loop { EventLoop::create() };
    std::unique_ptr<HttpClient> client { HttpClient::create(*loop, {}) };
    std::unique_ptr<HttpServer> server;

    void serve(HttpServer::Handler handler, size_t maximumBody = 16 * 1024 * 1024)
    {
        auto created = HttpServer::create(*this->loop, serverEndpoint, { maximumBody }, std::move(handler));
        BOOST_REQUIRE(created.has_value());
        this->server = std::move(created).value();
    }

    ErrorOr<HttpResponse> call(HttpRequest request, Milliseconds timeout = 5s)
    {
        std::optional<ErrorOr<HttpResponse>> result;
        auto pending = this->client->send(serverEndpoint, std::move(request), timeout, [&](auto response) {
            result = std::move(response);
            this->loop->stop();
        });
        this->loop->run();
        return std::move(*result);
    }
};

// Accepts one connection, reads from it once, sends the given bytes, and closes it.
class RawServer {
public:
    RawServer(EventLoop& loop, std::string response)
        : loop(loop)
        , response(std::move(response))
    {
        this->listener = socket(AF_INET, SOCK_STREAM, 0);
        int enabled = 1;
        setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
        auto address = serverEndpoint.toSocketAddress();
        BOOST_REQUIRE(bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        listen(this->listener, 8);
        this->thread = std::thread([this] {
            int connection = accept(this->listener, nullptr, nullptr);
            char buffer[4096];
            (void)!read(connection, buffer, sizeof(buffer));
            (void)!write(connection, this->response.data(), this->response.size());
            close(connection);
        });
    }

    ~RawServer()
    {
        this->thread.join();
        close(this->listener);
    }

private:
    EventLoop& loop;
    std::string response;
    int listener;
    std::thread thread;
};

struct Sample {
    std::string text;
    uint64_t number { 0 };

    CODEC_FIELDS(text, number);
};

struct SampleWithAddedField {
    std::string text;
    uint64_t number { 5 };
    std::string added { "new" };

    CODEC_FIELDS(text, number, added);
};

using SampleMessage = std::variant<Sample, std::string>;

}

BOOST_FIXTURE_TEST_CASE(client_receives_the_complete_response, Fixture)
{
    this->serve([](const auto& exchange) { exchange->respond({ 201, { { "x-seen", exchange->request().target } }, exchange->request().body }); });
    std::string body(3 * 1024 * 1024, 'x');
    auto response = this->call({ "POST", "/a?b=c", { { "x-y", "z" } }, body });
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->status == 201);
    BOOST_TEST((response->body == body));
    BOOST_TEST(headerValue(response->headers, "X-Seen") == "/a?b=c");
}

BOOST_FIXTURE_TEST_CASE(request_with_too_long_a_body_is_refused, Fixture)
{
    bool handled = false;
    this->serve([&](const auto&) { handled = true; }, 1000);
    auto response = this->call({ "POST", "/", {}, std::string(2000, 'x') });
    BOOST_TEST(!handled);
    if (response.has_value())
        BOOST_TEST(response->status == 413);
}

BOOST_FIXTURE_TEST_CASE(refused_connection_fails_with_verdict_not_run, Fixture)
{
    auto response = this->call({});
    BOOST_TEST((response.error().verdict == Verdict::NotRun));
    BOOST_TEST((response.error().reason == Reason::Unreachable));
}

BOOST_FIXTURE_TEST_CASE(request_timeout_fails_with_verdict_may_have_run, Fixture)
{
    std::vector<std::shared_ptr<HttpExchange>> unansweredExchanges;
    this->serve([&](const auto& exchange) { unansweredExchanges.push_back(exchange); });
    auto response = this->call({}, 50ms);
    BOOST_TEST((response.error().verdict == Verdict::MayHaveRun));
    BOOST_TEST((response.error().reason == Reason::DeadlineExceeded));
    unansweredExchanges.clear();
}

BOOST_FIXTURE_TEST_CASE(truncated_response_is_a_failure, Fixture)
{
    RawServer raw(*this->loop, "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly a part");
    auto response = this->call({});
    BOOST_REQUIRE(!response.has_value());
    BOOST_TEST((response.error().reason == Reason::AnswerTruncated));
    BOOST_TEST((response.error().verdict == Verdict::MayHaveRun));
}

BOOST_FIXTURE_TEST_CASE(response_without_a_declared_length_is_a_failure, Fixture)
{
    RawServer raw(*this->loop, "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nperhaps whole");
    BOOST_TEST((this->call({}).error().reason == Reason::AnswerTruncated));
}

BOOST_FIXTURE_TEST_CASE(connection_closed_without_a_response_fails_with_verdict_may_have_run, Fixture)
{
    RawServer raw(*this->loop, "");
    BOOST_TEST((this->call({}).error().verdict == Verdict::MayHaveRun));
}

BOOST_FIXTURE_TEST_CASE(server_detects_that_a_client_disconnects, Fixture)
{
    std::shared_ptr<HttpExchange> unansweredExchange;
    bool abandoned = false;
    this->serve([&](const auto& exchange) {
        unansweredExchange = exchange;
        exchange->setAbandonHandler([&] {
            abandoned = true;
            this->loop->stop();
        });
    });
    auto pending = this->client->send(serverEndpoint, {}, 5s, [](const auto&) {});
    auto disconnectTimer = this->loop->after(50ms, [&] { pending.reset(); });
    this->loop->run();
    BOOST_TEST(abandoned);
    unansweredExchange->respond({});
}

BOOST_FIXTURE_TEST_CASE(peer_link_delivers_messages_in_order_and_in_few_batches, Fixture)
{
    std::vector<SampleMessage> received;
    this->serve([&](const auto& exchange) {
        auto batch = decodeMessages<SampleMessage>(exchange->request().body);
        BOOST_REQUIRE(batch.has_value());
        received.insert(received.end(), batch->messages.begin(), batch->messages.end());
        exchange->respond({ 204, {}, {} });
        if (received.size() == 2000)
            this->loop->stop();
    });
    auto link = PeerLink::create(*this->loop, serverEndpoint, "sender");
    this->loop->defer([&] {
        for (uint64_t i = 0; i < 2000; ++i)
            link->send(encodeMessage(SampleMessage(Sample { "text", i })));
    });
    this->loop->run();
    BOOST_TEST(std::get<Sample>(received[1999]).number == 1999U);
    BOOST_TEST(link->counters().batchesSent < 100U);
}

// Guards against a hub that collects the acknowledgments of batches and leaves some out: the sender would close its connection.
BOOST_FIXTURE_TEST_CASE(peer_hub_acknowledges_all_batches, Fixture)
{
    size_t received = 0;
    auto hub = PeerHub::create(
        *this->loop, serverEndpoint, "receiver", [&](const auto&, const auto&) { ++received; return true; }, [](std::string_view) {});
    BOOST_REQUIRE(hub.has_value());
    auto link = PeerLink::create(*this->loop, serverEndpoint, "sender");
    std::unique_ptr<Timer> timer;
    size_t sent = 0;
    std::function<void()> turn = [&] {
        // One of the batches is too long for its acknowledgment to be delayed.
        if (sent < 40)
            link->send(std::string(++sent == 20 ? 100'000 : 10, 'x'));
        else if (link->isDrained())
            return this->loop->stop();
        timer = this->loop->after(1ms, turn);
    };
    this->loop->defer(turn);
    this->loop->run();
    BOOST_TEST(received > 1U);
    BOOST_TEST(received == link->counters().batchesSent);
    BOOST_TEST(link->counters().messagesSent == 40U);
    BOOST_TEST(link->counters().messagesDropped == 0U);
    BOOST_TEST(link->counters().connectionsLost == 0U);
}

BOOST_FIXTURE_TEST_CASE(peer_link_replaces_an_unresponsive_connection, Fixture)
{
    std::vector<std::shared_ptr<HttpExchange>> unansweredExchanges;
    this->serve([&](const auto& exchange) {
        unansweredExchanges.push_back(exchange);
        if (unansweredExchanges.size() == 2)
            this->loop->stop();
    });
    auto link = PeerLink::create(*this->loop, serverEndpoint, "sender");
    this->loop->defer([&] { link->send(encodeMessage(SampleMessage(std::string("first")))); });
    std::unique_ptr<Timer> resendTimer;
    std::function<void()> resend = [&] {
        link->send(encodeMessage(SampleMessage(std::string("second"))));
        resendTimer = this->loop->after(200ms, resend);
    };
    // By then the acknowledgement timeout has passed and the link has closed the first connection.
    resendTimer = this->loop->after(1200ms, resend);
    this->loop->run();
    BOOST_TEST(link->counters().connectionsLost >= 1U);
    BOOST_TEST(link->counters().messagesDropped >= 1U);
    resendTimer.reset();
    link.reset();
    unansweredExchanges.clear();
}

BOOST_AUTO_TEST_CASE(decoder_refuses_malformed_bytes_without_a_large_allocation)
{
    BOOST_TEST(!decodeMessages<SampleMessage>("garbage").has_value());
    // An array header that announces 2^32 - 1 elements.
    BOOST_TEST(!decodeMessages<SampleMessage>(std::string("\xdd\xff\xff\xff\xff", 5)).has_value());
    // An index that is no number.
    BOOST_TEST(!decodeMessages<SampleMessage>("\x92\xa1\x63\x90").has_value());
    // The only element of a message.
    BOOST_TEST(!decodeMessages<SampleMessage>("\x91\x01").has_value());
}

// Hosts of a later version may send messages of another kind while they are replaced one by one.
BOOST_AUTO_TEST_CASE(message_of_an_unknown_kind_does_not_affect_the_others_of_its_batch)
{
    std::string unknown = "\x92\x63\x90";
    auto first = encodeMessage(SampleMessage(std::string("first")));
    auto second = encodeMessage(SampleMessage(Sample { "second", 2 }));
    auto batch = decodeMessages<SampleMessage>(first + unknown + second + unknown);
    BOOST_REQUIRE(batch.has_value());
    BOOST_TEST(batch->unknownKinds == 2U);
    BOOST_REQUIRE(batch->messages.size() == 2U);
    BOOST_TEST(std::get<std::string>(batch->messages.front()) == "first");
    BOOST_TEST(std::get<Sample>(batch->messages.back()).number == 2U);
}

BOOST_AUTO_TEST_CASE(decoder_ignores_surplus_fields_and_defaults_missing_ones)
{
    auto older = decodeValue<Sample>(encodeValue(SampleWithAddedField { "t" }));
    BOOST_TEST(older->number == 5U);
    auto newer = decodeValue<SampleWithAddedField>(encodeValue(Sample { "t", 6 }));
    BOOST_TEST(newer->added == "new");
}

BOOST_AUTO_TEST_CASE(endpoint_parser_refuses_malformed_text)
{
    BOOST_TEST(Endpoint::parse("127.0.0.1:80")->port == 80);
    for (const auto* text : { "127.0.0.1", "host:80", "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:8x" })
        BOOST_TEST(!Endpoint::parse(text).has_value());
    BOOST_TEST(!Endpoint::parse(std::string_view("127.0.0.1\0.example:80", 21)).has_value());
    BOOST_TEST(!Endpoint::parse(std::string_view("127.0.0.1:80\0", 13)).has_value());
    // An error message repeats only the beginning of a long text.
    BOOST_TEST(Endpoint::parse(std::string(1'000'000, 'x')).error().detail.size() < 200U);
}

BOOST_FIXTURE_TEST_CASE(graceful_close_ends_each_connection_after_its_response, Fixture)
{
    this->serve([](const auto& exchange) { exchange->respond(HttpResponse { 200, {}, "whole" }); });
    auto before = this->call({});
    BOOST_REQUIRE(before.has_value());
    BOOST_TEST(headerValue(before->headers, "connection") == "keep-alive");
    this->server->closeGracefully();
    auto after = this->call({});
    BOOST_REQUIRE(after.has_value());
    BOOST_TEST(after->body == "whole");
    BOOST_TEST(headerValue(after->headers, "connection") == "close");
}

namespace {

// The result of sendRawRequest().
struct RawResponse {
    std::string bytes;
    // Whether the server closed the connection within the read timeout of 5 seconds.
    bool closedByServer { false };
};

// Sends bytes on a new connection and reads until the server closes it. Runs the loop in the meantime.
RawResponse sendRawRequest(EventLoop& loop, const std::string& bytes)
{
    RawResponse response;
    std::thread thread([&] {
        int connection = socket(AF_INET, SOCK_STREAM, 0);
        timeval readTimeout { 5, 0 };
        setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &readTimeout, sizeof(readTimeout));
        auto address = serverEndpoint.toSocketAddress();
        if (connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
            (void)!write(connection, bytes.data(), bytes.size());
            char buffer[4096];
            ssize_t count = 0;
            while ((count = read(connection, buffer, sizeof(buffer))) > 0)
                response.bytes.append(buffer, static_cast<size_t>(count));
            response.closedByServer = count == 0;
        }
        close(connection);
        loop.post([&] { loop.stop(); });
    });
    loop.run();
    thread.join();
    return response;
}

}

BOOST_FIXTURE_TEST_CASE(request_with_an_ambiguous_body_length_is_refused, Fixture)
{
    size_t served = 0;
    this->serve([&](const auto& exchange) {
        ++served;
        exchange->respond(HttpResponse { 200, {}, {} });
    });
    for (const auto* request : { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n123456",
             "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 6\r\n\r\n1\r\na\r\n0\r\n\r\n",
             "POST / HTTP/1.1\r\nHost: a\r\ncontent-length: 6\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n" }) {
        auto response = sendRawRequest(*this->loop, request);
        BOOST_TEST(response.bytes.starts_with("HTTP/1.1 400"), response.bytes);
        BOOST_TEST(response.closedByServer);
    }
    BOOST_TEST(served == 0U);
}

BOOST_FIXTURE_TEST_CASE(closing_idle_connections_spares_a_response_being_written, Fixture)
{
    // A process that shuts down closes idle connections repeatedly. A connection whose response is still being written must not
    // be closed.
    std::unique_ptr<Timer> timer;
    std::function<void()> closeRepeatedly = [&] {
        this->server->closeIdleConnections();
        timer = this->loop->after(5ms, closeRepeatedly);
    };
    this->serve([&](const auto& exchange) {
        exchange->respond(HttpResponse { 200, {}, {} });
        timer = this->loop->after(5ms, closeRepeatedly);
    });
    // The client keeps the connection open after the response, so only the server can end it.
    auto response = sendRawRequest(*this->loop, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(response.bytes.starts_with("HTTP/1.1 200"));
    BOOST_TEST(response.closedByServer);
}

namespace {

// Opens a connection that the server has not accepted yet, because its loop does not run.
int openPendingConnection()
{
    int connection = socket(AF_INET, SOCK_STREAM, 0);
    timeval readTimeout { 5, 0 };
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &readTimeout, sizeof(readTimeout));
    auto address = serverEndpoint.toSocketAddress();
    BOOST_REQUIRE(connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    return connection;
}

// Sends a request, and reads until the server closes the connection. Runs the loop in the meantime.
std::string finishRequest(EventLoop& loop, int connection)
{
    std::string received;
    std::thread thread([&] {
        std::string request = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        (void)!send(connection, request.data(), request.size(), MSG_NOSIGNAL);
        char buffer[4096];
        ssize_t count = 0;
        while ((count = read(connection, buffer, sizeof(buffer))) > 0)
            received.append(buffer, static_cast<size_t>(count));
        close(connection);
        loop.post([&] { loop.stop(); });
    });
    loop.run();
    thread.join();
    return received;
}

}

BOOST_FIXTURE_TEST_CASE(connections_opened_before_the_server_stops_accepting_are_served, Fixture)
{
    this->serve([&](const auto& exchange) { exchange->respond(HttpResponse { 200, {}, {} }); });
    std::vector<int> connections;
    for (int i = 0; i < 100; ++i)
        connections.push_back(openPendingConnection());
    this->server->stopAccepting();
    for (int connection : connections)
        BOOST_TEST(finishRequest(*this->loop, connection).starts_with("HTTP/1.1 200"));
}

BOOST_FIXTURE_TEST_CASE(closing_idle_connections_spares_a_connection_whose_first_request_is_in_transit, Fixture)
{
    this->serve([&](const auto& exchange) { exchange->respond(HttpResponse { 200, {}, {} }); });
    int connection = openPendingConnection();
    this->server->stopAccepting();
    this->server->closeIdleConnections();
    BOOST_TEST(finishRequest(*this->loop, connection).starts_with("HTTP/1.1 200"));
}

// Guards against a request that arrives in the moment in which idle connections are closed, is read whole and handled, and cannot be
// answered: its caller cannot tell whether it has run.
BOOST_FIXTURE_TEST_CASE(request_that_has_arrived_when_idle_connections_are_closed_is_answered, Fixture)
{
    size_t served = 0;
    this->serve([&](const auto& exchange) {
        ++served;
        exchange->respond(HttpResponse { 200, {}, {} });
    });
    int connection = openPendingConnection();
    std::string received;
    std::thread client([&] {
        std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        (void)!send(connection, request.data(), request.size(), MSG_NOSIGNAL);
        char buffer[4096];
        auto count = read(connection, buffer, sizeof(buffer));
        BOOST_TEST(count > 0);
        this->loop->post([&, request] {
            // The loop reads nothing between these two calls.
            (void)!send(connection, request.data(), request.size(), MSG_NOSIGNAL);
            this->server->closeIdleConnections();
        });
        count = read(connection, buffer, sizeof(buffer));
        received.assign(buffer, static_cast<size_t>(std::max<ssize_t>(count, 0)));
        this->loop->post([&] { this->loop->stop(); });
    });
    this->loop->run();
    client.join();
    close(connection);
    BOOST_TEST(served == 2U);
    BOOST_TEST(received.starts_with("HTTP/1.1 200"), received);
}

// Guards against closing the connections of many clients in the moment in which the idle timeout is shortened: those that were idle for
// longer get the new time from then on.
BOOST_AUTO_TEST_CASE(shortened_idle_timeout_is_counted_from_the_change)
{
    Instant start { 1h };
    IdleTimeout timeout(15s);
    timeout.set(15s, start);
    BOOST_TEST(!timeout.hasExpired(start, start + 14'999ms));
    BOOST_TEST(timeout.hasExpired(start, start + 15s));
    timeout.set(2s, start + 10s);
    timeout.set(2s, start + 11s);
    BOOST_TEST(!timeout.hasExpired(start, start + 11'999ms));
    BOOST_TEST(timeout.hasExpired(start, start + 12s));
    BOOST_TEST(!timeout.hasExpired(start + 11s, start + 12'999ms));
    timeout.set(20s, start + 12s);
    BOOST_TEST(!timeout.hasExpired(start + 1s, start + 20'999ms));
    BOOST_TEST(timeout.hasExpired(start + 1s, start + 30s));
}

BOOST_FIXTURE_TEST_CASE(connection_without_a_request_is_closed_after_the_idle_timeout, Fixture)
{
    this->serve([&](const auto& exchange) { exchange->respond(HttpResponse { 200, {}, {} }); });
    this->server->setTimeouts({ 10s, 300ms });
    auto startTime = this->loop->now();
    auto response = sendRawRequest(*this->loop, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(response.bytes.starts_with("HTTP/1.1 200"));
    BOOST_TEST(response.closedByServer);
    BOOST_TEST((this->loop->now() - startTime >= 300ms));
}

BOOST_FIXTURE_TEST_CASE(connection_with_an_incomplete_request_head_is_closed_after_the_head_timeout, Fixture)
{
    size_t served = 0;
    this->serve([&](const auto& exchange) {
        ++served;
        exchange->respond(HttpResponse { 200, {}, {} });
    });
    this->server->setTimeouts({ 300ms, 10s });
    auto response = sendRawRequest(*this->loop, "GET / HTTP/1.1\r\nHost: a\r\n");
    BOOST_TEST(response.closedByServer);
    BOOST_TEST(served == 0U);
}

BOOST_FIXTURE_TEST_CASE(request_in_progress_is_exempt_from_connection_timeouts, Fixture)
{
    std::unique_ptr<Timer> timer;
    this->serve([&](const auto& exchange) {
        timer = this->loop->after(900ms, [exchange] { exchange->respond(HttpResponse { 200, {}, {} }); });
    });
    this->server->setTimeouts({ 100ms, 100ms });
    auto response = sendRawRequest(*this->loop, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(response.bytes.starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(head_size_equals_the_length_of_the_written_head)
{
    HttpRequest request { "GET", "/a", { { "host", "b" }, { "x", "yz" } }, "body" };
    BOOST_TEST(request.headSize() == std::string("GET /a HTTP/1.1\r\nhost: b\r\nx: yz\r\n\r\n").size());
}

namespace {

enum class Disconnect {
    EndOfStream,
    Reset,
};

// Opens connections with one request each that is not answered, ends all of them, and returns how long the server took to notice that
// the last of them had ended.
Milliseconds timeToNoticeDisconnects(Fixture& fixture, size_t count, Disconnect disconnect)
{
    static constexpr size_t connectionsAtATime = 100;
    // Each connection has a descriptor at both ends.
    rlimit descriptors {};
    getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = descriptors.rlim_max;
    setrlimit(RLIMIT_NOFILE, &descriptors);
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    size_t expected = 0;
    size_t abandoned = 0;
    fixture.serve([&](const auto& exchange) {
        exchanges.push_back(exchange);
        exchange->setAbandonHandler([&] {
            if (++abandoned == count)
                fixture.loop->stop();
        });
        if (exchanges.size() == expected)
            fixture.loop->stop();
    });
    std::vector<int> connections;
    std::string_view request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    while (connections.size() < count) {
        for (size_t i = 0; i < connectionsAtATime; ++i) {
            connections.push_back(openPendingConnection());
            (void)!send(connections.back(), request.data(), request.size(), MSG_NOSIGNAL);
        }
        expected = connections.size();
        fixture.loop->run();
    }
    for (int connection : connections) {
        linger resetOnClose { 1, 0 };
        if (disconnect == Disconnect::Reset)
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
        close(connection);
    }
    auto startTime = fixture.loop->now();
    auto limit = fixture.loop->after(5s, [&] { fixture.loop->stop(); });
    fixture.loop->run();
    BOOST_TEST(abandoned == count);
    auto duration = std::chrono::duration_cast<Milliseconds>(fixture.loop->now() - startTime);
    for (const auto& exchange : exchanges)
        exchange->respond({});
    return duration;
}

}

// A caller whose connection is lost submits its job again after a delay, by which the runs of the first submission have to be stopped.
BOOST_FIXTURE_TEST_CASE(reset_of_many_connections_at_once_is_noticed_in_time, Fixture)
{
    BOOST_TEST(timeToNoticeDisconnects(*this, 3000, Disconnect::Reset).count() < 300);
}

BOOST_FIXTURE_TEST_CASE(end_of_many_connections_at_once_is_noticed_in_time, Fixture)
{
    BOOST_TEST(timeToNoticeDisconnects(*this, 3000, Disconnect::EndOfStream).count() < 300);
}

// Guards against limits that are reached by members and callers that keep within them.
BOOST_AUTO_TEST_CASE(limits_do_not_affect_clients_within_them)
{
    auto loop = EventLoop::create();
    std::vector<std::string> causes;
    HttpServer::Limits limits;
    limits.budget = { 16 * 1024 * 1024, 16, 0 };
    limits.headerFields = 100;
    limits.headerBytes = 16 * 1024;
    limits.pipelinedRequests = 4;
    size_t bodies = 0;
    size_t received = 0;
    auto server = HttpServer::create(
        *loop, serverEndpoint, limits,
        [&](const auto& exchange) {
            ++bodies;
            received += exchange->request().body.size();
            exchange->respond(HttpResponse { 204, {}, {} });
            if (received == 2000 * 1000 + 20 * 262'144)
                loop->stop();
        },
        [&](std::string_view cause) { causes.emplace_back(cause); });
    BOOST_REQUIRE(server.has_value());
    auto link = PeerLink::create(*loop, serverEndpoint, "sender");
    auto client = HttpClient::create(*loop, {});
    std::unique_ptr<HttpCall> call;
    int left = 20;
    std::function<void()> callNext = [&] {
        HttpRequest request { "POST", "/", {}, std::string(262'144, 'x') };
        call = client->send(serverEndpoint, request, 5s, [&](const auto& response) {
            BOOST_REQUIRE(response.has_value());
            if (--left > 0)
                loop->defer(callNext);
        });
    };
    std::function<void(int)> sendNext = [&](int number) {
        link->send(std::string(1000, 'x'));
        if (number < 2000)
            loop->defer([&sendNext, number] { sendNext(number + 1); });
    };
    loop->defer([&] {
        callNext();
        sendNext(1);
    });
    auto timer = loop->after(20s, [&] { loop->stop(); });
    loop->run();
    BOOST_TEST(received == 2000 * 1000 + 20 * 262'144U);
    BOOST_TEST(link->counters().messagesDropped == 0U);
    BOOST_TEST(causes.empty(), (causes.empty() ? "" : causes.front()));
    BOOST_TEST((*server)->heldBytes() < limits.budget.memory);
}

// Guards against answers that together exceed what the client may hold, and against bytes that still count when a call has ended.
BOOST_FIXTURE_TEST_CASE(response_beyond_the_bytes_of_all_unfinished_ones_fails, Fixture)
{
    size_t failures = 0;
    // A client must exist as long as its loop runs, so the one of the fixture is kept.
    auto limited = HttpClient::create(*loop, { 64, 1'000'000, 200'000 }, [&] { ++failures; });
    std::swap(client, limited);
    serve([](const auto& exchange) {
        exchange->respond(HttpResponse { 200, {}, std::string(exchange->request().target == "/large" ? 300'000 : 100'000, 'x') });
    });
    for (int round = 0; round < 5; ++round) {
        auto large = call({ "GET", "/large" });
        BOOST_REQUIRE(!large.has_value());
        BOOST_TEST((large.error().reason == Reason::TooLarge));
        BOOST_TEST(call({ "GET", "/small" }).has_value());
    }
    BOOST_TEST(failures == 5U);
}

// Guards against a limit of header fields that is checked after they are copied, or not at all.
BOOST_AUTO_TEST_CASE(request_with_too_many_header_fields_is_refused_without_a_run)
{
    auto loop = EventLoop::create();
    HttpServer::Limits limits;
    limits.budget = { 4 * 1024 * 1024, 16, 0 };
    limits.headerFields = 20;
    std::vector<std::string> causes;
    bool isHandled = false;
    auto server = HttpServer::create(
        *loop, serverEndpoint, limits, [&](const auto&) { isHandled = true; }, [&](std::string_view cause) { causes.emplace_back(cause); });
    BOOST_REQUIRE(server.has_value());
    auto client = HttpClient::create(*loop, {});
    HttpRequest request;
    for (int i = 0; i < 30; ++i)
        request.headers.push_back({ "a" + std::to_string(i), "b" });
    int status = 0;
    auto call = client->send(serverEndpoint, request, 5s, [&](const auto& response) {
        status = response ? response->status : 0;
        loop->stop();
    });
    loop->run();
    BOOST_TEST(status == 431);
    BOOST_TEST(!isHandled);
    BOOST_TEST((causes == std::vector<std::string> { "header-size" }));
}
