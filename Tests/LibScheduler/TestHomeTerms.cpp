#include "SimulatedTargets.h"
#include <LibScheduler/Home/JobHome.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <limits>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

namespace {

constexpr const char* ownShard = "east";
constexpr const char* firstEntry = "entry-a";
constexpr const char* secondEntry = "entry-b";
constexpr const char* west = "west-dispatcher";
constexpr const char* north = "north-dispatcher";
constexpr uint64_t term = 7;

struct Fixture {
    SimulatedFleet fleet { 1 };
    JobHome home { PlacementRegistry::Options {} };

    Fixture()
    {
        this->fleet.entriesRenew = false;
        this->fleet.runTime = 30s;
        this->fleet.addTarget("target", 64);
        this->fleet.report();
        this->dispatcher().activate(10, this->fleet.now);
        this->fleet.run(50ms);
        this->begin(term, { west });
    }

    TaskScheduler& dispatcher() { return *this->fleet.dispatchers[0]; }

    void begin(uint64_t newTerm, const std::vector<std::string>& dispatchers)
    {
        this->home.begin(ownShard, newTerm, this->fleet.now);
        this->home.setEntries({});
        this->setDispatchers(dispatchers);
    }

    void setDispatchers(const std::vector<std::string>& dispatchers)
    {
        std::vector<HomeReadiness::Contact> contacts;
        for (const auto& dispatcher : dispatchers)
            contacts.push_back(HomeReadiness::Contact { dispatcher });
        this->home.setDispatchers(std::move(contacts));
    }

    void answer(const std::string& from, const std::string& shard, uint64_t answeredTerm, std::vector<HeldJob> jobs = {})
    {
        this->home.onPlacedJobsResponse(from, PlacedJobsResponse { ownShard, answeredTerm, answeredTerm, shard, std::move(jobs) }, this->fleet.now);
    }

    Submission request(const std::string& entry, const std::string& preferredShard)
    {
        auto submission = makeJob("job", 1, 1);
        submission.entryIncarnation = 1;
        submission.placement = PlacementRequest { true, ownShard, preferredShard, {}, entry };
        this->fleet.submissions.insert_or_assign(submission.job, submission);
        return submission;
    }

    // A submission that the home of another shard has placed here.
    Submission placedBy(uint64_t homeTerm)
    {
        auto submission = this->request(firstEntry, {});
        submission.placement = {};
        submission.placedBy = PlacementGrant { "west", homeTerm };
        return submission;
    }

    void submit(const std::string& from, const Submission& submission) { this->home.submit(this->dispatcher(), from, submission, this->fleet.now); }

    void run(Milliseconds duration)
    {
        for (auto end = this->fleet.now + duration; this->fleet.now < end;) {
            this->fleet.run(10ms);
            this->home.tick(this->dispatcher(), this->fleet.now);
        }
    }

    // Returns the shard that the home names to an entry host, empty if it decides nothing.
    std::string placeFor(const std::string& entry)
    {
        for (const auto& answer : this->home.takeAnswers()) {
            if (answer.placement.kind == PlacementKind::Shard && answer.placement.entry == entry)
                return answer.placement.shard;
        }
        return {};
    }
};

}

// Its successor adopts the runs, but its claim has not arrived yet.
BOOST_FIXTURE_TEST_CASE(home_does_not_decide_while_a_dispatcher_that_ended_before_its_answer_may_have_left_runs, Fixture)
{
    this->submit(secondEntry, this->request(secondEntry, "north"));
    this->setDispatchers({});
    this->run(1240ms);
    BOOST_TEST(this->placeFor(secondEntry).empty());
    this->run(20ms);
    BOOST_TEST(this->placeFor(secondEntry) == "north");
}

BOOST_FIXTURE_TEST_CASE(term_that_no_home_can_have_does_not_end_the_decisions_of_a_home, Fixture)
{
    this->answer(west, "west", term);
    this->run(10ms);
    auto forged = this->request(firstEntry, "west");
    forged.placement.highestHomeTerm = std::numeric_limits<uint64_t>::max();
    this->submit(firstEntry, forged);
    this->run(10ms);
    BOOST_TEST(!this->home.state().isSuperseded());
    BOOST_TEST(this->placeFor(firstEntry) == "west");
}

BOOST_FIXTURE_TEST_CASE(term_that_no_home_can_have_makes_no_placement_outdated, Fixture)
{
    (void)this->home.onPlacedJobsRequest(this->dispatcher(), PlacedJobsRequest { "west", std::numeric_limits<uint64_t>::max() }, this->fleet.now);
    this->submit(firstEntry, this->placedBy(3));
    BOOST_TEST(this->dispatcher().openJobs() == 1U);
}

