#include "SimulatedTargets.h"
#include <LibScheduler/Home/PlacementRegistry.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

namespace {

constexpr const char* home = "east";
constexpr const char* firstEntry = "entry-a";
constexpr const char* secondEntry = "entry-b";
constexpr uint64_t term = 7;

struct Fixture {
    PlacementRegistry registry { PlacementRegistry::Options {} };
    Instant now { std::chrono::hours(1) };

    Fixture()
    {
        this->registry.begin(home, term);
        this->renewAll();
    }

    void renewAll()
    {
        for (const auto* entry : { firstEntry, secondEntry })
            BOOST_TEST(this->registry.onRenewal(entry, 1, {}, this->now).empty());
    }

    // Returns the request of an entry host that has handed the job over `handovers` times before.
    static Submission request(const std::string& preferredShard, uint64_t handovers = 0, std::vector<std::string> left = {})
    {
        auto submission = makeJob("job", 1, 1);
        submission.firstRunNumber = handovers * 1000 + 1;
        submission.entryIncarnation = 1;
        submission.placement = PlacementRequest { true, home, preferredShard, std::move(left), {} };
        return submission;
    }

    Placement decide(const std::string& entry, const Submission& submission, bool isRelayed = false)
    {
        return this->registry.decide(entry, submission, { isRelayed, false }, this->now);
    }
};

bool isShard(const Placement& placement, const std::string& shard)
{
    return placement.kind == PlacementKind::Shard && placement.shard == shard;
}

bool isTakenOver(const Placement& placement)
{
    return placement.kind == PlacementKind::TakenOver;
}

}

BOOST_FIXTURE_TEST_CASE(second_entry_host_gets_the_shard_of_the_first_one, Fixture)
{
    BOOST_TEST(isShard(this->decide(firstEntry, request("west")), "west"));
    for (const auto* preferred : { home, "west", "north" })
        BOOST_TEST(isShard(this->decide(secondEntry, request(preferred)), "west"));
}

BOOST_FIXTURE_TEST_CASE(second_entry_host_gets_the_home_if_the_job_stays_there, Fixture)
{
    BOOST_TEST(isShard(this->decide(firstEntry, request(home)), home));
    BOOST_TEST(isShard(this->decide(secondEntry, request("west")), home));
}

BOOST_FIXTURE_TEST_CASE(answer_names_the_request, Fixture)
{
    auto placement = this->decide(firstEntry, request("west", 3));
    BOOST_TEST(placement.job == "job");
    BOOST_TEST(placement.entry == firstEntry);
    BOOST_TEST(placement.firstRunNumber == 3001U);
    BOOST_TEST(placement.untilUnknownRunsEnd == 0);
}

BOOST_FIXTURE_TEST_CASE(owner_moves_its_job_from_a_shard_that_it_has_left, Fixture)
{
    (void)this->decide(firstEntry, request("west"));
    BOOST_TEST(isShard(this->decide(firstEntry, request("north", 1, { "west" })), "north"));
    BOOST_TEST(isShard(this->decide(secondEntry, request(home)), "north"));
}

// The owner has withdrawn that request, and a later one overtook it through a relay.
BOOST_FIXTURE_TEST_CASE(request_that_a_later_one_has_overtaken_does_not_move_the_job, Fixture)
{
    (void)this->decide(firstEntry, request("west"));
    BOOST_TEST(isShard(this->decide(firstEntry, request(home, 2), true), "west"));
    BOOST_TEST(isShard(this->decide(firstEntry, request(home, 1, { "west" })), "west"));
    BOOST_TEST(isShard(this->decide(secondEntry, request("north")), "west"));
    // The numbers of another submission begin anew.
    BOOST_TEST(isShard(this->decide(secondEntry, request(home, 1, { "west" })), home));
}

BOOST_FIXTURE_TEST_CASE(owner_does_not_move_its_job_from_a_shard_that_it_has_not_left, Fixture)
{
    (void)this->decide(firstEntry, request("west"));
    BOOST_TEST(isShard(this->decide(firstEntry, request("north", 1, { home })), "west"));
}

