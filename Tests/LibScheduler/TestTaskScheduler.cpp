#include "SimulatedTargets.h"
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t firstFence = 10;
constexpr uint64_t secondFence = 20;

SimulatedFleet makeFleet(size_t dispatchers, std::vector<int64_t> cores)
{
    SimulatedFleet fleet(dispatchers);
    char letter = 'a';
    for (auto count : cores)
        fleet.addTarget(std::string("target-") + letter++, count);
    fleet.report();
    return fleet;
}

}

BOOST_AUTO_TEST_CASE(each_task_of_a_job_runs_once)
{
    auto fleet = makeFleet(1, { 64, 64, 96 });
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.submit(0, makeJob("job", 8, 27));
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("job") != nullptr; }, 2s));
    BOOST_TEST((fleet.outcome("job")->end == JobEnd::Completed));
    uint64_t starts = 0;
    for (const auto& [identity, target] : fleet.targets)
        starts += target.starts;
    BOOST_TEST(starts == 8U);
    BOOST_TEST(!fleet.anyOvercommitted());
}

BOOST_AUTO_TEST_CASE(repeated_failures_of_a_task_fail_its_job)
{
    auto fleet = makeFleet(1, { 64, 64 });
    fleet.tasksFail = true;
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.submit(0, makeJob("job", 1, 27));
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("job") != nullptr; }, 10s));
    BOOST_TEST((fleet.outcome("job")->end == JobEnd::Failed));
}

BOOST_AUTO_TEST_CASE(no_run_starts_on_a_target_that_has_a_run_with_unknown_needs)
{
    auto fleet = makeFleet(2, { 64 });
    fleet.runTime = 30s;
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.submit(0, makeJob("earlier", 2, 30));
    BOOST_TEST(fleet.runUntil([&] { return fleet.targets.at("target-a").running().size() == 2; }, 1s));
    // The second dispatcher does not know the first job, and its hold and stop orders are delayed.
    fleet.dispatchers[0]->deactivate();
    fleet.owner.clear();
    fleet.dispatchers[1]->activate(secondFence, fleet.now);
    fleet.injectFault = [](size_t, const TargetInstance&, bool isStart) { return SimulatedFleet::OrderFault { isStart ? 1ms : 120ms }; };
    fleet.submit(1, makeJob("later", 2, 30));
    fleet.runTime = 50ms;
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("later") != nullptr; }, 10s));
    BOOST_TEST(!fleet.anyOvercommitted());
}

BOOST_AUTO_TEST_CASE(task_is_not_started_again_while_an_unanswered_start_may_be_running)
{
    auto fleet = makeFleet(1, { 32, 32 });
    fleet.runTime = 2s;
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    bool isFirstStart = true;
    fleet.injectFault = [&](size_t, const TargetInstance&, bool isStart) {
        bool lost = isStart && std::exchange(isFirstStart, isStart ? false : isFirstStart);
        return SimulatedFleet::OrderFault { 1ms, lost, false };
    };
    fleet.submit(0, makeJob("job", 1, 27));
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("job") != nullptr; }, 20s));
    BOOST_TEST(fleet.maximumConcurrentRuns() == 1U);
}

BOOST_AUTO_TEST_CASE(new_dispatcher_adopts_the_runs_of_an_earlier_one)
{
    auto fleet = makeFleet(2, { 64, 64 });
    fleet.runTime = 800ms;
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.submit(0, makeJob("job", 4, 27));
    fleet.run(200ms);
    fleet.dispatchers[0]->deactivate();
    fleet.dispatchers[1]->activate(secondFence, fleet.now);
    auto resubmission = makeJob("job", 4, 27);
    resubmission.firstRunNumber = 1001;
    resubmission.untilEarlierRunsEnd = 1250;
    fleet.submit(1, resubmission);
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("job") != nullptr; }, 5s));
    BOOST_TEST((fleet.outcome("job")->end == JobEnd::Completed));
    BOOST_TEST(fleet.maximumConcurrentRuns() == 1U);
    uint64_t starts = 0;
    for (const auto& [identity, target] : fleet.targets)
        starts += target.starts;
    BOOST_TEST(starts == 4U);
}

