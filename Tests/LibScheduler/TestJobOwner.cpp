#include "SimulatedTargets.h"
#include <LibScheduler/Entry/JobOwner.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

using Kind = JobOwner::Answer::Kind;

namespace {

struct Fixture {
    Instant now { std::chrono::hours(1) };
    JobOwner owner { JobOwner::Options {} };

    // The entry host belongs to the shard of the first dispatcher, which is the home of its jobs.
    void updateDispatchers(const std::vector<ShardDispatcher>& currentDispatchers) { this->owner.updateDispatchers(currentDispatchers, currentDispatchers.front().shard, this->now); }

    void useTwoShards()
    {
        this->updateDispatchers({ { "east", "a" }, { "west", "b" } });
        for (const auto* address : { "a", "b" })
            this->owner.onRenewalAnswer(address, {}, { PoolLoad { "pool", 1000, 0 } }, this->now);
    }

    void useThreeShards()
    {
        this->updateDispatchers({ { "east", "a" }, { "north", "c" }, { "west", "b" } });
        for (const auto* address : { "a", "b", "c" })
            this->owner.onRenewalAnswer(address, {}, { PoolLoad { "pool", 1000, 0 } }, this->now);
    }

    void add(const std::string& job)
    {
        this->owner.add(makeJob(job, 1, 1), this->now + 2s, this->now + 500ms, this->now);
    }

    std::vector<JobOwner::Handover> handovers() { return this->owner.takeEffects().handovers; }

    // The home agrees to the shard that the last request prefers. Returns that request.
    Submission placeAsPreferred()
    {
        auto requests = this->handovers();
        BOOST_REQUIRE(requests.size() == 1U);
        auto submission = requests.front().submission;
        BOOST_TEST(submission.placement.isRequested);
        BOOST_TEST(requests.front().dispatcher == "a");
        this->owner.onPlacement("a", Placement { submission.job, {}, PlacementKind::Shard, submission.firstRunNumber, submission.placement.preferredShard, 0 }, this->now);
        return submission;
    }

    void refuse(const std::string& from, const std::string& job, uint64_t firstRunNumber)
    {
        this->owner.onOutcome(from, JobOutcome { job, JobEnd::Refused, "overloaded", 700, 0, 0, firstRunNumber }, this->now);
    }
};

}

BOOST_FIXTURE_TEST_CASE(refused_job_is_offered_to_another_shard, Fixture)
{
    this->useTwoShards();
    this->add("job");
    BOOST_TEST(this->handovers().at(0).dispatcher == "a");
    this->refuse("a", "job", 1);
    BOOST_TEST(this->placeAsPreferred().placement.leftShards == std::vector<std::string> { "east" });
    auto effects = this->owner.takeEffects();
    BOOST_TEST(effects.answers.empty());
    BOOST_REQUIRE(effects.handovers.size() == 1U);
    BOOST_TEST(effects.handovers.at(0).dispatcher == "b");
    BOOST_TEST(!effects.handovers.at(0).submission.placement.isRequested);
    // No task has run, so the other dispatcher does not have to wait for earlier runs.
    BOOST_TEST(effects.handovers.at(0).submission.untilOtherShardRunsEnd == 0);
}

BOOST_FIXTURE_TEST_CASE(job_refused_by_all_shards_is_refused_immediately, Fixture)
{
    this->useTwoShards();
    this->add("job");
    (void)this->owner.takeEffects();
    this->refuse("a", "job", 1);
    (void)this->placeAsPreferred();
    this->refuse("b", "job", 2001);
    auto effects = this->owner.takeEffects();
    BOOST_REQUIRE(effects.answers.size() == 1U);
    BOOST_TEST((effects.answers.at(0).kind == Kind::Refused));
    BOOST_TEST((effects.answers.at(0).retryAfter == 700ms));
    BOOST_TEST(this->owner.openJobs() == 0U);
}

BOOST_FIXTURE_TEST_CASE(shard_that_gets_a_refused_job_waits_for_its_runs_at_the_refusing_dispatcher, Fixture)
{
    this->useTwoShards();
    this->add("job");
    (void)this->owner.takeEffects();
    this->owner.onOutcome("a", JobOutcome { "job", JobEnd::Refused, "overloaded", 700, 0, 2, 1, 400 }, this->now);
    BOOST_TEST(this->placeAsPreferred().untilEarlierRunsEnd == 400);
    auto takenHandovers = this->handovers();
    BOOST_REQUIRE(takenHandovers.size() == 1U);
    BOOST_TEST(takenHandovers.front().dispatcher == "b");
    BOOST_TEST(takenHandovers.front().submission.untilEarlierRunsEnd == 0);
    BOOST_TEST(takenHandovers.front().submission.untilOtherShardRunsEnd == 400);
}

