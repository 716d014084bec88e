#include "SimulatedShards.h"
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

using Kind = JobOwner::Answer::Kind;

static Submission makeUrgentJob(const std::string& name, uint32_t tasks, int64_t cores)
{
    auto job = makeJob(name, tasks, cores);
    job.untilDeadline = 5000;
    return job;
}

BOOST_AUTO_TEST_CASE(jobs_run_in_the_shard_of_their_entry_host_while_it_has_capacity)
{
    SimulatedShards shards(2, 4, 1);
    shards.run(600ms);
    for (int i = 0; i < 4; ++i)
        shards.submit(makeUrgentJob("job-" + std::to_string(i), 1, 30));
    shards.run(400ms);
    for (int i = 0; i < 4; ++i) {
        const auto* answer = shards.answer("job-" + std::to_string(i));
        BOOST_REQUIRE(answer);
        BOOST_TEST((answer->kind == Kind::Completed));
    }
    BOOST_TEST(shards.startsOn(0) == 4U);
    BOOST_TEST(shards.startsOn(1) == 0U);
}

// The burst exceeds the capacity of one shard.
BOOST_AUTO_TEST_CASE(burst_is_distributed_over_all_shards)
{
    SimulatedShards shards(2, 2, 1);
    shards.run(600ms);
    shards.runTime = 200ms;
    for (int i = 0; i < 40; ++i) {
        shards.submit(makeUrgentJob("job-" + std::to_string(i), 2, 30));
        shards.run(50ms);
    }
    shards.run(3s);
    BOOST_TEST(shards.startsOn(1) >= 25U);
    for (int i = 0; i < 40; ++i)
        BOOST_TEST((shards.answer("job-" + std::to_string(i))->kind == Kind::Completed));
}

// The entry hosts of the domain are not evacuated, and their callers must not notice.
BOOST_AUTO_TEST_CASE(jobs_of_entry_hosts_in_an_evacuated_domain_run_in_another_shard)
{
    SimulatedShards shards(2, 1, 1);
    shards.run(600ms);
    shards.runTime = 500ms;
    shards.submit(makeUrgentJob("running", 1, 60));
    shards.run(50ms);
    shards.submit(makeUrgentJob("waiting", 1, 60));
    shards.run(50ms);
    shards.evacuate(0);
    shards.submit(makeUrgentJob("new", 1, 4));
    shards.run(2s);
    for (const auto* job : { "running", "waiting", "new" })
        BOOST_TEST((shards.answer(job) && shards.answer(job)->kind == Kind::Completed), job);
    BOOST_TEST(shards.startsOn(0) == 1U);
    shards.evacuate(1);
    shards.submit(makeUrgentJob("late", 1, 4));
    shards.run(100ms);
    BOOST_TEST((shards.answer("late") && shards.answer("late")->kind == Kind::Refused));
}

BOOST_AUTO_TEST_CASE(jobs_of_a_silent_dispatcher_run_in_another_shard)
{
    SimulatedShards shards(2, 4, 1);
    shards.run(600ms);
    shards.runTime = 1s;
    shards.submit(makeUrgentJob("job", 2, 30));
    shards.run(100ms);
    BOOST_TEST(shards.startsOn(0) == 2U);
    shards.cutLink(SimulatedShards::entry, shards.dispatcherOf(0));
    shards.cutLink(shards.dispatcherOf(0), SimulatedShards::entry);
    shards.run(4s);
    BOOST_REQUIRE(shards.answer("job"));
    BOOST_TEST((shards.answer("job")->kind == Kind::Completed));
    BOOST_TEST(shards.startsOn(1) == 2U);
    BOOST_TEST(shards.maximumConcurrentRuns() <= 1U);
}

