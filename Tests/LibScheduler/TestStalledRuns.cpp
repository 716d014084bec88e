#include "SimulatedTargets.h"
#include <LibScheduler/Target/StallDetector.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

// Tasks stand still on some targets, while these targets answer as usual.
namespace {

constexpr Instant start { std::chrono::hours(1) };

struct Fixture {
    SimulatedFleet fleet { 1 };

    void addTargets(int count)
    {
        for (int i = 0; i < count; ++i)
            this->fleet.addTarget("target-" + std::to_string(i), 64);
        this->fleet.report();
        this->fleet.dispatchers[0]->activate(10, this->fleet.now);
        this->fleet.run(100ms);
    }

    void submit(const std::string& name, uint32_t tasks, Milliseconds estimate, Milliseconds untilDeadline)
    {
        auto job = makeJob(name, tasks, 27);
        job.estimateMilliseconds = estimate.count();
        job.untilDeadline = untilDeadline.count();
        this->fleet.submit(0, job);
    }

    SimulatedTarget& targetOf(const std::string& job)
    {
        auto position = std::find_if(this->fleet.targets.begin(), this->fleet.targets.end(), [&](const auto& entry) { return entry.second.isRunning(TaskId { job, 0, 0, 0 }); });
        BOOST_REQUIRE((position != this->fleet.targets.end()));
        return position->second;
    }

    uint64_t starts()
    {
        uint64_t sum = 0;
        for (const auto& [identity, target] : this->fleet.targets)
            sum += target.starts;
        return sum;
    }
};

}

BOOST_AUTO_TEST_CASE(run_is_stalled_once_its_progress_has_not_changed_for_some_time)
{
    StallDetector detector;
    BOOST_TEST(!detector.isStalled());
    detector.observe(10, start);
    detector.observe(20, start + 250ms);
    detector.observe(20, start + 500ms);
    BOOST_TEST(!detector.isStalled());
    detector.observe(20, start + 750ms);
    BOOST_TEST(detector.isStalled());
    detector.observe(21, start + 1s);
    BOOST_TEST(!detector.isStalled());
}

// Nothing is known of a run while its target does not answer.
BOOST_AUTO_TEST_CASE(run_that_was_seen_once_is_not_stalled)
{
    StallDetector detector;
    detector.observe(10, start);
    BOOST_TEST(!detector.isStalled());
    detector.observe(30, start + 2s);
    BOOST_TEST(!detector.isStalled());
}

BOOST_FIXTURE_TEST_CASE(task_that_stands_still_is_started_on_another_target_in_time, Fixture)
{
    this->addTargets(2);
    this->fleet.runTime = 900ms;
    this->submit("job", 1, 900ms, 5s);
    this->fleet.run(300ms);
    this->targetOf("job").tasksStandStill = true;
    BOOST_REQUIRE(this->fleet.runUntil([&] { return this->fleet.outcome("job") != nullptr; }, 3s));
    BOOST_TEST((this->fleet.outcome("job")->end == JobEnd::Completed));
    BOOST_TEST(this->starts() == 2U);
    BOOST_TEST(this->fleet.maximumConcurrentRuns() == 1U);
}

BOOST_FIXTURE_TEST_CASE(long_task_goes_on, Fixture)
{
    this->addTargets(2);
    this->fleet.runTime = 30s;
    this->submit("job", 1, 900ms, 60s);
    BOOST_REQUIRE(this->fleet.runUntil([&] { return this->fleet.outcome("job") != nullptr; }, 31s));
    BOOST_TEST(this->starts() == 1U);
}

// That a run always shows 0 percent does not say that it stands still, where no run shows more.
BOOST_FIXTURE_TEST_CASE(run_on_a_target_that_reports_no_progress_is_not_restarted, Fixture)
{
    this->addTargets(2);
    for (auto& [identity, target] : this->fleet.targets)
        target.reportsProgress = false;
    this->fleet.runTime = 900ms;
    this->submit("job", 1, 900ms, 5s);
    BOOST_REQUIRE(this->fleet.runUntil([&] { return this->fleet.outcome("job") != nullptr; }, 5s));
    BOOST_TEST(this->starts() == 1U);
}

BOOST_FIXTURE_TEST_CASE(task_that_could_not_end_in_time_elsewhere_is_not_restarted, Fixture)
{
    this->addTargets(2);
    this->fleet.runTime = 900ms;
    this->submit("job", 1, 900ms, 1500ms);
    this->fleet.run(100ms);
    this->targetOf("job").tasksStandStill = true;
    this->fleet.run(1300ms);
    BOOST_TEST(this->starts() == 1U);
}

BOOST_FIXTURE_TEST_CASE(task_that_stands_still_everywhere_is_not_restarted_endlessly, Fixture)
{
    this->addTargets(5);
    // A run that progresses shows that the targets report progress.
    this->submit("earlier", 1, 100ms, 20s);
    BOOST_REQUIRE(this->fleet.runUntil([&] { return this->fleet.outcome("earlier") != nullptr; }, 1s));
    for (auto& [identity, target] : this->fleet.targets)
        target.tasksStandStill = true;
    this->submit("job", 1, 100ms, 20s);
    this->fleet.run(19s);
    BOOST_TEST(this->starts() == 1U + 3U);
}

// On two of 18 targets, all tasks stand still for 5.5 s, while jobs of three kinds arrive that the other targets have room for.
BOOST_FIXTURE_TEST_CASE(no_job_misses_its_deadline_while_tasks_stand_still_on_some_targets, Fixture)
{
    static constexpr int rounds = 60;
    this->addTargets(18);
    this->fleet.runTime = 300ms;
    std::vector<std::string> jobs;
    for (int round = 0; round < rounds; ++round) {
        bool standStill = round >= 5 && round < 60;
        this->fleet.targets.at("target-3").tasksStandStill = standStill;
        this->fleet.targets.at("target-11").tasksStandStill = standStill;
        jobs.push_back("narrow-" + std::to_string(round));
        this->submit(jobs.back(), 2, 300ms, 2s);
        if (round % 3 == 0) {
            jobs.push_back("wide-" + std::to_string(round));
            this->submit(jobs.back(), 8, 300ms, 2s);
        }
        this->fleet.run(100ms);
    }
    this->fleet.run(3s);
    for (const auto& job : jobs) {
        BOOST_REQUIRE(this->fleet.outcome(job));
        BOOST_TEST((this->fleet.outcome(job)->end == JobEnd::Completed), job);
    }
    BOOST_TEST(this->fleet.maximumConcurrentRuns() == 1U);
    BOOST_TEST(!this->fleet.anyOvercommitted());
}

// Three of four targets do not answer. A job that the remaining one cannot finish in time is refused at once.
BOOST_FIXTURE_TEST_CASE(silent_targets_do_not_count_as_capacity_for_admission, Fixture)
{
    this->addTargets(4);
    this->fleet.runTime = 1s;
    this->submit("first", 2, 1s, 60s);
    this->fleet.run(100ms);
    this->fleet.injectFault = [](size_t, const TargetInstance& instance, bool) { return SimulatedFleet::OrderFault { 1ms, false, instance.identity != "target-0" }; };
    this->submit("queued", 16, 1s, 60s);
    this->fleet.run(2s);
    this->submit("late", 2, 1s, 4s);
    this->fleet.run(10ms);
    BOOST_REQUIRE(this->fleet.outcome("late"));
    BOOST_TEST((this->fleet.outcome("late")->end == JobEnd::Refused));
    BOOST_TEST(this->fleet.outcome("late")->retryAfterMilliseconds > 0);
}