// A dispatcher of an earlier version counts the runs, but does not say until when they may continue.
BOOST_FIXTURE_TEST_CASE(runs_of_a_refused_job_may_continue_for_the_longest_time_if_the_refusal_does_not_say, Fixture)
{
    this->useTwoShards();
    this->add("job");
    (void)this->owner.takeEffects();
    this->owner.onOutcome("a", JobOutcome { "job", JobEnd::Refused, "overloaded", 700, 0, 2, 1 }, this->now);
    (void)this->placeAsPreferred();
    auto takenHandovers = this->handovers();
    BOOST_REQUIRE(takenHandovers.size() == 1U);
    BOOST_TEST(takenHandovers.front().submission.untilOtherShardRunsEnd == 1250);
}

// Work of that name may run, so that the caller is not told that it has not.
BOOST_FIXTURE_TEST_CASE(job_whose_name_is_in_use_is_not_offered_to_another_shard, Fixture)
{
    this->useTwoShards();
    this->add("job");
    (void)this->owner.takeEffects();
    this->owner.onOutcome("a", JobOutcome { "job", JobEnd::Refused, "name-in-use", 0, 0, 0, 1 }, this->now);
    auto effects = this->owner.takeEffects();
    BOOST_TEST(effects.handovers.empty());
    BOOST_REQUIRE(effects.answers.size() == 1U);
    BOOST_TEST((effects.answers.front().kind == Kind::Unknown));
}

BOOST_FIXTURE_TEST_CASE(job_that_its_home_has_no_room_to_record_is_refused_at_once, Fixture)
{
    this->useTwoShards();
    this->add("job");
    (void)this->owner.takeEffects();
    this->owner.onPlacement("a", Placement { "job", {}, PlacementKind::Refused, 1, {}, 0 }, this->now);
    auto effects = this->owner.takeEffects();
    BOOST_TEST(effects.handovers.empty());
    BOOST_REQUIRE(effects.answers.size() == 1U);
    BOOST_TEST((effects.answers.front().kind == Kind::Refused));
    BOOST_TEST(effects.answers.front().reason == "home-full");
    BOOST_TEST((effects.answers.front().retryAfter == 1s));
}

BOOST_FIXTURE_TEST_CASE(job_that_may_have_run_is_not_answered_as_not_run_by_a_home_without_room_to_record_it, Fixture)
{
    for (bool isKnownHere : { false, true }) {
        this->useTwoShards();
        this->add("job");
        (void)this->owner.takeEffects();
        uint64_t firstRunNumber = 1;
        if (isKnownHere) {
            this->owner.onOutcome("a", JobOutcome { "job", JobEnd::Refused, "overloaded", 700, 0, 2, 1, 400 }, this->now);
            firstRunNumber = this->handovers().at(0).submission.firstRunNumber;
        }
        this->owner.onPlacement("a", Placement { "job", {}, PlacementKind::Refused, firstRunNumber, {}, isKnownHere ? 0 : 1250 }, this->now);
        auto effects = this->owner.takeEffects();
        BOOST_REQUIRE(effects.answers.size() == 1U);
        BOOST_TEST((effects.answers.front().kind == Kind::Unknown));
        BOOST_TEST((effects.answers.front().retryAfter == 0s));
    }
}

BOOST_FIXTURE_TEST_CASE(job_that_was_taken_over_is_withdrawn_from_the_shard_that_has_it_now, Fixture)
{
    this->useThreeShards();
    this->add("job");
    this->refuse("a", "job", 1);
    (void)this->owner.takeEffects();
    this->owner.onPlacement("a", Placement { "job", {}, PlacementKind::Shard, 1001, "west", 0 }, this->now);
    BOOST_TEST(this->handovers().back().dispatcher == "b");
    this->updateDispatchers({ { "east", "a" }, { "north", "c" } });
    this->owner.tick(this->now);
    (void)this->owner.takeEffects();
    this->owner.onPlacement("a", Placement { "job", {}, PlacementKind::Shard, 3001, "north", 0 }, this->now);
    BOOST_TEST(this->handovers().back().dispatcher == "c");
    this->owner.onOutcome("b", JobOutcome { "job", JobEnd::TakenOver, "taken-over" }, this->now);
    auto effects = this->owner.takeEffects();
    BOOST_REQUIRE(effects.answers.size() == 1U);
    BOOST_TEST((effects.answers.front().kind == Kind::Unknown));
    BOOST_REQUIRE(effects.cancellations.size() == 1U);
    BOOST_TEST(effects.cancellations.front().dispatcher == "c");
    BOOST_TEST(this->owner.openJobs() == 0U);
}

