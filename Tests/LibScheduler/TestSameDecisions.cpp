#include "SimpleRules.h"
#include "SimulatedTargets.h"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

namespace {

struct Arrival {
    Milliseconds at { 0 };
    Submission submission;
};

// The three kinds of jobs of the users, in a burst that is more than the targets can do, with pools, labels, memory, limits for each
// target and jobs that must wait for earlier runs.
std::vector<Arrival> recordArrivals(unsigned seed)
{
    struct Kind {
        uint32_t tasks;
        Milliseconds::rep work;
        unsigned perMille;
    };
    static constexpr Kind kinds[] = { { 8, 51, 244 }, { 2, 170, 712 }, { 4, 760, 44 } };
    std::mt19937 random(seed);
    auto draw = [&](unsigned limit) { return static_cast<int64_t>(random() % limit); };
    std::vector<Arrival> arrivals;
    for (Milliseconds at { 0 }; at < 4s; at += Milliseconds(draw(at < 2s ? 8 : 30))) {
        auto point = draw(1000);
        size_t number = point < 244 ? 0 : (point < 956 ? 1 : 2);
        const auto& kind = kinds[number];
        Submission submission = makeJob("job-" + std::to_string(arrivals.size()), kind.tasks, 4 + draw(9));
        submission.queue = "queue-" + std::to_string(number);
        submission.pool = draw(10) == 0 ? "other" : "pool";
        submission.priority = static_cast<int64_t>(number);
        submission.needs.memoryBytes = draw(4) == 0 ? 600 << 20 : 0;
        submission.maximumPerTarget = draw(5) == 0 ? 1 : 0;
        submission.requiredLabel = draw(8) == 0 ? "ssd" : "";
        submission.originDomain = "domain-" + std::to_string(arrivals.size() % 4 / 2);
        submission.estimateMilliseconds = kind.work * (60 + draw(81)) / 100;
        submission.untilObjective = kind.work * 16 / 10 + 60;
        submission.untilDeadline = 700 + draw(1500);
        submission.untilEarlierRunsEnd = draw(20) == 0 ? 300 : 0;
        arrivals.push_back(Arrival { at, std::move(submission) });
    }
    return arrivals;
}

struct Replay {
    std::vector<std::string> decisions;
    size_t starts { 0 };
    size_t refusals { 0 };
    bool hasShared { false };
    std::string fault;
};

Replay replay(const std::vector<Arrival>& arrivals, bool useSimpleRules, bool shareCapacity)
{
    TaskScheduler::Options options;
    options.shareCapacity = shareCapacity;
    SimulatedFleet fleet(1, options);
    for (int i = 0; i < 16; ++i)
        fleet.addTarget("target-" + std::to_string(100 + i), i % 2 == 0 ? 16 : 24);
    int number = 0;
    for (const auto& [identity, target] : fleet.targets) {
        auto report = target.report();
        report.pool = number % 5 == 4 ? "other" : "pool";
        report.kind = number % 3 == 0 ? "old" : "new";
        if (number % 4 == 0)
            report.labels.push_back("ssd");
        fleet.report(report);
        ++number;
    }
    fleet.runTime = 90ms;
    // Some targets answer late at times, so that they are ejected, silent and slow.
    fleet.injectFault = [&fleet](size_t, const TargetInstance& instance, bool) {
        auto phase = (fleet.now.time_since_epoch() / 700ms + instance.identity.back()) % 9;
        return SimulatedFleet::OrderFault { phase == 0 ? 400ms : (phase == 1 ? 40ms : 1ms) };
    };
    Replay result;
    fleet.beforeEffects = [&](TaskScheduler& scheduler) {
        result.hasShared = result.hasShared || scheduler.isSharingCapacity();
        if (useSimpleRules)
            SimpleRules::placeWaitingTasks(scheduler, fleet.now);
        if (result.fault.empty())
            result.fault = SimpleRules::checkSums(scheduler, fleet.now);
        if (result.fault.empty() && SimpleRules::hasChecked(scheduler, fleet.now))
            result.fault = SimpleRules::checkJobs(scheduler, fleet.now);
    };
    fleet.onEffects = [&](const TaskScheduler::Effects& effects) {
        auto time = std::to_string(fleet.now.time_since_epoch() / 1ms) + " ";
        for (const auto& start : effects.orders.starts)
            result.decisions.push_back(time + start.run.task.job + "/" + std::to_string(start.run.task.index) + " run " + std::to_string(start.run.number) + " on " + start.instance.identity);
        for (const auto& notice : effects.notices) {
            result.decisions.push_back(time + notice.outcome.job + " " + notice.outcome.reason + " " + std::to_string(notice.outcome.retryAfterMilliseconds));
            result.refusals += notice.outcome.end == JobEnd::Refused ? 1 : 0;
        }
        result.starts += effects.orders.starts.size();
    };
    fleet.dispatchers[0]->activate(10, fleet.now);
    auto begin = fleet.now;
    for (const auto& arrival : arrivals) {
        while (fleet.now < begin + arrival.at)
            fleet.run(1ms);
        fleet.submit(0, arrival.submission);
    }
    fleet.run(3s);
    return result;
}

}

// Guards against an index or a sum that makes the scheduler choose another target, order or refusal than the rules say.
BOOST_AUTO_TEST_CASE(decisions_are_the_same_as_those_of_the_rules_without_indexes)
{
    for (unsigned seed = 1; seed <= 6; ++seed) {
        bool shareCapacity = seed > 3;
        auto arrivals = recordArrivals(seed);
        auto expected = replay(arrivals, true, shareCapacity);
        auto actual = replay(arrivals, false, shareCapacity);
        BOOST_TEST(expected.starts > 500U);
        BOOST_TEST(expected.refusals > 20U);
        BOOST_TEST(expected.hasShared == shareCapacity);
        BOOST_TEST(actual.fault == "");
        BOOST_TEST(actual.decisions == expected.decisions, boost::test_tools::per_element());
    }
}
