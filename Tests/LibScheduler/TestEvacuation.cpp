#include "SimulatedTargets.h"
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t fence = 10;
using Domains = std::set<std::string>;

// A dispatcher whose shard has one target of 16 cores in each domain.
struct Fixture {
    SimulatedFleet fleet { 1 };
    TaskScheduler& dispatcher { *this->fleet.dispatchers[0] };

    explicit Fixture(std::vector<std::string> domains = { "north", "south" })
    {
        for (const auto& domain : domains) {
            auto report = this->fleet.addTarget(domain, 16).report();
            report.failureDomain = domain;
            this->fleet.report(report);
        }
        this->dispatcher.activate(fence, this->fleet.now);
        this->fleet.run(50ms);
    }

    void evacuate(const Domains& domains) { this->dispatcher.setEvacuatedDomains(&domains); }
    [[nodiscard]] uint64_t starts(const std::string& target) { return this->fleet.targets.at(target).starts; }
    [[nodiscard]] bool ends(const std::string& job)
    {
        return this->fleet.runUntil([&] { return this->fleet.outcome(job) != nullptr; }, 5s);
    }
    [[nodiscard]] std::string refusal(const std::string& job) const
    {
        const auto* outcome = this->fleet.outcome(job);
        return outcome && outcome->end == JobEnd::Refused ? outcome->reason : "";
    }
    void reportColdTime(const std::string& target, Milliseconds left)
    {
        auto report = this->fleet.targets.at(target).report();
        report.failureDomain = target;
        report.coldLeftMilliseconds = left.count();
        this->fleet.report(report);
    }
};

}

BOOST_FIXTURE_TEST_CASE(running_tasks_continue_and_no_more_are_started_in_an_evacuated_domain, Fixture)
{
    this->fleet.runTime = 400ms;
    this->fleet.submit(0, makeJob("earlier", 2, 12));
    this->fleet.run(100ms);
    BOOST_REQUIRE(this->starts("north") == 1U);
    this->evacuate({ "north" });
    this->fleet.submit(0, makeJob("later", 3, 12));
    BOOST_TEST(this->ends("later"));
    BOOST_TEST(this->starts("north") == 1U);
    BOOST_TEST(this->starts("south") == 4U);
    BOOST_TEST((this->fleet.outcome("earlier")->end == JobEnd::Completed));
}

BOOST_FIXTURE_TEST_CASE(withdrawn_evacuation_makes_targets_usable_again, Fixture)
{
    this->evacuate({ "north" });
    this->evacuate({});
    this->fleet.submit(0, makeJob("job", 2, 12));
    BOOST_TEST(this->ends("job"));
    BOOST_TEST(this->starts("north") == 1U);
}

// An expected wait of 0 for a capacity of 0 would admit jobs that no target may take.
BOOST_FIXTURE_TEST_CASE(shard_without_other_targets_refuses_at_once_and_reports_no_load, Fixture)
{
    this->evacuate({ "north", "south" });
    this->fleet.submit(0, makeJob("job", 1, 12));
    this->fleet.run(10ms);
    BOOST_TEST(this->refusal("job") == "no-target");
    BOOST_TEST(this->fleet.outcome("job")->retryAfterMilliseconds > 0);
    BOOST_TEST(this->fleet.outcome("job")->starts == 0U);
    BOOST_TEST(this->dispatcher.loads().empty());
}

BOOST_FIXTURE_TEST_CASE(evacuated_targets_do_not_count_in_the_loads, Fixture)
{
    auto before = this->dispatcher.loads().at(0).capacity;
    this->evacuate({ "north" });
    BOOST_TEST(this->dispatcher.loads().at(0).capacity == before / 2);
}

// Its entry host would wait for the deadline although another shard could run the job.
BOOST_FIXTURE_TEST_CASE(job_that_waits_is_refused_when_its_last_targets_are_evacuated, Fixture)
{
    this->fleet.runTime = 2s;
    this->fleet.submit(0, makeJob("running", 2, 16));
    this->fleet.run(50ms);
    this->fleet.submit(0, makeJob("waiting", 1, 16));
    this->fleet.run(50ms);
    this->evacuate({ "north", "south" });
    this->fleet.run(100ms);
    BOOST_TEST(this->refusal("waiting") == "no-target");
    BOOST_TEST(this->ends("running"));
    BOOST_TEST((this->fleet.outcome("running")->end == JobEnd::Completed));
}

