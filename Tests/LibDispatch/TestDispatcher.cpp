#include <LibDispatch/Dispatcher.h>
#include <LibDispatch/RetryBudget.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Dispatch;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    ManualClock clock;
    Dispatcher dispatcher { { .host = "a" }, 1, clock.now() };
    uint64_t nextRequest { 1 };
    std::vector<Grant> grants;
    std::vector<Refusal> refusals;
    std::vector<SendToDispatcher> sent;
    std::vector<PoolAvailability> views;

    void announce(const std::string& identity, int slots = 1, Membership::TargetState state = Membership::TargetState::Serving, const std::string& incarnation = "1")
    {
        Membership::TargetReport report;
        report.identity = identity;
        report.incarnation = incarnation;
        report.pool = "pool";
        report.capacity = { slots * 1000, 0, 0 };
        report.state = state;
        this->dispatcher.announce(report, this->clock.now());
        this->collect();
    }

    GrantRequest makeRequest(const std::string& team = "t", uint32_t count = 1)
    {
        GrantRequest request;
        request.id = { "entry", this->nextRequest++ };
        request.pool = "pool";
        request.kind = "kind";
        request.team = team;
        request.count = count;
        request.queueLimit = 100'000;
        request.waitLimit = 10'000;
        return request;
    }

    void ask(const GrantRequest& request)
    {
        this->dispatcher.request(request, this->clock.now());
        this->collect();
    }

    void release(const Grant& grant, WorkResult result = WorkResult::Succeeded, Milliseconds runTime = 100ms)
    {
        this->dispatcher.release({ grant.number, result, Microseconds(runTime).count() }, this->clock.now());
        this->collect();
    }

    void tick(Milliseconds step)
    {
        this->clock.advance(step);
        this->dispatcher.tick(this->clock.now());
        this->collect();
    }

    void collect()
    {
        for (const auto& command : this->dispatcher.takeCommands()) {
            if (const auto* grant = std::get_if<Grant>(&command))
                this->grants.push_back(*grant);
            else if (const auto* refusal = std::get_if<Refusal>(&command))
                this->refusals.push_back(*refusal);
            else if (const auto* message = std::get_if<SendToDispatcher>(&command))
                this->sent.push_back(*message);
            else
                this->views.push_back(std::get<PoolAvailability>(command));
        }
    }

    Grant takeGrant()
    {
        BOOST_REQUIRE(!this->grants.empty());
        auto grant = this->grants.front();
        this->grants.erase(this->grants.begin());
        return grant;
    }

    // Lets a target prove itself, so that it is given all that it can take.
    void provideSamples(const std::string& identity, Milliseconds runTime, int times = 30)
    {
        for (int i = 0; i < times; ++i) {
            this->ask(this->makeRequest("warm"));
            auto grant = this->takeGrant();
            BOOST_REQUIRE(grant.target == identity);
            this->release(grant, WorkResult::Succeeded, runTime);
        }
    }
};

}

BOOST_FIXTURE_TEST_CASE(waiting_request_takes_the_place_that_becomes_free, Fixture)
{
    this->announce("x");
    this->ask(this->makeRequest());
    this->ask(this->makeRequest());
    BOOST_TEST(this->grants.size() == 1U);
    this->release(this->takeGrant());
    BOOST_TEST(this->grants.size() == 1U);
    BOOST_TEST(this->takeGrant().request.number == 2U);
}

BOOST_FIXTURE_TEST_CASE(leaving_target_gets_no_new_work, Fixture)
{
    this->announce("x", 8);
    this->announce("x", 8, Membership::TargetState::Leaving);
    this->ask(this->makeRequest());
    BOOST_TEST(this->grants.empty());
}

BOOST_FIXTURE_TEST_CASE(target_whose_lease_lapsed_gets_no_new_work, Fixture)
{
    this->announce("x", 8);
    this->tick(2000ms);
    this->ask(this->makeRequest());
    BOOST_TEST(this->grants.empty());
}