// The shard has the job from the other entry host then, and must not drop it.
BOOST_FIXTURE_TEST_CASE(job_whose_home_says_that_it_was_taken_over_is_not_cancelled, Fixture)
{
    this->useThreeShards();
    this->add("job");
    this->refuse("a", "job", 1);
    (void)this->owner.takeEffects();
    this->owner.onPlacement("a", Placement { "job", {}, PlacementKind::Shard, 1001, "west", 0 }, this->now);
    (void)this->owner.takeEffects();
    this->owner.onPlacement("a", Placement { "job", {}, PlacementKind::TakenOver, 0, {}, 0 }, this->now);
    auto effects = this->owner.takeEffects();
    BOOST_REQUIRE(effects.answers.size() == 1U);
    BOOST_TEST((effects.answers.front().kind == Kind::Unknown));
    BOOST_TEST(effects.cancellations.empty());
}

// A dispatcher of a later version may send it.
BOOST_FIXTURE_TEST_CASE(outcome_of_an_unknown_kind_is_ignored, Fixture)
{
    this->updateDispatchers({ { "", "a" } });
    this->add("job");
    (void)this->owner.takeEffects();
    this->owner.onOutcome("a", JobOutcome { "job", static_cast<JobEnd>(99), "unknown", 0, 0, 0, 1 }, this->now);
    auto effects = this->owner.takeEffects();
    BOOST_TEST(effects.answers.empty());
    BOOST_TEST(effects.cancellations.empty());
    BOOST_TEST(this->owner.openJobs() == 1U);
}

BOOST_FIXTURE_TEST_CASE(refusal_after_the_loss_of_a_dispatcher_is_answered_as_unknown, Fixture)
{
    this->updateDispatchers({ { "", "a" } });
    this->add("job");
    this->updateDispatchers({ { "", "b" } });
    auto takenHandovers = this->handovers();
    BOOST_REQUIRE(takenHandovers.size() == 2U);
    BOOST_TEST(takenHandovers.at(1).submission.untilEarlierRunsEnd == 1250);
    BOOST_TEST(takenHandovers.at(1).submission.untilOtherShardRunsEnd == 0);
    BOOST_TEST(takenHandovers.at(1).submission.firstRunNumber > 1U);
    this->refuse("b", "job", 1001);
    BOOST_TEST((this->owner.takeEffects().answers.at(0).kind == Kind::Unknown));
}

BOOST_FIXTURE_TEST_CASE(dispatcher_of_another_shard_waits_until_earlier_runs_have_ended, Fixture)
{
    this->useThreeShards();
    this->add("job");
    this->refuse("a", "job", 1);
    (void)this->owner.takeEffects();
    this->owner.onPlacement("a", Placement { "job", {}, PlacementKind::Shard, 1001, "west", 0 }, this->now);
    BOOST_TEST(this->handovers().back().dispatcher == "b");
    this->updateDispatchers({ { "east", "a" }, { "north", "c" } });
    this->owner.tick(this->now);
    auto request = this->handovers().back().submission;
    BOOST_TEST(request.untilOtherShardRunsEnd == 1250);
    BOOST_TEST((request.placement.leftShards == std::vector<std::string> { "east", "west" }));
    this->owner.onPlacement("a", Placement { "job", {}, PlacementKind::Shard, request.firstRunNumber, "north", 0 }, this->now);
    auto takenHandovers = this->handovers();
    BOOST_REQUIRE(takenHandovers.size() == 1U);
    BOOST_TEST(takenHandovers.at(0).dispatcher == "c");
    BOOST_TEST(takenHandovers.at(0).submission.untilEarlierRunsEnd == 0);
    BOOST_TEST(takenHandovers.at(0).submission.untilOtherShardRunsEnd == 1250);
}

// Two entry hosts that choose by themselves would start the job in two shards.
BOOST_FIXTURE_TEST_CASE(job_waits_while_its_home_has_no_dispatcher, Fixture)
{
    this->useTwoShards();
    this->owner.updateDispatchers({ { "west", "b" } }, "east", this->now);
    this->add("job");
    this->owner.tick(this->now);
    BOOST_TEST(this->handovers().empty());
    this->owner.updateDispatchers({ { "east", "c" }, { "west", "b" } }, "east", this->now);
    this->owner.tick(this->now);
    auto takenHandovers = this->handovers();
    BOOST_REQUIRE(takenHandovers.size() == 1U);
    BOOST_TEST(takenHandovers.front().dispatcher == "c");
    BOOST_TEST(takenHandovers.front().submission.placement.isRequested);
}

