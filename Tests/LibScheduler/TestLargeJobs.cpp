#include "SimulatedTargets.h"
#include <LibScheduler/Target/RunTable.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Catalog;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

// Jobs of very many small tasks, which all fit at once. The event loop handles nothing else during a pass over the queue.
namespace {

constexpr Instant start { 1h };
// The tasks that are started, and the runs that are stopped, in one pass, and the runs on one target.
constexpr size_t maximumOrdersPerPass = 256;
constexpr size_t maximumRunsPerTarget = 1000;

Submission manySmallTasks(const std::string& name, uint32_t count)
{
    Submission submission;
    submission.job = name;
    submission.queue = "queue";
    submission.pool = "pool";
    submission.needs = Resources { 1, 1, 0 };
    submission.taskCount = count;
    submission.estimateMilliseconds = 60;
    submission.untilObjective = 5000;
    submission.untilDeadline = 10'000;
    submission.payload = "run 60 ms";
    return submission;
}

// A dispatcher, and targets that confirm each order at once and run tasks until they are stopped. It counts what one pass orders.
struct Dispatcher {
    TaskScheduler scheduler;
    std::vector<TargetInstance> targets;
    std::map<std::string, std::vector<RunId>> running;
    Instant now { start };
    size_t mostStarts { 0 };
    size_t mostStops { 0 };
    size_t mostRuns { 0 };
    size_t passes { 0 };

    explicit Dispatcher(TaskScheduler::Options options = {}, size_t targetCount = 4)
        : scheduler(options)
    {
        this->scheduler.setEvacuatedDomains(&noDomains);
        this->scheduler.activate(1, this->now);
        for (size_t i = 0; i < targetCount; ++i) {
            SimulatedTarget target("target-" + std::to_string(i), Resources { 64'000, 256'000, 0 });
            auto report = target.report();
            report.pool = "pool";
            this->scheduler.onReport(report, this->now);
            this->targets.push_back(TargetInstance { report.identity, report.incarnation, report.address });
        }
        this->pass();
    }

    // Carries out the orders of one pass, and answers them.
    TaskScheduler::Effects pass()
    {
        auto effects = this->scheduler.takeEffects(this->now);
        ++this->passes;
        this->mostStarts = std::max(this->mostStarts, effects.orders.starts.size());
        this->mostStops = std::max(this->mostStops, effects.orders.stops.size());
        for (const auto& order : effects.orders.starts) {
            auto& runs = this->running[order.instance.identity];
            runs.push_back(order.run);
            this->mostRuns = std::max(this->mostRuns, runs.size());
            this->scheduler.onStartAnswer(order.instance, order.run, Acknowledged { this->clock() }, this->now);
        }
        for (const auto& order : effects.orders.stops) {
            std::erase(this->running[order.instance.identity], order.run);
            this->scheduler.onStopAnswer(order.instance, order.run, Acknowledged { this->clock() }, this->now);
        }
        for (const auto& order : effects.orders.holds) {
            RunList list;
            list.incarnation = order.instance.incarnation;
            list.clock = this->clock();
            list.running = this->running[order.instance.identity];
            this->scheduler.onHoldAnswer(order.instance, order.number, list, this->now);
        }
        return effects;
    }

    // Passes without any event in between, until nothing is left to do.
    void passUntilDone()
    {
        do
            this->pass();
        while (this->scheduler.hasMoreEffects());
    }

    [[nodiscard]] int64_t clock() const { return std::chrono::duration_cast<Milliseconds>(this->now - start).count() + 1000; }
    [[nodiscard]] size_t runs() const
    {
        size_t count = 0;
        for (const auto& [target, runs] : this->running)
            count += runs.size();
        return count;
    }

    static inline const std::set<std::string> noDomains {};
};

}

// Guards against a pass that starts all tasks of a job at once, and holds up the event loop of each dispatcher that gets the job.
BOOST_AUTO_TEST_CASE(job_of_very_many_tasks_does_not_hold_up_the_event_loop)
{
    Dispatcher dispatcher;
    dispatcher.scheduler.submit("entry", manySmallTasks("job", 3000), dispatcher.now);
    dispatcher.pass();
    BOOST_TEST(dispatcher.scheduler.hasMoreEffects());
    BOOST_TEST(dispatcher.runs() == maximumOrdersPerPass);
    dispatcher.passUntilDone();
    BOOST_TEST(dispatcher.mostStarts == maximumOrdersPerPass);
    BOOST_TEST(dispatcher.runs() == 3000U);
    BOOST_TEST(dispatcher.scheduler.waitingTasks() == 0U);
}

