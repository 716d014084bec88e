#include "SimulatedTargets.h"
#include <LibScheduler/Home/JobHome.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

namespace {

constexpr const char* ownShard = "east";
constexpr const char* firstEntry = "entry-a";
constexpr const char* secondEntry = "entry-b";
constexpr const char* relay = "west-dispatcher";
constexpr uint64_t term = 7;

struct Fixture {
    SimulatedFleet fleet { 1 };
    JobHome home { PlacementRegistry::Options {} };

    Fixture()
    {
        this->fleet.entriesRenew = false;
        this->fleet.addTarget("target", 64);
        this->fleet.report();
        this->dispatcher().activate(10, this->fleet.now);
        this->fleet.run(50ms);
        this->home.begin(ownShard, term, this->fleet.now);
        this->setMembers();
    }

    // The dispatcher of another shard has not answered yet.
    void setMembers()
    {
        this->home.setEntries({ HomeReadiness::Contact { firstEntry }, HomeReadiness::Contact { secondEntry } });
        this->home.setDispatchers({ HomeReadiness::Contact { relay } });
        this->renewAll();
    }

    TaskScheduler& dispatcher() { return *this->fleet.dispatchers[0]; }
    uint64_t starts() { return this->fleet.targets.at("target").starts; }

    Submission request(const std::string& entry, const std::string& preferredShard)
    {
        auto submission = makeJob("job", 1, 1);
        submission.entryIncarnation = 1;
        submission.placement = PlacementRequest { true, ownShard, preferredShard, {}, entry };
        this->fleet.submissions.insert_or_assign(submission.job, submission);
        return submission;
    }

    void submit(const std::string& from, const Submission& submission) { this->home.submit(this->dispatcher(), from, submission, this->fleet.now); }

    // Returns the listed jobs that are unknown.
    std::vector<std::string> renew(const std::string& entry, std::vector<std::string> jobs, TaskScheduler::RenewalKind kind = TaskScheduler::RenewalKind::ExtendLease)
    {
        RenewSubmissions renewal { std::move(jobs), kind, 0, 1, 0, {} };
        return this->home.renew(this->dispatcher(), entry, renewal, this->fleet.now);
    }

    void renewAll()
    {
        for (const auto* entry : { firstEntry, secondEntry })
            (void)this->renew(entry, {});
    }

    void answerSurvey(std::vector<HeldJob> jobs = {}, uint64_t highestTerm = term)
    {
        this->home.onPlacedJobsResponse(relay, PlacedJobsResponse { ownShard, term, highestTerm, "west", std::move(jobs), true }, this->fleet.now);
    }

    void becomeReady()
    {
        this->answerSurvey();
        this->home.tick(this->dispatcher(), this->fleet.now);
        (void)this->home.takeEvents();
    }

    void run(Milliseconds duration)
    {
        for (auto end = this->fleet.now + duration; this->fleet.now < end;) {
            this->fleet.run(10ms);
            this->home.tick(this->dispatcher(), this->fleet.now);
        }
    }
};

}

BOOST_FIXTURE_TEST_CASE(job_that_stays_at_its_home_is_queued_without_an_answer, Fixture)
{
    this->becomeReady();
    this->submit(firstEntry, this->request(firstEntry, ownShard));
    BOOST_TEST(this->dispatcher().openJobs() == 1U);
    BOOST_TEST(this->home.takeAnswers().empty());
}

BOOST_FIXTURE_TEST_CASE(job_of_another_shard_is_answered_and_not_queued, Fixture)
{
    this->becomeReady();
    this->submit(firstEntry, this->request(firstEntry, "west"));
    BOOST_TEST(this->dispatcher().openJobs() == 0U);
    auto answers = this->home.takeAnswers();
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(answers.front().to == firstEntry);
    BOOST_TEST((answers.front().placement == Placement { "job", firstEntry, PlacementKind::Shard, 1, "west", 0, term }));
}

