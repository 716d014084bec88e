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
    std::vector<SendToDispatcher> sentToDispatchers;
    std::vector<PoolAvailability> availabilities;

    void announce(const std::string& identity, int slots = 1, Membership::TargetState state = Membership::TargetState::Serving, const std::string& incarnation = "1")
    {
        Membership::TargetReport report;
        report.identity = identity;
        report.incarnation = incarnation;
        report.pool = "pool";
        report.capacity = { slots * 1000, 0, 0 };
        report.state = state;
        this->dispatcher.updateTarget(report, this->clock.now());
        this->collectCommands();
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

    void sendRequest(const GrantRequest& request)
    {
        this->dispatcher.request(request, this->clock.now());
        this->collectCommands();
    }

    void release(const Grant& grant, WorkResult result = WorkResult::Succeeded, Milliseconds runTime = 100ms)
    {
        this->dispatcher.release({ grant.number, result, Microseconds(runTime).count() }, this->clock.now());
        this->collectCommands();
    }

    void tick(Milliseconds step)
    {
        this->clock.advance(step);
        this->dispatcher.tick(this->clock.now());
        this->collectCommands();
    }

    void collectCommands()
    {
        for (const auto& command : this->dispatcher.takeCommands()) {
            if (const auto* grant = std::get_if<Grant>(&command))
                this->grants.push_back(*grant);
            else if (const auto* refusal = std::get_if<Refusal>(&command))
                this->refusals.push_back(*refusal);
            else if (const auto* message = std::get_if<SendToDispatcher>(&command))
                this->sentToDispatchers.push_back(*message);
            else
                this->availabilities.push_back(std::get<PoolAvailability>(command));
        }
    }

    Grant takeGrant()
    {
        BOOST_REQUIRE(!this->grants.empty());
        auto grant = this->grants.front();
        this->grants.erase(this->grants.begin());
        return grant;
    }

    // Reports successes for a target, so that the limit for unproven targets no longer applies and the dispatcher knows the
    // speed of the target.
    void provideSamples(const std::string& identity, Milliseconds runTime, int times = 30)
    {
        for (int i = 0; i < times; ++i) {
            this->sendRequest(this->makeRequest("warm"));
            auto grant = this->takeGrant();
            BOOST_REQUIRE(grant.target == identity);
            this->release(grant, WorkResult::Succeeded, runTime);
        }
    }
};

}

BOOST_FIXTURE_TEST_CASE(waiting_request_gets_the_slot_that_becomes_free, Fixture)
{
    this->announce("x");
    this->sendRequest(this->makeRequest());
    this->sendRequest(this->makeRequest());
    BOOST_TEST(this->grants.size() == 1U);
    this->release(this->takeGrant());
    BOOST_TEST(this->grants.size() == 1U);
    BOOST_TEST(this->takeGrant().request.number == 2U);
}

BOOST_FIXTURE_TEST_CASE(leaving_target_gets_no_new_work, Fixture)
{
    this->announce("x", 8);
    this->announce("x", 8, Membership::TargetState::Leaving);
    this->sendRequest(this->makeRequest());
    BOOST_TEST(this->grants.empty());
}

BOOST_FIXTURE_TEST_CASE(target_with_expired_lease_gets_no_new_work, Fixture)
{
    this->announce("x", 8);
    this->tick(2000ms);
    this->sendRequest(this->makeRequest());
    BOOST_TEST(this->grants.empty());
}

BOOST_FIXTURE_TEST_CASE(failing_target_gets_at_most_five_grants, Fixture)
{
    this->announce("good", 8);
    this->provideSamples("good", 100ms, 10);
    this->announce("bad", 64);
    int grantsToBad = 0;
    for (int i = 0; i < 200; ++i) {
        this->sendRequest(this->makeRequest());
        while (!this->grants.empty()) {
            auto grant = this->takeGrant();
            grantsToBad += grant.target == "bad";
            this->release(grant, grant.target == "bad" ? WorkResult::Failed : WorkResult::Succeeded, grant.target == "bad" ? 1ms : 100ms);
        }
    }
    BOOST_TEST(grantsToBad > 0);
    BOOST_TEST(grantsToBad <= 5);
}