// Its home may have the job from another entry host already.
BOOST_FIXTURE_TEST_CASE(job_whose_home_does_not_answer_is_placed_through_another_dispatcher, Fixture)
{
    this->useTwoShards();
    this->now += 400ms;
    this->owner.onRenewalAnswer("b", {}, { PoolLoad { "pool", 1000, 0 } }, this->now);
    this->add("job");
    auto relayed = this->handovers();
    BOOST_REQUIRE(relayed.size() == 1U);
    BOOST_TEST(relayed.front().dispatcher == "b");
    BOOST_TEST((relayed.front().submission.placement == PlacementRequest { true, "east", "west", {}, {} }));
    this->owner.onRenewalRequest("b", 1, this->now);
    BOOST_TEST(this->owner.takeEffects().renewals.front().jobs.empty());
    this->owner.onPlacement("b", Placement { "job", {}, PlacementKind::Shard, 1, "west", 0 }, this->now);
    auto placed = this->handovers();
    BOOST_REQUIRE(placed.size() == 1U);
    BOOST_TEST(placed.front().dispatcher == "b");
    BOOST_TEST(!placed.front().submission.placement.isRequested);
    BOOST_TEST((placed.front().cause.kind == HandoverCause::Kind::Placed));
}

BOOST_FIXTURE_TEST_CASE(request_that_the_home_does_not_answer_is_sent_again, Fixture)
{
    this->useTwoShards();
    this->add("job");
    (void)this->owner.takeEffects();
    this->refuse("a", "job", 1);
    BOOST_TEST(this->handovers().size() == 1U);
    this->now += 260ms;
    this->owner.onRenewalAnswer("a", {}, {}, this->now);
    this->owner.tick(this->now);
    auto repeated = this->handovers();
    BOOST_REQUIRE(repeated.size() == 1U);
    BOOST_TEST((repeated.front().cause.kind == HandoverCause::Kind::RequestUnanswered));
    // The answer to the first request is outdated.
    this->owner.onPlacement("a", Placement { "job", {}, PlacementKind::Shard, 1001, "west", 0 }, this->now);
    BOOST_TEST(this->handovers().empty());
    this->owner.onPlacement("a", Placement { "job", {}, PlacementKind::Shard, repeated.front().submission.firstRunNumber, "west", 0 }, this->now);
    BOOST_TEST(this->handovers().size() == 1U);
}

// The caller may have submitted the job again through another entry host meanwhile.
BOOST_FIXTURE_TEST_CASE(job_that_is_placed_after_a_pause_is_not_handed_over, Fixture)
{
    this->useTwoShards();
    this->add("job");
    this->refuse("a", "job", 1);
    (void)this->owner.takeEffects();
    this->owner.onPause(this->now);
    this->owner.onPlacement("a", Placement { "job", {}, PlacementKind::Shard, 1001, "west", 0 }, this->now);
    auto effects = this->owner.takeEffects();
    BOOST_TEST(effects.handovers.empty());
    BOOST_REQUIRE(effects.answers.size() == 1U);
    BOOST_TEST((effects.answers.front().kind == Kind::Unknown));
}

// The caller may submit it again through another entry host, when the home has been replaced.
BOOST_FIXTURE_TEST_CASE(home_is_told_which_withdrawn_jobs_may_have_runs, Fixture)
{
    this->useTwoShards();
    this->add("job");
    this->owner.cancel("job");
    auto listedAfter = [&](Milliseconds pause) {
        this->now += pause;
        this->owner.onRenewalAnswer("a", {}, {}, this->now);
        this->owner.tick(this->now);
        return this->owner.takeEffects().renewals.front().placedJobs;
    };
    BOOST_TEST((listedAfter(300ms) == std::vector { PlacedJob { "job", "east", false } }));
    BOOST_TEST((listedAfter(900ms) == std::vector { PlacedJob { "job", "east", false } }));
    BOOST_TEST(listedAfter(300ms).empty());
}

// A dispatcher that does not know the job has replaced the one that may have started it.
BOOST_FIXTURE_TEST_CASE(job_that_another_entry_host_has_had_says_how_long_its_runs_may_continue, Fixture)
{
    this->useTwoShards();
    this->add("job");
    (void)this->owner.takeEffects();
    Placement placement { "job", {}, PlacementKind::Shard, 1, "west", 1250 };
    this->owner.onPlacement("a", placement, this->now);
    auto submission = this->handovers().at(0).submission;
    BOOST_TEST(submission.untilUnknownRunsEnd == 1250);
    BOOST_TEST(submission.untilOtherShardRunsEnd == 0);
    BOOST_TEST(submission.untilEarlierRunsEnd == 0);
}

// A new home believes an entry host only if a former one has confirmed the job.
BOOST_FIXTURE_TEST_CASE(request_says_whether_the_job_was_confirmed, Fixture)
{
    this->useTwoShards();
    this->add("job");
    this->updateDispatchers({ { "east", "c" }, { "west", "b" } });
    BOOST_TEST(!this->handovers().back().submission.placement.wasConfirmed);
    this->now += 300ms;
    this->owner.onRenewalAnswer("c", {}, {}, this->now);
    this->updateDispatchers({ { "east", "d" }, { "west", "b" } });
    BOOST_TEST(this->handovers().back().submission.placement.wasConfirmed);
}

