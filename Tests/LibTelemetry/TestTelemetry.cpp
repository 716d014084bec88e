#include <LibTelemetry/LogBudget.h>
#include <LibTelemetry/Metrics.h>
#include <LibTelemetry/TimeLine.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Telemetry;

BOOST_AUTO_TEST_CASE(hybrid_clock_is_monotonic_and_advances_past_observed_times)
{
    ManualClock clock;
    HybridClock hybrid(clock);
    auto first = hybrid.tick();
    BOOST_TEST((hybrid.tick() > first));
    HybridTime remote { 5'000'000, 7 };
    hybrid.observe(remote);
    BOOST_TEST((hybrid.tick() > remote));
    clock.advance(std::chrono::seconds(10));
    BOOST_TEST(hybrid.tick().wall == 10'000'000);
}

BOOST_AUTO_TEST_CASE(time_line_returns_recorded_events_and_filters_them)
{
    ManualClock clock;
    auto timeLine = TimeLine::create(clock, "host", "");
    BOOST_REQUIRE(timeLine.has_value());
    (*timeLine)->record("job-accepted", { { "job", "a\"b" } });
    (*timeLine)->record("request-received", { { "request", "r1" } });
    BOOST_TEST((*timeLine)->recentEvents("r1").find("job-accepted") == std::string::npos);
    BOOST_TEST((*timeLine)->recentEvents().find(R"("job":"a\"b")") != std::string::npos);
    BOOST_TEST((TimeLine::create(clock, "host", "/nonexistent/folder/file").error().reason == Reason::StorageFailed));
}

BOOST_AUTO_TEST_CASE(metrics_are_written_as_prometheus_text)
{
    Metrics metrics;
    metrics.count("requests_total{verdict=\"ran\"}", 3);
    metrics.count("requests_total{verdict=\"not-run\"}");
    metrics.setGauge("version", 4);
    metrics.observeMilliseconds("duration_milliseconds", 5);
    metrics.observeMilliseconds("duration_milliseconds", 1e9);
    auto text = metrics.toPrometheusText();
    BOOST_TEST(text.find("sassafrasshift_requests_total{verdict=\"ran\"} 3\n") != std::string::npos);
    BOOST_TEST(text.find("sassafrasshift_duration_milliseconds_bucket{le=\"+Inf\"} 2\n") != std::string::npos);
    // The TYPE line of a metric family is written once, no matter how many label sets the family has.
    BOOST_TEST(text.find("# TYPE sassafrasshift_requests_total") == text.rfind("# TYPE sassafrasshift_requests_total"));
}

BOOST_AUTO_TEST_CASE(burst_of_events_does_not_fill_the_log)
{
    LogBudget budget(2);
    Instant now { std::chrono::hours(1) };
    BOOST_TEST(budget.take(now));
    BOOST_TEST(budget.take(now));
    BOOST_TEST(!budget.take(now + Milliseconds(999)));
    BOOST_TEST(budget.take(now + Milliseconds(1000)));
}