// Guards against the same where the tasks belong to as many jobs.
BOOST_AUTO_TEST_CASE(very_many_jobs_do_not_hold_up_the_event_loop)
{
    Dispatcher dispatcher;
    for (int i = 0; i < 1000; ++i)
        dispatcher.scheduler.submit("entry", manySmallTasks("job-" + std::to_string(i), 1), dispatcher.now);
    dispatcher.passUntilDone();
    BOOST_TEST(dispatcher.mostStarts == maximumOrdersPerPass);
    BOOST_TEST(dispatcher.runs() == 1000U);
}

// Guards against the same when the job ends, and against stop orders that are forgotten or sent again before they were sent once.
BOOST_AUTO_TEST_CASE(end_of_a_job_of_very_many_tasks_does_not_hold_up_the_event_loop)
{
    Dispatcher dispatcher;
    dispatcher.scheduler.submit("entry", manySmallTasks("job", 3000), dispatcher.now);
    dispatcher.passUntilDone();
    dispatcher.scheduler.cancel("entry", "job", dispatcher.now);
    auto firstStopPass = dispatcher.passes;
    do {
        dispatcher.now += 100ms;
        dispatcher.scheduler.tick(dispatcher.now);
        dispatcher.pass();
    } while (dispatcher.scheduler.hasMoreEffects());
    BOOST_TEST(dispatcher.mostStops == maximumOrdersPerPass);
    BOOST_TEST(dispatcher.runs() == 0U);
    BOOST_TEST(dispatcher.passes - firstStopPass <= 3000 / maximumOrdersPerPass + 2);
}

// Guards against stop orders that wait for a later pass and carry a fencing token that the target refuses by then, so that it seems to be
// claimed by another dispatcher.
BOOST_AUTO_TEST_CASE(stop_orders_that_wait_for_a_later_pass_carry_the_present_fencing_token)
{
    Dispatcher dispatcher;
    dispatcher.scheduler.submit("entry", manySmallTasks("job", 3000), dispatcher.now);
    dispatcher.passUntilDone();
    dispatcher.scheduler.cancel("entry", "job", dispatcher.now);
    dispatcher.pass();
    BOOST_REQUIRE(dispatcher.scheduler.hasMoreEffects());
    dispatcher.scheduler.activate(2, dispatcher.now);
    do {
        auto effects = dispatcher.pass();
        BOOST_REQUIRE(std::all_of(effects.orders.stops.begin(), effects.orders.stops.end(), [](const auto& order) { return order.fence == 2; }));
    } while (dispatcher.scheduler.hasMoreEffects());
    BOOST_TEST(dispatcher.runs() == 0U);
}

// Guards against lists of runs whose length, and so the time to read one, has no bound.
BOOST_AUTO_TEST_CASE(target_gets_no_more_runs_than_its_list_may_have)
{
    Dispatcher dispatcher({}, 1);
    dispatcher.scheduler.submit("entry", manySmallTasks("job", 3000), dispatcher.now);
    dispatcher.passUntilDone();
    BOOST_TEST(dispatcher.mostRuns == maximumRunsPerTarget);
    BOOST_TEST(dispatcher.scheduler.waitingTasks() == 3000U - maximumRunsPerTarget);
}

