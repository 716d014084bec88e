#include "SimulatedTargets.h"
#include <LibScheduler/JobOwner.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

using Kind = JobOwner::Answer::Kind;

namespace {

struct Fixture {
    Instant now { std::chrono::hours(1) };
    JobOwner owner { {}, Random(1) };

    void updateDispatchers(const std::vector<ShardDispatcher>& present) { this->owner.updateDispatchers(present, "east", this->now); }

    void useTwoShards()
    {
        this->updateDispatchers({ { "east", "a" }, { "west", "b" } });
        for (const auto* address : { "a", "b" })
            this->owner.onRenewalAnswer(address, {}, { PoolLoad { "pool", 1000, 0 } }, this->now);
    }

    void add(const std::string& job)
    {
        this->owner.add(makeJob(job, 1, 1), this->now + 2s, this->now + 500ms, this->now);
    }

    std::vector<JobOwner::Handover> handovers() { return this->owner.takeEffects().handovers; }

    void refuse(const std::string& from, const std::string& job)
    {
        this->owner.onOutcome(from, JobOutcome { job, JobEnd::Refused, "overloaded", 700, 0, 0 }, this->now);
    }
};

}

BOOST_FIXTURE_TEST_CASE(a_job_that_one_shard_refuses_is_offered_to_another, Fixture)
{
    this->useTwoShards();
    this->add("job");
    BOOST_TEST(this->handovers().at(0).dispatcher == "a");
    this->refuse("a", "job");
    auto effects = this->owner.takeEffects();
    BOOST_TEST(effects.answers.empty());
    BOOST_REQUIRE(effects.handovers.size() == 1U);
    BOOST_TEST(effects.handovers.at(0).dispatcher == "b");
    // Nothing of it has run, so that there is nothing to wait for.
    BOOST_TEST(effects.handovers.at(0).submission.untilOtherShardRunsEnd == 0);
}

BOOST_FIXTURE_TEST_CASE(a_job_that_all_refuse_is_refused_at_once_and_has_not_run, Fixture)
{
    this->useTwoShards();
    this->add("job");
    this->refuse("a", "job");
    this->refuse("b", "job");
    auto effects = this->owner.takeEffects();
    BOOST_REQUIRE(effects.answers.size() == 1U);
    BOOST_TEST((effects.answers.at(0).kind == Kind::Refused));
    BOOST_TEST((effects.answers.at(0).retryAfter == 700ms));
    BOOST_TEST(this->owner.openJobs() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_job_that_is_refused_after_its_dispatcher_was_lost_may_have_run, Fixture)
{
    this->updateDispatchers({ { "", "a" } });
    this->add("job");
    this->updateDispatchers({ { "", "b" } });
    auto handed = this->handovers();
    BOOST_REQUIRE(handed.size() == 2U);
    BOOST_TEST(handed.at(1).submission.untilEarlierRunsEnd == 1600);
    BOOST_TEST(handed.at(1).submission.untilOtherShardRunsEnd == 0);
    BOOST_TEST(handed.at(1).submission.firstRunNumber > 1U);
    this->refuse("b", "job");
    BOOST_TEST((this->owner.takeEffects().answers.at(0).kind == Kind::Unknown));
}

BOOST_FIXTURE_TEST_CASE(the_successor_of_another_shard_cannot_find_out_what_runs, Fixture)
{
    this->useTwoShards();
    this->add("job");
    this->updateDispatchers({ { "west", "b" } });
    this->owner.tick(this->now);
    auto handed = this->handovers();
    BOOST_REQUIRE(handed.size() == 2U);
    BOOST_TEST(handed.at(1).dispatcher == "b");
    BOOST_TEST(handed.at(1).submission.untilEarlierRunsEnd == 0);
    BOOST_TEST(handed.at(1).submission.untilOtherShardRunsEnd == 1600);
}

BOOST_FIXTURE_TEST_CASE(a_job_without_any_dispatcher_is_refused_in_time, Fixture)
{
    this->add("job");
    this->now += 1s;
    this->owner.tick(this->now);
    BOOST_TEST(this->owner.takeEffects().answers.empty());
    this->now += 600ms;
    this->owner.tick(this->now);
    auto answers = this->owner.takeEffects().answers;
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers.at(0).kind == Kind::Refused));
    BOOST_TEST(answers.at(0).reason == "no-dispatcher");
}

BOOST_FIXTURE_TEST_CASE(a_job_that_waits_for_a_dispatcher_goes_to_the_first_one, Fixture)
{
    this->add("job");
    this->now += 100ms;
    this->updateDispatchers({ { "", "a" } });
    this->owner.tick(this->now);
    BOOST_TEST(this->handovers().at(0).dispatcher == "a");
}

BOOST_FIXTURE_TEST_CASE(a_job_that_is_not_done_at_its_deadline_may_have_run_and_is_withdrawn, Fixture)
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

BOOST_FIXTURE_TEST_CASE(the_outcome_of_a_former_dispatcher_is_not_taken, Fixture)
{
    this->updateDispatchers({ { "", "a" } });
    this->add("job");
    this->updateDispatchers({ { "", "b" } });
    this->owner.onOutcome("a", JobOutcome { "job", JobEnd::Failed, "task-failed", 0, 0, 0 }, this->now);
    BOOST_TEST(this->owner.openJobs() == 1U);
    this->owner.onOutcome("b", JobOutcome { "job", JobEnd::Completed, "completed", 0, 0, 0 }, this->now);
    BOOST_TEST((this->owner.takeEffects().answers.at(0).kind == Kind::Completed));
}

BOOST_FIXTURE_TEST_CASE(a_dispatcher_that_is_not_heard_is_asked_but_its_leases_are_not_extended, Fixture)
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
