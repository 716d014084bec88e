#include "SimulatedTargets.h"
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

namespace {

// A dispatcher whose shard has one target of 16 cores in each domain, which has the name of the domain.
struct Fixture {
    SimulatedFleet fleet { 1 };
    TaskScheduler& dispatcher { *this->fleet.dispatchers[0] };

    explicit Fixture(const std::vector<std::string>& domains = { "north", "south" })
    {
        for (const auto& domain : domains) {
            this->fleet.addTarget(domain, 16);
            this->report(domain, 0ms);
        }
        this->dispatcher.activate(10, this->fleet.now);
        this->fleet.run(50ms);
    }

    void report(const std::string& target, Milliseconds coldLeft)
    {
        auto report = this->fleet.targets.at(target).report();
        report.failureDomain = target;
        report.coldLeftMilliseconds = coldLeft.count();
        this->fleet.report(report);
    }
    void evacuate(const std::set<std::string>& domains) { this->dispatcher.setEvacuatedDomains(&domains); }
    [[nodiscard]] uint64_t starts(const std::string& target) { return this->fleet.targets.at(target).starts; }
    [[nodiscard]] bool completes(const std::string& job)
    {
        return this->fleet.runUntil([&] { return this->fleet.outcome(job) != nullptr; }, 5s) && this->fleet.outcome(job)->end == JobEnd::Completed;
    }
    [[nodiscard]] bool isRefusedWithoutTarget(const std::string& job) const
    {
        const auto* outcome = this->fleet.outcome(job);
        return outcome && outcome->end == JobEnd::Refused && outcome->reason == "no-target" && outcome->retryAfterMilliseconds > 0 && outcome->starts == 0;
    }
};

}

BOOST_FIXTURE_TEST_CASE(running_tasks_continue_and_no_more_are_started_in_an_evacuated_domain, Fixture)
{
    auto capacity = this->dispatcher.loads().at(0).capacity;
    this->fleet.runTime = 400ms;
    this->fleet.submit(0, makeJob("earlier", 2, 12));
    this->fleet.run(100ms);
    this->evacuate({ "north" });
    BOOST_TEST(this->dispatcher.loads().at(0).capacity == capacity / 2);
    this->fleet.submit(0, makeJob("later", 3, 12));
    BOOST_TEST(this->completes("later"));
    BOOST_TEST(this->completes("earlier"));
    BOOST_TEST(this->starts("north") == 1U);
    BOOST_TEST(this->starts("south") == 4U);
}

// An expected wait of 0 for a capacity of 0 would admit jobs that no target may take, and jobs that wait already would do so until their
// deadline although another shard could run them.
BOOST_FIXTURE_TEST_CASE(shard_whose_targets_are_all_evacuated_refuses_jobs_at_once_and_reports_no_load, Fixture)
{
    this->fleet.runTime = 2s;
    this->fleet.submit(0, makeJob("running", 2, 16));
    this->fleet.run(50ms);
    this->fleet.submit(0, makeJob("waiting", 1, 16));
    this->evacuate({ "north", "south" });
    BOOST_TEST(this->dispatcher.loads().empty());
    this->fleet.submit(0, makeJob("new", 1, 12));
    this->fleet.run(10ms);
    BOOST_TEST(this->isRefusedWithoutTarget("new"));
    this->fleet.run(100ms);
    BOOST_TEST(this->isRefusedWithoutTarget("waiting"));
    BOOST_TEST(this->completes("running"));
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
    this->evacuate({});
    BOOST_TEST(this->completes("job"));
    BOOST_TEST(this->starts("north") + this->starts("south") == starts + 1);
}

BOOST_FIXTURE_TEST_CASE(no_task_starts_before_the_evacuated_domains_are_known, Fixture)
{
    this->dispatcher.setEvacuatedDomains(nullptr);
    this->fleet.submit(0, makeJob("job", 2, 12));
    this->fleet.run(500ms);
    BOOST_TEST(this->starts("north") + this->starts("south") == 0U);
    this->evacuate({ "north" });
    BOOST_TEST(this->completes("job"));
    BOOST_TEST(this->starts("north") == 0U);
}

BOOST_FIXTURE_TEST_CASE(targets_that_are_not_cold_are_preferred, Fixture)
{
    this->report("north", 10s);
    this->fleet.submit(0, makeJob("job", 2, 8));
    BOOST_TEST(this->completes("job"));
    BOOST_TEST(this->starts("north") == 0U);
}

// Targets that have just started were filled like all others, and were slow for all tasks.
BOOST_AUTO_TEST_CASE(cold_target_is_at_most_half_full_at_first_and_full_at_the_end)
{
    Fixture fixture({ "north" });
    fixture.fleet.runTime = 20s;
    fixture.report("north", 10s);
    auto job = makeJob("job", 16, 1);
    job.estimateMilliseconds = fixture.fleet.runTime.count();
    fixture.fleet.submit(0, job);
    for (auto [passed, least, most] : { std::tuple(1000ms, 1U, 2U), { 3900ms, 6U, 8U }, { 2600ms, 11U, 12U }, { 2600ms, 16U, 16U } }) {
        fixture.fleet.run(passed);
        auto running = fixture.fleet.targets.at("north").running().size();
        BOOST_TEST((running >= least && running <= most), running);
    }
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
    BOOST_TEST(!coldStart.admits(capacity, half, half, now));
    BOOST_TEST(!coldStart.admits(capacity, capacity, { 12'000, 0, 0 }, now + 7s));
    // The latest report of the process counts.
    coldStart.observe("1", 0ms, now + 1s);
    BOOST_TEST(coldStart.admits(capacity, half, half, now + 1s));
}
