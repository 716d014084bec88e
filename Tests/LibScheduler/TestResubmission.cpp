#include "SimulatedTargets.h"
#include <LibScheduler/Entry/JobOwner.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

// Callers submit a job again whose answer was lost, usually through another entry host.
namespace {

constexpr const char* otherEntry = "other-entry";

struct Fixture {
    SimulatedFleet fleet { 1 };

    Fixture()
    {
        this->fleet.addTarget("target-a", 64);
        this->fleet.report();
        this->fleet.dispatchers[0]->activate(10, this->fleet.now);
    }

    TaskScheduler& dispatcher() { return *this->fleet.dispatchers[0]; }
    uint64_t starts() { return this->fleet.targets.at("target-a").starts; }
    bool hasOutcome(const std::string& job, Milliseconds limit)
    {
        return this->fleet.runUntil([&] { return this->fleet.outcome(job) != nullptr; }, limit);
    }

    // Submits a job through the other entry host, and returns the outcome that this host gets at once, if any.
    std::optional<JobOutcome> submitAgain(const Submission& submission)
    {
        this->dispatcher().submit(otherEntry, submission, this->fleet.now);
        auto effects = this->dispatcher().takeEffects(this->fleet.now);
        BOOST_TEST(effects.orders.starts.empty());
        auto notice = std::find_if(effects.notices.begin(), effects.notices.end(), [](const auto& sent) { return sent.entry == otherEntry; });
        return notice == effects.notices.end() ? std::nullopt : std::optional(notice->outcome);
    }

    // Runs two of the four tasks of a job, then drops it while the other two run.
    void dropHalfDoneJob()
    {
        this->fleet.submit(0, makeJob("job", 4, 27));
        this->fleet.run(50ms);
        this->fleet.runTime = 30s;
        this->fleet.run(200ms);
        BOOST_TEST(this->starts() == 4U);
        this->dispatcher().cancel("entry", "job", this->fleet.now);
        this->fleet.owner.erase("job");
        this->fleet.runTime = 100ms;
        BOOST_TEST(this->fleet.runUntil([&] { return this->fleet.targets.at("target-a").running().empty(); }, 500ms));
        this->fleet.run(500ms);
    }
};

}

BOOST_FIXTURE_TEST_CASE(job_that_has_completed_is_answered_again_without_running_again, Fixture)
{
    this->fleet.submit(0, makeJob("job", 2, 27));
    BOOST_TEST(this->hasOutcome("job", 2s));
    this->fleet.run(1300ms);
    auto outcome = this->submitAgain(makeJob("job", 2, 27));
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((outcome->end == JobEnd::Completed));
    this->fleet.run(500ms);
    BOOST_TEST(this->starts() == 2U);
}

BOOST_FIXTURE_TEST_CASE(job_that_has_failed_is_answered_again_without_running_again, Fixture)
{
    this->fleet.tasksFail = true;
    this->fleet.submit(0, makeJob("job", 1, 27));
    BOOST_TEST(this->hasOutcome("job", 5s));
    auto startsBefore = this->starts();
    auto outcome = this->submitAgain(makeJob("job", 1, 27));
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((outcome->end == JobEnd::Failed));
    this->fleet.run(500ms);
    BOOST_TEST(this->starts() == startsBefore);
}

// The entry host may lose this answer, too, and then gets it with its next renewal.
BOOST_FIXTURE_TEST_CASE(outcome_of_a_job_that_was_answered_again_belongs_to_the_later_submission, Fixture)
{
    this->fleet.submit(0, makeJob("job", 1, 27));
    BOOST_TEST(this->hasOutcome("job", 2s));
    auto again = makeJob("job", 1, 27);
    again.firstRunNumber = 1001;
    BOOST_TEST(this->submitAgain(again).has_value());
    BOOST_TEST(this->dispatcher().renew(otherEntry, { "job" }, this->fleet.now).empty());
    auto effects = this->dispatcher().takeEffects(this->fleet.now);
    BOOST_REQUIRE(effects.notices.size() == 1U);
    BOOST_TEST(effects.notices.front().entry == otherEntry);
    BOOST_TEST(effects.notices.front().outcome.firstRunNumber == 1001U);
}

BOOST_FIXTURE_TEST_CASE(other_work_under_the_name_of_an_ended_job_is_run, Fixture)
{
    this->fleet.submit(0, makeJob("job", 1, 27));
    BOOST_TEST(this->hasOutcome("job", 2s));
    auto other = makeJob("job", 1, 27);
    other.payload = "other work";
    this->dispatcher().submit("entry", other, this->fleet.now);
    this->fleet.run(500ms);
    BOOST_TEST(this->starts() == 2U);
}