BOOST_AUTO_TEST_CASE(dispatcher_with_a_low_token_is_fenced_until_it_gets_a_higher_one)
{
    auto fleet = makeFleet(2, { 64 });
    fleet.dispatchers[1]->activate(secondFence, fleet.now);
    fleet.run(50ms);
    fleet.dispatchers[1]->deactivate();
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.run(500ms);
    BOOST_TEST(fleet.dispatchers[0]->hasFencedTargets());
    fleet.run(500ms);
    BOOST_TEST(fleet.dispatchers[0]->hasFencedTargets());
    fleet.dispatchers[0]->activate(secondFence + 1, fleet.now);
    fleet.run(50ms);
    BOOST_TEST(!fleet.dispatchers[0]->hasFencedTargets());
    fleet.submit(0, makeJob("job", 1, 27));
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("job") != nullptr; }, 2s));
}

BOOST_AUTO_TEST_CASE(runs_are_stopped_when_the_entry_lease_expires)
{
    auto fleet = makeFleet(1, { 64 });
    fleet.runTime = 30s;
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.submit(0, makeJob("job", 2, 27));
    fleet.run(200ms);
    fleet.entriesRenew = false;
    // Callers submit a job again 1300 ms after the loss of their connection; the runs have to end before that.
    BOOST_TEST(fleet.runUntil([&] { return fleet.targets.at("target-a").running().empty(); }, 1200ms));
}

// The target also has a run of a job that is renewed, so that it is held all the time.
BOOST_AUTO_TEST_CASE(run_ends_although_its_stop_is_never_carried_out)
{
    auto fleet = makeFleet(1, { 64 });
    fleet.runTime = 30s;
    fleet.stopsAreLost = true;
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.submit(0, makeJob("dropped", 1, 27));
    auto renewed = makeJob("renewed", 1, 27);
    renewed.estimateMilliseconds = 30'000;
    fleet.submit(0, renewed);
    fleet.run(200ms);
    BOOST_TEST(fleet.targets.at("target-a").running().size() == 2U);
    fleet.owner.erase("dropped");
    BOOST_TEST(fleet.runUntil([&] { return !fleet.targets.at("target-a").isRunning(TaskId { "dropped", 0, 0, 0 }); }, 1050ms));
    // The other run shares the lease of the target; its task is started again.
    BOOST_TEST(fleet.runUntil([&] { return fleet.targets.at("target-a").isRunning(TaskId { "renewed", 0, 0, 0 }); }, 2s));
    BOOST_TEST(fleet.maximumConcurrentRuns() == 1U);
}

// The leases that the first dispatcher has granted last 590 ms longer.
BOOST_AUTO_TEST_CASE(runs_of_a_replaced_dispatcher_that_are_adopted_before_their_lease_ends_continue)
{
    auto fleet = makeFleet(2, { 64 });
    fleet.runTime = 3s;
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.submit(0, makeJob("early", 1, 27));
    fleet.submit(0, makeJob("late", 1, 27));
    fleet.run(200ms);
    fleet.dispatchers[0]->deactivate();
    fleet.dispatchers[1]->activate(secondFence, fleet.now);
    for (const auto* name : { "early", "late" }) {
        fleet.run(150ms);
        auto resubmission = makeJob(name, 1, 27);
        resubmission.firstRunNumber = 1001;
        resubmission.untilEarlierRunsEnd = 1250;
        fleet.submit(1, resubmission);
    }
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("early") && fleet.outcome("late"); }, 5s));
    BOOST_TEST(fleet.targets.at("target-a").starts == 2U);
}

BOOST_AUTO_TEST_CASE(run_that_no_job_has_claimed_is_not_kept_alive)
{
    auto fleet = makeFleet(2, { 64 });
    fleet.runTime = 30s;
    fleet.stopsAreLost = true;
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.submit(0, makeJob("job", 1, 27));
    fleet.run(200ms);
    fleet.dispatchers[0]->deactivate();
    fleet.owner.clear();
    fleet.dispatchers[1]->activate(secondFence, fleet.now);
    BOOST_TEST(fleet.runUntil([&] { return fleet.targets.at("target-a").running().empty(); }, 650ms));
}

