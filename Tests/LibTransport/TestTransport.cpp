#include <LibTransport/Codec.h>
#include <LibTransport/CodecFields.h>
#include <LibTransport/HttpClient.h>
#include <LibTransport/HttpServer.h>
#include <LibTransport/PeerLink.h>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
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
        auto pending = this->client->send(serverEndpoint, std::move(request), timeout, [&](auto answer) {
            result = std::move(answer);
            this->loop->stop();
        });
        this->loop->run();
        return std::move(*result);
    }
};

// Accepts one connection, reads a little, sends what it is told to, and closes.
class RawServer {
public:
    RawServer(EventLoop& loop, std::string answer)
        : loop(loop)
        , answer(std::move(answer))
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
            (void)!write(connection, this->answer.data(), this->answer.size());
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
    std::string answer;
    int listener;
    std::thread thread;
};

struct Sample {
    std::string text;
    uint64_t number { 0 };

    CODEC_FIELDS(text, number);
};

struct Longer {
    std::string text;
    uint64_t number { 5 };
    std::string added { "new" };

    CODEC_FIELDS(text, number, added);
};

using SampleMessage = std::variant<Sample, std::string>;

}

BOOST_FIXTURE_TEST_CASE(answer_comes_back_whole, Fixture)
{
    this->serve([](const auto& exchange) { exchange->respond({ 201, { { "x-seen", exchange->request().target } }, exchange->request().body }); });
    std::string body(3 * 1024 * 1024, 'x');
    auto answer = this->call({ "POST", "/a?b=c", { { "x-y", "z" } }, body });
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->status == 201);
    BOOST_TEST((answer->body == body));
    BOOST_TEST(headerValue(answer->headers, "X-Seen") == "/a?b=c");
}

BOOST_FIXTURE_TEST_CASE(too_long_a_body_is_refused, Fixture)
{
    bool handled = false;
    this->serve([&](const auto&) { handled = true; }, 1000);
    auto answer = this->call({ "POST", "/", {}, std::string(2000, 'x') });
    BOOST_TEST(!handled);
    if (answer.has_value())
        BOOST_TEST(answer->status == 413);
}

BOOST_FIXTURE_TEST_CASE(refused_connection_proves_that_nothing_ran, Fixture)
{
    auto answer = this->call({});
    BOOST_TEST((answer.error().verdict == Verdict::NotRun));
    BOOST_TEST((answer.error().reason == Reason::Unreachable));
}

BOOST_FIXTURE_TEST_CASE(silent_server_leaves_the_outcome_open, Fixture)
{
    std::vector<std::shared_ptr<HttpExchange>> kept;
    this->serve([&](const auto& exchange) { kept.push_back(exchange); });
    auto answer = this->call({}, 50ms);
    BOOST_TEST((answer.error().verdict == Verdict::MayHaveRun));
    BOOST_TEST((answer.error().reason == Reason::DeadlineExceeded));
    kept.clear();
}

BOOST_FIXTURE_TEST_CASE(cut_answer_is_a_failure, Fixture)
{
    RawServer raw(*this->loop, "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly a part");
    auto answer = this->call({});
    BOOST_REQUIRE(!answer.has_value());
    BOOST_TEST((answer.error().reason == Reason::AnswerTruncated));
    BOOST_TEST((answer.error().verdict == Verdict::MayHaveRun));
}

BOOST_FIXTURE_TEST_CASE(answer_without_a_length_is_a_failure, Fixture)
{
    RawServer raw(*this->loop, "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nperhaps whole");
    BOOST_TEST((this->call({}).error().reason == Reason::AnswerTruncated));
}

BOOST_FIXTURE_TEST_CASE(connection_closed_without_an_answer_leaves_the_outcome_open, Fixture)
{
    RawServer raw(*this->loop, "");
    BOOST_TEST((this->call({}).error().verdict == Verdict::MayHaveRun));
}