// Its caller would get the answer of the other job.
BOOST_FIXTURE_TEST_CASE(other_work_under_the_name_of_an_open_job_is_refused, Fixture)
{
    this->fleet.submit(0, makeJob("job", 1, 27));
    this->fleet.run(50ms);
    auto other = makeJob("job", 1, 27);
    other.queue = "other queue";
    auto outcome = this->submitAgain(other);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((outcome->end == JobEnd::Refused));
    BOOST_TEST(this->hasOutcome("job", 2s));
    BOOST_TEST((this->fleet.outcome("job")->end == JobEnd::Completed));
}

BOOST_FIXTURE_TEST_CASE(done_tasks_of_a_dropped_job_are_not_run_again, Fixture)
{
    this->dropHalfDoneJob();
    this->fleet.submit(0, makeJob("job", 4, 27));
    BOOST_TEST(this->hasOutcome("job", 2s));
    BOOST_TEST((this->fleet.outcome("job")->end == JobEnd::Completed));
    BOOST_TEST(this->starts() == 6U);
}

BOOST_FIXTURE_TEST_CASE(refusal_of_a_job_that_has_run_before_says_so, Fixture)
{
    this->dropHalfDoneJob();
    // No further target has the capacity, so that the job is refused.
    auto again = makeJob("job", 4, 27);
    again.untilDeadline = 10;
    auto outcome = this->submitAgain(again);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((outcome->end == JobEnd::Refused));
    BOOST_TEST(outcome->starts > 0U);
    // All of these runs have ended.
    BOOST_TEST(outcome->untilRunsEnd == 1);
}

BOOST_FIXTURE_TEST_CASE(refusal_says_until_when_runs_that_are_being_stopped_may_continue, Fixture)
{
    this->fleet.stopsAreLost = true;
    this->fleet.runTime = 30s;
    this->fleet.submit(0, makeJob("job", 2, 27));
    this->fleet.run(200ms);
    this->dispatcher().cancel("entry", "job", this->fleet.now);
    this->fleet.owner.erase("job");
    auto again = makeJob("job", 2, 27);
    again.untilDeadline = 10;
    auto outcome = this->submitAgain(again);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((outcome->end == JobEnd::Refused));
    BOOST_TEST(outcome->starts == 2U);
    BOOST_TEST(!this->fleet.targets.at("target-a").running().empty());
    this->fleet.run(Milliseconds(outcome->untilRunsEnd));
    BOOST_TEST(this->fleet.targets.at("target-a").running().empty());
}

// The runs were started by another dispatcher, so that the job was never open at this one.
BOOST_AUTO_TEST_CASE(refusal_counts_runs_that_were_not_adopted)
{
    SimulatedFleet fleet { 2 };
    fleet.addTarget("target-a", 64);
    fleet.report();
    fleet.runTime = 30s;
    fleet.dispatchers[0]->activate(10, fleet.now);
    fleet.submit(0, makeJob("job", 2, 27));
    fleet.run(200ms);
    fleet.dispatchers[1]->activate(11, fleet.now);
    fleet.run(50ms);
    auto again = makeJob("job", 2, 27);
    again.untilDeadline = 10;
    fleet.dispatchers[1]->submit(otherEntry, again, fleet.now);
    auto notices = fleet.dispatchers[1]->takeEffects(fleet.now).notices;
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST((notices.front().outcome.end == JobEnd::Refused));
    BOOST_TEST(notices.front().outcome.starts == 2U);
    BOOST_TEST(notices.front().outcome.untilRunsEnd > 0);
}

BOOST_FIXTURE_TEST_CASE(entry_host_is_told_that_its_job_was_taken_over_as_long_as_it_may_have_the_job, Fixture)
{
    auto takeNotices = [this](const std::string& entry) {
        std::vector<JobOutcome> outcomes;
        for (const auto& notice : this->dispatcher().takeEffects(this->fleet.now).notices) {
            if (notice.entry == entry)
                outcomes.push_back(notice.outcome);
        }
        return outcomes;
    };
    auto isToldOfTakeover = [&](const std::string& entry) {
        auto outcomes = takeNotices(entry);
        return outcomes.size() == 1 && outcomes.front().end == JobEnd::TakenOver;
    };
    this->fleet.runTime = 30s;
    this->fleet.submit(0, makeJob("job", 1, 27));
    this->fleet.run(50ms);
    this->dispatcher().submit(otherEntry, makeJob("job", 1, 27), this->fleet.now);
    BOOST_TEST(isToldOfTakeover("entry"));
    // It lists the job, or has withdrawn it, since the notice was lost.
    BOOST_TEST(this->dispatcher().renew("entry", { "job" }, this->fleet.now).empty());
    BOOST_TEST(isToldOfTakeover("entry"));
    this->dispatcher().cancel("entry", "job", this->fleet.now);
    BOOST_TEST(isToldOfTakeover("entry"));
    BOOST_TEST(this->dispatcher().renew("entry", {}, this->fleet.now).empty());
    BOOST_TEST(isToldOfTakeover("entry"));
    auto again = makeJob("job", 1, 27);
    again.firstRunNumber = 1001;
    again.untilEarlierRunsEnd = 500;
    this->dispatcher().submit("entry", again, this->fleet.now);
    BOOST_TEST(isToldOfTakeover("entry"));
    BOOST_TEST(this->dispatcher().openJobs() == 1U);
    // The second entry host has withdrawn the job, which may run elsewhere now.
    this->dispatcher().cancel(otherEntry, "job", this->fleet.now);
    BOOST_TEST(this->dispatcher().renew("entry", { "job" }, this->fleet.now).empty());
    BOOST_TEST(isToldOfTakeover("entry"));
    BOOST_TEST(this->dispatcher().renew("third-entry", { "job" }, this->fleet.now).size() == 1U);
}