BOOST_FIXTURE_TEST_CASE(failing_target_gets_at_most_five_grants_from_a_burst, Fixture)
{
    this->announce("bad", 64);
    for (int i = 0; i < 100; ++i)
        this->sendRequest(this->makeRequest());
    // Grants that the target gets before its first failure is reported count toward the limit too.
    size_t grantCount = 0;
    while (!this->grants.empty()) {
        this->release(this->takeGrant(), WorkResult::Failed, 1ms);
        ++grantCount;
    }
    auto* target = const_cast<TargetPool*>(this->dispatcher.findPool("pool"))->find("bad");
    BOOST_TEST(target->ejected);
    BOOST_TEST(target->consecutiveFailures <= 5U);
    BOOST_TEST(grantCount <= 5U);
}

BOOST_FIXTURE_TEST_CASE(probation_allows_one_grant_and_ends_with_a_success, Fixture)
{
    this->announce("x", 8);
    for (int i = 0; i < 3; ++i) {
        this->sendRequest(this->makeRequest());
        this->release(this->takeGrant(), WorkResult::Failed);
    }
    for (int i = 0; i < 6; ++i)
        this->sendRequest(this->makeRequest());
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

BOOST_FIXTURE_TEST_CASE(fast_failures_do_not_change_the_speed_estimate, Fixture)
{
    this->announce("good", 1);
    this->provideSamples("good", 100ms, 10);
    auto* pool = const_cast<TargetPool*>(this->dispatcher.findPool("pool"));
    auto before = pool->find("good")->slowness;
    this->sendRequest(this->makeRequest());
    this->release(this->takeGrant(), WorkResult::Failed, 1ms);
    BOOST_TEST(pool->find("good")->slowness == before);
}

BOOST_FIXTURE_TEST_CASE(slow_target_stays_idle_when_waiting_finishes_sooner, Fixture)
{
    this->announce("fast", 8);
    this->provideSamples("fast", 100ms, 200);
    std::vector<Grant> held;
    for (int i = 0; i < 8; ++i) {
        this->sendRequest(this->makeRequest());
        held.push_back(this->takeGrant());
    }
    // The dispatcher learns the speed of the slow target while the fast one is full.
    this->announce("slow", 1);
    for (int i = 0; i < 400 && (i < 60 || !this->grants.empty()); ++i) {
        for (int waiting = 0; waiting < 20 && this->grants.empty(); ++waiting)
            this->sendRequest(this->makeRequest());
        if (this->grants.empty())
            break;
        auto grant = this->takeGrant();
        BOOST_REQUIRE(grant.target == "slow");
        this->release(grant, WorkResult::Succeeded, 4000ms);
    }
    BOOST_TEST(this->grants.empty());
    BOOST_TEST(this->dispatcher.waitingGrantCount() > 0U);
    // The fast target serves all waiting requests, and the slow one stays idle.
    while (!held.empty()) {
        this->release(held.back());
        held.pop_back();
        while (!this->grants.empty()) {
            held.push_back(this->takeGrant());
            BOOST_TEST(held.back().target == "fast");
        }
    }
    BOOST_TEST(this->dispatcher.waitingGrantCount() == 0U);
}

BOOST_FIXTURE_TEST_CASE(request_does_not_wait_for_targets_that_cannot_run_it, Fixture)
{
    this->announce("fast", 8);
    this->provideSamples("fast", 100ms, 200);
    // Only the slow target has an accelerator, so it gets every request even after its speed is known.
    Membership::TargetReport report;
    report.identity = "slow";
    report.incarnation = "1";
    report.pool = "pool";
    report.capacity = { 8000, 0, 1 };
    this->dispatcher.updateTarget(report, this->clock.now());
    auto request = this->makeRequest();
    request.needs = { 1000, 0, 1 };
    for (int i = 0; i < 60; ++i) {
        request.id.number = this->nextRequest++;
        this->sendRequest(request);
        auto grant = this->takeGrant();
        BOOST_TEST(grant.target == "slow");
        this->release(grant, WorkResult::Succeeded, 4000ms);
    }
}

BOOST_FIXTURE_TEST_CASE(urgent_requests_go_first, Fixture)
{
    this->announce("x");
    this->sendRequest(this->makeRequest());
    auto background = this->makeRequest();
    background.priority = Catalog::Priority::Background;
    auto urgent = this->makeRequest();
    urgent.priority = Catalog::Priority::Urgent;
    this->sendRequest(background);
    this->sendRequest(urgent);
    this->release(this->takeGrant());
    BOOST_TEST(this->takeGrant().request.number == urgent.id.number);
}

BOOST_FIXTURE_TEST_CASE(teams_share_targets_by_weight, Fixture)
{
    this->announce("x", 4);
    this->provideSamples("x", 100ms);
    for (int i = 0; i < 300; ++i) {
        this->sendRequest(this->makeRequest("light"));
        auto heavy = this->makeRequest("heavy");
        heavy.teamWeight = 3;
        this->sendRequest(heavy);
    }
    int heavyGrants = 0;
    for (int i = 0; i < 200; ++i) {
        auto grant = this->takeGrant();
        // provideSamples() uses the request numbers 1 to 30, so the light team has the odd numbers after them.
        heavyGrants += grant.request.number % 2 == 0;
        this->release(grant);
    }
    BOOST_TEST(heavyGrants > 140);
    BOOST_TEST(heavyGrants < 160);
}

BOOST_FIXTURE_TEST_CASE(team_at_its_limit_is_throttled_alone, Fixture)
{
    this->announce("x", 8);
    this->provideSamples("x", 100ms);
    for (int i = 0; i < 5; ++i) {
        auto request = this->makeRequest("greedy");
        request.teamLimit = 2;
        this->sendRequest(request);
    }
    BOOST_TEST(this->grants.size() == 2U);
    this->sendRequest(this->makeRequest("modest"));
    BOOST_TEST(this->grants.size() == 3U);
    this->release(this->takeGrant());
    BOOST_TEST(this->grants.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(request_is_refused_if_its_expected_wait_exceeds_the_deadline, Fixture)
{
    this->announce("x");
    this->provideSamples("x", 1000ms);
    for (int i = 0; i < 5; ++i)
        this->sendRequest(this->makeRequest());
    auto impatient = this->makeRequest();
    impatient.waitLimit = 500;
    this->sendRequest(impatient);
    BOOST_REQUIRE(this->refusals.size() == 1U);
    BOOST_TEST((this->refusals.front().reason == Reason::Overloaded));
    BOOST_TEST(this->refusals.front().retryAfter > 0);
}

BOOST_FIXTURE_TEST_CASE(waiting_request_is_refused_at_its_deadline, Fixture)
{
    this->announce("x");
    this->sendRequest(this->makeRequest());
    auto late = this->makeRequest();
    late.waitLimit = 300;
    this->sendRequest(late);
    this->tick(299ms);
    BOOST_TEST(this->refusals.empty());
    this->tick(1ms);
    BOOST_TEST((this->refusals.front().reason == Reason::DeadlineExceeded));
    BOOST_TEST(this->dispatcher.waitingGrantCount() == 0U);
}

BOOST_FIXTURE_TEST_CASE(needs_that_no_target_can_meet_are_refused, Fixture)
{
    this->announce("x", 4);
    this->clock.advance(3000ms);
    this->announce("x", 4);
    auto request = this->makeRequest();
    request.needs = { 8000, 0, 0 };
    this->sendRequest(request);
    BOOST_TEST((this->refusals.front().reason == Reason::CannotRun));
    BOOST_TEST(this->refusals.front().detail.find("pool") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(queue_limit_is_enforced, Fixture)
{
    this->announce("x");
    for (int i = 0; i < 10; ++i) {
        auto request = this->makeRequest();
        request.queueLimit = 3;
        this->sendRequest(request);
    }
    BOOST_TEST(this->dispatcher.waitingGrantCount() == 3U);
    BOOST_TEST(this->refusals.size() == 6U);
}

BOOST_FIXTURE_TEST_CASE(ten_thousand_cancellations_take_less_than_ten_milliseconds, Fixture)
{
    this->announce("x");
    for (int i = 0; i < 10'001; ++i)
        this->sendRequest(this->makeRequest());
    auto start = std::chrono::steady_clock::now();
    for (uint64_t number = 2; number <= 10'001; ++number)
        this->dispatcher.cancel({ "entry", number });
    auto elapsed = std::chrono::steady_clock::now() - start;
    BOOST_TEST(this->dispatcher.waitingGrantCount() == 0U);
    BOOST_TEST(toMilliseconds(elapsed) < 10);
}

BOOST_FIXTURE_TEST_CASE(grants_of_a_lost_entry_host_are_reclaimed, Fixture)
{
    this->announce("x");
    this->sendRequest(this->makeRequest());
    auto held = this->takeGrant();
    this->sendRequest(this->makeRequest());
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

BOOST_FIXTURE_TEST_CASE(new_dispatcher_adopts_grants_that_entry_hosts_hold, Fixture)
{
    this->announce("x");
    Grant held { { "entry", 1 }, "former", 77, "x", "1", "" };
    this->dispatcher.renewGrants({ held }, {}, "pool", this->clock.now());
    this->sendRequest(this->makeRequest());
    BOOST_TEST(this->grants.empty());
    this->release(held);
    BOOST_TEST(this->grants.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(resent_request_is_not_granted_twice, Fixture)
{
    this->announce("x");
    this->sendRequest(this->makeRequest());
    auto waiting = this->makeRequest();
    this->sendRequest(waiting);
    this->sendRequest(waiting);
    this->release(this->takeGrant());
    this->release(this->takeGrant());
    BOOST_TEST(this->grants.empty());
}

BOOST_FIXTURE_TEST_CASE(saturated_domain_hands_over_until_a_request_is_returned, Fixture)
{
    this->announce("x");
    this->sendRequest(this->makeRequest());
    this->dispatcher.updateAvailability({ "b", "pool", 5 }, this->clock.now());
    this->sendRequest(this->makeRequest());
    this->sendRequest(this->makeRequest());
    BOOST_TEST(this->sentToDispatchers.size() == 2U);
    // The other dispatcher returns both requests: they wait here, and are not handed over again immediately.
    this->dispatcher.receiveHandOverResult("b", { { "entry", 2 }, "pool", 1, 3 }, this->clock.now());
    this->dispatcher.receiveHandOverResult("b", { { "entry", 3 }, "pool", 1, 3 }, this->clock.now());
    this->collectCommands();
    BOOST_TEST(this->sentToDispatchers.size() == 2U);
    BOOST_TEST(this->dispatcher.waitingGrantCount() == 2U);
    this->release(this->takeGrant());
    BOOST_TEST(this->takeGrant().request.number == 2U);
}

BOOST_FIXTURE_TEST_CASE(lost_hand_over_returns_to_the_queue, Fixture)
{
    this->announce("x");
    this->sendRequest(this->makeRequest());
    this->dispatcher.updateAvailability({ "b", "pool", 1 }, this->clock.now());
    this->sendRequest(this->makeRequest());
    BOOST_TEST(this->dispatcher.waitingGrantCount() == 0U);
    this->tick(500ms);
    BOOST_TEST(this->dispatcher.waitingGrantCount() == 1U);
}

BOOST_FIXTURE_TEST_CASE(dispatcher_announces_when_free_slots_appear_and_run_out, Fixture)
{
    this->announce("fast", 1);
    this->provideSamples("fast", 100ms);
    this->availabilities.clear();
    this->sendRequest(this->makeRequest());
    auto held = this->takeGrant();
    BOOST_TEST(this->availabilities.size() == 1U);
    BOOST_TEST(this->availabilities.back().free == 0U);
    this->release(held);
    BOOST_TEST(this->availabilities.back().free == 1U);
}

BOOST_AUTO_TEST_CASE(retries_are_limited_to_a_share_of_successes)
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
