#include "SimulatedTargets.h"
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t firstFence = 10;

std::map<std::string, std::string> relaysOfTargets(const RelayAssignment& assignment)
{
    std::map<std::string, std::string> relays;
    for (int i = 0; i < 117; ++i) {
        auto target = "target-" + std::to_string(i);
        relays.emplace(target, *assignment.relayFor(target));
    }
    return relays;
}

SimulatedFleet makeFleet(size_t dispatchers)
{
    SimulatedFleet fleet(dispatchers, [] {
        TaskScheduler::Options options;
        options.leases.answerTimeout = 340ms;
        return options;
    }());
    for (int i = 0; i < 6; ++i)
        fleet.addTarget("target-" + std::to_string(i), 64);
    for (int i = 0; i < 4; ++i)
        fleet.relays.push_back(SimulatedRelay { "relay-" + std::to_string(i) });
    fleet.report();
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.run(100ms);
    return fleet;
}

// The relay of the first place, which has targets of the fleet.
SimulatedRelay& relayInUse(SimulatedFleet& fleet)
{
    const auto& address = *fleet.relayPaths[0].assignment.relayFor("target-0");
    return *std::find_if(fleet.relays.begin(), fleet.relays.end(), [&](const auto& relay) { return relay.address == address; });
}

void submitJobs(SimulatedFleet& fleet, const std::string& prefix)
{
    for (int i = 0; i < 6; ++i)
        fleet.submit(0, makeJob(prefix + std::to_string(i), 2, 30));
}

bool allCompleted(const SimulatedFleet& fleet)
{
    return std::all_of(fleet.submissions.begin(), fleet.submissions.end(), [&](const auto& entry) {
        const auto* outcome = fleet.outcome(entry.first);
        return outcome && outcome->end == JobEnd::Completed;
    });
}

// Jobs are served before, during and after a failure of a relay, and no task runs twice.
void checkFailure(const std::function<void(SimulatedFleet&, SimulatedRelay&)>& fail, bool isReported)
{
    auto fleet = makeFleet(1);
    submitJobs(fleet, "before-");
    fleet.run(10ms);
    auto& relay = relayInUse(fleet);
    auto address = relay.address;
    fail(fleet, relay);
    submitJobs(fleet, "during-");
    BOOST_TEST(fleet.runUntil([&] { return relayInUse(fleet).address != address; }, 500ms));
    if (!isReported)
        BOOST_TEST(fleet.relayPaths[0].unansweredCalls > 0U);
    BOOST_TEST(fleet.runUntil([&] { return allCompleted(fleet); }, 3s));
    BOOST_TEST(fleet.maximumConcurrentRuns() == 1U);
    BOOST_TEST(!fleet.anyOvercommitted());
}

}

BOOST_AUTO_TEST_CASE(relays_are_the_fewest_that_leave_each_with_thirty_targets)
{
    RelayAssignment assignment;
    std::vector<std::string> candidates { "a", "b", "c", "d", "e", "f" };
    for (auto [targets, relays] : { std::pair<size_t, size_t> { 30, 0 }, { 31, 2 }, { 60, 2 }, { 61, 3 }, { 117, 4 } }) {
        assignment = {};
        (void)assignment.update(candidates, "shard", targets);
        BOOST_TEST(assignment.relays().size() == relays);
        BOOST_TEST((assignment.relayFor("target") != nullptr) == (relays > 0));
    }
    // A target that comes and goes at the limit must not move the targets of others.
    BOOST_TEST(!assignment.update(candidates, "shard", 88));
    BOOST_TEST(assignment.update(candidates, "shard", 85));
}

BOOST_AUTO_TEST_CASE(loss_of_a_relay_reassigns_its_targets_only)
{
    RelayAssignment assignment;
    (void)assignment.update({ "a", "b", "c", "d", "e" }, "shard", 117);
    auto before = relaysOfTargets(assignment);
    auto lost = assignment.relays().front();
    std::vector<std::string> remaining { "a", "b", "c", "d", "e" };
    std::erase(remaining, lost);
    for (size_t step = 0; step < 2; ++step) {
        // First with a replacement, then without one.
        BOOST_TEST(assignment.update(remaining, "shard", 117));
        for (const auto& [target, relay] : relaysOfTargets(assignment))
            BOOST_TEST(((before.at(target) == lost) ? relay != lost : relay == before.at(target)));
        before = relaysOfTargets(assignment);
        lost = assignment.relays().back();
        std::erase(remaining, lost);
    }
    (void)assignment.update({}, "shard", 117);
    BOOST_TEST(!assignment.relayFor("target-0"));
}

