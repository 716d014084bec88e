#include "../../Benchmarks/OverloadModel.h"
#include "SimulatedTargets.h"
#include <LibScheduler/Dispatcher/SubmissionQueue.h>
#include <LibScheduler/Entry/JobOwner.h>
#include <LibScheduler/Home/JobHome.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

static constexpr AdmissionLevel nothing { 0, 0 };
static const Instant begin { std::chrono::hours(1) };

// Guards against a collapse: without admission control, three times the load leaves a tenth of the throughput.
BOOST_AUTO_TEST_CASE(throughput_is_kept_at_several_times_the_load)
{
    OverloadModel once({});
    once.run(1, 3s);
    const auto& atOnce = once.run(1, 20s);
    once.run(0, 2s);
    BOOST_TEST(atOnce.served == atOnce.offered);
    for (double load : { 1.5, 3.0, 10.0 }) {
        OverloadModel model({});
        model.run(0.8, 3s);
        model.run(load, 3s);
        const auto& overloaded = model.run(load, 20s);
        model.run(0.8, 2s);
        const auto& afterwards = model.run(0.8, 5s);
        model.run(0, 2s);
        BOOST_TEST_CONTEXT("load " << load)
        {
            BOOST_TEST(static_cast<double>(overloaded.served) >= 0.8 * static_cast<double>(atOnce.served));
            // All is served again 2 s after the load has dropped.
            BOOST_TEST(afterwards.served == afterwards.offered);
        }
    }
}

// Guards against refusals of jobs that would be served.
BOOST_AUTO_TEST_CASE(single_pause_refuses_nothing)
{
    OverloadModel model({});
    model.run(0.8, 3s);
    for (int pause = 0; pause < 5; ++pause) {
        model.pause(300ms);
        const auto& result = model.run(0.8, 2s);
        BOOST_TEST(result.refusedLocally + result.refusedByDispatcher == 0U);
        BOOST_TEST(model.level().admitsAll());
    }
}

// Guards against refusals for as long as a host stops the process again and again, which refusals do not end.
BOOST_AUTO_TEST_CASE(lag_that_jobs_do_not_cause_refuses_few_jobs)
{
    LoadMonitor monitor({});
    AdmissionController controller({});
    int limited = 0;
    auto end = begin + 60s;
    for (auto time = begin; time < end; time += 200ms) {
        controller.observe(1, time);
        monitor.onTick(time, time + 180ms);
        (void)controller.update(monitor, time + 180ms);
        limited += controller.level().admitsAll() ? 0 : 1;
    }
    BOOST_TEST(limited > 0);
    BOOST_TEST(limited < 150);
}

static Milliseconds sustainedLag(Milliseconds timerDelay, size_t lateSenders)
{
    LoadMonitor monitor({});
    for (auto time = begin; time < begin + 1s; time += 20ms) {
        for (size_t sender = 0; sender < 10; ++sender)
            monitor.observeTransit(std::to_string(sender), sender < lateSenders ? 400ms : 0ms);
        monitor.onTick(time, time + timerDelay);
    }
    return monitor.sustainedLag();
}

BOOST_AUTO_TEST_CASE(slow_network_and_slow_senders_are_no_lag)
{
    BOOST_TEST((sustainedLag(1ms, 10) <= 2ms));
    BOOST_TEST((sustainedLag(90ms, 4) == 90ms));
    BOOST_TEST((sustainedLag(90ms, 10) == 180ms));
}