BOOST_FIXTURE_TEST_CASE(home_is_told_which_jobs_other_shards_have, Fixture)
{
    this->useTwoShards();
    this->add("job");
    this->refuse("a", "job", 1);
    (void)this->owner.takeEffects();
    this->owner.onPlacement("a", Placement { "job", {}, PlacementKind::Shard, 1001, "west", 0 }, this->now);
    this->now += 300ms;
    this->owner.tick(this->now);
    for (const auto& renewal : this->owner.takeEffects().renewals) {
        bool isHome = renewal.dispatcher == "a";
        BOOST_TEST(renewal.jobs.empty() == isHome);
        BOOST_TEST((renewal.placedJobs == (isHome ? std::vector { PlacedJob { "job", "west" } } : std::vector<PlacedJob> {})));
    }
}

// The dispatcher of the whole cluster and that of a failure domain may give orders to the same targets, but they are of two shards.
BOOST_FIXTURE_TEST_CASE(change_of_the_layout_makes_a_job_wait_for_its_runs_in_the_former_shard, Fixture)
{
    for (const auto* domainDispatcher : { "a", "b" }) {
        JobOwner changing({});
        changing.updateDispatchers({ { "", "a" } }, "", this->now);
        changing.add(makeJob("job", 1, 1), this->now + 5s, this->now + 500ms, this->now);
        BOOST_TEST(changing.takeEffects().handovers.size() == 1U);
        changing.updateDispatchers({ { "", "a" }, { "east", domainDispatcher } }, "east", this->now);
        changing.tick(this->now);
        BOOST_TEST(changing.takeEffects().handovers.empty());
        changing.updateDispatchers({ { "east", domainDispatcher } }, "east", this->now);
        changing.tick(this->now);
        auto toDomain = changing.takeEffects().handovers;
        BOOST_REQUIRE(toDomain.size() == 1U);
        BOOST_TEST(toDomain.front().dispatcher == domainDispatcher);
        BOOST_TEST(toDomain.front().submission.untilOtherShardRunsEnd == 1250);
        changing.updateDispatchers({ { "", "a" } }, "", this->now);
        changing.tick(this->now);
        auto back = changing.takeEffects().handovers;
        BOOST_REQUIRE(back.size() == 1U);
        BOOST_TEST(back.front().submission.untilOtherShardRunsEnd == 1250);
    }
}

BOOST_FIXTURE_TEST_CASE(job_is_refused_if_no_dispatcher_appears_within_half_of_its_time, Fixture)
{
    this->add("job");
    this->now += 999ms;
    this->owner.tick(this->now);
    BOOST_TEST(this->owner.takeEffects().answers.empty());
    this->now += 1ms;
    this->owner.tick(this->now);
    auto answers = this->owner.takeEffects().answers;
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers.at(0).kind == Kind::Refused));
    BOOST_TEST(answers.at(0).reason == "no-dispatcher");
}

BOOST_FIXTURE_TEST_CASE(waiting_job_is_handed_over_to_the_first_known_dispatcher, Fixture)
{
    this->add("job");
    this->now += 100ms;
    this->updateDispatchers({ { "", "a" } });
    this->owner.tick(this->now);
    BOOST_TEST(this->handovers().at(0).dispatcher == "a");
}

BOOST_FIXTURE_TEST_CASE(unfinished_job_is_cancelled_at_its_deadline_and_answered_as_unknown, Fixture)
{
    this->updateDispatchers({ { "", "a" } });
    this->add("job");
    this->now += 2s;
    this->owner.tick(this->now);
    auto effects = this->owner.takeEffects();
    BOOST_REQUIRE(effects.answers.size() == 1U);
    BOOST_TEST((effects.answers.at(0).kind == Kind::Unknown));
    BOOST_REQUIRE(effects.cancellations.size() == 1U);
    BOOST_TEST(effects.cancellations.at(0).dispatcher == "a");
}

BOOST_FIXTURE_TEST_CASE(outcome_from_an_earlier_dispatcher_is_ignored, Fixture)
{
    this->updateDispatchers({ { "", "a" } });
    this->add("job");
    this->updateDispatchers({ { "", "b" } });
    this->owner.onOutcome("a", JobOutcome { "job", JobEnd::Failed, "task-failed", 0, 0, 0, 1 }, this->now);
    BOOST_TEST(this->owner.openJobs() == 1U);
    this->owner.onOutcome("b", JobOutcome { "job", JobEnd::Completed, "completed", 0, 0, 0, 1001 }, this->now);
    BOOST_TEST((this->owner.takeEffects().answers.at(0).kind == Kind::Completed));
}