BOOST_AUTO_TEST_CASE(answers_to_calls_that_are_not_open_are_ignored)
{
    RelayedCalls calls(7);
    Instant now { 1h };
    auto number = calls.open(StartOrder {}, "relay", 150ms, now);
    BOOST_TEST(!calls.close(8, number, "relay").has_value());
    BOOST_TEST(!calls.close(7, number, "other").has_value());
    BOOST_TEST(!calls.close(7, number + 1, "relay").has_value());
    BOOST_TEST(calls.close(7, number, "relay").has_value());
    BOOST_TEST(!calls.close(7, number, "relay").has_value());
    // Late answers.
    number = calls.open(StartOrder {}, "relay", 150ms, now);
    (void)calls.takeExpired(now + 250ms);
    BOOST_TEST(calls.takeExpired(now + 251ms).size() == 1U);
    BOOST_TEST(!calls.close(7, number, "relay").has_value());
}

// Guards against a relay that keeps the leases of its targets from being renewed until each hold order has expired, and against taking the
// outcome of starts for known.
BOOST_AUTO_TEST_CASE(unanswered_call_loses_its_relay_and_ends_the_hold_orders_there)
{
    RelayedCalls calls(7);
    Instant now { 1h };
    (void)calls.open(StopOrder {}, "silent", 150ms, now);
    (void)calls.open(HoldOrder {}, "silent", 450ms, now);
    (void)calls.open(StartOrder {}, "silent", 150ms, now + 100ms);
    (void)calls.open(HoldOrder {}, "other", 450ms, now);
    BOOST_TEST(calls.takeExpired(now + 249ms).empty());
    // Answers that arrived during a pause of this process are read between two checks.
    BOOST_TEST(calls.takeExpired(now + 260ms).empty());
    BOOST_TEST(calls.takeExpired(now + 280ms).size() == 2U);
    BOOST_TEST((calls.takeLostRelays() == std::vector<std::string> { "silent" }));
    BOOST_TEST(calls.openCalls() == 2U);
    BOOST_TEST(calls.isLost("silent", now + 280ms + RelayedCalls::lostRelayPause - 1ms));
    BOOST_TEST(!calls.isLost("silent", now + 280ms + RelayedCalls::lostRelayPause));
    BOOST_TEST(!calls.isLost("other", now + 280ms));
}

BOOST_AUTO_TEST_CASE(open_calls_are_bounded)
{
    RelayedCalls calls(7);
    for (size_t i = 0; i < RelayedCalls::maximumOpenCalls; ++i) {
        BOOST_REQUIRE(calls.hasRoom());
        (void)calls.open(StopOrder {}, "relay", 150ms, Instant { 1h });
    }
    BOOST_TEST(!calls.hasRoom());
}

// A verdict that a later version adds must not be taken for "not run", and a list is no answer to a start.
BOOST_AUTO_TEST_CASE(answer_of_another_kind_leaves_the_outcome_unknown)
{
    auto unknown = [](const auto& answer) { return std::get<Unanswered>(answer).verdict == Verdict::MayHaveRun; };
    BOOST_TEST(unknown(toOrderAnswer({ 1, RunList {} })));
    BOOST_TEST(unknown(toHoldAnswer({ 1, Acknowledged { 5 } })));
    BOOST_TEST(unknown(toOrderAnswer({ 1, Unanswered { static_cast<Verdict>(77) } })));
    BOOST_TEST((std::get<Unanswered>(toOrderAnswer({ 1, Unanswered { Verdict::NotRun } })).verdict == Verdict::NotRun));
}

BOOST_AUTO_TEST_CASE(jobs_are_served_when_a_relay_dies_or_restarts)
{
    // A process that has taken its place does not answer the orders of the former one.
    checkFailure([](auto&, auto& relay) { ++relay.process; }, false);
}