// A process that has replaced the entry host has the same address.
BOOST_FIXTURE_TEST_CASE(entry_host_that_restarted_is_not_told_that_its_own_job_was_taken_over, Fixture)
{
    this->fleet.runTime = 30s;
    this->fleet.submit(0, makeJob("job", 1, 27));
    this->fleet.run(50ms);
    auto again = makeJob("job", 1, 27);
    again.entryIncarnation = 2;
    this->dispatcher().submit("entry", again, this->fleet.now);
    BOOST_TEST(this->dispatcher().renew("entry", { "job" }, this->fleet.now).empty());
    BOOST_TEST(this->dispatcher().takeEffects(this->fleet.now).notices.empty());
}

// The first entry host had the job in another shard, where its runs may continue; the second one does not know that.
BOOST_FIXTURE_TEST_CASE(job_that_was_dropped_waits_for_runs_elsewhere_although_its_next_submission_does_not_say_so, Fixture)
{
    auto handedOver = makeJob("job", 1, 27);
    handedOver.untilOtherShardRunsEnd = 900;
    this->fleet.submit(0, handedOver);
    this->fleet.run(100ms);
    this->dispatcher().cancel("entry", "job", this->fleet.now);
    auto refused = makeJob("job", 1, 27);
    refused.untilDeadline = 10;
    auto refusal = this->submitAgain(refused);
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST(refusal->starts > 0U);
    BOOST_TEST(refusal->untilRunsEnd == 800);
    this->fleet.submit(0, makeJob("job", 1, 27));
    this->fleet.run(780ms);
    BOOST_TEST(this->starts() == 0U);
    BOOST_TEST(this->hasOutcome("job", 500ms));
    BOOST_TEST(this->starts() == 1U);
}

// The second entry host does not know of the wait.
BOOST_FIXTURE_TEST_CASE(refusal_of_a_job_that_was_taken_over_says_until_when_runs_elsewhere_may_continue, Fixture)
{
    auto handedOver = makeJob("job", 1, 27);
    handedOver.untilOtherShardRunsEnd = 1200;
    handedOver.untilDeadline = 700;
    this->fleet.submit(0, handedOver);
    this->fleet.run(100ms);
    this->fleet.entriesRenew = false;
    handedOver.untilOtherShardRunsEnd = 0;
    BOOST_TEST(!this->submitAgain(handedOver).has_value());
    BOOST_TEST(this->hasOutcome("job", 1s));
    BOOST_TEST(this->starts() == 0U);
    BOOST_TEST((this->fleet.outcome("job")->end == JobEnd::Refused));
    BOOST_TEST(this->fleet.outcome("job")->starts > 0U);
    BOOST_TEST(this->fleet.outcome("job")->untilRunsEnd > 0);
}

// Two entry hosts hand the job over, each with the wait for its own former dispatcher.
BOOST_FIXTURE_TEST_CASE(job_that_two_entry_hosts_hand_over_waits_for_the_runs_of_both, Fixture)
{
    auto first = makeJob("job", 1, 27);
    first.untilOtherShardRunsEnd = 900;
    this->fleet.submit(0, first);
    this->fleet.run(100ms);
    auto second = makeJob("job", 1, 27);
    second.firstRunNumber = 1001;
    second.untilOtherShardRunsEnd = 300;
    this->dispatcher().submit(otherEntry, second, this->fleet.now);
    this->fleet.entriesRenew = false;
    this->fleet.run(600ms);
    BOOST_TEST(this->starts() == 0U);
}