BOOST_AUTO_TEST_CASE(level_admits_urgent_jobs_first_and_the_same_ones_everywhere)
{
    AdmissionLevel level { 1, 250 };
    size_t admitted = 0;
    for (int number = 0; number < 10'000; ++number)
        admitted += level.admits(1, "job-" + std::to_string(number)) ? 1 : 0;
    BOOST_TEST(admitted > 2300U);
    BOOST_TEST(admitted < 2700U);
    BOOST_TEST(level.admits(0, "job"));
    BOOST_TEST(!level.admits(2, "job"));
    BOOST_TEST(AdmissionLevel {}.admits(std::numeric_limits<int64_t>::max(), "job"));
}

namespace {

// An entry host in the shard of the dispatcher "a"; "b" has another shard.
struct EntryFixture {
    EntryFixture()
    {
        this->owner.updateDispatchers({ { "east", "a" }, { "west", "b" } }, "east", begin);
    }

    void answer(const std::string& dispatcher, const AdmissionLevel& level)
    {
        this->owner.onRenewalAnswer(dispatcher, {}, { PoolLoad { "pool", 1000, 0 } }, begin, { level });
    }

    JobOwner::Effects refuse()
    {
        this->submit();
        JobOutcome refusal { "job", JobEnd::Refused, std::string(dispatcherOverloaded), 1000, 0, 0, 1 };
        refusal.admission = nothing;
        this->owner.onOutcome("a", refusal, begin);
        return this->owner.takeEffects();
    }

    // The dispatcher "a" does not know the job in its answer to a renewal, and has kept records for some time.
    JobOwner::Effects answerUnknown(Milliseconds renewalSentAfter, std::vector<std::string> jobsWithRuns)
    {
        DispatcherState state { {}, 5s, std::move(jobsWithRuns), std::chrono::duration_cast<Milliseconds>(begin.time_since_epoch()) + renewalSentAfter };
        this->owner.onRenewalAnswer("a", { "job" }, {}, begin + renewalSentAfter + 10ms, state);
        return this->owner.takeEffects();
    }

    void submit()
    {
        this->owner.add(makeJob("job", 1, 1), begin + 2s, begin + 500ms, begin);
        (void)this->owner.takeEffects();
    }

    JobOwner owner { JobOwner::Options {} };
};

}

BOOST_FIXTURE_TEST_CASE(job_is_refused_locally_only_if_no_dispatcher_admits_it, EntryFixture)
{
    this->answer("a", nothing);
    this->answer("b", {});
    BOOST_TEST(this->owner.isAdmitted("pool", 1, "job", begin));
    this->answer("b", nothing);
    BOOST_TEST(!this->owner.isAdmitted("pool", 1, "job", begin));
    // A level that is not confirmed must not shut out jobs for good.
    BOOST_TEST(this->owner.isAdmitted("pool", 1, "job", begin + 1500ms));
}

BOOST_FIXTURE_TEST_CASE(job_goes_to_a_shard_that_admits_it, EntryFixture)
{
    this->answer("a", nothing);
    this->answer("b", {});
    this->owner.add(makeJob("job", 1, 1), begin + 2s, begin + 500ms, begin);
    BOOST_TEST(this->owner.takeEffects().handovers.at(0).submission.placement.preferredShard == "west");
}

// Guards against further messages to dispatchers that are late.
BOOST_FIXTURE_TEST_CASE(refusal_of_a_late_dispatcher_is_passed_on_at_once, EntryFixture)
{
    this->answer("a", {});
    this->answer("b", nothing);
    auto effects = this->refuse();
    BOOST_REQUIRE(effects.answers.size() == 1U);
    BOOST_TEST((effects.answers.at(0).kind == JobOwner::Answer::Kind::Refused));
    BOOST_TEST(effects.handovers.empty());
    BOOST_TEST(effects.cancellations.empty());
}

BOOST_FIXTURE_TEST_CASE(job_refused_by_a_late_dispatcher_is_offered_to_another_one, EntryFixture)
{
    this->answer("a", {});
    this->answer("b", {});
    auto effects = this->refuse();
    BOOST_TEST(effects.answers.empty());
    BOOST_REQUIRE(effects.handovers.size() == 1U);
    BOOST_TEST(effects.handovers.at(0).submission.placement.preferredShard == "west");
}

// Guards against a start of a job after its cancellation, which is handled first.
BOOST_AUTO_TEST_CASE(cancelled_submission_leaves_the_queue)
{
    SubmissionQueue queue({ .batch = 2, .maximumSubmissions = 3 });
    for (const auto* job : { "a", "b", "c" })
        BOOST_TEST(queue.push({ "entry", makeJob(job, 1, 1) }).empty());
    queue.cancel("other", "a");
    queue.cancel("entry", "b");
    BOOST_TEST(queue.push({ "entry", makeJob("d", 1, 1) }).empty());
    auto excess = queue.push({ "entry", makeJob("e", 1, 1) });
    BOOST_REQUIRE(excess.size() == 1U);
    BOOST_TEST(excess.at(0).submission.job == "a");
    BOOST_TEST(queue.take().size() == 2U);
    auto last = queue.take();
    BOOST_REQUIRE(last.size() == 1U);
    BOOST_TEST(last.at(0).submission.job == "e");
    BOOST_TEST(queue.isEmpty());
}

// Guards against handovers because of lag alone.
BOOST_FIXTURE_TEST_CASE(late_dispatcher_keeps_its_jobs, EntryFixture)
{
    this->submit();
    this->owner.onAdmissionNotice("a", nothing, begin + 600ms);
    this->answer("b", {});
    this->owner.onRenewalAnswer("b", {}, {}, begin + 800ms);
    this->owner.tick(begin + 800ms);
    BOOST_TEST(this->owner.takeEffects().handovers.empty());
}

// Guards against 504 for jobs that were not started: a late dispatcher has to refuse them earlier.
BOOST_AUTO_TEST_CASE(late_dispatcher_refuses_waiting_jobs_before_their_deadline)
{
    for (auto delay : { 0ms, 400ms }) {
        TaskScheduler scheduler { TaskScheduler::Options {} };
        scheduler.activate(1, begin, {});
        scheduler.setKnowsAllTargets(false);
        auto submission = makeJob("job", 1, 1);
        submission.untilDeadline = 1500;
        scheduler.submit("entry", submission, begin);
        scheduler.setAnswerDelay(delay);
        scheduler.tick(begin + 600ms);
        auto expectedEnd = std::chrono::milliseconds(submission.estimateMilliseconds);
        (void)scheduler.renew("entry", { "job" }, begin + 600ms);
        scheduler.tick(begin + 1100ms - expectedEnd);
        BOOST_TEST(scheduler.openJobs() == (delay == 0ms ? 1U : 0U));
    }
}

// Guards against 504 for jobs whose submission the dispatcher has ignored.
BOOST_FIXTURE_TEST_CASE(job_without_a_record_is_handed_over_again_as_not_run, EntryFixture)
{
    this->submit();
    auto effects = this->answerUnknown(400ms, {});
    BOOST_REQUIRE(effects.handovers.size() == 1U);
    BOOST_TEST(effects.handovers.at(0).submission.untilEarlierRunsEnd == 0);
    BOOST_TEST(this->answerUnknown(800ms, {}).answers.empty());
    auto answers = this->answerUnknown(1300ms, {}).answers;
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers.at(0).kind == JobOwner::Answer::Kind::Refused));
}

