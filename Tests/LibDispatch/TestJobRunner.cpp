#include "SimulatedJobs.h"
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <rapidcheck.h>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Dispatch;

static constexpr int stepsPerSchedule = 400;

// The number of random schedules. The environment variable SASSAFRASSHIFT_SCHEDULES overrides it for longer searches.
static int scheduleCount(int fallback)
{
    const char* configured = std::getenv("SASSAFRASSHIFT_SCHEDULES");
    return configured ? std::atoi(configured) : fallback;
}

static std::optional<std::string> runSchedule(uint64_t seed, InjectedBug bug, bool& complete)
{
    SimulatedJobs jobs(seed, bug);
    for (int step = 0; step < stepsPerSchedule && !jobs.violation(); ++step)
        jobs.step();
    if (!jobs.violation() && bug == InjectedBug::None)
        jobs.runToCompletion();
    complete = jobs.isComplete();
    return jobs.violation();
}

BOOST_AUTO_TEST_CASE(no_task_starts_twice_under_random_schedules)
{
    int completed = 0;
    int runs = 0;
    // Each run of the property covers several schedules, because RapidCheck runs a property 100 times by default.
    auto perRun = std::max(1, scheduleCount(5000) / 100);
    bool holds = rc::check("each task starts at most once when owners, workers and messages are lost", [&] {
        auto seed = *rc::gen::arbitrary<uint64_t>();
        for (int i = 0; i < perRun; ++i) {
            bool complete = false;
            auto violation = runSchedule(seed + static_cast<uint64_t>(i), InjectedBug::None, complete);
            if (violation)
                RC_FAIL("seed " + std::to_string(seed + static_cast<uint64_t>(i)) + ": " + *violation);
            completed += complete;
            ++runs;
        }
    });
    BOOST_TEST(holds);
    // Guards against a vacuous pass: the checks prove little if hardly any job completes.
    BOOST_TEST(completed * 10 > runs);
    BOOST_TEST_MESSAGE(completed << " of " << runs << " jobs were complete");
}

static bool isDetected(InjectedBug bug)
{
    for (uint64_t seed = 1; seed <= 20'000; ++seed) {
        bool complete = false;
        if (auto violation = runSchedule(seed, bug, complete)) {
            BOOST_TEST_MESSAGE("seed " << seed << ": " << *violation);
            return true;
        }
    }
    return false;
}

BOOST_AUTO_TEST_CASE(simulation_detects_sending_before_recording)
{
    BOOST_TEST(isDetected(InjectedBug::SendBeforeRecording));
}

BOOST_AUTO_TEST_CASE(simulation_detects_worker_that_forgets_a_refusal)
{
    BOOST_TEST(isDetected(InjectedBug::ForgetRefusal));
}

BOOST_AUTO_TEST_CASE(simulation_detects_refusal_without_the_ledger)
{
    BOOST_TEST(isDetected(InjectedBug::RefuseWithoutLedger));
}
