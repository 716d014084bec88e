#include "SimulatedTargets.h"
#include <boost/test/unit_test.hpp>

// On what proof a dispatcher takes a run as ended, when targets restart, move, and announce their end.

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t firstFence = 10;

}

// The new process has the same identity and obeys a start order that was meant for the earlier one.
BOOST_AUTO_TEST_CASE(start_that_a_restarted_target_obeys_before_its_first_list_does_not_run_twice)
{
    SimulatedFleet fleet(1);
    fleet.addTarget("target-a", 32);
    fleet.addTarget("target-b", 32);
    fleet.report();
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.run(1s);
    for (auto& [identity, target] : fleet.targets)
        target.restart();
    fleet.runTime = 2s;
    fleet.submit(0, makeJob("job", 1, 27));
    fleet.run(3s);
    BOOST_TEST(fleet.maximumConcurrentRuns() == 1U);
}

// The new process shortens the lease to the longest that targets grant, since the lease ends far ahead on its new clock.
BOOST_AUTO_TEST_CASE(unanswered_start_at_a_restarted_target_that_falls_silent_does_not_run_twice)
{
    SimulatedFleet fleet(1);
    fleet.addTarget("target-a", 32);
    fleet.addTarget("target-b", 32);
    fleet.report();
    fleet.dispatchers[0]->activate(firstFence, fleet.now);
    fleet.run(1s);
    for (auto& [identity, target] : fleet.targets)
        target.restart();
    std::string silent;
    fleet.injectFault = [&](size_t, const TargetInstance& instance, bool isStart) {
        SimulatedFleet::OrderFault fault;
        fault.orderLost = instance.identity == silent;
        if (isStart && silent.empty()) {
            silent = instance.identity;
            fault.answerLost = true;
        }
        return fault;
    };
    fleet.runTime = 2s;
    fleet.submit(0, makeJob("job", 1, 27));
    fleet.run(3s);
    BOOST_TEST(fleet.maximumConcurrentRuns() == 1U);
}