// The dispatcher still receives the renewals of the entry host, but its answers are lost. Those renewals must not extend the entry
// lease there, or the runs of the dispatcher would continue while the same tasks run in the other shard.
BOOST_AUTO_TEST_CASE(asymmetric_link_failure_does_not_run_a_task_twice)
{
    SimulatedShards shards(2, 4, 1);
    shards.run(600ms);
    shards.runTime = 4s;
    shards.submit(makeUrgentJob("job", 2, 30));
    shards.run(100ms);
    shards.cutLink(shards.dispatcherOf(0), SimulatedShards::entry);
    shards.run(4s);
    BOOST_TEST(shards.startsOn(1) == 2U);
    BOOST_TEST(shards.maximumConcurrentRuns() <= 1U);
}

// The runs in the first shard last as long as possible: for some time its dispatcher still receives renewals while its answers are
// lost, and it renews the leases of its runs until it is paused. The job must not start in the other shard before they expire.
BOOST_AUTO_TEST_CASE(dispatcher_paused_during_a_partition_does_not_run_a_task_twice)
{
    for (int pauseDelay = 0; pauseDelay < 1200; pauseDelay += 20) {
        for (int oneWayCutTime = 0; oneWayCutTime <= 300; oneWayCutTime += 100) {
            SimulatedShards shards(2, 4, 1);
            shards.run(600ms);
            shards.runTime = 4s;
            shards.submit(makeUrgentJob("job", 2, 30));
            shards.run(100ms);
            shards.cutLink(shards.dispatcherOf(0), SimulatedShards::entry);
            shards.run(Milliseconds(oneWayCutTime));
            shards.cutLink(SimulatedShards::entry, shards.dispatcherOf(0));
            shards.run(Milliseconds(pauseDelay));
            shards.pauseProcess(shards.dispatcherOf(0), 2s);
            shards.run(4s);
            BOOST_TEST(shards.startsOn(1) == 2U, "one-way cut for " << oneWayCutTime << " ms, paused after " << pauseDelay << " ms");
            BOOST_TEST(shards.maximumConcurrentRuns() <= 1U, "one-way cut for " << oneWayCutTime << " ms, paused after " << pauseDelay << " ms");
        }
    }
}

// A renewal leaves late, and its time in transit is near the limit. Both count toward the time that the runs in the first shard get.
BOOST_AUTO_TEST_CASE(entry_host_that_halts_before_it_sends_a_renewal_does_not_run_a_task_twice)
{
    for (int halt = 0; halt <= 300; halt += 50) {
        for (int haltDelay = 0; haltDelay <= 340; haltDelay += 20) {
            SimulatedShards shards(2, 4, 1);
            shards.lostStopPercent = 100;
            shards.run(600ms);
            shards.runTime = 6s;
            shards.submit(makeUrgentJob("job", 2, 30));
            shards.run(100ms);
            shards.delayMessagesTo(shards.dispatcherOf(0), 240ms);
            shards.run(500ms);
            shards.cutLink(shards.dispatcherOf(0), SimulatedShards::entry);
            shards.run(Milliseconds(haltDelay));
            shards.haltEntryWithinTick(Milliseconds(halt));
            shards.run(570ms);
            // The cancellation is lost as well.
            shards.cutLink(SimulatedShards::entry, shards.dispatcherOf(0));
            shards.run(4s);
            BOOST_TEST(shards.startsOn(1) == 2U, "halt of " << halt << " ms after " << haltDelay << " ms");
            BOOST_TEST(shards.maximumConcurrentRuns() <= 1U, "halt of " << halt << " ms after " << haltDelay << " ms");
        }
    }
}

// The dispatcher halts after it has found that a renewal is on time.
BOOST_AUTO_TEST_CASE(dispatcher_that_halts_while_it_processes_a_renewal_does_not_run_a_task_twice)
{
    for (int halt = 0; halt <= 300; halt += 50) {
        for (int haltDelay = 0; haltDelay <= 580; haltDelay += 20) {
            SimulatedShards shards(2, 4, 1);
            shards.lostStopPercent = 100;
            shards.run(600ms);
            shards.runTime = 6s;
            shards.submit(makeUrgentJob("job", 2, 30));
            shards.run(100ms);
            shards.delayMessagesTo(shards.dispatcherOf(0), 240ms);
            shards.run(500ms);
            shards.cutLink(shards.dispatcherOf(0), SimulatedShards::entry);
            shards.run(Milliseconds(haltDelay));
            shards.haltDispatcherWithinMessage(shards.dispatcherOf(0), Milliseconds(halt));
            shards.run(570ms);
            // The cancellation is lost as well.
            shards.cutLink(SimulatedShards::entry, shards.dispatcherOf(0));
            shards.run(4s);
            BOOST_TEST(shards.startsOn(1) == 2U, "halt of " << halt << " ms after " << haltDelay << " ms");
            BOOST_TEST(shards.maximumConcurrentRuns() <= 1U, "halt of " << halt << " ms after " << haltDelay << " ms");
        }
    }
}

