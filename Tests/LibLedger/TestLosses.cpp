#include "SimulatedHosts.h"
#include <boost/test/unit_test.hpp>
#include <string>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Ledger;
using namespace std::chrono_literals;

// What a group keeps when as many disks are lost as it has to tolerate, and other hosts are down.
namespace {

constexpr uint64_t seeds = 20;
// How long a group has to recover after all hosts are back.
constexpr Milliseconds recoveryTime { 12'000 };

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
            auto outcome = hosts.propose(0);
            hosts.runFor(1s);
            BOOST_REQUIRE(outcome->isAccepted());
            loseDisks(hosts, { 0, 1 });
            hosts.runFor(1s);
            start(hosts, { 0, 1, 4, 5 });
            checkRecovery(hosts, { 0, 1, 2, 3, 4, 5 }, outcome->command);
        }
    }
}