// Each of the dispatchers reaches one of the targets only. The entry host hands the job over to the second one, which adopts the run,
// shortly after its last renewal to the first one, where the leases of the run expire before the entry lease.
BOOST_AUTO_TEST_CASE(task_is_not_started_again_while_another_dispatcher_extends_its_run)
{
    auto fleet = makeFleet(2, { 32, 32 });
    fleet.runTime = 5s;
    fleet.entriesRenew = false;
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.submit(0, makeJob("job", 1, 27));
    fleet.run(100ms);
    BOOST_REQUIRE(fleet.targets.at("target-a").running().size() == 1U);
    fleet.injectFault = [](size_t dispatcher, const TargetInstance& instance, bool) {
        return SimulatedFleet::OrderFault { 1ms, false, instance.identity == (dispatcher == 0 ? "target-a" : "target-b") };
    };
    fleet.dispatchers[1]->activate(secondFence, fleet.now);
    fleet.run(200ms);
    (void)fleet.dispatchers[0]->renew("entry", { "job" }, fleet.now);
    auto resubmission = makeJob("job", 1, 27);
    resubmission.firstRunNumber = 1001;
    resubmission.untilEarlierRunsEnd = 1250;
    fleet.submit(1, resubmission);
    for (int i = 0; i < 10; ++i) {
        fleet.run(200ms);
        (void)fleet.dispatchers[1]->renew("entry", { "job" }, fleet.now);
    }
    BOOST_TEST(fleet.targets.at("target-a").running().size() == 1U);
    BOOST_TEST(fleet.maximumConcurrentRuns() == 1U);
}

BOOST_AUTO_TEST_CASE(task_on_a_target_that_no_longer_answers_is_started_elsewhere)
{
    auto fleet = makeFleet(1, { 32, 32 });
    fleet.runTime = 5s;
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    // Until then an earlier dispatcher may have obtained leases.
    fleet.run(1100ms);
    fleet.submit(0, makeJob("job", 1, 27));
    fleet.run(100ms);
    BOOST_REQUIRE(fleet.targets.at("target-a").running().size() == 1U);
    fleet.injectFault = [](size_t, const TargetInstance& instance, bool) { return SimulatedFleet::OrderFault { 1ms, false, instance.identity == "target-a" }; };
    // The first hold order that is lost carries a lease of 600 ms.
    BOOST_TEST(fleet.runUntil([&] { return fleet.targets.at("target-b").starts == 1; }, 20ms + 612ms + 50ms));
    BOOST_TEST(fleet.maximumConcurrentRuns() == 1U);
}

BOOST_AUTO_TEST_CASE(run_on_a_target_that_misses_one_hold_order_goes_on)
{
    auto fleet = makeFleet(1, { 32, 32 });
    fleet.runTime = 2s;
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.submit(0, makeJob("job", 1, 27));
    fleet.run(100ms);
    bool hasLostOrder = false;
    fleet.injectFault = [&](size_t, const TargetInstance& instance, bool) { return SimulatedFleet::OrderFault { 1ms, false, instance.identity == "target-a" && !std::exchange(hasLostOrder, true) }; };
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("job") != nullptr; }, 2s));
    BOOST_TEST(hasLostOrder);
    BOOST_TEST(fleet.targets.at("target-a").starts + fleet.targets.at("target-b").starts == 1U);
}

// The other dispatcher ends without adopting the run. The entry host stays with the first one.
BOOST_AUTO_TEST_CASE(task_of_a_fenced_target_is_started_elsewhere_once_its_entry_host_confirms_the_job)
{
    auto fleet = makeFleet(2, { 32, 32 });
    fleet.runTime = 5s;
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    // Until then an earlier dispatcher may have obtained leases.
    fleet.run(1100ms);
    fleet.submit(0, makeJob("job", 1, 27));
    fleet.run(100ms);
    BOOST_REQUIRE(fleet.targets.at("target-a").running().size() == 1U);
    fleet.injectFault = [](size_t dispatcher, const TargetInstance& instance, bool) { return SimulatedFleet::OrderFault { 1ms, false, dispatcher == 1 && instance.identity == "target-b" }; };
    fleet.dispatchers[1]->activate(secondFence, fleet.now);
    fleet.run(100ms);
    fleet.dispatchers[1]->deactivate();
    // The leases expire after 612 ms, and the entry host is asked then.
    BOOST_TEST(fleet.runUntil([&] { return fleet.targets.at("target-b").starts == 1; }, 612ms + 50ms));
    BOOST_TEST(fleet.maximumConcurrentRuns() == 1U);
}