BOOST_FIXTURE_TEST_CASE(refusal_of_a_home_without_room_for_records_is_counted_and_reaches_the_relay, Fixture)
{
    this->home = JobHome { PlacementRegistry::Options { .maximumRecords = 0 } };
    this->home.begin(ownShard, term, this->fleet.now);
    this->setMembers();
    this->becomeReady();
    this->submit(relay, this->request(firstEntry, ownShard));
    BOOST_TEST(this->dispatcher().openJobs() == 0U);
    auto answers = this->home.takeAnswers();
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(answers.front().to == relay);
    BOOST_TEST((answers.front().placement == Placement { "job", firstEntry, PlacementKind::Refused, 1, {}, 0, term }));
    auto events = this->home.takeEvents();
    BOOST_REQUIRE(events.size() == 1U);
    BOOST_TEST((events.front().kind == HomeEvent::Kind::Refused));
    BOOST_TEST(events.front().cause == "not-run");
}

// The second entry host would choose another shard, and has to be told that the home has queued the job.
BOOST_FIXTURE_TEST_CASE(job_of_a_second_entry_host_is_queued_at_the_home_that_has_it, Fixture)
{
    this->becomeReady();
    this->submit(firstEntry, this->request(firstEntry, ownShard));
    this->submit(secondEntry, this->request(secondEntry, "west"));
    BOOST_TEST(this->dispatcher().openJobs() == 1U);
    auto answers = this->home.takeAnswers();
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(answers.front().to == secondEntry);
    BOOST_TEST(answers.front().placement.shard == ownShard);
    auto notices = this->dispatcher().takeEffects(this->fleet.now).notices;
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices.front().entry == firstEntry);
    BOOST_TEST((notices.front().outcome.end == JobEnd::TakenOver));
}

BOOST_FIXTURE_TEST_CASE(second_entry_host_is_sent_to_the_shard_of_the_first_one, Fixture)
{
    this->becomeReady();
    this->submit(firstEntry, this->request(firstEntry, "west"));
    (void)this->home.takeAnswers();
    this->submit(secondEntry, this->request(secondEntry, ownShard));
    BOOST_TEST(this->dispatcher().openJobs() == 0U);
    auto answers = this->home.takeAnswers();
    BOOST_REQUIRE(answers.size() == 2U);
    BOOST_TEST(answers.front().to == secondEntry);
    BOOST_TEST(answers.front().placement.shard == "west");
    BOOST_TEST(answers.back().to == firstEntry);
    BOOST_TEST((answers.back().placement.kind == PlacementKind::TakenOver));
}

BOOST_FIXTURE_TEST_CASE(submission_that_was_placed_here_is_queued_without_a_decision, Fixture)
{
    auto placed = this->request(firstEntry, {});
    placed.placement = {};
    this->submit(firstEntry, placed);
    BOOST_TEST(this->dispatcher().openJobs() == 1U);
    BOOST_TEST(this->home.takeAnswers().empty());
}

BOOST_FIXTURE_TEST_CASE(request_for_another_home_has_no_effect, Fixture)
{
    this->becomeReady();
    auto foreign = this->request(firstEntry, ownShard);
    foreign.placement.homeShard = "west";
    this->submit(firstEntry, foreign);
    BOOST_TEST(this->dispatcher().openJobs() == 0U);
    BOOST_TEST(this->home.takeAnswers().empty());
}

// The entry host cannot reach the home, and could not extend the lease of the job there.
BOOST_FIXTURE_TEST_CASE(relayed_request_never_queues_the_job_at_the_home, Fixture)
{
    this->becomeReady();
    this->submit(firstEntry, this->request(firstEntry, ownShard));
    this->submit(relay, this->request(secondEntry, "west"));
    auto answers = this->home.takeAnswers();
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(answers.front().to == relay);
    BOOST_TEST(answers.front().placement.entry == secondEntry);
    BOOST_TEST(answers.front().placement.shard == ownShard);
    BOOST_TEST(this->dispatcher().takeEffects(this->fleet.now).notices.empty());
    // The first entry host still has the job.
    BOOST_TEST(this->renew(firstEntry, { "job" }).empty());
    BOOST_TEST(this->dispatcher().openJobs() == 1U);
}

