#include "SimulatedTargets.h"
#include <LibScheduler/Dispatcher/InterferenceModel.h>
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

namespace {

using Pairs = std::set<std::pair<std::string, std::string>>;

// Runs on targets with three places each, whose speed changes while they run. One target is slow, one becomes slow for 3 s of every 10 s, each
// estimate is off by up to 40 %, and those of one kind are also too low.
class RunningLoad {
public:
    RunningLoad(unsigned seed, double interference)
        : random(seed)
        , interference(interference)
    {
    }

    void run(Milliseconds duration)
    {
        for (auto end = this->now + duration; this->now < end; this->now += 1ms) {
            for (size_t i = 0; i < this->targets.size(); ++i) {
                this->advance(this->targets[i], this->speedOf(i));
                this->fill(this->targets[i]);
            }
            for (const auto& change : this->model.evaluate(this->now)) {
                if (change.hasBegun)
                    this->found.emplace(change.pair.queue, change.pair.neighbour);
            }
        }
    }

    InterferenceModel model { {} };
    /// All pairs on which placement ever acted.
    Pairs found;

private:
    static constexpr std::array<double, 4> workMilliseconds { 51, 170, 760, 100 };

    struct Run {
        RunId id;
        size_t kind { 0 };
        double left { 0 };
        Milliseconds estimate { 0 };
        Instant startedAt {};
    };

    struct Target {
        InterferenceModel::TargetRuns known;
        std::vector<Run> runs;
    };

    double draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    double speedOf(size_t target) const
    {
        bool isSlowPhase = this->now.time_since_epoch() % Instant::duration(10s) < Instant::duration(3s);
        if (target == 0)
            return 0.55;
        return target == 1 && isSlowPhase ? 0.3 : 1;
    }

    void advance(Target& target, double speed)
    {
        bool isNoisy = std::any_of(target.runs.begin(), target.runs.end(), [](const auto& run) { return run.kind == 2; });
        for (auto& run : target.runs)
            run.left -= speed / (run.kind == 1 && isNoisy ? this->interference : 1);
        std::erase_if(target.runs, [&](const auto& run) {
            if (run.left > 0)
                return false;
            auto duration = std::chrono::duration_cast<Milliseconds>(this->now - run.startedAt);
            this->model.onEnded(target.known, run.id, InterferenceModel::Sample { duration, run.estimate, 1 }, this->now);
            return true;
        });
    }

    void fill(Target& target)
    {
        if (target.runs.size() >= 3 || this->draw() > 0.01)
            return;
        auto point = this->draw();
        size_t kind = point < 0.3 ? 0 : (point < 0.65 ? 1 : (point < 0.75 ? 2 : 3));
        auto work = workMilliseconds[kind] * (0.7 + 0.6 * this->draw());
        auto estimate = work * (0.6 + 0.8 * this->draw()) * (kind == 3 ? 0.5 : 1);
        Run run { RunId { TaskId { "job-" + std::to_string(this->jobs++), 0, 0, 0 }, 1 }, kind, work, Milliseconds(static_cast<Milliseconds::rep>(estimate)), this->now };
        this->model.onStarted(target.known, run.id, "queue-" + std::to_string(kind), true, this->now);
        target.runs.push_back(std::move(run));
    }

    std::mt19937 random;
    double interference;
    Instant now { std::chrono::hours(1) };
    std::array<Target, 20> targets;
    size_t jobs { 0 };
};

// Tasks of "victim" take 1.8 times as long if a task of "noisy" runs on their target when they start.
struct Fleet {
    explicit Fleet(bool separate)
        : fleet(1, makeOptions(separate))
    {
        for (int i = 0; i < 12; ++i)
            this->fleet.addTarget("target-" + std::to_string(100 + i), 16);
        this->fleet.report();
        this->fleet.runTimeOf = [this](const StartOrder& order, const SimulatedTarget& target) {
            if (this->queueOf(order.run) == "noisy")
                return Milliseconds(250);
            bool isNextToNoisy = std::any_of(target.running().begin(), target.running().end(), [&](const auto& run) { return this->queueOf(run.first) == "noisy"; });
            ++this->victims;
            this->slowed += isNextToNoisy ? 1 : 0;
            return Milliseconds(isNextToNoisy ? 180 : 100);
        };
        this->fleet.dispatchers[0]->activate(10, this->fleet.now);
        this->fleet.run(50ms);
    }

    static TaskScheduler::Options makeOptions(bool separate)
    {
        TaskScheduler::Options options;
        options.separateInterfering = separate;
        return options;
    }

    const std::string& queueOf(const RunId& run) const { return this->fleet.submissions.at(run.task.job).queue; }

    void submit(const std::string& queue, uint32_t tasks, uint32_t maximumPerTarget = 0)
    {
        auto job = makeJob("job-" + std::to_string(this->jobs++), tasks, 7);
        job.queue = queue;
        job.maximumPerTarget = maximumPerTarget;
        job.estimateMilliseconds = queue == "noisy" ? 250 : 100;
        this->fleet.submit(0, job);
    }