// The second entry host is the owner and moves the job; what the first one has left no longer counts.
// The former owner learns of the takeover from the shard that has the job, and may extend runs there until then.
BOOST_FIXTURE_TEST_CASE(new_owner_does_not_move_the_job_with_the_request_that_takes_it_over, Fixture)
{
    (void)this->decide(firstEntry, request(home));
    BOOST_TEST(isShard(this->decide(secondEntry, request("west", 1, { home })), home));
    auto moved = this->decide(secondEntry, request("west", 2, { home }));
    BOOST_TEST(isShard(moved, "west"));
    BOOST_TEST(moved.untilUnknownRunsEnd == 1250);
}

BOOST_FIXTURE_TEST_CASE(former_owner_does_not_move_the_job, Fixture)
{
    (void)this->decide(firstEntry, request("west"));
    (void)this->decide(secondEntry, request("west"));
    BOOST_TEST(isTakenOver(this->decide(firstEntry, request("north", 1, { "west" }))));
    BOOST_TEST(isShard(this->decide(secondEntry, request("west", 1)), "west"));
}

BOOST_FIXTURE_TEST_CASE(former_owner_that_hands_its_job_over_again_is_told_that_it_was_taken_over, Fixture)
{
    (void)this->decide(firstEntry, request("west"));
    (void)this->decide(secondEntry, request("west"));
    auto placement = this->decide(firstEntry, request("west", 1));
    BOOST_TEST(isTakenOver(placement));
    BOOST_TEST(placement.entry == firstEntry);
    BOOST_TEST(placement.firstRunNumber == 1001U);
}

BOOST_FIXTURE_TEST_CASE(former_owner_through_which_the_caller_comes_again_gets_its_job_back, Fixture)
{
    (void)this->decide(firstEntry, request("west"));
    (void)this->decide(secondEntry, request("west"));
    BOOST_TEST(isShard(this->decide(firstEntry, request("north")), "west"));
    BOOST_TEST(isTakenOver(this->decide(secondEntry, request("west", 1))));
    BOOST_TEST(isShard(this->decide(firstEntry, request("north", 1, { "west" })), "north"));
}

BOOST_FIXTURE_TEST_CASE(former_owner_is_notified_once_if_another_shard_has_the_job, Fixture)
{
    (void)this->decide(firstEntry, request("west"));
    BOOST_TEST(this->registry.takeNotices().empty());
    (void)this->decide(secondEntry, request("west"));
    auto notices = this->registry.takeNotices();
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST((notices.front() == Placement { "job", firstEntry, PlacementKind::TakenOver, 0, {}, 0 }));
    BOOST_TEST(this->registry.takeNotices().empty());
}

// The dispatcher of the home does it.
BOOST_FIXTURE_TEST_CASE(former_owner_is_not_notified_by_the_record_if_the_home_has_the_job, Fixture)
{
    (void)this->decide(firstEntry, request(home));
    (void)this->decide(secondEntry, request(home));
    BOOST_TEST(this->registry.takeNotices().empty());
}

// The notice may be lost.
BOOST_FIXTURE_TEST_CASE(former_owner_that_lists_its_job_is_told_that_it_was_taken_over, Fixture)
{
    (void)this->decide(firstEntry, request("west"));
    (void)this->decide(secondEntry, request("west"));
    for (int i = 0; i < 2; ++i) {
        auto answers = this->registry.onRenewal(firstEntry, 1, { PlacedJob { "job", "west" } }, this->now);
        BOOST_REQUIRE(answers.size() == 1U);
        BOOST_TEST(isTakenOver(answers.front()));
        BOOST_TEST(answers.front().entry == firstEntry);
    }
    BOOST_TEST(this->registry.onRenewal(secondEntry, 1, { PlacedJob { "job", "west" } }, this->now).empty());
}

