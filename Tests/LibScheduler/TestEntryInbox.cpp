#include "SimulatedTargets.h"
#include <LibScheduler/EntryInbox.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

using Result = EntryInbox::Result;

// A dispatcher that has just started, and has not heard from the entry host before.
namespace {

struct Fixture {
    Instant now { std::chrono::hours(1) };
    TaskScheduler scheduler { TaskScheduler::Options {} };
    EntryInbox inbox { TaskScheduler::Options {}.maximumTransitTime };

    Fixture()
    {
        this->scheduler.activate(10, this->now);
        // No job is refused for lack of targets.
        this->scheduler.setKnowsAllTargets(false);
    }

    Milliseconds::rep clock() const { return std::chrono::duration_cast<Milliseconds>(this->now.time_since_epoch()).count(); }

    Submission makeSubmission(const std::string& name) const
    {
        auto submission = makeJob(name, 1, 1);
        submission.sentAt = this->clock();
        submission.entryIncarnation = 1;
        return submission;
    }

    RenewSubmissions makeRenewal(std::vector<std::string> jobs, uint64_t answeredRequest) const
    {
        return RenewSubmissions { std::move(jobs), TaskScheduler::RenewalKind::ExtendLease, this->clock(), 1, answeredRequest };
    }

    Result submit(const Submission& submission) { return this->inbox.submit(this->scheduler, "entry", submission, this->now); }
    auto renew(const RenewSubmissions& renewal) { return this->inbox.renew(this->scheduler, "entry", renewal, this->now); }

    // Returns the number of the only request, or zero if there is none.
    uint64_t takeRequest()
    {
        auto requests = this->inbox.takeRequests();
        BOOST_TEST(requests.size() <= 1U);
        return requests.empty() ? 0 : requests.front().number;
    }
};

}

BOOST_FIXTURE_TEST_CASE(first_submission_of_an_entry_host_is_accepted_after_one_round_trip, Fixture)
{
    auto submission = this->makeSubmission("job");
    this->now += 2ms;
    BOOST_TEST((this->submit(submission) == Result::Held));
    BOOST_TEST(this->scheduler.openJobs() == 0U);
    auto request = this->takeRequest();
    this->now += 2ms;
    auto renewal = this->makeRenewal({ "job" }, request);
    this->now += 2ms;
    auto unknown = this->renew(renewal);
    BOOST_REQUIRE(unknown.has_value());
    BOOST_TEST(unknown->empty());
    BOOST_TEST(this->scheduler.openJobs() == 1U);
    BOOST_TEST((this->submit(this->makeSubmission("next")) == Result::Accepted));
}

BOOST_FIXTURE_TEST_CASE(first_submission_that_a_new_dispatcher_gets_is_not_accepted_late, Fixture)
{
    auto submission = this->makeSubmission("job");
    this->now += 600ms;
    BOOST_TEST((this->submit(submission) == Result::Held));
    auto renewal = this->makeRenewal({ "job" }, this->takeRequest());
    this->now += 2ms;
    auto unknown = this->renew(renewal);
    BOOST_REQUIRE(unknown.has_value());
    BOOST_TEST(unknown->size() == 1U);
    BOOST_TEST(this->scheduler.openJobs() == 0U);
}

BOOST_FIXTURE_TEST_CASE(held_submission_that_was_withdrawn_meanwhile_is_not_accepted, Fixture)
{
    BOOST_TEST((this->submit(this->makeSubmission("job")) == Result::Held));
    BOOST_TEST(this->renew(this->makeRenewal({}, this->takeRequest())).has_value());
    BOOST_TEST(this->scheduler.openJobs() == 0U);
}

BOOST_FIXTURE_TEST_CASE(renewals_have_no_effect_until_a_round_trip_is_short_enough, Fixture)
{
    BOOST_TEST(!this->renew(this->makeRenewal({}, 0)).has_value());
    auto first = this->takeRequest();
    BOOST_TEST(first != 0U);
    auto slow = this->makeRenewal({}, first);
    this->now += 300ms;
    BOOST_TEST(!this->renew(slow).has_value());
    auto second = this->takeRequest();
    BOOST_TEST(second > first);
    // A request of an earlier process of this host proves nothing.
    BOOST_TEST(!this->renew(this->makeRenewal({}, first - 1)).has_value());
    BOOST_TEST(this->renew(this->makeRenewal({}, second)).has_value());
}

BOOST_FIXTURE_TEST_CASE(entry_host_is_asked_again_when_the_request_or_its_answer_is_lost, Fixture)
{
    BOOST_TEST((this->submit(this->makeSubmission("job")) == Result::Held));
    BOOST_TEST(this->takeRequest() != 0U);
    this->now += 20ms;
    BOOST_TEST(!this->renew(this->makeRenewal({ "job" }, 0)).has_value());
    BOOST_TEST(this->takeRequest() == 0U);
    this->now += 250ms;
    BOOST_TEST(!this->renew(this->makeRenewal({ "job" }, 0)).has_value());
    BOOST_TEST(this->takeRequest() != 0U);
}