BOOST_FIXTURE_TEST_CASE(job_with_a_record_may_have_run, EntryFixture)
{
    this->submit();
    auto effects = this->answerUnknown(400ms, { "job" });
    BOOST_REQUIRE(effects.handovers.size() == 1U);
    BOOST_TEST(effects.handovers.at(0).submission.untilEarlierRunsEnd > 0);
    this->owner.tick(begin + 2s);
    BOOST_TEST((this->owner.takeEffects().answers.at(0).kind == JobOwner::Answer::Kind::Unknown));
}

// The submission may have arrived after the answer was sent, and the job may run.
BOOST_FIXTURE_TEST_CASE(early_answer_shows_nothing, EntryFixture)
{
    this->submit();
    auto effects = this->answerUnknown(300ms, {});
    BOOST_TEST(effects.handovers.empty());
    this->owner.tick(begin + 2s);
    BOOST_TEST((this->owner.takeEffects().answers.at(0).kind == JobOwner::Answer::Kind::Unknown));
}

// Guards against refusals that say "not run" of jobs that may have run.
BOOST_AUTO_TEST_CASE(only_first_submissions_are_refused_without_a_record)
{
    TaskScheduler scheduler { TaskScheduler::Options {} };
    scheduler.activate(1, begin, {});
    JobHome home { PlacementRegistry::Options {} };
    home.begin("east", 1, begin);
    auto submission = makeJob("job", 1, 1);
    submission.placement = PlacementRequest { true, "east", "east", {}, "entry", false, 0 };
    // A home that does not know yet what its predecessor has decided.
    BOOST_TEST(!home.isFirst(scheduler, "entry", submission));
    home.setHasAllDispatchers(true);
    home.tick(scheduler, begin + 6s);
    BOOST_TEST(home.isFirst(scheduler, "entry", submission));
    BOOST_TEST(!home.isFirst(scheduler, "relay", submission));
    auto handedOver = submission;
    handedOver.untilOtherShardRunsEnd = 100;
    BOOST_TEST(!home.isFirst(scheduler, "entry", handedOver));
    home.submit(scheduler, "entry", submission, begin + 6s);
    submission.placement.entry = "other";
    BOOST_TEST(!home.isFirst(scheduler, "other", submission));
}