BOOST_FIXTURE_TEST_CASE(answer_to_a_relayed_request_goes_to_the_relay, Fixture)
{
    this->becomeReady();
    this->submit(relay, this->request(firstEntry, "west"));
    BOOST_TEST(this->dispatcher().openJobs() == 0U);
    auto answers = this->home.takeAnswers();
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(answers.front().to == relay);
    BOOST_TEST(answers.front().placement.entry == firstEntry);
    BOOST_TEST(answers.front().placement.shard == "west");
}

BOOST_FIXTURE_TEST_CASE(new_home_holds_a_first_submission_until_all_other_dispatchers_have_answered, Fixture)
{
    this->submit(firstEntry, this->request(firstEntry, "west"));
    BOOST_TEST(this->renew(firstEntry, { "job" }).empty());
    this->run(200ms);
    BOOST_TEST(this->home.takeAnswers().empty());
    this->answerSurvey();
    this->run(10ms);
    BOOST_TEST(this->home.takeAnswers().size() == 1U);
}

// Gossip tells its term to those that have not answered.
BOOST_FIXTURE_TEST_CASE(home_that_is_ready_asks_nobody, Fixture)
{
    BOOST_TEST(this->home.takeQuestions(this->fleet.now).size() == 1U);
    this->run(1s);
    BOOST_TEST(this->home.takeQuestions(this->fleet.now).size() == 1U);
    this->run(300ms);
    BOOST_TEST(this->home.state().isReady());
    BOOST_TEST(this->home.takeQuestions(this->fleet.now).empty());
}

// Its entry host reaches that shard, but not the home.
BOOST_FIXTURE_TEST_CASE(new_home_sends_a_job_to_the_shard_whose_dispatcher_has_it, Fixture)
{
    this->submit(secondEntry, this->request(secondEntry, ownShard));
    this->answerSurvey({ HeldJob { "job", true, firstEntry, 1, {}, term - 1 } });
    this->run(10ms);
    auto answers = this->home.takeAnswers();
    BOOST_REQUIRE(answers.size() >= 1U);
    BOOST_TEST(answers.front().to == secondEntry);
    BOOST_TEST(answers.front().placement.shard == "west");
    BOOST_TEST(this->starts() == 0U);
}

