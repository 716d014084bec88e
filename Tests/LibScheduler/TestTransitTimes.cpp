#include <LibScheduler/Dispatcher/TransitTimes.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

static const Instant begin { std::chrono::hours(1) };

BOOST_AUTO_TEST_CASE(delayed_message_is_compared_with_the_fastest_one)
{
    TransitTimes times;
    BOOST_TEST((times.excessTransitTime("entry", 1, 0ms, begin) == 0ms));
    BOOST_TEST((times.excessTransitTime("entry", 1, 100ms, begin + 105ms) == 5ms));
    BOOST_TEST((times.excessTransitTime("entry", 1, 200ms, begin + 900ms) == 700ms));
    BOOST_TEST((times.excessTransitTime("entry", 1, 900ms, begin + 901ms) == 1ms));
}

BOOST_AUTO_TEST_CASE(new_incarnation_is_treated_as_a_new_sender)
{
    TransitTimes times;
    (void)times.excessTransitTime("entry", 1, 0ms, begin);
    BOOST_TEST((times.excessTransitTime("entry", 2, 0ms, begin + 60s) == 0ms));
    BOOST_TEST((times.excessTransitTime("entry", 2, 100ms, begin + 60s + 400ms) == 300ms));
}

BOOST_AUTO_TEST_CASE(drift_of_the_sender_clock_is_compensated)
{
    TransitTimes times;
    for (int second = 0; second < 300; ++second) {
        // The sender's clock is 1 % slow.
        auto excessTransitTime = times.excessTransitTime("entry", 1, Milliseconds(second * 990), begin + std::chrono::seconds(second));
        BOOST_TEST((excessTransitTime <= 250ms), "after " << second << " s");
    }
}

BOOST_AUTO_TEST_CASE(late_message_of_an_earlier_incarnation_is_not_on_time)
{
    TransitTimes times;
    (void)times.excessTransitTime("entry", 1, 0ms, begin);
    (void)times.excessTransitTime("entry", 2, 1000ms, begin + 1000ms);
    BOOST_TEST((times.excessTransitTime("entry", 1, 100ms, begin + 2000ms) == 1900ms));
}

BOOST_AUTO_TEST_CASE(sender_is_confirmed_by_messages_that_were_sent_and_received_over_a_second)
{
    TransitTimes times;
    BOOST_TEST(!times.isConfirmed("entry", 1));
    (void)times.excessTransitTime("entry", 1, 0ms, begin);
    // The messages of the first second arrive together.
    (void)times.excessTransitTime("entry", 1, 1100ms, begin + 900ms);
    BOOST_TEST(!times.isConfirmed("entry", 1));
    // A message that was sent within the first second arrives late.
    (void)times.excessTransitTime("entry", 1, 900ms, begin + 1100ms);
    BOOST_TEST(!times.isConfirmed("entry", 1));
    (void)times.excessTransitTime("entry", 1, 1200ms, begin + 1200ms);
    BOOST_TEST(times.isConfirmed("entry", 1));
    BOOST_TEST(!times.isConfirmed("entry", 2));
}