BOOST_AUTO_TEST_CASE(job_is_not_started_again_after_a_pause_of_its_entry_host)
{
    SimulatedShards shards(1, 4, 1);
    shards.run(600ms);
    shards.runTime = 3s;
    shards.submit(makeUrgentJob("job", 2, 30));
    shards.run(100ms);
    shards.pauseProcess(SimulatedShards::entry, 1500ms);
    shards.run(4s);
    BOOST_REQUIRE(shards.answer("job"));
    BOOST_TEST((shards.answer("job")->kind == Kind::Unknown));
    BOOST_TEST(shards.startsOn(0) == 2U);
}

// The dispatcher freezes at some time after its entry host was killed; its last leases on targets have to end before the caller
// submits the job again. The last renewal may be delayed in transit.
BOOST_AUTO_TEST_CASE(runs_end_before_resubmission_although_entry_host_is_killed_and_dispatcher_freezes)
{
    for (int transitTime = 0; transitTime <= 180; transitTime += 90) {
        for (int pauseDelay = 0; pauseDelay < 1100; pauseDelay += 20) {
            SimulatedShards shards(2, 4, 1, 2);
            shards.run(600ms);
            shards.runTime = 6s;
            shards.submit(makeUrgentJob("job", 2, 30));
            shards.run(180ms);
            auto dispatcher = shards.dispatcherOf(0);
            shards.cutLink(SimulatedShards::entry, dispatcher);
            shards.run(60ms);
            shards.killEntry(0, 20s);
            shards.run(Milliseconds(transitTime));
            shards.restoreAllLinks();
            shards.run(Milliseconds(pauseDelay));
            shards.pauseProcess(dispatcher, 3s);
            shards.run(4s);
            BOOST_TEST(shards.startsOn(1) == 2U, "transit of " << transitTime << " ms, paused after " << pauseDelay << " ms");
            BOOST_TEST(shards.maximumConcurrentRuns() <= 1U, "transit of " << transitTime << " ms, paused after " << pauseDelay << " ms");
        }
    }
}

BOOST_AUTO_TEST_CASE(run_of_a_killed_entry_host_ends_before_resubmission_although_its_stop_is_lost)
{
    SimulatedShards shards(2, 4, 1, 2);
    shards.lostStopPercent = 100;
    shards.run(600ms);
    shards.runTime = 6s;
    shards.submit(makeUrgentJob("job", 2, 30));
    shards.run(100ms);
    shards.killEntry(0, 20s);
    shards.run(4s);
    BOOST_TEST(shards.startsOn(1) == 2U);
    BOOST_TEST(shards.maximumConcurrentRuns() <= 1U);
}

// The submission is the first message about jobs that the new dispatcher gets from the entry host, which is killed meanwhile.
BOOST_AUTO_TEST_CASE(delayed_first_submission_to_a_new_dispatcher_has_no_effect)
{
    for (int transitTime = 300; transitTime <= 650; transitTime += 50) {
        SimulatedShards shards(2, 4, 1, 2);
        shards.run(600ms);
        shards.runTime = 6s;
        // No other dispatcher is fresh, so that the new one gets the job.
        shards.cutLink(shards.dispatcherOf(1), SimulatedShards::entry);
        shards.run(400ms);
        shards.cutLink(SimulatedShards::entry, "shard-0-dispatcher-2");
        shards.replaceDispatcher(0, 0ms);
        shards.run(60ms);
        shards.submit(makeUrgentJob("job", 2, 30));
        shards.run(20ms);
        shards.killEntry(0, 20s);
        shards.run(Milliseconds(transitTime));
        shards.restoreAllLinks();
        shards.run(4s);
        BOOST_TEST(shards.maximumConcurrentRuns() <= 1U, "transit of " << transitTime << " ms");
    }
}

