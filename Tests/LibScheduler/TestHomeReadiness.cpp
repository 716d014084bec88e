#include <LibScheduler/Home/HomeReadiness.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

namespace {

constexpr const char* dispatcher = "west-dispatcher";
constexpr const char* firstEntry = "entry-a";
constexpr const char* secondEntry = "entry-b";

struct Fixture {
    HomeReadiness home { HomeReadiness::Options {} };
    Instant now { std::chrono::hours(1) };
    bool hasClaimedTargets { false };

    Fixture()
    {
        this->home.begin("east", 7, this->now);
        this->setMembers({ dispatcher }, { firstEntry, secondEntry });
    }

    void setMembers(const std::vector<std::string>& dispatchers, const std::vector<std::string>& entries, Milliseconds sinceHeartbeat = 0ms)
    {
        auto contacts = [&](const auto& names) {
            std::vector<HomeReadiness::Contact> found;
            for (const auto& name : names)
                found.push_back(HomeReadiness::Contact { name, sinceHeartbeat });
            return found;
        };
        this->home.setDispatchers(contacts(dispatchers));
        this->home.setEntries(contacts(entries));
    }

    void listAll()
    {
        this->home.onListed(firstEntry);
        this->home.onListed(secondEntry);
    }

    void answer(const std::string& name = dispatcher, bool knowsRuns = true) { this->home.onAnswer(name, knowsRuns); }

    bool isReadyAfter(Milliseconds time)
    {
        this->now += time;
        this->home.update(this->hasClaimedTargets, this->now);
        return this->home.isReady();
    }
};

}

BOOST_FIXTURE_TEST_CASE(home_is_ready_when_all_dispatchers_and_its_own_targets_have_answered, Fixture)
{
    this->hasClaimedTargets = true;
    BOOST_TEST(!this->isReadyAfter(1ms));
    this->answer();
    BOOST_TEST(this->isReadyAfter(1ms));
}

BOOST_FIXTURE_TEST_CASE(home_whose_targets_have_not_answered_is_ready_when_its_entry_hosts_have_listed_their_jobs, Fixture)
{
    this->answer();
    this->home.onListed(firstEntry);
    BOOST_TEST(!this->isReadyAfter(1ms));
    this->home.onListed(secondEntry);
    BOOST_TEST(this->isReadyAfter(1ms));
}

BOOST_FIXTURE_TEST_CASE(home_waits_for_another_dispatcher_although_all_entry_hosts_have_listed_their_jobs, Fixture)
{
    this->listAll();
    BOOST_TEST(!this->isReadyAfter(1249ms));
    BOOST_TEST(this->isReadyAfter(1ms));
    BOOST_TEST(this->home.cause() == "dispatchers-missing");
}

BOOST_FIXTURE_TEST_CASE(home_whose_targets_do_not_answer_waits_until_their_runs_have_ended, Fixture)
{
    this->answer();
    BOOST_TEST(!this->isReadyAfter(1249ms));
    BOOST_TEST(this->isReadyAfter(1ms));
}

// The job of a run there may not be known to any dispatcher.
BOOST_FIXTURE_TEST_CASE(home_waits_for_a_dispatcher_that_does_not_know_the_runs_of_its_targets, Fixture)
{
    this->hasClaimedTargets = true;
    this->answer(dispatcher, false);
    BOOST_TEST(!this->isReadyAfter(1249ms));
    BOOST_TEST(!this->home.takeDispatchersToAsk(this->now).empty());
    this->answer();
    BOOST_TEST(this->isReadyAfter(0ms));
    BOOST_TEST(this->home.cause() == "targets-answered");
}

BOOST_FIXTURE_TEST_CASE(home_knows_from_its_entry_hosts_which_runs_a_new_dispatcher_may_not_know, Fixture)
{
    this->answer(dispatcher, false);
    this->listAll();
    BOOST_TEST(this->isReadyAfter(1ms));
    BOOST_TEST(this->home.cause() == "entries-listed");
}

// Nobody can tell which runs its targets have.
BOOST_FIXTURE_TEST_CASE(home_waits_for_the_runs_of_a_shard_that_has_no_dispatcher, Fixture)
{
    this->hasClaimedTargets = true;
    this->home.setHasAllDispatchers(false);
    this->answer();
    BOOST_TEST(!this->isReadyAfter(1249ms));
    BOOST_TEST(this->isReadyAfter(1ms));
}

// It may extend runs for as long as it is alive.
BOOST_FIXTURE_TEST_CASE(home_goes_on_waiting_for_hosts_that_are_heard_of_but_do_not_answer, Fixture)
{
    this->hasClaimedTargets = true;
    this->home.onListed(firstEntry);
    BOOST_TEST(!this->isReadyAfter(4999ms));
    BOOST_TEST(this->isReadyAfter(1ms));
    BOOST_TEST(this->home.cause() == "time");
}

BOOST_FIXTURE_TEST_CASE(home_does_not_wait_for_hosts_that_are_not_heard_of_any_more, Fixture)
{
    this->setMembers({ dispatcher }, { firstEntry, secondEntry }, 1501ms);
    BOOST_TEST(!this->isReadyAfter(1249ms));
    BOOST_TEST(this->isReadyAfter(1ms));
    auto unheard = this->home.unheard();
    BOOST_TEST(unheard.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(home_asks_a_dispatcher_that_it_learns_of_later, Fixture)
{
    this->hasClaimedTargets = true;
    this->answer();
    this->setMembers({ dispatcher, "north-dispatcher" }, {});
    BOOST_TEST(!this->isReadyAfter(1ms));
    BOOST_TEST(this->home.takeDispatchersToAsk(this->now) == std::vector<std::string> { "north-dispatcher" }, boost::test_tools::per_element());
    this->answer("north-dispatcher");
    BOOST_TEST(this->isReadyAfter(1ms));
}

// There is no other shard that could have a job.
BOOST_FIXTURE_TEST_CASE(home_of_the_only_shard_is_ready_at_once, Fixture)
{
    this->home.begin("", 8, this->now);
    BOOST_TEST(this->isReadyAfter(0ms));
}

BOOST_FIXTURE_TEST_CASE(home_is_not_ready_while_a_higher_term_is_known, Fixture)
{
    this->hasClaimedTargets = true;
    this->answer();
    BOOST_TEST(this->isReadyAfter(1ms));
    this->home.observeTerm(9);
    BOOST_TEST(!this->isReadyAfter(5s));
    // A higher term that is not high enough.
    this->home.begin("east", 8, this->now);
    this->answer();
    BOOST_TEST(!this->isReadyAfter(1ms));
}

BOOST_FIXTURE_TEST_CASE(home_that_goes_on_in_a_higher_term_asks_again, Fixture)
{
    this->hasClaimedTargets = true;
    this->answer();
    BOOST_TEST(this->isReadyAfter(1ms));
    this->home.begin("east", 8, this->now);
    this->setMembers({ dispatcher }, {});
    BOOST_TEST(!this->isReadyAfter(1ms));
    BOOST_TEST(this->home.takeDispatchersToAsk(this->now).size() == 1U);
}