// The dispatcher has the job from a later handover and may have started its tasks.
BOOST_FIXTURE_TEST_CASE(late_refusal_of_an_earlier_handover_is_ignored, Fixture)
{
    this->useTwoShards();
    this->add("job");
    this->now += 300ms;
    this->owner.onRenewalAnswer("a", { "job" }, {}, this->now);
    auto takenHandovers = this->handovers();
    BOOST_REQUIRE(takenHandovers.size() == 2U);
    BOOST_TEST(takenHandovers.at(1).submission.firstRunNumber == 1001U);
    this->refuse("a", "job", 1);
    auto effects = this->owner.takeEffects();
    BOOST_TEST(effects.handovers.empty());
    BOOST_TEST(effects.answers.empty());
    this->refuse("a", "job", 1001);
    BOOST_TEST(this->placeAsPreferred().placement.preferredShard == "west");
    BOOST_TEST(this->handovers().at(0).dispatcher == "b");
}

// All tasks of the job have ended, so the caller is answered, and the later submission is withdrawn.
BOOST_FIXTURE_TEST_CASE(late_completion_of_an_earlier_handover_is_accepted, Fixture)
{
    this->updateDispatchers({ { "", "a" } });
    this->add("job");
    this->now += 300ms;
    this->owner.onRenewalAnswer("a", { "job" }, {}, this->now);
    this->owner.onOutcome("a", JobOutcome { "job", JobEnd::Completed, "completed", 0, 0, 0, 1 }, this->now);
    auto effects = this->owner.takeEffects();
    BOOST_REQUIRE(effects.answers.size() == 1U);
    BOOST_TEST((effects.answers.at(0).kind == Kind::Completed));
    BOOST_TEST(effects.cancellations.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(renewals_to_a_dispatcher_that_is_not_fresh_do_not_extend_the_entry_lease, Fixture)
{
    this->updateDispatchers({ { "", "a" } });
    this->owner.onRenewalAnswer("a", {}, {}, this->now);
    this->add("job");
    auto renewalAfter = [&](Milliseconds pause) {
        this->now += pause;
        this->owner.tick(this->now);
        return this->owner.takeEffects().renewals.at(0).kind;
    };
    BOOST_TEST((renewalAfter(250ms) == TaskScheduler::RenewalKind::ExtendLease));
    BOOST_TEST((renewalAfter(250ms) == TaskScheduler::RenewalKind::QueryOnly));
    this->owner.onRenewalAnswer("a", {}, {}, this->now);
    BOOST_TEST((renewalAfter(250ms) == TaskScheduler::RenewalKind::ExtendLease));
}

BOOST_FIXTURE_TEST_CASE(renewal_request_is_answered_at_once_with_the_jobs_of_that_dispatcher, Fixture)
{
    this->updateDispatchers({ { "", "a" } });
    this->add("job");
    (void)this->owner.takeEffects();
    this->owner.onRenewalRequest("a", 7, this->now);
    auto renewals = this->owner.takeEffects().renewals;
    BOOST_REQUIRE(renewals.size() == 1U);
    BOOST_TEST(renewals.front().answeredRequest == 7U);
    BOOST_TEST(renewals.front().jobs == std::vector<std::string> { "job" });
    // A dispatcher that no longer has the job must not take the answer for a confirmation.
    this->updateDispatchers({ { "", "b" } });
    (void)this->owner.takeEffects();
    this->owner.onRenewalRequest("a", 8, this->now);
    renewals = this->owner.takeEffects().renewals;
    BOOST_REQUIRE(renewals.size() == 1U);
    BOOST_TEST(renewals.front().jobs.empty());
}

// The caller may have submitted the job again elsewhere during the pause.
BOOST_FIXTURE_TEST_CASE(job_that_is_refused_after_a_pause_is_not_handed_over_to_another_shard, Fixture)
{
    this->useTwoShards();
    this->add("job");
    (void)this->owner.takeEffects();
    this->owner.onPause(this->now);
    this->refuse("a", "job", 1);
    auto effects = this->owner.takeEffects();
    BOOST_TEST(effects.handovers.empty());
    BOOST_REQUIRE(effects.answers.size() == 1U);
    BOOST_TEST((effects.answers.front().kind == Kind::Refused));
}

BOOST_FIXTURE_TEST_CASE(job_that_no_dispatcher_has_is_not_handed_over_after_a_pause, Fixture)
{
    this->add("job");
    this->owner.onPause(this->now);
    this->updateDispatchers({ { "", "a" } });
    this->owner.tick(this->now);
    auto effects = this->owner.takeEffects();
    BOOST_TEST(effects.handovers.empty());
    BOOST_REQUIRE(effects.answers.size() == 1U);
    BOOST_TEST((effects.answers.front().kind == Kind::Refused));
}

BOOST_FIXTURE_TEST_CASE(refusal_by_a_dispatcher_of_an_earlier_version_is_accepted, Fixture)
{
    this->updateDispatchers({ { "", "a" } });
    this->add("job");
    (void)this->owner.takeEffects();
    JobOutcome refusal { "job", JobEnd::Refused, "overloaded", 700 };
    this->owner.onOutcome("a", refusal, this->now);
    BOOST_TEST(this->owner.takeEffects().answers.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(handover_says_why_and_from_which_dispatcher, Fixture)
{
    using Cause = HandoverCause::Kind;
    this->useTwoShards();
    this->add("job");
    auto first = this->handovers().at(0);
    BOOST_TEST((first.cause == HandoverCause {}));
    BOOST_TEST(first.shard == "east");
    BOOST_TEST((Milliseconds(first.submission.sentAt) == this->now.time_since_epoch()));
    this->now += 300ms;
    this->owner.onRenewalAnswer("a", { "job" }, {}, this->now);
    auto unknown = this->handovers().at(0);
    BOOST_TEST((unknown.cause == HandoverCause { Cause::UnknownThere, "east", "a", {}, 0 }));
    BOOST_TEST((Milliseconds(unknown.submission.sentAt) == this->now.time_since_epoch()));
    this->updateDispatchers({ { "east", "c" }, { "west", "b" } });
    auto changed = this->handovers().at(0);
    BOOST_TEST(changed.dispatcher == "c");
    BOOST_TEST((changed.cause == HandoverCause { Cause::DispatcherChanged, "east", "a", {}, 0 }));
    this->owner.onOutcome("c", JobOutcome { "job", JobEnd::Refused, "overloaded", 700, 0, 3, changed.submission.firstRunNumber }, this->now);
    auto refused = this->handovers().at(0);
    BOOST_TEST(refused.submission.placement.preferredShard == "west");
    BOOST_TEST((refused.cause == HandoverCause { Cause::Refused, "east", "c", "overloaded", 3 }));
    this->owner.onPlacement("c", Placement { "job", {}, PlacementKind::Shard, refused.submission.firstRunNumber, "west", 0 }, this->now);
    auto placed = this->handovers().at(0);
    BOOST_TEST(placed.shard == "west");
    BOOST_TEST((placed.cause == HandoverCause { Cause::Placed, "east", "c", {}, 0 }));
}

BOOST_FIXTURE_TEST_CASE(handover_from_a_silent_dispatcher_says_so, Fixture)
{
    this->useTwoShards();
    this->add("job");
    BOOST_TEST(this->handovers().at(0).dispatcher == "a");
    std::vector<JobOwner::Handover> handovers;
    for (int step = 0; step < 50 && handovers.empty(); ++step) {
        this->now += 20ms;
        this->owner.onRenewalAnswer("b", {}, { PoolLoad { "pool", 1000, 0 } }, this->now);
        this->owner.tick(this->now);
        auto effects = this->owner.takeEffects();
        for (const auto& renewal : effects.renewals)
            BOOST_TEST((Milliseconds(renewal.sentAt) == this->now.time_since_epoch()));
        handovers = effects.handovers;
    }
    BOOST_REQUIRE(handovers.size() == 1U);
    BOOST_TEST((handovers.at(0).cause == HandoverCause { HandoverCause::Kind::DispatcherSilent, "east", "a", {}, 0 }));
}

BOOST_FIXTURE_TEST_CASE(handover_says_why_its_shard_was_chosen, Fixture)
{
    using Reason = ShardChoice::Reason;
    this->add("early");
    this->updateDispatchers({ { "east", "a" }, { "west", "b" } });
    this->owner.tick(this->now);
    auto early = this->handovers().at(0);
    BOOST_TEST((early.choice.reason == Reason::LastToAnswer));
    this->useTwoShards();
    this->add("job");
    auto first = this->handovers().at(0);
    ShardChoice::KnownShard east { "east", true, 0ms, 0ms, 0ms };
    BOOST_TEST((first.choice == ShardChoice { Reason::OwnShard, east, east, 0ms }));
    this->now += 300ms;
    this->owner.onRenewalAnswer("a", { "job" }, { PoolLoad { "pool", 1000, 2000 } }, this->now);
    auto unknown = this->handovers().at(0);
    BOOST_TEST((unknown.choice.reason == Reason::FormerShard));
    BOOST_TEST(unknown.choice.chosen.shard == "east");
    this->add("later");
    auto later = this->handovers().at(0);
    BOOST_TEST(later.submission.placement.preferredShard == "west");
    BOOST_TEST((later.choice == ShardChoice { Reason::JobName, { "east", true, 0ms, 0ms, 2000ms }, { "west", true, 300ms, 300ms, 0ms }, 0ms }));
    this->refuse("a", "job", unknown.submission.firstRunNumber);
    auto refused = this->handovers().at(0);
    BOOST_TEST(refused.submission.placement.preferredShard == "west");
    BOOST_TEST((refused.choice.reason == Reason::OwnShardRefused));
    this->owner.onPlacement("a", Placement { "job", {}, PlacementKind::Shard, refused.submission.firstRunNumber, "west", 0 }, this->now);
    auto placed = this->handovers().at(0);
    BOOST_TEST(placed.shard == "west");
    BOOST_TEST((placed.choice.reason == Reason::Home));
}

BOOST_FIXTURE_TEST_CASE(handover_past_an_own_shard_that_does_not_answer_says_so, Fixture)
{
    this->useTwoShards();
    this->now += 400ms;
    this->owner.onRenewalAnswer("b", {}, { PoolLoad { "pool", 1000, 7 } }, this->now);
    this->add("job");
    auto handover = this->handovers().at(0);
    BOOST_TEST(handover.shard == "west");
    BOOST_TEST((handover.choice == ShardChoice { ShardChoice::Reason::OwnShardNotFresh, { "east", false, 400ms, 400ms, 0ms }, { "west", true, 0ms, 0ms, 7ms }, 7ms }));
}

namespace {

// The home has left the east in its term 5 to the west.
struct PlacedInWest : Fixture {
    PlacedInWest()
    {
        this->useTwoShards();
        this->add("job");
        this->refuse("a", "job", 1);
        auto request = this->handovers().back().submission;
        this->owner.onPlacement("a", Placement { "job", {}, PlacementKind::Shard, request.firstRunNumber, "west", 0, 5 }, this->now);
    }

    void refuseAsOutdated(uint64_t firstRunNumber, uint32_t starts = 0)
    {
        JobOutcome refusal { "job", JobEnd::Refused, std::string(placementOutdated), 0, 0, starts, firstRunNumber };
        refusal.homeTerm = 8;
        this->owner.onOutcome("b", refusal, this->now);
    }
};

}

BOOST_FIXTURE_TEST_CASE(submission_names_the_home_and_the_term_that_placed_the_job, PlacedInWest)
{
    auto placed = this->handovers();
    BOOST_REQUIRE(placed.size() == 1U);
    BOOST_TEST((placed.front().submission.placedBy == PlacementGrant { "east", 5 }));
}

BOOST_FIXTURE_TEST_CASE(job_whose_placement_is_outdated_is_placed_anew_by_a_home_that_is_told_the_higher_term, PlacedInWest)
{
    auto placed = this->handovers();
    this->refuseAsOutdated(placed.front().submission.firstRunNumber);
    BOOST_TEST(this->handovers().empty());
    this->now += 20ms;
    this->owner.tick(this->now);
    auto requests = this->handovers();
    BOOST_REQUIRE(requests.size() == 1U);
    BOOST_TEST(requests.front().dispatcher == "a");
    const auto& request = requests.front().submission.placement;
    BOOST_TEST(request.isRequested);
    BOOST_TEST(request.highestHomeTerm == 8U);
    // The west has not refused the job for want of capacity.
    BOOST_TEST(request.leftShards == std::vector<std::string> { "east" });
    BOOST_TEST(requests.front().submission.untilOtherShardRunsEnd == 0);
}

BOOST_FIXTURE_TEST_CASE(job_whose_placement_is_outdated_waits_for_its_runs_in_that_shard, PlacedInWest)
{
    auto placed = this->handovers();
    this->refuseAsOutdated(placed.front().submission.firstRunNumber, 1);
    this->owner.tick(this->now);
    auto requests = this->handovers();
    BOOST_REQUIRE(requests.size() == 1U);
    BOOST_TEST(std::max(requests.front().submission.untilEarlierRunsEnd, requests.front().submission.untilOtherShardRunsEnd) == 1250);
}

// Its caller may have submitted it through another entry host meanwhile.
BOOST_FIXTURE_TEST_CASE(job_whose_placement_became_outdated_during_a_pause_is_not_placed_anew, PlacedInWest)
{
    auto placed = this->handovers();
    this->now += 1s;
    this->owner.onPause(this->now);
    this->refuseAsOutdated(placed.front().submission.firstRunNumber);
    this->owner.tick(this->now);
    auto effects = this->owner.takeEffects();
    BOOST_TEST(effects.handovers.empty());
    BOOST_REQUIRE(effects.answers.size() == 1U);
    BOOST_TEST((effects.answers.front().kind == Kind::Unknown));
}