// The new dispatcher has never heard from the entry host, so that it cannot tell a late message by comparison.
BOOST_AUTO_TEST_CASE(delayed_first_submission_to_a_dispatcher_that_has_just_started_has_no_effect)
{
    for (int transitTime = 300; transitTime <= 650; transitTime += 50) {
        SimulatedShards shards(2, 4, 1, 2);
        shards.run(600ms);
        shards.runTime = 6s;
        shards.cutLink(shards.dispatcherOf(1), SimulatedShards::entry);
        shards.run(400ms);
        shards.cutLink(SimulatedShards::entry, "shard-0-dispatcher-2");
        shards.replaceDispatcherHost(0, 0ms);
        shards.run(60ms);
        shards.submit(makeUrgentJob("job", 2, 30));
        shards.run(20ms);
        shards.killEntry(0, 20s);
        shards.run(Milliseconds(transitTime));
        shards.restoreAllLinks();
        shards.run(4s);
        BOOST_TEST(shards.maximumConcurrentRuns() <= 1U, "transit of " << transitTime << " ms");
    }
}

// The entry host is paused for less than the entry lease when its callers lose their connections, and extends the lease of their job
// when it resumes, before it sees that they are gone.
BOOST_AUTO_TEST_CASE(run_ends_before_resubmission_although_its_entry_host_resumes_after_the_loss_of_the_connection)
{
    for (int pause = 0; pause < 700; pause += 50) {
        SimulatedShards shards(2, 4, 1, 2);
        shards.lostStopPercent = 100;
        shards.run(600ms);
        shards.runTime = 6s;
        shards.submit(makeUrgentJob("job", 2, 30));
        shards.run(100ms);
        if (pause > 0)
            shards.pauseProcess(SimulatedShards::entry, Milliseconds(pause));
        shards.loseCallers(0, 100ms);
        shards.run(4s);
        BOOST_TEST(shards.startsOn(1) == 2U, "paused for " << pause << " ms");
        BOOST_TEST(shards.maximumConcurrentRuns() <= 1U, "paused for " << pause << " ms");
    }
}

// The entry host is not paused, but sees late that its callers are gone: it checks a bounded number of connections at a time.
BOOST_AUTO_TEST_CASE(run_ends_before_resubmission_although_its_entry_host_sees_the_loss_of_the_connection_late)
{
    for (int detectionDelay = 0; detectionDelay <= 600; detectionDelay += 50) {
        SimulatedShards shards(2, 4, 1, 2);
        shards.lostStopPercent = 100;
        shards.run(600ms);
        shards.runTime = 6s;
        shards.submit(makeUrgentJob("job", 2, 30));
        shards.run(100ms);
        shards.loseCallers(0, Milliseconds(detectionDelay));
        shards.run(4s);
        BOOST_TEST(shards.maximumConcurrentRuns() <= 1U, "seen after " << detectionDelay << " ms");
    }
}

// The dispatcher is replaced while the entry host is paused; the callers have submitted the job again by the time it resumes.
BOOST_AUTO_TEST_CASE(entry_host_that_resumes_does_not_hand_a_job_over_to_a_new_dispatcher)
{
    SimulatedShards shards(2, 4, 1, 2);
    shards.run(600ms);
    shards.runTime = 3s;
    shards.submit(makeUrgentJob("job", 2, 30));
    shards.run(100ms);
    shards.pauseProcess(SimulatedShards::entry, 1500ms);
    shards.loseCallers(0, 100ms);
    shards.run(300ms);
    shards.replaceDispatcher(0, 300ms);
    shards.run(4s);
    BOOST_TEST(shards.startsOn(1) == 2U);
    BOOST_TEST(shards.maximumConcurrentRuns() <= 1U);
}

