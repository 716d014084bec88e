#include "LossSchedule.h"
#include "SimulatedHosts.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Ledger;
using namespace std::chrono_literals;

// What a group keeps when as many disks are lost as it has to tolerate, and other hosts are down.
namespace {

constexpr uint64_t seeds = 20;
// How long a group has to recover after all hosts are back.
constexpr Milliseconds recoveryTime { 12'000 };
// How long a new host, or one that has returned, counts as lost.
constexpr Milliseconds catchUpTime { 4000 };
// How long a process that was asked to end may take.
constexpr Milliseconds shutdownTimeout { 6000 };
// How long the acknowledgment of a command may take.
constexpr Milliseconds acknowledgmentTime { 4000 };

void loseDisks(SimulatedHosts& hosts, std::initializer_list<size_t> lost)
{
    for (auto host : lost) {
        hosts.stop(host);
        hosts.loseDisk(host);
    }
}

void start(SimulatedHosts& hosts, std::initializer_list<size_t> stopped)
{
    for (auto host : stopped)
        hosts.start(host);
}

// Waits for the end of processes that were asked to end.
void runUntilEnded(SimulatedHosts& hosts, std::initializer_list<size_t> ending)
{
    auto isRunning = [&](size_t host) { return hosts.isRunning(host); };
    for (auto end = hosts.now() + shutdownTimeout; hosts.now() < end && std::any_of(ending.begin(), ending.end(), isRunning);)
        hosts.runFor(20ms);
    BOOST_TEST(std::none_of(ending.begin(), ending.end(), isRunning));
}

// Adds empty hosts, and asks others to end once the new ones had time to catch up. None of the others comes back.
void replaceAsPlanned(SimulatedHosts& hosts, std::initializer_list<size_t> replaced)
{
    for (size_t i = 0; i < replaced.size(); ++i)
        hosts.start(hosts.addHost());
    hosts.runFor(catchUpTime + 1s);
    for (auto host : replaced)
        hosts.terminate(host);
    runUntilEnded(hosts, replaced);
}

// Proposes a command, and returns it once it is accepted.
std::string acceptCommand(SimulatedHosts& hosts)
{
    auto outcome = hosts.propose(0);
    hosts.runFor(1s);
    BOOST_REQUIRE(outcome->isAccepted());
    return outcome->command;
}

// Checks that the group accepts a command again, and that the hosts have it and the one that was accepted before the losses.
void checkRecovery(SimulatedHosts& hosts, std::initializer_list<size_t> running, const std::string& accepted)
{
    hosts.runFor(recoveryTime);
    BOOST_REQUIRE(hosts.leader().has_value());
    auto outcome = hosts.propose(*hosts.leader());
    hosts.runFor(1s);
    BOOST_TEST(outcome->isAccepted());
    for (auto host : running) {
        BOOST_TEST(hosts.commands(host).contains(accepted));
        BOOST_TEST(hosts.commands(host).contains(outcome->command));
    }
}

}

// Guards against a group that shrinks, while hosts are down, to so few voters that the disk losses which it has to tolerate take its
// quorum.
BOOST_AUTO_TEST_CASE(two_disks_lost_while_two_other_hosts_are_down_leave_a_quorum)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            SimulatedHosts hosts(seed, 6, 2);
            hosts.runFor(3s);
            hosts.stop(4);
            hosts.stop(5);
            hosts.runFor(9500ms);
            auto command = acceptCommand(hosts);
            loseDisks(hosts, { 0, 1 });
            hosts.runFor(1s);
            start(hosts, { 0, 1, 4, 5 });
            checkRecovery(hosts, { 0, 1, 2, 3, 4, 5 }, command);
        }
    }
}

// Guards against a replica that has ended for good, and stays a voter: with its successor the group has one voter more and needs all
// others, so that the loss of one disk takes the quorum.
BOOST_AUTO_TEST_CASE(disk_lost_right_after_a_planned_replacement_leaves_a_quorum)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            SimulatedHosts hosts(seed, 3);
            hosts.runFor(3s);
            replaceAsPlanned(hosts, { 2 });
            auto command = acceptCommand(hosts);
            loseDisks(hosts, { 1 });
            hosts.runFor(1s);
            start(hosts, { 1 });
            checkRecovery(hosts, { 0, 1, 3 }, command);
        }
    }
}

// Guards against the same with three hosts at once, the leader among them: no loss is needed then.
BOOST_AUTO_TEST_CASE(three_planned_replacements_at_once_leave_a_quorum)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            SimulatedHosts hosts(seed, 3);
            hosts.runFor(3s);
            auto command = acceptCommand(hosts);
            replaceAsPlanned(hosts, { 0, 1, 2 });
            checkRecovery(hosts, { 3, 4, 5 }, command);
        }
    }
}

// Guards against the same where a host is only down: no command was accepted until it was back.
BOOST_AUTO_TEST_CASE(commands_are_accepted_while_a_host_is_down_after_a_planned_replacement)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            SimulatedHosts hosts(seed, 3);
            hosts.runFor(3s);
            replaceAsPlanned(hosts, { 2 });
            hosts.stop(1);
            std::shared_ptr<const Outcome> outcome;
            for (auto end = hosts.now() + acknowledgmentTime; hosts.now() < end && !(outcome && outcome->isAccepted());) {
                outcome = hosts.propose(0);
                hosts.runFor(1s);
            }
            BOOST_TEST(outcome->isAccepted());
        }
    }
}

