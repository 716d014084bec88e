#include "SimulatedHosts.h"
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <numeric>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Ledger;
using namespace std::chrono_literals;

namespace {

// Proposes a command at a random host every 100 ms.
struct Load {
    SimulatedHosts& hosts;
    Random random;
    std::vector<std::shared_ptr<const Outcome>> outcomes;

    void run(Milliseconds duration, size_t commandBytes = 10)
    {
        for (auto end = this->hosts.now() + duration; this->hosts.now() < end; this->hosts.runFor(100ms))
            this->outcomes.push_back(this->hosts.propose(this->random() % this->hosts.count(), commandBytes));
    }

    size_t refusedSince(Instant start) const
    {
        return static_cast<size_t>(std::count_if(this->outcomes.begin(), this->outcomes.end(), [&](const auto& outcome) { return outcome->proposedAt >= start && outcome->refusal; }));
    }

    size_t unanswered() const
    {
        return static_cast<size_t>(std::count_if(this->outcomes.begin(), this->outcomes.end(), [](const auto& outcome) { return !outcome->completedAt; }));
    }
};

bool holdsAllAccepted(const SimulatedHosts& hosts, const Load& load)
{
    return std::all_of(load.outcomes.begin(), load.outcomes.end(), [&](const auto& outcome) {
        if (!outcome->isAccepted())
            return true;
        for (size_t host = 0; host < hosts.count(); ++host) {
            if (!hosts.commands(host).contains(outcome->command))
                return false;
        }
        return true;
    });
}

bool allVote(const SimulatedHosts& hosts)
{
    auto leader = hosts.leader();
    return leader && hosts.node(*leader).replica().membership().voterCount() == hosts.count();
}

}

// Guards against a leader that refuses all changes while its disk is full, although the other voters could store them.
BOOST_AUTO_TEST_CASE(commands_are_accepted_while_the_disk_of_the_leader_is_full)
{
    SimulatedHosts hosts(1, 3);
    hosts.runFor(3s);
    Load load { hosts, Random(1), {} };
    auto leader = *hosts.leader();
    hosts.disk(leader).isFull = true;
    auto start = hosts.now();
    load.run(8s);
    hosts.disk(leader).isFull = false;
    load.run(2s);
    hosts.runFor(1s);
    BOOST_TEST(load.refusedSince(start) == 0U);
    BOOST_TEST(load.unanswered() == 0U);
    BOOST_TEST(holdsAllAccepted(hosts, load));
}

BOOST_AUTO_TEST_CASE(command_that_no_quorum_can_store_is_refused_in_time)
{
    SimulatedHosts hosts(1, 3);
    hosts.runFor(3s);
    auto leader = *hosts.leader();
    hosts.disk(leader).isFull = true;
    hosts.stop((leader + 1) % 3);
    hosts.runFor(1s);
    auto outcome = hosts.propose((leader + 2) % 3);
    hosts.runFor(1s);
    BOOST_REQUIRE(outcome->completedAt.has_value());
    BOOST_TEST(outcome->refusal.has_value());
    hosts.start((leader + 1) % 3);
    hosts.disk(leader).isFull = false;
    hosts.runFor(2s);
    outcome = hosts.propose((leader + 2) % 3);
    hosts.runFor(1s);
    BOOST_TEST(outcome->isAccepted());
}

// Disks are full or stalled one after another, at any host and for any time, the next one as soon as the last has room again.
static void checkFaultyDisksInTurn(uint64_t seed, size_t count)
{
    BOOST_TEST_CONTEXT("seed " << seed << ", " << count << " hosts")
    {
        Random random(seed);
        SimulatedHosts hosts(seed, count);
        hosts.runFor(3s);
        Load load { hosts, Random(seed), {} };
        auto start = hosts.now();
        for (int fault = 0; fault < 8; ++fault) {
            bool choosesLeader = random() % 3 == 0 && hosts.leader();
            auto host = choosesLeader ? *hosts.leader() : random() % count;
            auto& disk = hosts.disk(host);
            (random() % 4 == 0 ? disk.isStalled : disk.isFull) = true;
            load.run(Milliseconds(500 + random() % 8000));
            disk.isStalled = disk.isFull = false;
            load.run(Milliseconds(random() % 3 == 0 ? 0 : random() % 2000));
        }
        load.run(3s);
        hosts.runFor(2s);
        BOOST_TEST(load.refusedSince(start) == 0U);
        BOOST_TEST(load.unanswered() == 0U);
        BOOST_TEST(holdsAllAccepted(hosts, load));
        BOOST_TEST(allVote(hosts));
    }
}

// A host with a full disk is removed from the voters after a while if there are more than three, and joins again.
BOOST_AUTO_TEST_CASE(commands_are_accepted_while_disks_are_full_one_after_another)
{
    for (uint64_t seed = 1; seed <= 80; ++seed)
        checkFaultyDisksInTurn(seed, seed % 2 ? 3 : seed % 4 ? 4
                                                             : 8);
}