BOOST_FIXTURE_TEST_CASE(target_that_fails_everything_gets_five_tasks_at_most, Fixture)
{
    this->announce("good", 8);
    this->provideSamples("good", 100ms, 10);
    this->announce("bad", 64);
    int grantsToBad = 0;
    for (int i = 0; i < 200; ++i) {
        this->ask(this->makeRequest());
        while (!this->grants.empty()) {
            auto grant = this->takeGrant();
            grantsToBad += grant.target == "bad";
            this->release(grant, grant.target == "bad" ? WorkResult::Failed : WorkResult::Succeeded, grant.target == "bad" ? 1ms : 100ms);
        }
    }
    BOOST_TEST(grantsToBad > 0);
    BOOST_TEST(grantsToBad <= 5);
}

BOOST_FIXTURE_TEST_CASE(target_that_fails_everything_at_once_gets_five_tasks_at_most, Fixture)
{
    this->announce("bad", 64);
    for (int i = 0; i < 100; ++i)
        this->ask(this->makeRequest());
    // What it gets before the first failure is known counts as well as what follows.
    size_t given = 0;
    while (!this->grants.empty()) {
        this->release(this->takeGrant(), WorkResult::Failed, 1ms);
        ++given;
    }
    auto* target = const_cast<TargetPool*>(this->dispatcher.findPool("pool"))->find("bad");
    BOOST_TEST(target->ejected);
    BOOST_TEST(target->consecutiveFailures <= 5U);
    BOOST_TEST(given <= 5U);
}

BOOST_FIXTURE_TEST_CASE(probation_gives_one_task_and_a_success_ends_it, Fixture)
{
    this->announce("x", 8);
    for (int i = 0; i < 3; ++i) {
        this->ask(this->makeRequest());
        this->release(this->takeGrant(), WorkResult::Failed);
    }
    for (int i = 0; i < 6; ++i)
        this->ask(this->makeRequest());
    BOOST_TEST(this->grants.empty());
    for (int i = 0; i < 11; ++i) {
        this->clock.advance(500ms);
        this->announce("x", 8);
        this->tick(0ms);
    }
    BOOST_TEST(this->grants.size() == 1U);
    this->release(this->takeGrant());
    BOOST_TEST(this->grants.size() == 5U);
}

BOOST_FIXTURE_TEST_CASE(fast_failures_do_not_look_like_speed, Fixture)
{
    this->announce("good", 1);
    this->provideSamples("good", 100ms, 10);
    auto* pool = const_cast<TargetPool*>(this->dispatcher.findPool("pool"));
    auto before = pool->find("good")->slowness;
    this->ask(this->makeRequest());
    this->release(this->takeGrant(), WorkResult::Failed, 1ms);
    BOOST_TEST(pool->find("good")->slowness == before);
}

BOOST_FIXTURE_TEST_CASE(slow_target_stays_idle_where_waiting_ends_sooner, Fixture)
{
    this->announce("fast", 8);
    this->provideSamples("fast", 100ms, 200);
    std::vector<Grant> held;
    for (int i = 0; i < 8; ++i) {
        this->ask(this->makeRequest());
        held.push_back(this->takeGrant());
    }
    // The slow one shows its speed while the fast one is full.
    this->announce("slow", 1);
    for (int i = 0; i < 400 && (i < 60 || !this->grants.empty()); ++i) {
        for (int waiting = 0; waiting < 20 && this->grants.empty(); ++waiting)
            this->ask(this->makeRequest());
        if (this->grants.empty())
            break;
        auto grant = this->takeGrant();
        BOOST_REQUIRE(grant.target == "slow");
        this->release(grant, WorkResult::Succeeded, 4000ms);
    }
    BOOST_TEST(this->grants.empty());
    BOOST_TEST(this->dispatcher.waiting() > 0U);
    // Everything that waits is served by the fast one, and the slow one stays idle.
    while (!held.empty()) {
        this->release(held.back());
        held.pop_back();
        while (!this->grants.empty()) {
            held.push_back(this->takeGrant());
            BOOST_TEST(held.back().target == "fast");
        }
    }
    BOOST_TEST(this->dispatcher.waiting() == 0U);
}

BOOST_FIXTURE_TEST_CASE(request_does_not_wait_for_targets_that_cannot_take_it, Fixture)
{
    this->announce("fast", 8);
    this->provideSamples("fast", 100ms, 200);
    // A slow target with an accelerator shows its speed.
    Membership::TargetReport report;
    report.identity = "slow";
    report.incarnation = "1";
    report.pool = "pool";
    report.capacity = { 8000, 0, 1 };
    this->dispatcher.announce(report, this->clock.now());
    auto request = this->makeRequest();
    request.needs = { 1000, 0, 1 };
    for (int i = 0; i < 60; ++i) {
        request.id.number = this->nextRequest++;
        this->ask(request);
        auto grant = this->takeGrant();
        BOOST_TEST(grant.target == "slow");
        this->release(grant, WorkResult::Succeeded, 4000ms);
    }
}