// Guards against a replica that ends for good as a voter, because another one that is only restarted has left just before.
BOOST_AUTO_TEST_CASE(disk_lost_after_a_replacement_beside_a_planned_restart_leaves_a_quorum)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            SimulatedHosts hosts(seed, 4);
            hosts.runFor(3s);
            hosts.terminate(3);
            runUntilEnded(hosts, { 3 });
            hosts.terminate(2);
            hosts.runFor(1s);
            start(hosts, { 3 });
            runUntilEnded(hosts, { 2 });
            auto command = acceptCommand(hosts);
            loseDisks(hosts, { 1 });
            hosts.runFor(1s);
            start(hosts, { 1 });
            checkRecovery(hosts, { 0, 1, 3 }, command);
        }
    }
}

// Guards against a host that leaves for a restart while another one is gone for good: the group could not spare that one any more, which
// stayed a voter.
BOOST_AUTO_TEST_CASE(disks_lost_after_a_planned_restart_beside_a_host_that_is_gone_leave_a_quorum)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            SimulatedHosts hosts(seed, 5, 2);
            hosts.runFor(3s);
            hosts.stop(2);
            auto successor = hosts.addHost();
            hosts.runFor(1s);
            hosts.start(successor);
            hosts.runFor(700ms);
            hosts.terminate(4);
            hosts.runFor(catchUpTime);
            auto command = acceptCommand(hosts);
            loseDisks(hosts, { 0, 1 });
            hosts.runFor(1s);
            start(hosts, { 0, 1, 4 });
            checkRecovery(hosts, { 0, 1, 3, 4, successor }, command);
        }
    }
}

// Guards against a group that removes one of two silent voters by a guess: the one that returned was removed, the one that was gone
// stayed, and two more lost disks took the quorum. The two are silent in either order, since neither order tells which one returns.
BOOST_AUTO_TEST_CASE(two_disks_lost_beside_a_host_that_is_down_and_one_that_is_gone_leave_a_quorum)
{
    enum class FirstSilent {
        HostThatReturns,
        HostThatIsGone,
    };
    for (auto first : { FirstSilent::HostThatReturns, FirstSilent::HostThatIsGone }) {
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            BOOST_TEST_CONTEXT("seed " << seed << ", first silent " << static_cast<int>(first))
            {
                SimulatedHosts hosts(seed, 5, 2);
                hosts.runFor(3s);
                hosts.stop(first == FirstSilent::HostThatReturns ? 3 : 4);
                hosts.runFor(200ms);
                hosts.stop(first == FirstSilent::HostThatReturns ? 4 : 3);
                auto successor = hosts.addHost();
                hosts.runFor(100ms);
                hosts.start(successor);
                hosts.runFor(catchUpTime + 2s);
                auto command = acceptCommand(hosts);
                loseDisks(hosts, { 1, 2 });
                hosts.runFor(500ms);
                start(hosts, { 3 });
                hosts.runFor(500ms);
                start(hosts, { 1, 2 });
                checkRecovery(hosts, { 0, 1, 2, 3, successor }, command);
            }
        }
    }
}

// The number of drawn schedules for each size of a group. The environment variable SASSAFRASSHIFT_SCHEDULES overrides it for longer
// searches, and SASSAFRASSHIFT_FIRST_SEED the seed of the first one.
static uint64_t numberFromEnvironment(const char* name, uint64_t fallback)
{
    const char* value = std::getenv(name);
    return value ? std::strtoull(value, nullptr, 10) : fallback;
}

static void checkDrawnSchedules(size_t hostCount, size_t toleratedDiskLosses)
{
    static constexpr int stepsPerSchedule = 40;
    auto first = numberFromEnvironment("SASSAFRASSHIFT_FIRST_SEED", 1);
    auto schedules = numberFromEnvironment("SASSAFRASSHIFT_SCHEDULES", 30);
    for (uint64_t seed = first; seed < first + schedules; ++seed) {
        LossSchedule schedule(seed, hostCount, toleratedDiskLosses);
        for (int step = 0; step < stepsPerSchedule && !schedule.violation(); ++step)
            schedule.step();
        if (!schedule.violation())
            schedule.recoverAndVerify();
        BOOST_TEST(!schedule.violation(), hostCount << " hosts, " << toleratedDiskLosses << " tolerated losses, seed " << seed << ":" << schedule.violation().value_or(""));
    }
}

// These guard against any sequence of losses, restarts and replacements after which the disks that may still be lost take the quorum.

BOOST_AUTO_TEST_CASE(allowed_losses_leave_a_quorum_of_three_hosts_in_drawn_schedules)
{
    checkDrawnSchedules(3, 1);
}

BOOST_AUTO_TEST_CASE(allowed_losses_leave_a_quorum_of_four_hosts_in_drawn_schedules)
{
    checkDrawnSchedules(4, 1);
}

BOOST_AUTO_TEST_CASE(allowed_losses_leave_a_quorum_of_five_hosts_in_drawn_schedules)
{
    checkDrawnSchedules(5, 2);
}

BOOST_AUTO_TEST_CASE(allowed_losses_leave_a_quorum_of_six_hosts_in_drawn_schedules)
{
    checkDrawnSchedules(6, 2);
}

BOOST_AUTO_TEST_CASE(allowed_losses_leave_a_quorum_of_eight_hosts_in_drawn_schedules)
{
    checkDrawnSchedules(8, 2);
}
