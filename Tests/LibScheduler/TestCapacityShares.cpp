#include "SimulatedTargets.h"
#include <LibScheduler/Dispatcher/CapacityShares.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

using Position = CapacityShares::Position;
using Share = CapacityShares::Share;

namespace {

constexpr double capacity = 1000;
constexpr Instant start { 1h };

CapacityShares makeSharing(double guaranteedPart = 0)
{
    CapacityShares::Options options;
    options.guaranteedPart = guaranteedPart;
    CapacityShares shares(options);
    BOOST_TEST((shares.observe(true, capacity, start) == CapacityShares::Change::Began));
    return shares;
}

// Serves the waiting jobs with the lowest tags, and returns how many of each share are among the first ones.
std::map<Share, size_t> serve(CapacityShares& shares, std::vector<Position> waiting, size_t count)
{
    std::map<Share, size_t> served;
    std::stable_sort(waiting.begin(), waiting.end(), [](const auto& left, const auto& right) { return left.tag < right.tag; });
    for (size_t i = 0; i < count; ++i) {
        shares.onStarted(waiting.at(i));
        ++served[waiting[i].share];
    }
    return served;
}

const Share flooding { "north", "q" };
const Share modest { "south", "q" };

}

// Guards against a domain that gets more than its share by asking for more.
BOOST_AUTO_TEST_CASE(capacity_is_shared_by_weight_however_much_each_domain_asks_for)
{
    auto shares = makeSharing();
    shares.setWeights({ { "south", 3 } }, {});
    std::vector<Position> waiting;
    for (int i = 0; i < 100; ++i)
        waiting.push_back(shares.add(flooding, 0, 10, start));
    for (int i = 0; i < 40; ++i)
        waiting.push_back(shares.add(modest, 0, 10, start));
    auto served = serve(shares, waiting, 40);
    BOOST_TEST(served[flooding] == 10U);
    BOOST_TEST(served[modest] == 30U);
}

// Guards against a domain that gets more than its share by asking through several queues.
BOOST_AUTO_TEST_CASE(queues_of_a_domain_divide_its_share)
{
    auto shares = makeSharing();
    std::vector<Position> waiting;
    for (const auto* queue : { "a", "b", "c" })
        (void)shares.add({ "north", queue }, 0, 1, start);
    for (int i = 0; i < 60; ++i) {
        for (const auto* queue : { "a", "b", "c" })
            waiting.push_back(shares.add({ "north", queue }, 0, 10, start));
        waiting.push_back(shares.add(modest, 0, 10, start));
    }
    auto served = serve(shares, waiting, 60);
    BOOST_TEST(served[modest] >= 29U);
    BOOST_TEST(served[modest] <= 31U);
}

// Guards against a share that is charged for jobs which were never served, or that saves up what it did not ask for.
BOOST_AUTO_TEST_CASE(share_pays_only_for_what_was_served_and_saves_nothing_up)
{
    auto shares = makeSharing();
    std::vector<Position> lost;
    for (int i = 0; i < 50; ++i)
        lost.push_back(shares.add(modest, 0, 10, start));
    auto other = shares.add(flooding, 0, 10, start);
    shares.onLate(lost.back());
    for (auto& position : lost)
        shares.onEnded(position);
    auto again = shares.add(modest, 0, 10, start);
    BOOST_TEST(again.tag <= other.tag + 10);
    shares.onStarted(again);
    for (int i = 0; i < 20; ++i) {
        auto position = shares.add(flooding, 0, 10, start);
        shares.onStarted(other);
        other = position;
    }
    // The idle share begins where the other one is now, not where it was itself.
    BOOST_TEST(shares.add({ "west", "q" }, 0, 10, start).tag >= other.tag - 10);
}

// Guards against the virtual time running ahead when a small job is served in a gap: the domain that asks for less would lose its share.
BOOST_AUTO_TEST_CASE(job_served_out_of_order_does_not_take_the_place_of_a_share_that_asks_for_less)
{
    auto shares = makeSharing();
    std::vector<Position> waiting;
    for (int i = 0; i < 100; ++i)
        waiting.push_back(shares.add(flooding, 0, 10, start));
    shares.onStarted(waiting.back());
    BOOST_TEST(shares.add(modest, 0, 10, start).tag <= waiting[1].tag);
}

