#include "SimulatedHosts.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Ledger;
using namespace std::chrono_literals;

// How long a group is without a leader after all of its hosts have started together. Callers are refused meanwhile by hosts that
// have no configuration yet.
namespace {

constexpr size_t hostCount = 6;
constexpr Milliseconds limit { 5000 };

void restartAll(SimulatedHosts& hosts)
{
    for (size_t host = 0; host < hosts.count(); ++host)
        hosts.stop(host);
    hosts.runFor(1s);
    for (size_t host = 0; host < hosts.count(); ++host)
        hosts.start(host);
}

Milliseconds timeToLeader(SimulatedHosts& hosts)
{
    auto startedAt = hosts.now();
    while (!hosts.leader() && hosts.now() - startedAt < limit)
        hosts.runFor(5ms);
    return std::chrono::duration_cast<Milliseconds>(hosts.now() - startedAt);
}

}

BOOST_AUTO_TEST_CASE(hosts_that_start_together_elect_a_leader_within_one_election_timeout)
{
    static constexpr uint64_t schedules = 25;
    std::vector<Milliseconds> times;
    for (uint64_t seed = 1; seed <= schedules; ++seed) {
        SimulatedHosts hosts(seed, hostCount);
        hosts.runFor(3s);
        BOOST_REQUIRE(hosts.leader().has_value());
        restartAll(hosts);
        times.push_back(timeToLeader(hosts));
        auto outcome = hosts.propose(0);
        hosts.runFor(2s);
        BOOST_TEST(outcome->isAccepted());
    }
    std::sort(times.begin(), times.end());
    BOOST_TEST_MESSAGE("median " << times[schedules / 2].count() << " ms, maximum " << times.back().count() << " ms");
    BOOST_TEST(times[schedules / 2].count() <= SimulatedHosts::electionTimeout.count());
}

// A host that returns must not depose the leader of the others, although it does not wait to hear from it.
BOOST_AUTO_TEST_CASE(host_that_starts_again_does_not_disturb_the_leader)
{
    for (uint64_t seed = 1; seed <= 25; ++seed) {
        SimulatedHosts hosts(seed, hostCount);
        hosts.runFor(3s);
        auto leader = hosts.leader();
        BOOST_REQUIRE(leader.has_value());
        auto term = hosts.node(*leader).replica().term();
        auto returning = (*leader + 1) % hosts.count();
        hosts.stop(returning);
        hosts.runFor(500ms);
        hosts.start(returning);
        hosts.runFor(2s);
        BOOST_TEST((hosts.leader() == leader));
        BOOST_TEST(hosts.node(*leader).replica().term() == term);
    }
}