// Guards against a job that is queued, and started in part, although the dispatcher cannot start all of its tasks in time.
BOOST_AUTO_TEST_CASE(job_with_more_tasks_than_can_be_started_in_time_is_refused_at_once)
{
    TaskScheduler::Options options;
    options.minimumTimePerTask = Microseconds(80);
    Dispatcher dispatcher(options);
    auto tooMany = manySmallTasks("too-many", 60'000);
    tooMany.untilDeadline = 1500;
    dispatcher.scheduler.submit("entry", tooMany, dispatcher.now);
    auto effects = dispatcher.pass();
    BOOST_REQUIRE(effects.notices.size() == 1U);
    BOOST_TEST((effects.notices.front().outcome.end == JobEnd::Refused));
    BOOST_TEST(effects.notices.front().outcome.reason == "too-many-tasks");
    BOOST_TEST(effects.notices.front().outcome.starts == 0U);
    BOOST_TEST(dispatcher.scheduler.openJobs() == 0U);
    auto many = manySmallTasks("many", 130);
    many.untilDeadline = 1500;
    dispatcher.scheduler.submit("entry", many, dispatcher.now);
    dispatcher.passUntilDone();
    BOOST_TEST(dispatcher.runs() == 130U);
}

// Guards against a dispatcher that exceeds the memory of its host, since each start order that waits for its answer holds a copy of the
// payload of its job.
BOOST_AUTO_TEST_CASE(payloads_of_unanswered_start_orders_are_bounded)
{
    static constexpr size_t payloadBytes = 256 * 1024;
    TaskScheduler::Options options;
    Dispatcher dispatcher(options);
    auto submission = manySmallTasks("job", 2000);
    submission.payload.assign(payloadBytes, 'x');
    dispatcher.scheduler.submit("entry", submission, dispatcher.now);
    std::vector<StartOrder> unanswered;
    auto collect = [&] {
        do {
            auto effects = dispatcher.scheduler.takeEffects(dispatcher.now);
            unanswered.insert(unanswered.end(), effects.orders.starts.begin(), effects.orders.starts.end());
        } while (dispatcher.scheduler.hasMoreEffects());
    };
    collect();
    BOOST_TEST(unanswered.size() == options.maximumUnansweredPayload / payloadBytes);
    // Each answer makes room for another order, whatever it says.
    size_t started = 0;
    while (!unanswered.empty()) {
        auto order = unanswered.back();
        unanswered.pop_back();
        ++started;
        dispatcher.scheduler.onStartAnswer(order.instance, order.run, Acknowledged { dispatcher.clock() }, dispatcher.now);
        collect();
        BOOST_REQUIRE(unanswered.size() <= options.maximumUnansweredPayload / payloadBytes);
    }
    BOOST_TEST(started == 2000U);
    BOOST_TEST(dispatcher.scheduler.waitingTasks() == 0U);
}

// Guards against a start whose cost grows with the runs that are there: what a start asks of the runs as a whole costs a step for each
// job, not for each run.
BOOST_AUTO_TEST_CASE(runs_of_one_job_are_one_entry_in_the_index_of_leases)
{
    RunTable table;
    auto lease = std::make_shared<JobLease>(JobLease { start });
    for (uint32_t index = 0; index < 10'000; ++index) {
        TargetRun run;
        run.jobLease = lease;
        run.knownStartedAt = start;
        table.add(RunId { TaskId { "job", 0, 0, index }, 1 }, run);
    }
    BOOST_TEST(table.jobLeases().size() == 1U);
    BOOST_TEST(table.unsettled().empty());
    BOOST_TEST(!table.hasUnconfirmedStart());
}

// Guards against an index that differs from what a walk over all runs finds.
BOOST_AUTO_TEST_CASE(indexes_of_runs_agree_with_a_walk_over_all_runs)
{
    std::mt19937_64 random(1);
    std::vector<std::shared_ptr<JobLease>> leases { nullptr };
    for (int i = 0; i < 3; ++i)
        leases.push_back(std::make_shared<JobLease>(JobLease { start }));
    RunTable table;
    for (int step = 0; step < 2000; ++step) {
        RunId id { TaskId { "job", 0, 0, static_cast<uint32_t>(random() % 20) }, 1 };
        if (!table.find(id))
            table.add(id, {});
        else if (random() % 4 == 0)
            table.remove(id);
        else
            table.change(id, [&](TargetRun& run) {
                run.state = static_cast<RunState>(random() % 5);
                run.jobLease = leases[random() % leases.size()];
                run.knownStartedAt = random() % 2 == 0 ? std::optional(start) : std::nullopt;
                run.stopConfirmedAt = random() % 2 == 0 ? std::optional(start) : std::nullopt;
            });
        std::map<std::shared_ptr<const JobLease>, size_t> runsByLease;
        std::set<RunId> unsettled;
        bool forbidsExtension = false;
        bool hasUnconfirmedStart = false;
        for (const auto& [key, run] : table.all()) {
            bool mayBeExtended = run.jobLease && run.state != RunState::Stopping;
            forbidsExtension = forbidsExtension || !mayBeExtended;
            if (mayBeExtended)
                ++runsByLease[run.jobLease];
            hasUnconfirmedStart = hasUnconfirmedStart || !run.knownStartedAt;
            bool awaitsStop = (run.state == RunState::Stopping || run.state == RunState::Uncertain) && !run.stopConfirmedAt;
            if (run.state == RunState::Unadopted || awaitsStop)
                unsettled.insert(key);
        }
        BOOST_REQUIRE((table.jobLeases() == runsByLease));
        BOOST_REQUIRE((table.unsettled() == unsettled));
        BOOST_REQUIRE(table.forbidsExtension() == forbidsExtension);
        BOOST_REQUIRE(table.hasUnconfirmedStart() == hasUnconfirmedStart);
    }
}