// If it were refused, its entry host would offer it to another shard, which would run the done tasks again.
BOOST_FIXTURE_TEST_CASE(job_with_done_tasks_that_is_submitted_again_waits_for_evacuated_targets, Fixture)
{
    auto job = makeJob("job", 3, 16);
    this->fleet.submit(0, job);
    this->fleet.run(150ms);
    this->dispatcher.cancel("entry", "job", this->fleet.now);
    this->fleet.run(100ms);
    auto starts = this->starts("north") + this->starts("south");
    this->evacuate({ "north", "south" });
    job.firstRunNumber = 100;
    this->fleet.submit(0, job);
    this->fleet.run(200ms);
    BOOST_TEST(this->refusal("job") == "");
    this->evacuate({});
    BOOST_TEST(this->ends("job"));
    BOOST_TEST((this->fleet.outcome("job")->end == JobEnd::Completed));
    BOOST_TEST(this->starts("north") + this->starts("south") == starts + 1);
}

BOOST_FIXTURE_TEST_CASE(no_task_starts_before_the_evacuated_domains_are_known, Fixture)
{
    this->dispatcher.setEvacuatedDomains(nullptr);
    this->fleet.submit(0, makeJob("job", 2, 12));
    this->fleet.run(500ms);
    BOOST_TEST(this->starts("north") + this->starts("south") == 0U);
    this->evacuate({ "north" });
    BOOST_TEST(this->ends("job"));
    BOOST_TEST(this->starts("north") == 0U);
}

BOOST_FIXTURE_TEST_CASE(targets_that_are_not_cold_are_preferred, Fixture)
{
    this->reportColdTime("north", 10s);
    this->fleet.submit(0, makeJob("job", 2, 8));
    BOOST_TEST(this->ends("job"));
    BOOST_TEST(this->starts("north") == 0U);
}

BOOST_AUTO_TEST_CASE(cold_target_is_at_most_half_full_at_first_and_full_at_the_end)
{
    Fixture fixture({ "north" });
    fixture.fleet.runTime = 20s;
    fixture.reportColdTime("north", 10s);
    auto job = makeJob("job", 16, 1);
    job.estimateMilliseconds = fixture.fleet.runTime.count();
    fixture.fleet.submit(0, job);
    auto running = [&] { return fixture.fleet.targets.at("north").running().size(); };
    fixture.fleet.run(1s);
    BOOST_TEST(running() >= 1U);
    BOOST_TEST(running() <= 2U);
    fixture.fleet.run(3900ms);
    BOOST_TEST(running() >= 6U);
    BOOST_TEST(running() <= 8U);
    fixture.fleet.run(2600ms);
    BOOST_TEST(running() >= 11U);
    BOOST_TEST(running() <= 12U);
    fixture.fleet.run(2600ms);
    BOOST_TEST(running() == 16U);
}

// Most tasks need more than the share that a target may use shortly after its start.
BOOST_AUTO_TEST_CASE(unused_cold_target_takes_one_task_of_half_its_size)
{
    ColdStart coldStart;
    Catalog::Resources capacity { 16'000, 0, 0 };
    Catalog::Resources half { 8'000, 0, 0 };
    Instant now { 1h };
    coldStart.observe("1", 10s, now);
    BOOST_TEST(coldStart.admits(capacity, capacity, half, now));
    BOOST_TEST(!coldStart.admits(capacity, half, { 1, 0, 0 }, now));
    BOOST_TEST(!coldStart.admits(capacity, capacity, { 12'000, 0, 0 }, now + 7s));
    BOOST_TEST(coldStart.admits(capacity, capacity, { 12'000, 0, 0 }, now + 7500ms));
    // A later report of the same process moves the end, not the whole time; a report of 0 ends it.
    coldStart.observe("1", 1s, now + 1s);
    BOOST_TEST(coldStart.admits(capacity, half, half, now + 2s));
    coldStart.observe("1", 5s, now + 2s);
    BOOST_TEST(!coldStart.admits(capacity, half, half, now + 2s));
    coldStart.observe("1", 0ms, now + 2s);
    BOOST_TEST(coldStart.admits(capacity, half, half, now + 2s));
}