BOOST_FIXTURE_TEST_CASE(urgent_requests_go_first, Fixture)
{
    this->announce("x");
    this->ask(this->makeRequest());
    auto background = this->makeRequest();
    background.priority = Catalog::Priority::Background;
    auto urgent = this->makeRequest();
    urgent.priority = Catalog::Priority::Urgent;
    this->ask(background);
    this->ask(urgent);
    this->release(this->takeGrant());
    BOOST_TEST(this->takeGrant().request.number == urgent.id.number);
}

BOOST_FIXTURE_TEST_CASE(teams_share_by_weight, Fixture)
{
    this->announce("x", 4);
    this->provideSamples("x", 100ms);
    for (int i = 0; i < 300; ++i) {
        this->ask(this->makeRequest("light"));
        auto heavy = this->makeRequest("heavy");
        heavy.teamWeight = 3;
        this->ask(heavy);
    }
    int heavyGrants = 0;
    for (int i = 0; i < 200; ++i) {
        auto grant = this->takeGrant();
        // Odd numbers after the warm-up belong to the light team.
        heavyGrants += grant.request.number % 2 == 0;
        this->release(grant);
    }
    BOOST_TEST(heavyGrants > 140);
    BOOST_TEST(heavyGrants < 160);
}

BOOST_FIXTURE_TEST_CASE(team_at_its_limit_waits_and_others_go_on, Fixture)
{
    this->announce("x", 8);
    this->provideSamples("x", 100ms);
    for (int i = 0; i < 5; ++i) {
        auto request = this->makeRequest("greedy");
        request.teamLimit = 2;
        this->ask(request);
    }
    BOOST_TEST(this->grants.size() == 2U);
    this->ask(this->makeRequest("modest"));
    BOOST_TEST(this->grants.size() == 3U);
    this->release(this->takeGrant());
    BOOST_TEST(this->grants.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(wait_past_the_deadline_is_refused_at_once, Fixture)
{
    this->announce("x");
    this->provideSamples("x", 1000ms);
    for (int i = 0; i < 5; ++i)
        this->ask(this->makeRequest());
    auto hurried = this->makeRequest();
    hurried.waitLimit = 500;
    this->ask(hurried);
    BOOST_REQUIRE(this->refusals.size() == 1U);
    BOOST_TEST((this->refusals.front().reason == Reason::Overloaded));
    BOOST_TEST(this->refusals.front().retryAfter > 0);
}

BOOST_FIXTURE_TEST_CASE(request_that_waited_too_long_is_refused, Fixture)
{
    this->announce("x");
    this->ask(this->makeRequest());
    auto late = this->makeRequest();
    late.waitLimit = 300;
    this->ask(late);
    this->tick(299ms);
    BOOST_TEST(this->refusals.empty());
    this->tick(1ms);
    BOOST_TEST((this->refusals.front().reason == Reason::DeadlineExceeded));
    BOOST_TEST(this->dispatcher.waiting() == 0U);
}

BOOST_FIXTURE_TEST_CASE(needs_that_no_target_can_meet_are_refused, Fixture)
{
    this->announce("x", 4);
    this->clock.advance(3000ms);
    this->announce("x", 4);
    auto request = this->makeRequest();
    request.needs = { 8000, 0, 0 };
    this->ask(request);
    BOOST_TEST((this->refusals.front().reason == Reason::CannotRun));
    BOOST_TEST(this->refusals.front().detail.find("pool") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(queue_is_bounded, Fixture)
{
    this->announce("x");
    for (int i = 0; i < 10; ++i) {
        auto request = this->makeRequest();
        request.queueLimit = 3;
        this->ask(request);
    }
    BOOST_TEST(this->dispatcher.waiting() == 3U);
    BOOST_TEST(this->refusals.size() == 6U);
}

BOOST_FIXTURE_TEST_CASE(wave_of_ten_thousand_cancellations_is_cheap, Fixture)
{
    this->announce("x");
    for (int i = 0; i < 10'001; ++i)
        this->ask(this->makeRequest());
    auto start = std::chrono::steady_clock::now();
    for (uint64_t number = 2; number <= 10'001; ++number)
        this->dispatcher.cancel({ "entry", number });
    auto elapsed = std::chrono::steady_clock::now() - start;
    BOOST_TEST(this->dispatcher.waiting() == 0U);
    BOOST_TEST(toMilliseconds(elapsed) < 10);
}

BOOST_FIXTURE_TEST_CASE(grants_of_a_lost_entry_are_taken_back, Fixture)
{
    this->announce("x");
    this->ask(this->makeRequest());
    auto held = this->takeGrant();
    this->ask(this->makeRequest());
    for (int i = 0; i < 4; ++i) {
        this->clock.advance(1000ms);
        this->announce("x");
        this->dispatcher.renewGrants({ held }, {}, "pool", this->clock.now());
        this->tick(0ms);
    }
    BOOST_TEST(this->grants.empty());
    for (int i = 0; i < 5; ++i) {
        this->clock.advance(1000ms);
        this->announce("x");
        this->tick(0ms);
    }
    BOOST_TEST(this->grants.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(successor_adopts_grants_that_entries_hold, Fixture)
{
    this->announce("x");
    Grant held { { "entry", 1 }, "former", 77, "x", "1", "" };
    this->dispatcher.renewGrants({ held }, {}, "pool", this->clock.now());
    this->ask(this->makeRequest());
    BOOST_TEST(this->grants.empty());
    this->release(held);
    BOOST_TEST(this->grants.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(request_sent_again_is_not_granted_twice, Fixture)
{
    this->announce("x");
    this->ask(this->makeRequest());
    auto waiting = this->makeRequest();
    this->ask(waiting);
    this->ask(waiting);
    this->release(this->takeGrant());
    this->release(this->takeGrant());
    BOOST_TEST(this->grants.empty());
}

BOOST_FIXTURE_TEST_CASE(saturated_domain_hands_over_and_a_refusal_stops_it, Fixture)
{
    this->announce("x");
    this->ask(this->makeRequest());
    this->dispatcher.updateAvailability({ "b", "pool", 5 }, this->clock.now());
    this->ask(this->makeRequest());
    this->ask(this->makeRequest());
    BOOST_TEST(this->sent.size() == 2U);
    // The other one cannot serve them after all: they wait here, and are not sent again and again.
    this->dispatcher.handOverResult("b", { { "entry", 2 }, "pool", 1, 3 }, this->clock.now());
    this->dispatcher.handOverResult("b", { { "entry", 3 }, "pool", 1, 3 }, this->clock.now());
    this->collect();
    BOOST_TEST(this->sent.size() == 2U);
    BOOST_TEST(this->dispatcher.waiting() == 2U);
    this->release(this->takeGrant());
    BOOST_TEST(this->takeGrant().request.number == 2U);
}

BOOST_FIXTURE_TEST_CASE(lost_hand_over_returns_to_the_queue, Fixture)
{
    this->announce("x");
    this->ask(this->makeRequest());
    this->dispatcher.updateAvailability({ "b", "pool", 1 }, this->clock.now());
    this->ask(this->makeRequest());
    BOOST_TEST(this->dispatcher.waiting() == 0U);
    this->tick(500ms);
    BOOST_TEST(this->dispatcher.waiting() == 1U);
}

BOOST_FIXTURE_TEST_CASE(domain_that_is_slow_does_not_show_its_places_as_free, Fixture)
{
    this->announce("fast", 1);
    this->provideSamples("fast", 100ms);
    this->views.clear();
    this->ask(this->makeRequest());
    auto held = this->takeGrant();
    BOOST_TEST(this->views.size() == 1U);
    BOOST_TEST(this->views.back().free == 0U);
    this->release(held);
    BOOST_TEST(this->views.back().free == 1U);
}

BOOST_AUTO_TEST_CASE(retries_are_a_share_of_successes)
{
    RetryBudget budget;
    int taken = 0;
    while (budget.take())
        ++taken;
    BOOST_TEST(taken == 10);
    for (int i = 0; i < 101; ++i)
        budget.addSuccess(0.1);
    taken = 0;
    while (budget.take())
        ++taken;
    BOOST_TEST(taken == 10);
}
