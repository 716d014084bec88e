#include <LibTransport/ConnectionBudget.h>
#include <LibTransport/Http2FrameCounter.h>
#include <array>
#include <boost/test/unit_test.hpp>
#include <string>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Transport;
using namespace std::chrono_literals;
using Admission = ConnectionBudget::Admission;
using Stage = ConnectionBudget::Stage;

namespace {

struct Fixture {
    explicit Fixture(ConnectionBudget::Limits limits)
        : budget(limits)
    {
    }

    ConnectionBudget::Key open(size_t number, Instant now, uint32_t address = 1)
    {
        this->budget.add(&this->keys.at(number), address, now);
        return &this->keys.at(number);
    }

    std::array<char, 400> keys {};
    ConnectionBudget budget;
    Instant start { 100s };
};

std::string frame(uint8_t type, uint8_t flags, uint8_t stream, size_t length)
{
    std::string bytes { '\0', static_cast<char>(length >> 8U), static_cast<char>(length), static_cast<char>(type), static_cast<char>(flags), '\0', '\0', '\0', static_cast<char>(stream) };
    return bytes + std::string(length, 'x');
}

}

// Guards against dropping a request that makes progress instead of one that has stopped.
BOOST_AUTO_TEST_CASE(large_requests_without_progress_for_the_longest_time_are_dropped_first)
{
    Fixture f({ 1'000'000, 0, 0 });
    for (size_t i = 0; i < 4; ++i)
        f.budget.update(f.open(i, f.start), Stage::Waiting, 260'000, true, f.start + Milliseconds(i));
    f.budget.update(f.open(4, f.start), Stage::Waiting, 20'000, true, f.start - 5s);
    f.budget.update(&f.keys[0], Stage::Waiting, 260'000, true, f.start + 1s);
    BOOST_TEST(f.budget.isMemoryShort());
    auto chosen = f.budget.takeEvictions();
    BOOST_REQUIRE(chosen.size() == 1U);
    BOOST_TEST(chosen.front() == &f.keys[1]);
    BOOST_TEST(f.budget.heldBytes() == 800'000U);
    BOOST_TEST(f.budget.takeEvictions().empty());
    f.budget.remove(&f.keys[1]);
    BOOST_TEST(f.budget.heldBytes() == 800'000U);
}

// Guards against closing a connection whose request is being handled, so that work that may run gets no answer.
BOOST_AUTO_TEST_CASE(connections_with_a_request_in_progress_are_not_chosen)
{
    Fixture f({ 100'000, 1, 0 });
    f.budget.update(f.open(0, f.start), Stage::Handling, 500'000, true, f.start);
    BOOST_TEST(f.budget.takeEvictions().empty());
    BOOST_TEST((f.budget.admission(1) == Admission::TotalLimit));
    BOOST_TEST(!f.budget.takeReplaced(Admission::TotalLimit, 1).has_value());
    f.budget.update(&f.keys[0], Stage::HandlingWithMore, 500'000, false, f.start);
    BOOST_TEST(f.budget.takeEvictions().size() == 1U);
}

// Guards against closing the idle connections of all clients because large requests are being handled.
BOOST_AUTO_TEST_CASE(small_connections_stay_open_while_handled_requests_take_the_memory)
{
    Fixture f({ 1'000'000, 0, 0 });
    for (size_t i = 0; i < 50; ++i)
        f.budget.update(f.open(i, f.start), Stage::Waiting, 12'000, true, f.start);
    f.budget.reserve(2'000'000);
    BOOST_TEST(f.budget.isMemoryShort());
    BOOST_TEST(f.budget.takeEvictions().empty());
    f.budget.release(2'000'000);
    BOOST_TEST(!f.budget.isMemoryShort());
    for (size_t i = 0; i < 100; ++i)
        f.budget.update(f.open(100 + i, f.start), Stage::Waiting, 12'000, true, f.start);
    BOOST_TEST(f.budget.takeEvictions().size() > 50U);
}

// Guards against silent connections that keep callers out, and against more descriptors than the limit and a quarter.
BOOST_AUTO_TEST_CASE(new_connection_replaces_the_one_without_progress_for_the_longest_time)
{
    Fixture f({ 0, 8, 0 });
    for (size_t i = 0; i < 8; ++i)
        f.open(i, f.start);
    f.budget.update(&f.keys[0], Stage::Waiting, 1, true, f.start + 1s);
    f.budget.setStage(&f.keys[1], Stage::Handling);
    for (size_t expected : { 2, 3, 4 }) {
        BOOST_TEST((f.budget.admission(1) == Admission::TotalLimit));
        auto replaced = f.budget.takeReplaced(Admission::TotalLimit, 1);
        BOOST_REQUIRE(replaced.has_value());
        BOOST_TEST(*replaced == &f.keys.at(expected));
        f.open(10 + expected, f.start);
    }
    BOOST_TEST(!f.budget.takeReplaced(Admission::TotalLimit, 1).has_value());
    f.budget.remove(&f.keys[2]);
    BOOST_TEST(f.budget.takeReplaced(Admission::TotalLimit, 1).has_value());
}

// Guards against one address that replaces the connections of others.
BOOST_AUTO_TEST_CASE(limit_of_an_address_replaces_only_its_own_connections)
{
    Fixture f({ 0, 0, 2 });
    f.open(0, f.start, 1);
    f.open(1, f.start, 2);
    f.open(2, f.start, 2);
    BOOST_TEST((f.budget.admission(1) == Admission::Admitted));
    BOOST_TEST((f.budget.admission(2) == Admission::AddressLimit));
    auto replaced = f.budget.takeReplaced(Admission::AddressLimit, 2);
    BOOST_REQUIRE(replaced.has_value());
    BOOST_TEST(*replaced == &f.keys[1]);
    BOOST_TEST((f.budget.admission(2) == Admission::Admitted));
}

// Guards against unfinished HTTP/2 requests that do not count, in whatever pieces their bytes arrive.
BOOST_AUTO_TEST_CASE(unfinished_http2_requests_count_until_they_end)
{
    auto bytes = std::string(Http2FrameCounter::preface) + frame(4, 0, 0, 0) + frame(1, 4, 1, 20) + frame(0, 0, 1, 1000) + frame(1, 5, 3, 20) + frame(1, 4, 5, 20);
    for (size_t piece : { size_t(1), size_t(7), bytes.size() }) {
        Http2FrameCounter counter(10'000);
        for (size_t start = 0; start < bytes.size(); start += piece)
            counter.feed(std::string_view(bytes).substr(start, piece));
        BOOST_TEST(counter.unfinishedBytes() >= 1000U + 2 * 20 * 32);
        BOOST_TEST(counter.oldestUnfinished() == 1U);
        counter.feed(frame(0, 1, 1, 10));
        BOOST_TEST(counter.oldestUnfinished() == 5U);
        counter.feed(frame(3, 0, 5, 4));
        BOOST_TEST(counter.unfinishedBytes() == 0U);
        BOOST_TEST(!counter.isAbusive());
    }
}

// Guards against clients that make the server begin and drop requests without end.
BOOST_AUTO_TEST_CASE(many_reset_http2_requests_are_abusive)
{
    Http2FrameCounter counter(10'000);
    counter.feed(Http2FrameCounter::preface);
    for (int i = 0; i < 300; ++i)
        counter.feed(frame(1, 4, 1, 20) + frame(3, 0, 1, 4));
    BOOST_TEST(counter.isAbusive());
}