// The entry host has handed the job over to a dispatcher of another shard and back, and its cancellation was lost. The other
// dispatcher starts the task once the run here has ended.
BOOST_AUTO_TEST_CASE(run_of_a_job_that_was_withdrawn_and_handed_back_is_not_continued)
{
    auto fleet = makeFleet(1, { 64 });
    fleet.runTime = 30s;
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.submit(0, makeJob("job", 1, 27));
    fleet.run(200ms);
    BOOST_REQUIRE(fleet.targets.at("target-a").running().size() == 1U);
    auto handedBack = makeJob("job", 1, 27);
    handedBack.firstRunNumber = 2001;
    handedBack.untilOtherShardRunsEnd = 1250;
    fleet.submit(0, handedBack);
    fleet.run(100ms);
    BOOST_TEST(fleet.targets.at("target-a").running().empty());
    fleet.run(1100ms);
    BOOST_TEST(fleet.targets.at("target-a").starts == 1U);
    fleet.run(200ms);
    BOOST_TEST(fleet.targets.at("target-a").starts == 2U);
    BOOST_TEST(fleet.targets.at("target-a").running().begin()->first.number >= 2001U);
}

// The entry host has withdrawn the first job, but its cancellation was lost.
BOOST_AUTO_TEST_CASE(run_of_a_withdrawn_job_is_not_kept_alive_by_other_jobs_of_its_entry_host)
{
    auto fleet = makeFleet(1, { 64 });
    fleet.runTime = 30s;
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.submit(0, makeJob("withdrawn", 1, 27));
    fleet.run(100ms);
    fleet.entriesRenew = false;
    for (int i = 0; i < 6; ++i) {
        fleet.submit(0, makeJob("job-" + std::to_string(i), 1, 27));
        fleet.run(200ms);
    }
    BOOST_TEST(!fleet.targets.at("target-a").isRunning(TaskId { "withdrawn", 0, 0, 0 }));
}

BOOST_AUTO_TEST_CASE(job_that_cannot_end_in_time_is_refused_before_its_deadline)
{
    auto fleet = makeFleet(1, { 32 });
    fleet.runTime = 3s;
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.submit(0, makeJob("long", 1, 27));
    fleet.run(50ms);
    auto urgent = makeJob("late", 1, 27);
    urgent.untilDeadline = 1000;
    fleet.submit(0, urgent);
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("late") != nullptr; }, 950ms));
    BOOST_TEST((fleet.outcome("late")->end == JobEnd::Refused));
    BOOST_TEST(fleet.targets.at("target-a").starts == 1U);
}

BOOST_AUTO_TEST_CASE(leaving_target_gets_no_new_runs)
{
    auto fleet = makeFleet(1, { 64, 64 });
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.run(50ms);
    auto& leaving = fleet.targets.at("target-a");
    leaving.state = Membership::TargetState::Leaving;
    ++leaving.sequence;
    fleet.report();
    fleet.submit(0, makeJob("job", 4, 27));
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("job") != nullptr; }, 2s));
    BOOST_TEST(leaving.starts == 0U);
}

BOOST_AUTO_TEST_CASE(restarted_target_is_used_again)
{
    auto fleet = makeFleet(1, { 64 });
    fleet.runTime = 400ms;
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.submit(0, makeJob("job", 2, 27));
    fleet.run(100ms);
    fleet.targets.at("target-a").restart();
    fleet.report();
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("job") != nullptr; }, 5s));
    BOOST_TEST((fleet.outcome("job")->end == JobEnd::Completed));
    BOOST_TEST(fleet.maximumConcurrentRuns() == 1U);
}

// Two dispatchers replace each other repeatedly, while orders and answers are lost or delayed. At no time may a task have two runs
// or a target be overcommitted.
BOOST_AUTO_TEST_CASE(random_faults_never_run_a_task_twice_at_once_or_overcommit_a_target)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        std::mt19937 random(seed);
        auto chance = [&](unsigned percent) { return random() % 100 < percent; };
        auto fleet = makeFleet(2, { 64, 64, 96 });
        fleet.injectFault = [&](size_t, const TargetInstance&, bool) {
            SimulatedFleet::OrderFault fault;
            fault.delay = Milliseconds(1 + random() % 5);
            if (chance(3))
                fault.delay = Milliseconds(2000 + random() % 3000);
            fault.answerLost = chance(3);
            fault.orderLost = chance(3);
            return fault;
        };
        size_t active = 0;
        uint64_t fence = firstFence;
        fleet.dispatchers[active]->activate(fence, fleet.now);
        std::vector<std::string> open;
        for (unsigned turn = 0; turn < 60; ++turn) {
            fleet.runTime = Milliseconds(50 + random() % 400);
            auto job = makeJob("job-" + std::to_string(turn), 1 + random() % 4, 20 + static_cast<int64_t>(random() % 20));
            open.push_back(job.job);
            fleet.submit(active, job);
            fleet.run(Milliseconds(20 + random() % 100));
            if (chance(6)) {
                // The previous dispatcher stays active for a while, as if it had not been notified of the change.
                size_t former = active;
                active = 1 - active;
                fleet.dispatchers[active]->deactivate();
                fleet.dispatchers[active]->activate(fence += 3, fleet.now);
                for (const auto& name : open) {
                    if (fleet.outcome(name))
                        continue;
                    auto resubmission = fleet.submissions.at(name);
                    resubmission.firstRunNumber += 1000;
                    resubmission.untilEarlierRunsEnd = 1250;
                    fleet.submit(active, resubmission);
                }
                fleet.run(Milliseconds(random() % 200));
                fleet.dispatchers[former]->deactivate();
            }
        }
        fleet.run(4s);
        BOOST_TEST(!fleet.anyOvercommitted(), "seed " << seed);
        BOOST_TEST(fleet.maximumConcurrentRuns() <= 1U, "seed " << seed);
    }
}