// Guards against queues of low priority that get nothing, and against guarantees that exceed the minimum.
BOOST_AUTO_TEST_CASE(each_queue_has_a_guaranteed_minimum)
{
    auto shares = makeSharing(0.5);
    (void)shares.add({ "north", "urgent" }, 0, 1, start);
    double guaranteed = 0;
    double asked = 0;
    for (auto now = start; now < start + 10s; now += 10ms) {
        auto position = shares.add({ "north", "slow" }, 2, 10'000, now);
        asked += position.work;
        guaranteed += position.isGuaranteed ? position.work : 0;
    }
    // Half of the equal share of two queues.
    BOOST_TEST(guaranteed >= capacity * 10'000 / 4 * 0.95);
    BOOST_TEST(guaranteed <= capacity * 10'000 / 4 * 1.05);
    BOOST_TEST(asked > guaranteed);
}

// Guards against an admission that judges a job by another place in the queue than it gets.
BOOST_AUTO_TEST_CASE(preview_is_the_place_that_a_job_gets)
{
    auto shares = makeSharing(0.5);
    auto now = start;
    for (int i = 0; i < 200; ++i, now += 7ms) {
        CapacityShares::Share share { i % 3 == 0 ? "south" : "north", std::to_string(i % 4) };
        auto preview = shares.preview(share, i % 2, now);
        auto position = shares.add(share, i % 2, 500 + i, now);
        // The first job of a share begins its guarantee.
        BOOST_TEST((position.isGuaranteed == preview.isGuaranteed));
        BOOST_TEST(position.tag == preview.tag);
        if (i % 5 == 0)
            shares.onStarted(position);
    }
}

// Guards against sharing that changes the order without shortage, that flaps, or that never ends.
BOOST_AUTO_TEST_CASE(sharing_begins_with_shortage_and_ends_after_calm)
{
    CapacityShares shares({});
    BOOST_TEST((shares.observe(false, capacity, start) == CapacityShares::Change::None));
    (void)shares.add(modest, 0, 10, start);
    auto position = shares.add(modest, 0, 10, start);
    BOOST_TEST(position.tag == 0);
    BOOST_TEST(!position.isGuaranteed);
    BOOST_TEST((shares.observe(true, capacity, start) == CapacityShares::Change::Began));
    BOOST_TEST((shares.observe(false, capacity, start + 900ms) == CapacityShares::Change::None));
    BOOST_TEST(shares.isSharing());
    BOOST_TEST((shares.observe(false, capacity, start + 1000ms) == CapacityShares::Change::Ended));
    BOOST_TEST(shares.add(modest, 0, 10, start).tag == 0);
}

// Guards against memory that grows with the number of queues.
BOOST_AUTO_TEST_CASE(number_of_shares_is_bounded)
{
    auto shares = makeSharing();
    for (int i = 0; i < 1000; ++i) {
        auto position = shares.add({ "north", std::to_string(i) }, 0, 10, start);
        shares.count({ "north", std::to_string(i) }, { 1, 0, 0, 0 });
        shares.onEnded(position);
    }
    auto counts = shares.takeCounts();
    BOOST_TEST(counts.size() <= 257U);
    uint64_t asked = 0;
    for (const auto& [share, count] : counts)
        asked += count.asked;
    BOOST_TEST(asked == 1000U);
}

// Guards against a scheduler that ignores shares while jobs of one domain fill all targets, and against one that goes on sharing.
BOOST_AUTO_TEST_CASE(scheduler_serves_a_domain_that_asks_for_less_while_another_one_floods_it)
{
    TaskScheduler::Options options;
    options.shareCapacity = true;
    SimulatedFleet fleet(1, options);
    for (const auto* name : { "a", "b", "c" })
        fleet.addTarget(name, 16);
    fleet.report();
    auto& scheduler = *fleet.dispatchers[0];
    scheduler.activate(1, fleet.now);
    fleet.run(50ms);
    auto submit = [&](const std::string& name, const std::string& domain) {
        auto job = makeJob(name, 1, 8);
        job.originDomain = domain;
        job.untilObjective = 300;
        job.untilDeadline = 1500;
        fleet.submit(0, job);
    };
    for (int round = 0; round < 100; ++round) {
        for (int i = 0; i < 3; ++i)
            submit("north-" + std::to_string(round) + "-" + std::to_string(i), "north");
        if (round % 2 == 0)
            submit("south-" + std::to_string(round), "south");
        fleet.run(20ms);
    }
    BOOST_TEST(scheduler.isSharingCapacity());
    BOOST_TEST(fleet.runUntil([&] { return !scheduler.isSharingCapacity() && scheduler.openJobs() == 0; }, 10s));
    auto counts = scheduler.takeShareCounts();
    const auto& north = counts.at({ "north", "queue" });
    const auto& south = counts.at({ "south", "queue" });
    BOOST_TEST(south.asked == 50U);
    BOOST_TEST(south.admitted - south.late >= 40U);
    BOOST_TEST(north.refused + north.late > 100U);
    BOOST_TEST(!fleet.anyOvercommitted());
}