BOOST_FIXTURE_TEST_CASE(record_is_kept_for_10_s_after_its_last_use, Fixture)
{
    (void)this->decide(firstEntry, request("west"));
    this->now += 9s;
    BOOST_TEST(this->registry.onRenewal(firstEntry, 1, { PlacedJob { "job", "west" } }, this->now).empty());
    this->now += 10s;
    this->registry.removeExpired(this->now);
    BOOST_TEST(isShard(this->decide(secondEntry, request("north")), "west"));
    this->now += 10s + 1ms;
    this->registry.removeExpired(this->now);
    BOOST_TEST(isShard(this->decide(firstEntry, request("north")), "north"));
}

// A former owner that goes on listing the job must be told so for as long as it does.
BOOST_FIXTURE_TEST_CASE(record_that_its_former_owner_still_lists_is_told_to_it_until_the_record_expires, Fixture)
{
    (void)this->decide(firstEntry, request("west"));
    (void)this->decide(secondEntry, request("west"));
    this->now += 10s;
    this->registry.removeExpired(this->now);
    BOOST_TEST(this->registry.onRenewal(firstEntry, 1, { PlacedJob { "job", "west" } }, this->now).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(relayed_request_does_not_take_over_a_job_that_stays_at_the_home, Fixture)
{
    (void)this->decide(firstEntry, request(home));
    BOOST_TEST(isShard(this->decide(secondEntry, request("west"), true), home));
    BOOST_TEST(isShard(this->decide(firstEntry, request("west", 1, { home })), "west"));
}

BOOST_FIXTURE_TEST_CASE(relayed_request_takes_over_a_job_that_another_shard_has, Fixture)
{
    (void)this->decide(firstEntry, request("west"));
    BOOST_TEST(isShard(this->decide(secondEntry, request("north"), true), "west"));
    BOOST_TEST(isTakenOver(this->decide(firstEntry, request("north", 1, { "west" }))));
}

BOOST_FIXTURE_TEST_CASE(second_entry_host_learns_how_long_runs_in_other_shards_may_continue, Fixture)
{
    (void)this->decide(firstEntry, request(home));
    auto moved = request("west", 1, { home });
    moved.untilOtherShardRunsEnd = 1250;
    BOOST_TEST(isShard(this->decide(firstEntry, moved), "west"));
    this->now += 400ms;
    BOOST_TEST(this->decide(firstEntry, request("west", 2)).untilUnknownRunsEnd == 850);
    // The first entry host may have extended its runs until now.
    BOOST_TEST(this->decide(secondEntry, request("north")).untilUnknownRunsEnd == 1250);
    this->now += 2s;
    BOOST_TEST(this->decide(secondEntry, request("north", 1)).untilUnknownRunsEnd == 0);
}

BOOST_FIXTURE_TEST_CASE(shorter_wait_does_not_replace_a_longer_one, Fixture)
{
    auto first = request("west", 1, { home });
    first.untilOtherShardRunsEnd = 1200;
    (void)this->decide(firstEntry, first);
    auto second = request("north", 0, {});
    second.untilEarlierRunsEnd = 100;
    BOOST_TEST(this->decide(secondEntry, second).untilUnknownRunsEnd == 1250);
}

BOOST_FIXTURE_TEST_CASE(entry_host_that_lists_a_job_in_another_shard_than_recorded_is_told_that_it_was_taken_over, Fixture)
{
    (void)this->decide(firstEntry, request("west"));
    BOOST_TEST(this->registry.onRenewal(secondEntry, 1, { PlacedJob { "job", "west" } }, this->now).empty());
    auto answers = this->registry.onRenewal(secondEntry, 1, { PlacedJob { "job", "north" } }, this->now);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(isTakenOver(answers.front()));
    BOOST_TEST(answers.front().entry == secondEntry);
}

// The caller may have come back meanwhile; the answer would end its new submission.
BOOST_FIXTURE_TEST_CASE(former_owner_that_lists_a_withdrawn_job_gets_no_answer, Fixture)
{
    (void)this->decide(firstEntry, request("west"));
    (void)this->decide(secondEntry, request("west"));
    (void)this->registry.takeNotices();
    BOOST_TEST(this->registry.onRenewal(firstEntry, 1, { PlacedJob { "job", "west", false } }, this->now).empty());
    BOOST_TEST(this->registry.onRenewal(firstEntry, 1, { PlacedJob { "job", "west", true } }, this->now).size() == 1U);
}

// The caller comes back after the time that its refusal names.
BOOST_FIXTURE_TEST_CASE(place_of_a_job_that_has_not_run_is_forgotten, Fixture)
{
    (void)this->decide(firstEntry, request("west"));
    this->registry.forget(secondEntry, "job", this->now);
    BOOST_TEST(isShard(this->decide(firstEntry, request("north", 1)), "west"));
    this->registry.forget(firstEntry, "job", this->now);
    auto placement = this->decide(secondEntry, request("north"));
    BOOST_TEST(isShard(placement, "north"));
    BOOST_TEST(placement.untilUnknownRunsEnd == 0);
    (void)this->decide(firstEntry, request("north"));
    this->registry.forget(firstEntry, "job", this->now);
    BOOST_TEST(isShard(this->decide(secondEntry, request("west")), "north"));
}

// Its successor must not decide from what it has not learned itself.
BOOST_FIXTURE_TEST_CASE(home_that_begins_again_has_no_records, Fixture)
{
    (void)this->decide(firstEntry, request("west"));
    this->registry.end();
    BOOST_TEST(!this->registry.isHomeOf(home));
    this->registry.begin(home, term);
    this->renewAll();
    BOOST_TEST(isShard(this->decide(secondEntry, request("north")), "north"));
    BOOST_TEST(this->registry.takeNotices().empty());
}

// The first owner was cut off from the former home, and does not know that the second one has the job.
BOOST_FIXTURE_TEST_CASE(new_home_does_not_take_a_former_owner_for_the_owner_once_the_owner_has_listed_the_job, Fixture)
{
    this->registry.begin(home, term);
    (void)this->registry.onRenewal(secondEntry, 1, { PlacedJob { "job", "north" } }, this->now);
    auto moved = request("west", 1, { home });
    moved.untilOtherShardRunsEnd = 1250;
    BOOST_TEST(!isShard(this->decide(firstEntry, moved), "west"));
}

BOOST_FIXTURE_TEST_CASE(home_does_not_tell_an_entry_host_that_restarted_that_its_own_job_was_taken_over, Fixture)
{
    (void)this->decide(firstEntry, request("west"));
    auto restarted = request("north");
    restarted.entryIncarnation = 2;
    BOOST_TEST(isShard(this->decide(firstEntry, restarted), "west"));
    BOOST_TEST(this->registry.takeNotices().empty());
    BOOST_TEST(this->registry.onRenewal(firstEntry, 2, { PlacedJob { "job", "west" } }, this->now).empty());
    BOOST_TEST(this->registry.onRenewal(firstEntry, 1, { PlacedJob { "job", "west" } }, this->now).size() == 1U);
}

// The message of the process before the restart arrives after that of the one after it.
BOOST_FIXTURE_TEST_CASE(entry_host_before_its_restart_does_not_move_the_job, Fixture)
{
    (void)this->decide(firstEntry, request("west"));
    auto restarted = request("west");
    restarted.entryIncarnation = 2;
    (void)this->decide(firstEntry, restarted);
    BOOST_TEST(isTakenOver(this->decide(firstEntry, request("north", 1, { "west" }))));
    restarted = request("north", 1, { "west" });
    restarted.entryIncarnation = 2;
    BOOST_TEST(isShard(this->decide(firstEntry, restarted), "north"));
}

namespace {

struct SmallRegistry : Fixture {
    static constexpr size_t maximumRecords = 3;

    PlacementRegistry small { PlacementRegistry::Options { .maximumRecords = maximumRecords } };

    SmallRegistry() { this->small.begin(home, term); }

    Placement decide(const std::string& entry, const std::string& job, const std::string& preferredShard, Milliseconds untilDeadline = 60s, bool isKnownHere = false)
    {
        auto submission = request(preferredShard);
        submission.job = job;
        submission.untilDeadline = untilDeadline.count();
        return this->small.decide(entry, submission, { false, isKnownHere }, this->now);
    }

    void fill(Milliseconds untilDeadline = 60s)
    {
        for (size_t i = 0; i < maximumRecords; ++i)
            BOOST_TEST(isShard(this->decide(firstEntry, "old-" + std::to_string(i), "west", untilDeadline), "west"));
    }
};

bool isRefused(const Placement& placement)
{
    return placement.kind == PlacementKind::Refused;
}

}

BOOST_FIXTURE_TEST_CASE(home_without_room_for_records_does_not_forget_a_job_that_may_run, SmallRegistry)
{
    this->fill();
    for (int i = 0; i < 10; ++i) {
        auto placement = this->decide(firstEntry, "new-" + std::to_string(i), "west");
        BOOST_TEST(isRefused(placement));
        BOOST_TEST(placement.entry == firstEntry);
        BOOST_TEST(placement.firstRunNumber == 1U);
        BOOST_TEST(placement.untilUnknownRunsEnd == 0);
    }
    for (size_t i = 0; i < maximumRecords; ++i)
        BOOST_TEST(isShard(this->decide(secondEntry, "old-" + std::to_string(i), "north"), "west"));
}

// Its runs end 1,250 ms after its deadline, and its caller may come again for 1,300 ms after that.
BOOST_FIXTURE_TEST_CASE(home_without_room_for_records_forgets_a_job_only_once_it_cannot_run_any_more, SmallRegistry)
{
    this->fill(1s);
    this->now += 1s + 2550ms - 1ms;
    BOOST_TEST(isRefused(this->decide(firstEntry, "new", "west")));
    // It looks for such records every 50 ms at most.
    this->now += 50ms;
    BOOST_TEST(isShard(this->decide(firstEntry, "new", "west"), "west"));
    BOOST_TEST(isShard(this->decide(firstEntry, "old-0", "north"), "north"));
}

BOOST_FIXTURE_TEST_CASE(home_without_room_for_records_keeps_a_job_that_was_used_since, SmallRegistry)
{
    this->fill(1s);
    this->now += 3s;
    (void)this->small.onRenewal(firstEntry, 1, { PlacedJob { "old-1", "west" } }, this->now);
    this->now += 1s;
    BOOST_TEST(isShard(this->decide(firstEntry, "new", "west"), "west"));
    BOOST_TEST(isShard(this->decide(secondEntry, "old-1", "north"), "west"));
    BOOST_TEST(isShard(this->decide(secondEntry, "new", "north"), "west"));
}

// A second submission of it must find it there.
BOOST_FIXTURE_TEST_CASE(home_without_room_for_records_still_decides_about_a_job_that_it_has_itself, SmallRegistry)
{
    this->fill();
    BOOST_TEST(isShard(this->decide(firstEntry, "here", "west", 60s, true), home));
    BOOST_TEST(isShard(this->decide(secondEntry, "here", "north"), home));
}

// Which jobs it was not able to record is not known any more, so that no refusal may say that a job has not run.
BOOST_FIXTURE_TEST_CASE(home_that_has_no_room_for_what_entry_hosts_list_places_no_unknown_job, SmallRegistry)
{
    this->fill(1s);
    (void)this->small.onRenewal(secondEntry, 1, { PlacedJob { "listed", "north" } }, this->now);
    this->now += 4s;
    for (const auto* job : { "listed", "new" }) {
        auto placement = this->decide(firstEntry, job, "west");
        BOOST_TEST(isRefused(placement));
        BOOST_TEST(placement.untilUnknownRunsEnd == 1250);
    }
    this->now += 6s;
    BOOST_TEST(isShard(this->decide(firstEntry, "new", "west"), "west"));
}

BOOST_FIXTURE_TEST_CASE(home_that_has_no_room_for_what_other_shards_have_places_no_unknown_job, SmallRegistry)
{
    this->fill(1s);
    this->small.onPlacedJobs("north", { HeldJob { "held", true, secondEntry, 1, {}, term - 1 } }, this->now);
    this->now += 4s;
    BOOST_TEST(isRefused(this->decide(firstEntry, "held", "west")));
    BOOST_TEST(isShard(this->decide(secondEntry, "old-0", "north"), "west"));
}

BOOST_FIXTURE_TEST_CASE(noted_runs_beyond_the_maximum_are_waited_for, SmallRegistry)
{
    for (size_t i = 0; i <= maximumRecords; ++i)
        this->small.noteRuns("run-" + std::to_string(i), this->now + 500ms + i * 100ms);
    this->now += 799ms;
    for (size_t i = 0; i <= maximumRecords; ++i)
        BOOST_TEST((isRefused(this->decide(firstEntry, "run-" + std::to_string(i), "west")) && this->decide(firstEntry, "run-" + std::to_string(i), "west").untilUnknownRunsEnd > 0));
    this->now += 1ms;
    BOOST_TEST(isShard(this->decide(firstEntry, "run-3", "west"), "west"));
}

BOOST_FIXTURE_TEST_CASE(new_home_sends_a_job_to_the_shard_that_an_entry_host_has_listed, Fixture)
{
    (void)this->registry.onRenewal(secondEntry, 1, { PlacedJob { "job", "north" } }, this->now);
    BOOST_TEST(isShard(this->decide(firstEntry, request("west")), "north"));
}

// The first owner lists a job that the second one has taken over in that shard.
BOOST_FIXTURE_TEST_CASE(new_home_believes_the_shard_that_has_a_job_before_an_entry_host, Fixture)
{
    (void)this->registry.onRenewal(firstEntry, 1, { PlacedJob { "job", "north" } }, this->now);
    this->registry.onPlacedJobs("west", { HeldJob { "job", true, secondEntry, 1, { firstEntry }, term - 1 } }, this->now);
    BOOST_TEST(isTakenOver(this->decide(firstEntry, request("north", 1, { "west" }))));
    BOOST_TEST(isShard(this->decide(secondEntry, request("north", 1)), "west"));
    BOOST_TEST(this->registry.onRenewal(firstEntry, 1, { PlacedJob { "job", "west" } }, this->now).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(answer_of_a_shard_does_not_undo_a_decision_of_the_same_term, Fixture)
{
    (void)this->decide(firstEntry, request("west"));
    (void)this->decide(firstEntry, request("north", 1, { "west" }));
    this->registry.onPlacedJobs("west", { HeldJob { "job", true, firstEntry, 1, {}, term } }, this->now);
    BOOST_TEST(isShard(this->decide(secondEntry, request(home)), "north"));
}

// Another home has placed the job anew while this one was outranked.
BOOST_FIXTURE_TEST_CASE(home_that_goes_on_in_a_higher_term_believes_what_another_one_has_decided_in_between, Fixture)
{
    (void)this->decide(firstEntry, request("west"));
    this->registry.begin(home, term + 2);
    BOOST_TEST(isShard(this->decide(firstEntry, request("west", 1)), "west"));
    this->registry.begin(home, term + 4);
    this->registry.onPlacedJobs("north", { HeldJob { "job", true, secondEntry, 1, {}, term + 3 } }, this->now);
    BOOST_TEST(isShard(this->decide(secondEntry, request("west", 1)), "north"));
}

BOOST_FIXTURE_TEST_CASE(job_whose_runs_may_continue_in_another_shard_waits_for_them, Fixture)
{
    this->registry.onPlacedJobs("west", { HeldJob { "job", false, {}, 0, {}, 0 } }, this->now);
    BOOST_TEST(this->decide(firstEntry, request("north")).untilUnknownRunsEnd == 1250);
}

BOOST_FIXTURE_TEST_CASE(answer_names_the_term_of_the_home, Fixture)
{
    BOOST_TEST(this->decide(firstEntry, request("west")).homeTerm == term);
}