// If a burst exceeds the capacity of the targets, jobs that can still meet their objective are served before those that cannot.
BOOST_AUTO_TEST_CASE(late_jobs_are_served_after_jobs_that_can_meet_their_objective)
{
    auto fleet = makeFleet(1, { 32 });
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    for (int i = 0; i < 20; ++i) {
        auto job = makeJob("early-" + std::to_string(i), 1, 27);
        job.untilObjective = 400;
        fleet.submit(0, job);
    }
    fleet.run(600ms);
    auto fresh = makeJob("fresh", 1, 27);
    fresh.untilObjective = 400;
    auto submitted = fleet.now;
    fleet.submit(0, fresh);
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("fresh") != nullptr; }, 400ms));
    BOOST_TEST((fleet.now - submitted <= 400ms));
    BOOST_TEST(fleet.outcome("early-19") == nullptr);
    // Jobs that missed their objective still complete.
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("early-19") != nullptr; }, 5s));
    BOOST_TEST((fleet.outcome("early-19")->end == JobEnd::Completed));
}

// If a start order is lost or delayed by seconds, its task must be started again soon.
BOOST_AUTO_TEST_CASE(lost_start_order_is_replaced_quickly)
{
    auto fleet = makeFleet(1, { 64, 64 });
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.run(50ms);
    bool isFirstStart = true;
    fleet.injectFault = [&](size_t, const TargetInstance&, bool isStart) {
        SimulatedFleet::OrderFault fault;
        fault.orderLost = isStart && std::exchange(isFirstStart, isStart ? false : isFirstStart);
        return fault;
    };
    fleet.submit(0, makeJob("job", 1, 27));
    // The start order times out after 350 ms. Then follow the stop order, the hold order whose answer shows that the run has not
    // started, and the second run.
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("job") != nullptr; }, 350ms + 150ms));
    BOOST_TEST(fleet.maximumConcurrentRuns() == 1U);
}

BOOST_AUTO_TEST_CASE(job_is_not_refused_for_lack_of_targets_before_all_targets_are_known)
{
    SimulatedFleet fleet(1);
    fleet.addTarget("target-a", 64);
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.dispatchers[0]->setKnowsAllTargets(false);
    fleet.submit(0, makeJob("job", 1, 27));
    fleet.run(300ms);
    BOOST_TEST(fleet.outcome("job") == nullptr);
    fleet.report();
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("job") != nullptr; }, 1s));
    BOOST_TEST((fleet.outcome("job")->end == JobEnd::Completed));
}

// If a target disappears without notice, only the start order that is already sent may be lost; later start orders go to other
// targets.
BOOST_AUTO_TEST_CASE(target_with_an_unanswered_start_gets_no_further_start_orders)
{
    auto fleet = makeFleet(1, { 64, 64 });
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.run(50ms);
    uint64_t startsSent = 0;
    fleet.injectFault = [&](size_t, const TargetInstance& instance, bool isStart) {
        bool isUnreachable = instance.identity == "target-a";
        startsSent += isUnreachable && isStart ? 1 : 0;
        return SimulatedFleet::OrderFault { 1ms, false, isUnreachable };
    };
    for (int i = 0; i < 10; ++i) {
        fleet.submit(0, makeJob("job-" + std::to_string(i), 1, 27));
        fleet.run(500ms);
    }
    BOOST_TEST(startsSent == 1U);
}