    // About half of the places are used at load 1, and all of them at 2.5.
    void play(Milliseconds duration, double load = 1)
    {
        std::mt19937 random(7);
        for (auto end = this->fleet.now + duration; this->fleet.now < end; this->fleet.run(5ms)) {
            if (random() % 1000 < 240 * load)
                this->submit("victim", 1);
            if (random() % 1000 < 100 * load)
                this->submit("noisy", 1);
        }
    }

    SimulatedFleet fleet;
    size_t victims { 0 };
    size_t slowed { 0 };
    size_t jobs { 0 };
};

}

// Guards against a pair that is missed, and against slow targets and wrong estimates that are taken for interference.
BOOST_AUTO_TEST_CASE(only_the_interfering_pair_is_found_among_slow_targets_and_wrong_estimates)
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        RunningLoad load(seed, 1.6);
        load.run(60s);
        BOOST_TEST((load.found == Pairs { { "queue-1", "queue-2" } }), "seed " << seed << ", pairs " << load.found.size());
        auto pairs = load.model.pairs();
        BOOST_REQUIRE(pairs.size() == 1U);
        BOOST_TEST(pairs[0].ratio > 1.35);
        BOOST_TEST(pairs[0].ratio < 1.85);
    }
}

// Guards against action without sufficient confidence.
BOOST_AUTO_TEST_CASE(no_pair_is_found_where_there_is_no_interference_or_too_little_data)
{
    for (unsigned seed = 11; seed <= 15; ++seed) {
        RunningLoad load(seed, 1);
        load.run(60s);
        BOOST_TEST(load.found.empty(), "seed " << seed);
    }
    RunningLoad brief(1, 1.6);
    brief.run(500ms);
    BOOST_TEST(brief.found.empty());
}

// Guards against effects that are remembered for ever.
BOOST_AUTO_TEST_CASE(a_pair_is_forgotten_when_it_is_not_observed_any_more)
{
    RunningLoad load(1, 1.6);
    load.run(60s);
    BOOST_REQUIRE(load.model.hasPairs());
    for (auto now = Instant(std::chrono::hours(1)) + 60s; now < Instant(std::chrono::hours(2)); now += 1s)
        (void)load.model.evaluate(now);
    BOOST_TEST(!load.model.hasPairs());
}

// Guards against memory that grows with the number of queues, and against a full table that never learns about new ones.
BOOST_AUTO_TEST_CASE(number_of_kinds_is_bounded_and_unused_ones_are_replaced)
{
    InterferenceModel model({});
    InterferenceModel::TargetRuns target;
    Instant now { std::chrono::hours(1) };
    auto play = [&](const std::string& queue) {
        RunId run { TaskId { queue, 0, 0, 0 }, 1 };
        model.onStarted(target, run, queue, true, now);
        model.onEnded(target, run, InterferenceModel::Sample { 50ms, 50ms, 1 }, now + 50ms);
    };
    for (int i = 0; i < 1000; ++i)
        play("queue-" + std::to_string(i));
    BOOST_TEST(model.knownKinds() == 16U);
    BOOST_TEST(!model.findKind("late").has_value());
    now += 601s;
    play("late");
    BOOST_TEST(model.findKind("late").has_value());
    BOOST_TEST(model.knownKinds() == 16U);
}

// Guards against a pair that is found but not kept apart, and against a task that waits or is refused to be kept apart.
BOOST_AUTO_TEST_CASE(interfering_tasks_are_separated_only_where_capacity_allows)
{
    auto slowedPart = [](bool separate) {
        Fleet load(separate);
        load.play(40s);
        BOOST_TEST(load.fleet.dispatchers[0]->interferingPairs().size() == (separate ? 1U : 0U));
        load.victims = load.slowed = 0;
        load.play(10s);
        BOOST_TEST((load.fleet.dispatchers[0]->takeSeparatedTasks() > 0) == separate);
        return static_cast<double>(load.slowed) / static_cast<double>(load.victims);
    };
    auto former = slowedPart(false);
    auto separated = slowedPart(true);
    BOOST_TEST(former > 0.2);
    BOOST_TEST(separated < former / 2);

    Fleet load(true);
    load.play(40s);
    auto& scheduler = *load.fleet.dispatchers[0];
    BOOST_REQUIRE(scheduler.interferingPairs().size() == 1U);
    BOOST_REQUIRE(load.fleet.runUntil([&] { return scheduler.openJobs() == 0; }, 2s));
    load.submit("noisy", 12, 1);
    load.fleet.run(20ms);
    load.victims = load.slowed = 0;
    load.submit("victim", 12);
    load.fleet.run(10ms);
    BOOST_TEST(load.slowed == 12U);
    BOOST_TEST(scheduler.waitingTasks() == 0U);
}

// Guards against effects that cannot be told apart while each task has exactly one neighbour.
BOOST_AUTO_TEST_CASE(interference_is_found_while_all_places_are_taken)
{
    Fleet load(true);
    load.play(20s, 2.5);
    auto pairs = load.fleet.dispatchers[0]->interferingPairs();
    BOOST_REQUIRE(pairs.size() == 1U);
    BOOST_TEST(pairs[0].queue == "victim");
    BOOST_TEST(pairs[0].neighbour == "noisy");
}
