#include "SimulatedCluster.h"
#include <LibBase/Verify.h>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <rapidcheck.h>
#include <stdexcept>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Ledger;

static constexpr int stepsPerSchedule = 6000;

// The number of random schedules. The environment variable SASSAFRASSHIFT_SCHEDULES overrides it for longer searches.
static int scheduleCount(int fallback)
{
    const char* value = std::getenv("SASSAFRASSHIFT_SCHEDULES");
    return value ? std::atoi(value) : fallback;
}

static void throwOnFailedVerification(const char* condition, const char*, int)
{
    throw std::logic_error(condition);
}

static std::optional<std::string> runSchedule(uint64_t seed, size_t replicas, InjectedBug injectedBug)
{
    setVerificationHandler(throwOnFailedVerification);
    SimulatedCluster cluster(seed, replicas, injectedBug);
    try {
        for (int step = 0; step < stepsPerSchedule && !cluster.violation(); ++step)
            cluster.step();
        if (!cluster.violation() && injectedBug == InjectedBug::None)
            cluster.recoverAndVerify();
    } catch (const std::logic_error& error) {
        return std::string("failed verification: ") + error.what();
    }
    return cluster.violation();
}

static bool holdsForRandomSchedules(size_t replicas, int count)
{
    return rc::check("replicas agree despite crashes and lost, delayed and duplicated messages and partitions", [=] {
        // Each run of the property covers several schedules, because RapidCheck runs a property 100 times by default.
        auto seed = *rc::gen::arbitrary<uint64_t>();
        for (int i = 0; i < std::max(1, count / 100); ++i) {
            auto violation = runSchedule(seed + static_cast<uint64_t>(i), replicas, InjectedBug::None);
            if (violation)
                RC_FAIL("seed " + std::to_string(seed + static_cast<uint64_t>(i)) + ": " + *violation);
        }
    });
}

BOOST_AUTO_TEST_CASE(three_replicas_agree_under_random_schedules)
{
    BOOST_TEST(holdsForRandomSchedules(3, scheduleCount(1500)));
}

// An even number of replicas, in which retired identities change the quorum.
BOOST_AUTO_TEST_CASE(four_replicas_agree_under_random_schedules)
{
    BOOST_TEST(holdsForRandomSchedules(4, scheduleCount(800)));
}

BOOST_AUTO_TEST_CASE(five_replicas_agree_under_random_schedules)
{
    BOOST_TEST(holdsForRandomSchedules(5, scheduleCount(800)));
}

static bool isDetected(InjectedBug injectedBug, uint64_t schedules)
{
    for (uint64_t seed = 1; seed <= schedules; ++seed) {
        if (runSchedule(seed, 3, injectedBug)) {
            BOOST_TEST_MESSAGE("detected by the schedule with seed " << seed);
            return true;
        }
    }
    return false;
}

BOOST_AUTO_TEST_CASE(replies_before_storing_are_detected)
{
    BOOST_TEST(isDetected(InjectedBug::RepliesBeforeStoring, 3000));
}

BOOST_AUTO_TEST_CASE(reused_identity_after_disk_loss_is_detected)
{
    BOOST_TEST(isDetected(InjectedBug::ReusedIdentityAfterDiskLoss, 3000));
}