// After a network partition heals, the second dispatcher reaches a target on which the first one has kept a run alive by renewing
// its lease. The second dispatcher does not know the end of that lease, and must not consider it expired.
BOOST_AUTO_TEST_CASE(run_discovered_by_a_late_claim_is_not_considered_expired)
{
    auto fleet = makeFleet(2, { 32, 32 });
    fleet.runTime = 4s;
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.submit(0, makeJob("job", 1, 27));
    fleet.run(100ms);
    bool isCut = true;
    fleet.injectFault = [&](size_t dispatcher, const TargetInstance&, bool) { return SimulatedFleet::OrderFault { 1ms, false, dispatcher == 1 && isCut }; };
    fleet.dispatchers[1]->activate(secondFence, fleet.now);
    fleet.run(2s);
    isCut = false;
    fleet.dispatchers[0]->deactivate();
    auto resubmission = makeJob("job", 1, 27);
    resubmission.firstRunNumber = 1001;
    fleet.submit(1, resubmission);
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("job") != nullptr; }, 10s));
    uint64_t starts = 0;
    for (const auto& [identity, target] : fleet.targets)
        starts += target.starts;
    BOOST_TEST(starts == 1U);
    BOOST_TEST(fleet.maximumConcurrentRuns() == 1U);
}

BOOST_AUTO_TEST_CASE(run_in_an_unreadable_row_is_not_started_again)
{
    auto fleet = makeFleet(1, { 64 });
    fleet.runTime = 400ms;
    auto& target = fleet.targets.at("target-a");
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.submit(0, makeJob("job", 2, 27));
    BOOST_TEST(fleet.runUntil([&] { return target.running().size() == 2; }, 1s));
    target.hasUnreadableRow = true;
    fleet.run(300ms);
    BOOST_TEST(target.starts == 2U);
    // The end of a run in an unreadable row may be a success, so the task is not started again either.
    fleet.run(1s);
    BOOST_TEST(target.starts == 2U);
    BOOST_TEST(target.running().empty());
    BOOST_TEST(!fleet.outcome("job"));
    target.hasUnreadableRow = false;
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("job") != nullptr; }, 2s));
    BOOST_TEST((fleet.outcome("job")->end == JobEnd::Completed));
    BOOST_TEST(target.starts == 2U);
    BOOST_TEST(fleet.maximumConcurrentRuns() == 1U);
}

BOOST_AUTO_TEST_CASE(target_with_an_unreadable_row_is_not_claimed)
{
    auto fleet = makeFleet(1, { 64, 64 });
    fleet.targets.at("target-a").hasUnreadableRow = true;
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.submit(0, makeJob("job", 2, 27));
    BOOST_TEST(fleet.runUntil([&] { return fleet.outcome("job") != nullptr; }, 2s));
    BOOST_TEST(fleet.targets.at("target-a").starts == 0U);
    BOOST_TEST(fleet.targets.at("target-b").starts == 2U);
    // The target is asked again from time to time, not with each answer.
    BOOST_TEST(fleet.targets.at("target-a").holds < 5U);
}

// A caller may ask for as many tasks as a description can name. A few such jobs must not use up the memory of every dispatcher that
// they are handed over to.
BOOST_AUTO_TEST_CASE(number_of_tasks_of_open_jobs_is_limited)
{
    static constexpr uint32_t manyTasks = 100'000;
    auto fleet = makeFleet(1, { 64 });
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    auto submit = [&](const std::string& name) {
        auto job = makeJob(name, manyTasks, 27);
        job.estimateMilliseconds = 1;
        fleet.submit(0, job);
    };
    for (int i = 0; i < 30; ++i)
        submit("large-" + std::to_string(i));
    BOOST_TEST(fleet.dispatchers[0]->openJobs() == TaskScheduler::Options {}.maximumTasks / manyTasks);
    fleet.run(2ms);
    BOOST_REQUIRE(fleet.outcome("large-29"));
    BOOST_TEST(fleet.outcome("large-29")->reason == "overloaded");
    BOOST_TEST(fleet.outcome("large-29")->retryAfterMilliseconds > 0);
    // The limit counts open jobs only.
    fleet.dispatchers[0]->cancel("entry", "large-0", fleet.now);
    submit("later");
    BOOST_TEST(fleet.dispatchers[0]->openJobs() == TaskScheduler::Options {}.maximumTasks / manyTasks);
}
