#include <LibLedger/ProposalQueue.h>
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Ledger;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    Instant now { std::chrono::hours(1) };
    ProposalQueue queue { { 400ms, 2, false } };
    std::optional<ErrorOr<std::string>> result;

    void add()
    {
        this->queue.add(
            "command", 1s, [this](auto outcome) { this->result = std::move(outcome); }, this->now);
    }
};

}

BOOST_FIXTURE_TEST_CASE(command_is_resent_to_the_leader_until_confirmed, Fixture)
{
    this->add();
    BOOST_TEST(this->queue.takeDue("", this->now).empty());
    auto sent = this->queue.takeDue("a", this->now);
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(!sent.at(0).isResend);
    BOOST_TEST(this->queue.takeDue("a", this->now + 300ms).empty());
    BOOST_TEST(this->queue.takeDue("a", this->now + 400ms).at(0).isResend);
    this->queue.onResult(sent.at(0).number, "done");
    BOOST_TEST(this->result->value() == "done");
    BOOST_TEST(this->queue.takeDue("a", this->now + 2s).empty());
}

BOOST_FIXTURE_TEST_CASE(command_is_sent_to_a_new_leader_immediately, Fixture)
{
    this->add();
    (void)this->queue.takeDue("a", this->now);
    BOOST_TEST(this->queue.takeDue("b", this->now).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(command_is_retried_shortly_after_not_leader, Fixture)
{
    this->add();
    auto number = this->queue.takeDue("a", this->now).at(0).number;
    this->queue.onFailure("a", number, Error::notRun(Reason::NotLeader, ""), this->now);
    BOOST_TEST(this->queue.takeDue("a", this->now + 20ms).empty());
    BOOST_TEST(this->queue.takeDue("a", this->now + 50ms).size() == 1U);
    // A late response from a host that the command was not last sent to has no effect.
    this->queue.onFailure("b", number, Error::notRun(Reason::NotLeader, ""), this->now + 50ms);
    BOOST_TEST(this->queue.takeDue("a", this->now + 150ms).empty());
    BOOST_TEST(!this->result);
}

BOOST_FIXTURE_TEST_CASE(failed_command_is_reported_with_its_verdict, Fixture)
{
    this->add();
    auto number = this->queue.takeDue("a", this->now).at(0).number;
    this->queue.onFailure("a", number, Error::mayHaveRun(Reason::NoQuorum, ""), this->now);
    BOOST_TEST((this->result->error().verdict == Verdict::MayHaveRun));
}

BOOST_FIXTURE_TEST_CASE(expired_command_has_not_run_only_if_it_was_never_sent, Fixture)
{
    this->add();
    this->queue.expire(this->now + 1s);
    BOOST_TEST((this->result->error().verdict == Verdict::NotRun));
    this->add();
    (void)this->queue.takeDue("a", this->now);
    this->queue.expire(this->now + 1s);
    BOOST_TEST((this->result->error().verdict == Verdict::MayHaveRun));
}

BOOST_FIXTURE_TEST_CASE(commands_beyond_the_queue_limit_are_refused, Fixture)
{
    this->add();
    this->add();
    this->add();
    BOOST_TEST((this->result->error().reason == Reason::Overloaded));
}
