#include <LibScheduler/Dispatcher/SpeedEstimator.h>
#include <LibScheduler/Target/TargetSpeed.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

static const Instant start { std::chrono::hours(1) };

BOOST_AUTO_TEST_CASE(usual_variation_of_run_times_does_not_make_a_target_slow)
{
    TargetSpeed speed;
    for (auto actual : { 150ms, 260ms, 190ms, 420ms, 180ms })
        speed.observe(actual, 200ms, start);
    BOOST_TEST(speed.slowness(start) < 1.5);
    speed.observeUnfinished(600ms, 200ms, start);
    BOOST_TEST(speed.slowness(start) < 1.5);
}

BOOST_AUTO_TEST_CASE(long_unfinished_run_raises_slowness_which_decays_later)
{
    TargetSpeed speed;
    speed.observeUnfinished(1500ms, 200ms, start);
    BOOST_TEST(speed.slowness(start) > 5.0);
    BOOST_TEST(speed.slowness(start + 12s) < 2.0);
}

BOOST_AUTO_TEST_CASE(runs_of_usual_duration_reduce_slowness)
{
    TargetSpeed speed;
    speed.observe(1400ms, 200ms, start);
    speed.observe(1400ms, 200ms, start);
    BOOST_TEST(speed.slowness(start) > 2.5);
    for (int i = 0; i < 8; ++i)
        speed.observe(200ms, 200ms, start);
    BOOST_TEST(speed.slowness(start) < 1.5);
}

BOOST_AUTO_TEST_CASE(estimates_are_scaled_by_the_run_times_observed_on_each_kind)
{
    SpeedEstimator speeds;
    BOOST_TEST(speeds.expected("queue", "fast", 100ms).count() == 100);
    for (int i = 0; i < 20; ++i) {
        speeds.observe("queue", "fast", 100ms, 70ms);
        speeds.observe("queue", "slow", 100ms, 170ms);
    }
    BOOST_TEST(speeds.expected("queue", "fast", 200ms).count() == 140);
    BOOST_TEST(speeds.expected("queue", "slow", 200ms).count() == 340);
    BOOST_TEST(speeds.expectedOnFastestKind("queue", 200ms).count() == 140);
    BOOST_TEST(speeds.expectedOnFastestKind("other", 200ms).count() == 200);
}