// The entry host sees late that its callers are gone, and the stops are lost. The job is submitted again to the same dispatcher, which
// refuses it for lack of capacity; it is then offered to the other shard.
BOOST_AUTO_TEST_CASE(refused_job_does_not_start_in_another_shard_beside_its_runs)
{
    SimulatedShards shards(2, 1, 1, 3);
    shards.lostStopPercent = 100;
    shards.run(600ms);
    shards.runTime = 6s;
    auto job = makeUrgentJob("job", 1, 10);
    job.untilDeadline = 2000;
    shards.submit(job, 2);
    shards.run(100ms);
    BOOST_TEST(shards.startsOn(0) == 1U);
    shards.loseCallers(2, 900ms);
    shards.run(SimulatedShards::callerRetryDelay - 5ms);
    shards.runTime = 1s;
    for (int i = 0; i < 20; ++i)
        shards.submit(makeUrgentJob("other-" + std::to_string(i), 4, 30));
    shards.run(5s);
    BOOST_TEST(shards.startsOn(1) >= 1U);
    BOOST_TEST(shards.maximumConcurrentRuns() <= 1U);
}

// The job is refused while the entry host is paused; its caller has submitted it to another shard by the time the host resumes.
BOOST_AUTO_TEST_CASE(entry_host_that_resumes_does_not_hand_a_refused_job_over_to_another_shard)
{
    for (unsigned seed = 1; seed <= 8; ++seed) {
        SimulatedShards shards(3, 4, seed, 2);
        // The targets of the first shard are too small for the job.
        for (int target = 0; target < 4; ++target)
            shards.targets.at("shard-0-target-" + std::to_string(target)).capacity.milliCores = 8000;
        shards.replaceDispatcher(0, 0ms);
        shards.run(600ms);
        shards.runTime = 3s;
        shards.submit(makeUrgentJob("job", 2, 30));
        shards.run(1ms);
        shards.pauseProcess(SimulatedShards::entry, 1500ms);
        shards.loseCallers(0, 100ms);
        shards.run(2s);
        // Later, tasks start again on targets that orders reach too late.
        BOOST_TEST(shards.startsOn(1) == 2U, "seed " << seed);
        shards.run(2s);
        BOOST_TEST(shards.startsOn(2) == 0U, "seed " << seed);
        BOOST_TEST(shards.maximumConcurrentRuns() <= 1U, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(other_work_under_the_name_of_an_open_job_does_not_start_in_another_shard)
{
    SimulatedShards shards(2, 2, 1, 3);
    shards.run(600ms);
    shards.runTime = 3s;
    shards.submit(makeUrgentJob("job", 1, 10), 0);
    shards.run(100ms);
    auto other = makeUrgentJob("job", 1, 10);
    other.payload = "other work";
    shards.submit(other, 2);
    shards.run(2s);
    BOOST_TEST(shards.startsOn(0) == 1U);
    BOOST_TEST(shards.startsOn(1) == 0U);
    BOOST_TEST(shards.maximumConcurrentRuns() <= 1U);
    BOOST_REQUIRE(shards.answer("job"));
    BOOST_TEST((shards.answer("job")->kind == Kind::Unknown));
    shards.run(2s);
    // The caller of the open job.
    BOOST_TEST((shards.answer("job")->kind == Kind::Completed));
}

// The first entry host never sees that its caller is gone, the dispatcher gets the job from a second one, and falls silent to the first.
BOOST_AUTO_TEST_CASE(entry_host_whose_job_was_taken_over_does_not_hand_it_over_to_another_shard)
{
    for (int untilCut = 20; untilCut <= 400; untilCut += 20) {
        SimulatedShards shards(2, 2, 1, 3);
        shards.run(600ms);
        shards.runTime = 4500ms;
        shards.submit(makeUrgentJob("job", 1, 10), 2);
        shards.run(100ms);
        shards.loseCallers(2, 20s);
        shards.run(SimulatedShards::callerRetryDelay + Milliseconds(untilCut));
        shards.cutLink(shards.dispatcherOf(0), "entry-2");
        shards.run(4s);
        BOOST_TEST(shards.maximumConcurrentRuns() <= 1U, "cut after " << untilCut << " ms");
        BOOST_REQUIRE(shards.answer("job"));
        BOOST_TEST((shards.answer("job")->kind == Kind::Completed), "cut after " << untilCut << " ms");
        BOOST_TEST(shards.startsOn(0) + shards.startsOn(1) == 1U, "cut after " << untilCut << " ms");
    }
}

// The first notices are lost, since messages of the dispatcher to the first entry host are lost for some time.
static void loseNoticesOfTakeover(Milliseconds cutTime)
{
    SimulatedShards shards(2, 2, 1, 3);
    shards.run(600ms);
    shards.runTime = 4500ms;
    shards.submit(makeUrgentJob("job", 1, 10), 2);
    shards.run(100ms);
    shards.loseCallers(2, 20s);
    shards.run(SimulatedShards::callerRetryDelay - 300ms);
    shards.cutLink(shards.dispatcherOf(0), "entry-2");
    shards.run(cutTime);
    shards.restoreAllLinks();
    shards.run(4s);
    BOOST_TEST(shards.maximumConcurrentRuns() <= 1U, "cut for " << cutTime.count() << " ms");
    BOOST_TEST(shards.startsOn(0) + shards.startsOn(1) == 1U, "cut for " << cutTime.count() << " ms");
}

// The other shard, to which the first entry host hands the job over, does not start it for 1250 ms.
BOOST_AUTO_TEST_CASE(entry_host_that_learns_late_of_a_takeover_withdraws_its_job)
{
    for (auto cutTime = 500ms; cutTime <= 1250ms; cutTime += 50ms)
        loseNoticesOfTakeover(cutTime);
}

// A wait would end before it learns of the takeover.
BOOST_AUTO_TEST_CASE(entry_host_that_is_cut_off_during_a_takeover_does_not_run_its_job_beside_the_second_one)
{
    for (auto cutTime = 1300ms; cutTime <= 1600ms; cutTime += 50ms)
        loseNoticesOfTakeover(cutTime);
}

// The second entry host moves the job to another shard; the first one must not hand it over to the former dispatcher again.
BOOST_AUTO_TEST_CASE(entry_host_whose_job_was_taken_over_does_not_hand_it_over_to_the_same_dispatcher)
{
    SimulatedShards shards(2, 2, 1, 3);
    shards.run(600ms);
    shards.runTime = 4500ms;
    shards.submit(makeUrgentJob("job", 1, 10), 2);
    shards.run(100ms);
    shards.loseCallers(2, 20s);
    shards.run(SimulatedShards::callerRetryDelay + 100ms);
    shards.cutLink(shards.dispatcherOf(0), SimulatedShards::entry);
    shards.run(4s);
    BOOST_TEST(shards.startsOn(0) == 1U);
    BOOST_TEST(shards.startsOn(1) == 1U);
    BOOST_TEST(shards.maximumConcurrentRuns() <= 1U);
}

// The dispatcher of the first shard falls silent and is replaced, and so does the one of the second shard, to which the job was handed
// over, and which starts it once the runs in the first shard have ended. The new dispatcher of the first shard must not keep them.
BOOST_AUTO_TEST_CASE(new_dispatcher_does_not_extend_runs_whose_end_another_shard_waits_for)
{
    for (int secondCut = 0; secondCut <= 500; secondCut += 20) {
        for (int replacement = 0; replacement <= 500; replacement += 20) {
            SimulatedShards shards(2, 4, 1);
            shards.run(600ms);
            shards.runTime = 6s;
            shards.submit(makeUrgentJob("job", 2, 30));
            shards.run(100ms);
            shards.cutLink(shards.dispatcherOf(0), SimulatedShards::entry);
            shards.run(Milliseconds(secondCut));
            shards.cutLink(shards.dispatcherOf(1), SimulatedShards::entry);
            shards.run(Milliseconds(replacement));
            shards.replaceDispatcher(0, 0ms);
            shards.run(60ms);
            // The cancellation is lost as well.
            shards.cutLink(SimulatedShards::entry, shards.dispatcherOf(1));
            shards.run(4s);
            BOOST_TEST(shards.maximumConcurrentRuns() <= 1U, "second cut after " << secondCut << " ms, replaced after further " << replacement << " ms");
        }
    }
}

// A caller whose connection is reset submits its job again at once, through another entry host of the same shard. The backlog there is so
// large that some jobs go to other shards.
BOOST_AUTO_TEST_CASE(job_that_is_submitted_again_at_once_through_another_entry_host_does_not_run_twice)
{
    size_t startsElsewhere = 0;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        SimulatedShards shards(3, 2, seed, 4);
        shards.run(600ms);
        shards.runTime = 300ms;
        for (int i = 0; i < 8; ++i)
            shards.submit(makeUrgentJob("backlog-" + std::to_string(i), 4, 30));
        shards.run(500ms);
        for (int i = 0; i < 4; ++i) {
            auto job = makeUrgentJob("job-" + std::to_string(seed) + "-" + std::to_string(i), 1, 30);
            shards.submit(job, 0);
            shards.run(3ms);
            shards.submit(job, 3);
        }
        shards.run(4s);
        startsElsewhere += shards.startsOn(1) + shards.startsOn(2);
        BOOST_TEST(shards.maximumConcurrentRuns() <= 1U, "seed " << seed);
    }
    BOOST_TEST(startsElsewhere > 20U);
}

// The first entry host is the only one that reaches the dispatcher of their shard.
BOOST_AUTO_TEST_CASE(job_that_is_submitted_again_at_once_while_its_dispatcher_is_cut_off_does_not_run_twice)
{
    SimulatedShards shards(2, 4, 1, 3);
    shards.run(600ms);
    shards.runTime = 300ms;
    shards.cutLink("entry-2", shards.dispatcherOf(0));
    shards.cutLink(shards.dispatcherOf(0), "entry-2");
    shards.run(500ms);
    shards.submit(makeUrgentJob("job", 1, 30), 0);
    shards.run(3ms);
    shards.submit(makeUrgentJob("job", 1, 30), 2);
    shards.run(4s);
    BOOST_TEST(shards.maximumConcurrentRuns() <= 1U);
}

BOOST_AUTO_TEST_CASE(random_losses_of_entry_hosts_and_stop_orders_never_run_a_task_twice_at_once)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        SimulatedShards shards(3, 2, seed, 2);
        std::mt19937 random(seed);
        shards.callersRetryUnknownJobs = true;
        shards.delayedStopPercent = random() % 50;
        shards.lostStopPercent = random() % 50;
        shards.run(600ms);
        for (unsigned turn = 0; turn < 50; ++turn) {
            shards.runTime = Milliseconds(50 + random() % 2000);
            shards.submit(makeUrgentJob("job-" + std::to_string(turn), 1 + random() % 4, 10 + static_cast<int64_t>(random() % 20)), random() % 2);
            shards.run(Milliseconds(20 + random() % 180));
            auto shard = random() % 3;
            auto dispatcher = shards.dispatcherOf(shard);
            auto target = "shard-" + std::to_string(shard) + "-target-" + std::to_string(random() % 2);
            const auto* entry = random() % 2 == 0 ? SimulatedShards::entry : SimulatedShards::secondEntry;
            switch (random() % 24) {
            case 0:
                shards.cutLink(dispatcher, entry);
                break;
            case 1:
                shards.cutLink(entry, dispatcher);
                break;
            case 2:
                shards.cutLink(dispatcher, target);
                break;
            case 3:
                shards.cutLink(target, dispatcher);
                break;
            case 4:
                shards.pauseProcess(dispatcher, Milliseconds(100 + random() % 2000));
                break;
            case 5:
                shards.pauseProcess(entry, Milliseconds(100 + random() % 2000));
                break;
            case 6:
                shards.replaceDispatcher(shard, Milliseconds(100 + random() % 1000));
                break;
            case 7:
            case 8:
            case 9:
            case 10:
                shards.killEntry(random() % 2, Milliseconds(300 + random() % 2000));
                break;
            case 11:
            case 12:
            case 13:
                shards.restoreAllLinks();
                break;
            default:
                break;
            }
        }
        shards.restoreAllLinks();
        shards.run(8s);
        BOOST_TEST(shards.maximumConcurrentRuns() <= 1U, "seed " << seed);
        BOOST_TEST(!shards.anyOvercommitted(), "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(random_halts_between_reading_the_clock_and_acting_never_run_a_task_twice_at_once)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        SimulatedShards shards(3, 2, seed);
        std::mt19937 random(seed);
        shards.lostStopPercent = random() % 101;
        shards.run(600ms);
        for (unsigned turn = 0; turn < 80; ++turn) {
            shards.runTime = Milliseconds(50 + random() % 3000);
            shards.submit(makeUrgentJob("job-" + std::to_string(turn), 1 + random() % 4, 10 + static_cast<int64_t>(random() % 20)));
            shards.run(Milliseconds(20 + random() % 180));
            auto dispatcher = shards.dispatcherOf(random() % 3);
            if (dispatcher.empty())
                continue;
            if (random() % 2 == 0)
                shards.haltEntryWithinTick(Milliseconds(random() % 340));
            if (random() % 2 == 0)
                shards.haltDispatcherWithinMessage(dispatcher, Milliseconds(random() % 340));
            switch (random() % 8) {
            case 0:
            case 1:
                shards.cutLink(dispatcher, SimulatedShards::entry);
                break;
            case 2:
                shards.restoreAllLinks();
                break;
            case 3:
            case 4:
                shards.delayMessagesTo(dispatcher, Milliseconds(1 + random() % 250));
                break;
            default:
                break;
            }
        }
        shards.restoreAllLinks();
        shards.run(8s);
        BOOST_TEST(shards.maximumConcurrentRuns() <= 1U, "seed " << seed);
        BOOST_TEST(!shards.anyOvercommitted(), "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(random_faults_across_shards_never_run_a_task_twice_at_once)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        SimulatedShards shards(3, 2, seed);
        std::mt19937 random(seed);
        shards.run(600ms);
        std::vector<std::string> jobs;
        for (unsigned turn = 0; turn < 50; ++turn) {
            shards.runTime = Milliseconds(50 + random() % 900);
            jobs.push_back("job-" + std::to_string(turn));
            shards.submit(makeUrgentJob(jobs.back(), 1 + random() % 4, 20 + static_cast<int64_t>(random() % 20)));
            shards.run(Milliseconds(20 + random() % 180));
            auto shard = random() % 3;
            auto dispatcher = shards.dispatcherOf(shard);
            auto target = "shard-" + std::to_string(shard) + "-target-" + std::to_string(random() % 2);
            switch (random() % 24) {
            case 0:
                shards.cutLink(dispatcher, SimulatedShards::entry);
                break;
            case 1:
                shards.cutLink(SimulatedShards::entry, dispatcher);
                break;
            case 2:
                shards.cutLink(dispatcher, target);
                break;
            case 3:
                shards.cutLink(target, dispatcher);
                break;
            case 4:
                shards.pauseProcess(dispatcher, Milliseconds(100 + random() % 2000));
                break;
            case 5:
                shards.pauseProcess(SimulatedShards::entry, Milliseconds(100 + random() % 2000));
                break;
            case 6:
                shards.replaceDispatcher(shard, Milliseconds(100 + random() % 1000));
                break;
            case 7:
            case 8:
            case 9:
                shards.restoreAllLinks();
                break;
            default:
                break;
            }
        }
        shards.restoreAllLinks();
        shards.run(8s);
        BOOST_TEST(shards.maximumConcurrentRuns() <= 1U, "seed " << seed);
        BOOST_TEST(!shards.anyOvercommitted(), "seed " << seed);
        for (const auto& job : jobs)
            BOOST_TEST(shards.answer(job) != nullptr, "seed " << seed << ", " << job);
    }
}