BOOST_FIXTURE_TEST_CASE(home_decides_nothing_while_a_home_of_a_higher_term_is_known, Fixture)
{
    this->becomeReady();
    auto informed = this->request(firstEntry, "west");
    informed.placement.highestHomeTerm = term + 1;
    this->submit(firstEntry, informed);
    this->run(2s);
    BOOST_TEST(this->home.takeAnswers().empty());
    BOOST_TEST(this->home.state().isSuperseded());
    this->home.begin(ownShard, term + 2, this->fleet.now);
    this->setMembers();
    this->run(20ms);
    BOOST_TEST(this->home.takeAnswers().empty());
    this->home.onPlacedJobsResponse(relay, PlacedJobsResponse { ownShard, term + 2, term + 2, "west", {}, true }, this->fleet.now);
    this->submit(firstEntry, informed);
    this->run(20ms);
    BOOST_TEST(this->home.takeAnswers().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(home_whose_targets_another_dispatcher_has_claimed_decides_nothing, Fixture)
{
    this->becomeReady();
    HoldOrder claim { TargetInstance { "target", {}, {} }, 1, 1000, 0, 0, 0ms };
    BOOST_TEST(std::holds_alternative<RunList>(this->fleet.targets.at("target").hold(claim, this->fleet.now)));
    auto own = this->request(firstEntry, ownShard);
    own.job = "own";
    this->fleet.submissions.insert_or_assign(own.job, own);
    this->submit(firstEntry, own);
    this->run(100ms);
    BOOST_TEST(this->starts() == 0U);
    this->submit(firstEntry, this->request(firstEntry, "west"));
    this->run(2s);
    BOOST_TEST(this->home.takeAnswers().empty());
    BOOST_TEST(this->home.state().isSuperseded());
}

BOOST_FIXTURE_TEST_CASE(home_that_another_dispatcher_knows_a_higher_term_of_decides_nothing, Fixture)
{
    this->submit(firstEntry, this->request(firstEntry, "west"));
    this->answerSurvey({}, term + 1);
    this->run(2s);
    BOOST_TEST(this->home.takeAnswers().empty());
}

BOOST_FIXTURE_TEST_CASE(job_that_a_home_of_a_lower_term_has_placed_here_does_not_start, Fixture)
{
    auto placed = this->request(firstEntry, {});
    placed.placement = {};
    placed.placedBy = PlacementGrant { "west", 3 };
    BOOST_TEST(this->home.onPlacedJobsRequest(this->dispatcher(), PlacedJobsRequest { "west", 4 }, this->fleet.now).has_value());
    this->submit(firstEntry, placed);
    BOOST_TEST(this->dispatcher().openJobs() == 0U);
    auto notices = this->dispatcher().takeEffects(this->fleet.now).notices;
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices.front().outcome.reason == placementOutdated);
    BOOST_TEST(notices.front().outcome.homeTerm == 4U);
    placed.placedBy.homeTerm = 4;
    this->submit(firstEntry, placed);
    BOOST_TEST(this->dispatcher().openJobs() == 1U);
}

BOOST_FIXTURE_TEST_CASE(home_of_another_shard_is_told_which_of_its_jobs_are_here, Fixture)
{
    auto placed = this->request(firstEntry, {});
    placed.placement = {};
    placed.placedBy = PlacementGrant { "west", 3 };
    this->submit(firstEntry, placed);
    auto response = this->home.onPlacedJobsRequest(this->dispatcher(), PlacedJobsRequest { "west", 4 }, this->fleet.now);
    BOOST_REQUIRE(response.has_value());
    BOOST_REQUIRE(response->jobs.size() == 1U);
    BOOST_TEST((response->jobs.front() == HeldJob { "job", true, firstEntry, 1, {}, 3, 1 }));
    auto other = this->home.onPlacedJobsRequest(this->dispatcher(), PlacedJobsRequest { "north", 4 }, this->fleet.now);
    BOOST_REQUIRE(other.has_value());
    BOOST_TEST(other->jobs.empty());
}

BOOST_FIXTURE_TEST_CASE(outranked_home_of_another_shard_is_told_so_and_gets_no_jobs, Fixture)
{
    (void)this->home.onPlacedJobsRequest(this->dispatcher(), PlacedJobsRequest { "west", 5 }, this->fleet.now);
    auto response = this->home.onPlacedJobsRequest(this->dispatcher(), PlacedJobsRequest { "west", 4 }, this->fleet.now);
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->highestTerm == 5U);
}

BOOST_FIXTURE_TEST_CASE(dispatcher_that_has_not_claimed_its_targets_says_that_it_does_not_know_their_runs, Fixture)
{
    this->home.begin(ownShard, term + 1, this->fleet.now);
    this->dispatcher().activate(11, this->fleet.now);
    auto knowsRuns = [&] {
        auto response = this->home.onPlacedJobsRequest(this->dispatcher(), PlacedJobsRequest { "west", 4 }, this->fleet.now);
        BOOST_REQUIRE(response.has_value());
        return response->knowsRuns;
    };
    BOOST_TEST(!knowsRuns());
    this->fleet.run(50ms);
    BOOST_TEST(knowsRuns());
}