BOOST_AUTO_TEST_CASE(jobs_are_served_when_a_relay_freezes)
{
    checkFailure([](auto& fleet, auto& relay) { relay.pausedUntil = fleet.now + 700ms; }, false);
}

BOOST_AUTO_TEST_CASE(jobs_are_served_when_a_relay_is_partitioned)
{
    checkFailure([](auto&, auto& relay) { relay.isPartitioned = true; }, false);
}

BOOST_AUTO_TEST_CASE(relay_that_leaves_gets_no_new_orders_and_returns_all_answers)
{
    checkFailure([](auto&, auto& relay) { relay.isLeaving = true; }, true);
    auto fleet = makeFleet(1);
    auto& relay = relayInUse(fleet);
    relay.isLeaving = true;
    fleet.run(50ms);
    auto received = relay.ordersReceived;
    submitJobs(fleet, "after-");
    BOOST_TEST(fleet.runUntil([&] { return allCompleted(fleet); }, 2s));
    BOOST_TEST(relay.ordersReceived == received);
    BOOST_TEST(fleet.relayPaths[0].unansweredCalls == 0U);
}

BOOST_AUTO_TEST_CASE(orders_are_sent_directly_without_any_relay)
{
    auto fleet = makeFleet(1);
    for (auto& relay : fleet.relays)
        relay.isPartitioned = true;
    submitJobs(fleet, "job-");
    BOOST_TEST(fleet.runUntil([&] { return allCompleted(fleet); }, 3s));
    BOOST_TEST(fleet.maximumConcurrentRuns() == 1U);
}

// Relays die, freeze, are partitioned and leave, orders and answers are lost or late, and the dispatcher is replaced while its orders are
// on their way through relays.
BOOST_AUTO_TEST_CASE(random_faults_of_relays_never_run_a_task_twice_at_once_or_overcommit_a_target)
{
    uint64_t unanswered = 0;
    uint64_t ignored = 0;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 random(seed);
        auto chance = [&](unsigned percent) { return random() % 100 < percent; };
        auto fleet = makeFleet(2);
        fleet.injectFault = [&](size_t, const TargetInstance&, bool) { return SimulatedFleet::OrderFault { Milliseconds(1 + random() % 5 + (chance(2) ? 2000 : 0)), chance(2), chance(2) }; };
        size_t active = 0;
        uint64_t fence = firstFence;
        for (unsigned turn = 0; turn < 60; ++turn) {
            fleet.runTime = Milliseconds(50 + random() % 400);
            fleet.submit(active, makeJob("job-" + std::to_string(turn), 1 + random() % 4, 20 + static_cast<int64_t>(random() % 20)));
            fleet.run(Milliseconds(20 + random() % 100));
            auto& relay = fleet.relays[random() % fleet.relays.size()];
            relay.process += chance(8) ? 1 : 0;
            relay.isPartitioned = chance(15);
            relay.isLeaving = chance(15);
            if (chance(15))
                relay.pausedUntil = fleet.now + Milliseconds(100 + random() % 1000);
            if (!chance(6))
                continue;
            size_t former = std::exchange(active, 1 - active);
            fleet.dispatchers[active]->deactivate();
            fleet.dispatchers[active]->activate(fence += 3, fleet.now);
            for (const auto& [name, submission] : std::map(fleet.submissions)) {
                if (fleet.outcome(name))
                    continue;
                auto resubmission = submission;
                resubmission.firstRunNumber += 1000;
                resubmission.untilEarlierRunsEnd = 1250;
                fleet.submit(active, resubmission);
            }
            fleet.run(Milliseconds(random() % 200));
            fleet.dispatchers[former]->deactivate();
        }
        fleet.run(4s);
        for (const auto& path : fleet.relayPaths) {
            unanswered += path.unansweredCalls;
            ignored += path.ignoredAnswers;
        }
        BOOST_TEST(!fleet.anyOvercommitted(), "seed " << seed);
        BOOST_TEST(fleet.maximumConcurrentRuns() <= 1U, "seed " << seed);
    }
    // The faults have had effects.
    BOOST_TEST(unanswered > 100U);
    BOOST_TEST(ignored > 100U);
}