// Guards against a host with a full disk that raises its term again and again in elections that it cannot win, and thereby
// delays the election of a leader by the others.
BOOST_AUTO_TEST_CASE(replica_with_a_full_disk_does_not_stand_for_election)
{
    for (uint64_t seed = 1; seed <= 60; ++seed) {
        Random random(seed);
        SimulatedHosts hosts(seed, 3);
        hosts.runFor(3s);
        auto leader = *hosts.leader();
        auto full = (leader + 1) % 3;
        auto termBefore = hosts.node(full).replica().term();
        hosts.disk(full).isFull = true;
        (void)hosts.propose(leader);
        hosts.runFor(1s);
        hosts.stop(leader);
        hosts.runFor(Milliseconds(2000 + random() % 4000));
        BOOST_TEST(hosts.node(full).replica().term() <= termBefore + 1);
        hosts.start(leader);
        hosts.runFor(1500ms);
        auto outcome = hosts.propose(leader);
        hosts.runFor(1s);
        BOOST_TEST_CONTEXT("seed " << seed)
        BOOST_TEST(outcome->isAccepted());
        hosts.disk(full).isFull = false;
        hosts.runFor(1500ms);
        outcome = hosts.propose(full);
        hosts.runFor(1s);
        BOOST_TEST_CONTEXT("seed " << seed)
        BOOST_TEST(outcome->isAccepted());
    }
}

// Guards against a process that runs out of memory, or is busy with what has piled up, after its disk was full for long.
BOOST_AUTO_TEST_CASE(what_waits_for_a_full_disk_is_bounded)
{
    static constexpr size_t commandBytes = 128 * 1024;
    // A leader whose own disk is full, and a follower.
    for (size_t distance : { 0, 1 }) {
        SimulatedHosts hosts(1, 3);
        hosts.runFor(3s);
        Load load { hosts, Random(1), {} };
        auto full = (*hosts.leader() + distance) % 3;
        hosts.disk(full).isFull = true;
        load.run(10s, commandBytes);
        hosts.runFor(300s);
        const auto& node = hosts.node(full);
        BOOST_TEST(node.unstoredBytes() <= SimulatedHosts::maximumUnstoredBytes + Replica::Options {}.maximumAppendBytes);
        BOOST_TEST(node.deferredMessageCount() <= 1024U);
        BOOST_TEST(node.replica().pendingTicketCount() <= 256U);
        BOOST_TEST((node.replica().role() != Role::Leader));
        auto start = hosts.now();
        load.run(2s);
        hosts.disk(full).isFull = false;
        load.run(2s);
        hosts.runFor(2s);
        BOOST_TEST(load.refusedSince(start) == 0U);
        BOOST_TEST(load.unanswered() == 0U);
        BOOST_TEST(holdsAllAccepted(hosts, load));
    }
}

namespace {

// Loses the given number of disks and the power of all other hosts at one moment, right after a command was accepted.
void checkLostDisksWithPowerOff(uint64_t seed, size_t count, size_t lostDisks)
{
    BOOST_TEST_CONTEXT("seed " << seed << ", " << count << " hosts")
    {
        Random random(seed);
        SimulatedHosts hosts(seed, count);
        hosts.runFor(3s);
        Load load { hosts, Random(seed), {} };
        load.run(Milliseconds(500 + random() % 3000));
        auto last = hosts.propose(random() % count);
        load.outcomes.push_back(last);
        while (!last->completedAt)
            hosts.runFor(1ms);
        BOOST_TEST(last->isAccepted());
        for (size_t host = 0; host < count; ++host)
            hosts.stop(host);
        std::vector<size_t> order(count);
        std::iota(order.begin(), order.end(), 0);
        std::shuffle(order.begin(), order.end(), random);
        for (size_t i = 0; i < lostDisks; ++i)
            hosts.loseDisk(order[i]);
        for (auto host : order) {
            hosts.runFor(Milliseconds(random() % 500));
            hosts.start(host);
        }
        hosts.runFor(12s);
        load.outcomes.push_back(hosts.propose(random() % count));
        hosts.runFor(2s);
        BOOST_TEST(load.outcomes.back()->isAccepted());
        BOOST_TEST(holdsAllAccepted(hosts, load));
        BOOST_TEST(allVote(hosts));
    }
}

}

BOOST_AUTO_TEST_CASE(accepted_commands_survive_lost_disks_while_all_other_hosts_lose_power)
{
    for (uint64_t seed = 1; seed <= 60; ++seed) {
        checkLostDisksWithPowerOff(seed, 3, 1);
        checkLostDisksWithPowerOff(seed, 4, 1);
        checkLostDisksWithPowerOff(seed, 8, 2);
    }
}