BOOST_FIXTURE_TEST_CASE(new_home_holds_a_first_submission_for_at_most_1250_ms, Fixture)
{
    this->submit(firstEntry, this->request(firstEntry, "west"));
    for (int i = 0; i < 4; ++i) {
        BOOST_TEST(this->renew(firstEntry, { "job" }).empty());
        this->run(300ms);
    }
    BOOST_TEST(this->home.takeAnswers().empty());
    this->run(60ms);
    BOOST_TEST(this->home.takeAnswers().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(held_job_that_is_renewed_starts_in_the_end, Fixture)
{
    this->submit(firstEntry, this->request(firstEntry, ownShard));
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST(this->renew(firstEntry, { "job" }).empty());
        BOOST_TEST(this->starts() == 0U);
        this->run(250ms);
    }
    BOOST_TEST(this->renew(firstEntry, { "job" }).empty());
    this->run(100ms);
    BOOST_TEST(this->starts() == 1U);
}

// What confirmed it may have been replaced since, and another entry host may have the job.
BOOST_FIXTURE_TEST_CASE(confirmed_job_is_held_by_a_new_home_that_does_not_have_it, Fixture)
{
    auto moved = this->request(firstEntry, "west");
    moved.firstRunNumber = 1001;
    moved.untilEarlierRunsEnd = 600;
    moved.placement.wasConfirmed = true;
    this->submit(firstEntry, moved);
    this->run(100ms);
    BOOST_TEST(this->home.takeAnswers().empty());
    this->answerSurvey();
    this->run(10ms);
    BOOST_TEST(this->home.takeAnswers().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(confirmed_job_whose_runs_are_here_is_not_held_by_a_new_home, Fixture)
{
    this->fleet.runTime = 30s;
    this->becomeReady();
    this->submit(firstEntry, this->request(firstEntry, ownShard));
    this->run(50ms);
    BOOST_TEST(this->starts() == 1U);
    this->home.end();
    this->home.begin(ownShard, term + 1, this->fleet.now);
    this->setMembers();
    auto again = this->request(firstEntry, ownShard);
    again.firstRunNumber = 1001;
    again.untilEarlierRunsEnd = 600;
    again.placement.wasConfirmed = true;
    this->submit(firstEntry, again);
    BOOST_TEST(this->dispatcher().openJobs() == 1U);
    this->run(50ms);
    BOOST_TEST(this->renew(firstEntry, { "job" }).empty());
}

BOOST_FIXTURE_TEST_CASE(held_job_is_unknown_to_other_entry_hosts, Fixture)
{
    this->submit(firstEntry, this->request(firstEntry, ownShard));
    BOOST_TEST(this->renew(firstEntry, { "job" }).empty());
    BOOST_TEST(this->renew("entry-c", { "job" }) == std::vector<std::string> { "job" }, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(held_job_that_is_cancelled_is_forgotten, Fixture)
{
    this->submit(firstEntry, this->request(firstEntry, ownShard));
    this->home.cancel(this->dispatcher(), firstEntry, "job", false, this->fleet.now);
    BOOST_TEST(this->renew(firstEntry, { "job" }).size() == 1U);
    this->becomeReady();
    this->run(100ms);
    BOOST_TEST(this->dispatcher().openJobs() == 0U);
    BOOST_TEST(this->starts() == 0U);
}

BOOST_FIXTURE_TEST_CASE(cancel_of_another_entry_host_does_not_forget_a_held_job, Fixture)
{
    this->submit(firstEntry, this->request(firstEntry, ownShard));
    this->home.cancel(this->dispatcher(), secondEntry, "job", false, this->fleet.now);
    this->becomeReady();
    this->run(100ms);
    BOOST_TEST(this->starts() == 1U);
}

BOOST_FIXTURE_TEST_CASE(held_submission_that_is_repeated_is_decided_once, Fixture)
{
    this->submit(firstEntry, this->request(firstEntry, "west"));
    auto repeated = this->request(firstEntry, "north");
    repeated.firstRunNumber = 1001;
    this->submit(firstEntry, repeated);
    this->becomeReady();
    this->run(20ms);
    auto answers = this->home.takeAnswers();
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(answers.front().placement.firstRunNumber == 1001U);
}

// The caller may have submitted the job again through another domain since then.
BOOST_FIXTURE_TEST_CASE(held_job_of_an_entry_host_that_fell_silent_does_not_start, Fixture)
{
    this->submit(firstEntry, this->request(firstEntry, ownShard));
    this->run(2s);
    BOOST_TEST(this->starts() == 0U);
    BOOST_TEST(this->dispatcher().openJobs() == 0U);
}

// Its lease ends 700 ms after the last renewal, not after the decision.
BOOST_FIXTURE_TEST_CASE(lease_of_a_held_job_counts_from_the_last_renewal, Fixture)
{
    this->fleet.runTime = 30s;
    this->run(1s);
    this->submit(firstEntry, this->request(firstEntry, ownShard));
    BOOST_TEST(this->dispatcher().openJobs() == 0U);
    auto submittedAt = this->fleet.now;
    this->run(260ms);
    BOOST_TEST(this->starts() == 1U);
    while (this->dispatcher().openJobs() > 0 && this->fleet.now < submittedAt + 3s)
        this->run(10ms);
    BOOST_TEST((this->fleet.now - submittedAt <= 800ms));
}

BOOST_FIXTURE_TEST_CASE(query_does_not_extend_the_lease_of_a_held_job, Fixture)
{
    this->submit(firstEntry, this->request(firstEntry, ownShard));
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST(this->renew(firstEntry, { "job" }, TaskScheduler::RenewalKind::QueryOnly).empty());
        this->run(250ms);
    }
    this->run(200ms);
    BOOST_TEST(this->starts() == 0U);
}

BOOST_FIXTURE_TEST_CASE(deadline_of_a_held_job_counts_from_its_arrival, Fixture)
{
    auto submission = this->request(firstEntry, ownShard);
    submission.untilDeadline = 600;
    this->submit(firstEntry, submission);
    for (int i = 0; i < 6; ++i) {
        (void)this->renew(firstEntry, { "job" });
        this->run(250ms);
    }
    BOOST_TEST(this->starts() == 0U);
}

BOOST_FIXTURE_TEST_CASE(home_that_ends_forgets_held_jobs, Fixture)
{
    this->submit(firstEntry, this->request(firstEntry, ownShard));
    this->home.end();
    this->home.begin(ownShard, term, this->fleet.now);
    this->setMembers();
    this->becomeReady();
    this->run(100ms);
    BOOST_TEST(this->dispatcher().openJobs() == 0U);
}

BOOST_FIXTURE_TEST_CASE(notices_to_former_owners_of_listed_jobs_are_sent_to_them, Fixture)
{
    this->becomeReady();
    this->submit(firstEntry, this->request(firstEntry, "west"));
    this->submit(secondEntry, this->request(secondEntry, "west"));
    (void)this->home.takeAnswers();
    RenewSubmissions renewal { {}, TaskScheduler::RenewalKind::ExtendLease, 0, 1, 0, { PlacedJob { "job", "west" } } };
    (void)this->home.renew(this->dispatcher(), firstEntry, renewal, this->fleet.now);
    auto answers = this->home.takeAnswers();
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(answers.front().to == firstEntry);
    BOOST_TEST((answers.front().placement.kind == PlacementKind::TakenOver));
}

BOOST_FIXTURE_TEST_CASE(home_names_the_hosts_that_it_has_not_heard_when_it_begins_to_decide, Fixture)
{
    this->run(1300ms);
    auto events = this->home.takeEvents();
    BOOST_REQUIRE(events.size() == 1U);
    BOOST_TEST((events.front().kind == HomeEvent::Kind::Ready));
    BOOST_TEST(events.front().cause == "dispatchers-missing");
    BOOST_TEST(events.front().unheard == std::vector<std::string> { relay }, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(home_records_that_another_entry_host_asks_for_a_job, Fixture)
{
    this->becomeReady();
    this->submit(firstEntry, this->request(firstEntry, "west"));
    (void)this->home.takeEvents();
    this->submit(secondEntry, this->request(secondEntry, ownShard));
    auto events = this->home.takeEvents();
    BOOST_REQUIRE(events.size() == 1U);
    BOOST_TEST((events.front().kind == HomeEvent::Kind::RequestedAgain));
    BOOST_TEST(events.front().formerEntry == firstEntry);
    BOOST_TEST(events.front().entry == secondEntry);
    BOOST_TEST(events.front().shard == "west");
}