// A new dispatcher does not know the runs that its predecessor has started until their target has listed them.
BOOST_FIXTURE_TEST_CASE(job_that_is_unknown_here_waits_for_runs_that_other_entry_hosts_know_of, Fixture)
{
    auto job = makeJob("job", 1, 27);
    job.untilUnknownRunsEnd = 800;
    this->fleet.submit(0, job);
    this->fleet.run(780ms);
    BOOST_TEST(this->starts() == 0U);
    BOOST_TEST(this->hasOutcome("job", 500ms));
    BOOST_TEST(this->starts() == 1U);
}

BOOST_FIXTURE_TEST_CASE(job_that_is_known_here_does_not_wait_for_runs_that_other_entry_hosts_know_of, Fixture)
{
    this->fleet.submit(0, makeJob("job", 1, 27));
    this->fleet.run(50ms);
    auto again = makeJob("job", 1, 27);
    again.untilUnknownRunsEnd = 800;
    BOOST_TEST(!this->submitAgain(again).has_value());
    this->fleet.entriesRenew = false;
    BOOST_TEST(this->hasOutcome("job", 200ms));
    BOOST_TEST(this->starts() == 1U);
}

// The run is stopped, since another shard may wait for its end, and the order is lost; the wait of the second submission ends before it.
BOOST_FIXTURE_TEST_CASE(job_that_a_second_entry_host_submits_with_a_short_wait_does_not_start_beside_its_run, Fixture)
{
    this->fleet.addTarget("target-b", 64);
    this->fleet.report();
    this->fleet.runTime = 30s;
    this->fleet.entriesRenew = false;
    this->fleet.stopsAreLost = true;
    auto job = makeJob("job", 1, 27);
    job.untilOtherShardRunsEnd = 100;
    this->fleet.submit(0, job);
    this->fleet.run(200ms);
    BOOST_TEST(this->starts() + this->fleet.targets.at("target-b").starts == 1U);
    job.firstRunNumber = 1001;
    job.untilOtherShardRunsEnd = 4;
    this->dispatcher().submit(otherEntry, job, this->fleet.now);
    this->fleet.run(400ms);
    BOOST_TEST(this->fleet.maximumConcurrentRuns() <= 1U);
}

BOOST_FIXTURE_TEST_CASE(renewal_of_an_unknown_kind_does_not_extend_the_entry_lease, Fixture)
{
    this->fleet.runTime = 30s;
    this->fleet.submit(0, makeJob("job", 1, 27));
    this->fleet.entriesRenew = false;
    for (int i = 0; i < 5; ++i) {
        this->fleet.run(200ms);
        (void)this->dispatcher().renew("entry", { "job" }, this->fleet.now, static_cast<TaskScheduler::RenewalKind>(99));
    }
    BOOST_TEST(this->dispatcher().openJobs() == 0U);
}

BOOST_AUTO_TEST_CASE(caller_of_a_refused_job_that_has_run_before_is_not_told_that_it_has_not_run)
{
    Instant now { std::chrono::hours(1) };
    JobOwner owner({});
    owner.updateDispatchers({ { "east", "a" } }, "east", now);
    owner.add(makeJob("job", 1, 1), now + 2s, now + 500ms, now);
    owner.onOutcome("a", JobOutcome { "job", JobEnd::Refused, "overloaded", 700, 0, 2, 1 }, now);
    auto effects = owner.takeEffects();
    BOOST_REQUIRE(effects.answers.size() == 1U);
    BOOST_TEST((effects.answers.front().kind == JobOwner::Answer::Kind::Unknown));
}

BOOST_AUTO_TEST_CASE(job_that_has_run_before_and_is_refused_by_all_shards_is_not_called_not_run)
{
    Instant now { std::chrono::hours(1) };
    JobOwner owner({});
    owner.updateDispatchers({ { "east", "a" }, { "west", "b" } }, "east", now);
    for (const auto* address : { "a", "b" })
        owner.onRenewalAnswer(address, {}, { PoolLoad { "pool", 1000, 0 } }, now);
    owner.add(makeJob("job", 1, 1), now + 2s, now + 500ms, now);
    owner.onOutcome("a", JobOutcome { "job", JobEnd::Refused, "overloaded", 700, 0, 2, 1 }, now);
    owner.onPlacement("a", Placement { "job", {}, PlacementKind::Shard, 1001, "west", 0 }, now);
    owner.onOutcome("b", JobOutcome { "job", JobEnd::Refused, "overloaded", 700, 0, 0, 2001 }, now);
    auto effects = owner.takeEffects();
    BOOST_REQUIRE(effects.answers.size() == 1U);
    BOOST_TEST((effects.answers.front().kind == JobOwner::Answer::Kind::Unknown));
}