BOOST_FIXTURE_TEST_CASE(caller_that_hangs_up_is_noticed, Fixture)
{
    std::shared_ptr<HttpExchange> kept;
    bool abandoned = false;
    this->serve([&](const auto& exchange) {
        kept = exchange;
        exchange->setAbandonHandler([&] {
            abandoned = true;
            this->loop->stop();
        });
    });
    auto pending = this->client->send(serverEndpoint, {}, 5s, [](const auto&) {});
    auto hangUp = this->loop->after(50ms, [&] { pending.reset(); });
    this->loop->run();
    BOOST_TEST(abandoned);
    kept->respond({});
}

BOOST_FIXTURE_TEST_CASE(peer_link_delivers_batches_in_order, Fixture)
{
    std::vector<SampleMessage> received;
    this->serve([&](const auto& exchange) {
        auto messages = decodeMessages<SampleMessage>(exchange->request().body);
        BOOST_REQUIRE(messages.has_value());
        received.insert(received.end(), messages->begin(), messages->end());
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

BOOST_FIXTURE_TEST_CASE(peer_link_leaves_a_connection_that_fell_silent, Fixture)
{
    std::vector<std::shared_ptr<HttpExchange>> kept;
    this->serve([&](const auto& exchange) {
        kept.push_back(exchange);
        if (kept.size() == 2)
            this->loop->stop();
    });
    auto link = PeerLink::create(*this->loop, serverEndpoint, "sender");
    this->loop->defer([&] { link->send(encodeMessage(SampleMessage(std::string("first")))); });
    std::unique_ptr<Timer> again;
    std::function<void()> sendAgain = [&] {
        link->send(encodeMessage(SampleMessage(std::string("second"))));
        again = this->loop->after(200ms, sendAgain);
    };
    again = this->loop->after(1200ms, sendAgain);
    this->loop->run();
    BOOST_TEST(link->counters().connectionsLost >= 1U);
    BOOST_TEST(link->counters().messagesDropped >= 1U);
    again.reset();
    link.reset();
    kept.clear();
}

BOOST_AUTO_TEST_CASE(malformed_bytes_are_refused_without_a_large_allocation)
{
    BOOST_TEST(!decodeMessages<SampleMessage>("garbage").has_value());
    // An array that claims four thousand million elements.
    BOOST_TEST(!decodeMessages<SampleMessage>(std::string("\xdd\xff\xff\xff\xff", 5)).has_value());
    // An alternative that does not exist.
    BOOST_TEST(!decodeMessages<SampleMessage>("\x92\x63\x90").has_value());
}

BOOST_AUTO_TEST_CASE(further_fields_are_ignored_and_missing_ones_keep_their_defaults)
{
    auto older = decodeValue<Sample>(encodeValue(Longer { "t" }));
    BOOST_TEST(older->number == 5U);
    auto newer = decodeValue<Longer>(encodeValue(Sample { "t", 6 }));
    BOOST_TEST(newer->added == "new");
}

BOOST_AUTO_TEST_CASE(endpoints_are_checked)
{
    BOOST_TEST(Endpoint::parse("127.0.0.1:80")->port == 80);
    for (const auto* text : { "127.0.0.1", "host:80", "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:8x" })
        BOOST_TEST(!Endpoint::parse(text).has_value());
}

BOOST_FIXTURE_TEST_CASE(a_server_that_closes_gracefully_ends_each_connection_with_its_answer, Fixture)
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

// Sends bytes on a connection of its own, and reads until the other side closes it.
struct RawAnswer {
    std::string bytes;
    // Whether the server ended the connection, as it has to within some seconds.
    bool ended { false };
};

RawAnswer exchangeRaw(EventLoop& loop, const std::string& bytes)
{
    RawAnswer answer;
    std::thread thread([&] {
        int connection = socket(AF_INET, SOCK_STREAM, 0);
        timeval limit { 5, 0 };
        setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        auto address = serverEndpoint.toSocketAddress();
        if (connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
            (void)!write(connection, bytes.data(), bytes.size());
            char buffer[4096];
            ssize_t count = 0;
            while ((count = read(connection, buffer, sizeof(buffer))) > 0)
                answer.bytes.append(buffer, static_cast<size_t>(count));
            answer.ended = count == 0;
        }
        close(connection);
        loop.post([&] { loop.stop(); });
    });
    loop.run();
    thread.join();
    return answer;
}

}

BOOST_FIXTURE_TEST_CASE(a_request_whose_length_is_given_twice_is_refused, Fixture)
{
    size_t served = 0;
    this->serve([&](const auto& exchange) {
        ++served;
        exchange->respond(HttpResponse { 200, {}, {} });
    });
    for (const auto* request : { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n123456",
             "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 6\r\n\r\n1\r\na\r\n0\r\n\r\n",
             "POST / HTTP/1.1\r\nHost: a\r\ncontent-length: 6\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n" }) {
        auto answer = exchangeRaw(*this->loop, request);
        BOOST_TEST(answer.bytes.starts_with("HTTP/1.1 400"), answer.bytes);
        BOOST_TEST(answer.ended);
    }
    BOOST_TEST(served == 0U);
}

BOOST_FIXTURE_TEST_CASE(idle_connections_are_closed_when_asked_for, Fixture)
{
    // Asked for again and again, as a process that stops does: a connection whose answer is being written is left alone.
    std::unique_ptr<Timer> timer;
    std::function<void()> closeAgain = [&] {
        this->server->closeIdleConnections();
        timer = this->loop->after(5ms, closeAgain);
    };
    this->serve([&](const auto& exchange) {
        exchange->respond(HttpResponse { 200, {}, {} });
        timer = this->loop->after(5ms, closeAgain);
    });
    // The connection stays open after the answer unless the server closes it.
    auto answer = exchangeRaw(*this->loop, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(answer.bytes.starts_with("HTTP/1.1 200"));
    BOOST_TEST(answer.ended);
}

BOOST_FIXTURE_TEST_CASE(a_connection_without_a_request_is_closed_after_its_idle_timeout, Fixture)
{
    this->serve([&](const auto& exchange) { exchange->respond(HttpResponse { 200, {}, {} }); });
    this->server->setTimeouts({ 10s, 300ms });
    auto begin = this->loop->now();
    auto answer = exchangeRaw(*this->loop, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(answer.bytes.starts_with("HTTP/1.1 200"));
    BOOST_TEST(answer.ended);
    BOOST_TEST((this->loop->now() - begin >= 300ms));
}

BOOST_FIXTURE_TEST_CASE(a_request_whose_head_does_not_come_whole_is_given_up, Fixture)
{
    size_t served = 0;
    this->serve([&](const auto& exchange) {
        ++served;
        exchange->respond(HttpResponse { 200, {}, {} });
    });
    this->server->setTimeouts({ 300ms, 10s });
    auto answer = exchangeRaw(*this->loop, "GET / HTTP/1.1\r\nHost: a\r\n");
    BOOST_TEST(answer.ended);
    BOOST_TEST(served == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_request_in_progress_outlives_the_timeouts, Fixture)
{
    std::unique_ptr<Timer> timer;
    this->serve([&](const auto& exchange) {
        timer = this->loop->after(900ms, [exchange] { exchange->respond(HttpResponse { 200, {}, {} }); });
    });
    this->server->setTimeouts({ 100ms, 100ms });
    auto answer = exchangeRaw(*this->loop, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(answer.bytes.starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(the_head_of_a_request_is_measured_as_it_is_written)
{
    HttpRequest request { "GET", "/a", { { "host", "b" }, { "x", "yz" } }, "body" };
    BOOST_TEST(request.headSize() == std::string("GET /a HTTP/1.1\r\nhost: b\r\nx: yz\r\n\r\n").size());
}