// The entry host would take the refusal for the answer to its last handover, while the job is open here.
BOOST_FIXTURE_TEST_CASE(submission_that_comes_twice_is_not_refused_as_outdated, Fixture)
{
    auto placed = this->placedBy(3);
    this->submit(firstEntry, placed);
    (void)this->home.onPlacedJobsRequest(this->dispatcher(), PlacedJobsRequest { "west", 4 }, this->fleet.now);
    this->submit(firstEntry, placed);
    BOOST_TEST(this->dispatcher().openJobs() == 1U);
    BOOST_TEST(this->dispatcher().takeEffects(this->fleet.now).notices.empty());
}

// Another shard that refuses the job next would make it a 503, which says that nothing has run.
BOOST_FIXTURE_TEST_CASE(outdated_refusal_names_the_runs_that_a_job_has_had_here, Fixture)
{
    this->fleet.runTime = 50ms;
    auto placed = this->placedBy(3);
    placed.taskCount = 2;
    placed.maximumPerTarget = 1;
    this->submit(firstEntry, placed);
    this->fleet.run(100ms);
    this->dispatcher().cancel(firstEntry, "job", this->fleet.now);
    this->fleet.run(1s);
    BOOST_TEST(this->dispatcher().openRuns() == 0U);
    (void)this->home.onPlacedJobsRequest(this->dispatcher(), PlacedJobsRequest { "west", 4 }, this->fleet.now);
    this->submit(secondEntry, placed);
    auto notices = this->dispatcher().takeEffects(this->fleet.now).notices;
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices.front().outcome.reason == placementOutdated);
    BOOST_TEST(notices.front().outcome.starts > 0U);
}

BOOST_FIXTURE_TEST_CASE(outdated_refusal_of_a_job_that_is_open_here_does_not_say_that_nothing_has_run, Fixture)
{
    this->submit(firstEntry, this->placedBy(3));
    (void)this->home.onPlacedJobsRequest(this->dispatcher(), PlacedJobsRequest { "west", 4 }, this->fleet.now);
    this->submit(secondEntry, this->placedBy(3));
    auto notices = this->dispatcher().takeEffects(this->fleet.now).notices;
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices.front().outcome.reason == placementOutdated);
    BOOST_TEST(notices.front().outcome.starts > 0U);
}

// Its own record is of before, and no other shard has the job.
BOOST_FIXTURE_TEST_CASE(home_that_raised_its_term_keeps_a_job_that_another_home_has_started_here_meanwhile, Fixture)
{
    this->answer(west, "west", term);
    this->run(10ms);
    this->submit(firstEntry, this->request(firstEntry, "west"));
    BOOST_TEST(this->placeFor(firstEntry) == "west");
    auto& target = this->fleet.targets.at("target");
    HoldOrder claim { TargetInstance { "target", {}, {} }, 1, 1000, 0, 0, 0ms };
    auto claimed = target.hold(claim, this->fleet.now);
    BOOST_REQUIRE(std::holds_alternative<RunList>(claimed));
    StartOrder start { claim.instance, 1000, RunId { TaskId { "job", 0, 0, 0 }, 1 }, {}, std::get<RunList>(claimed).clock + 1000 };
    BOOST_REQUIRE(std::holds_alternative<Acknowledged>(target.start(start, {}, 30s, false, this->fleet.now)));
    this->run(100ms);
    this->dispatcher().activate(1001, this->fleet.now);
    this->begin(term + 2, { west });
    this->answer(west, "west", term + 2);
    this->run(100ms);
    this->submit(secondEntry, this->request(secondEntry, "west"));
    BOOST_TEST(this->placeFor(secondEntry) == ownShard);
}

// The order withdrawing it from the first shard was lost or is late.
BOOST_FIXTURE_TEST_CASE(home_sends_a_job_that_two_shards_list_to_the_later_one, Fixture)
{
    for (bool isWestFirst : { true, false }) {
        this->home.end();
        this->begin(term, { west, north });
        HeldJob earlier { "job", true, firstEntry, 1, {}, term - 1 };
        HeldJob later = earlier;
        earlier.firstRunNumber = 1;
        later.firstRunNumber = 1001;
        if (isWestFirst)
            this->answer(west, "west", term, { earlier });
        this->answer(north, "north", term, { later });
        if (!isWestFirst)
            this->answer(west, "west", term, { earlier });
        this->run(10ms);
        this->submit(secondEntry, this->request(secondEntry, ownShard));
        BOOST_TEST(this->placeFor(secondEntry) == "north");
    }
}
