#include <LibDurableState/DurableState.h>
#include <LibDurableState/EvacuationView.h>
#include <LibTransport/Codec.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::DurableState;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    Sassafrasshift::DurableState::DurableState state { std::chrono::hours(1), {} };

    EvacuationResult apply(const EvacuateCommand& command)
    {
        auto result = Transport::decodeValue<EvacuationResult>(this->state.apply(1, Transport::encodeValue(Command(command))));
        BOOST_REQUIRE(result.has_value());
        return *result;
    }

    EvacuationStatus evacuate(const std::string& domain) { return this->apply({ domain, false, this->state.evacuated().revision }).status; }
    EvacuationStatus withdraw(const std::string& domain) { return this->apply({ domain, true, this->state.evacuated().revision }).status; }
};

using Domains = std::set<std::string>;

}

// A caller that got no response calls again, possibly through a host whose leader is another one.
BOOST_FIXTURE_TEST_CASE(call_that_is_made_again_is_accepted_and_changes_nothing, Fixture)
{
    EvacuateCommand command { "north", false, 1 };
    auto first = this->apply(command);
    BOOST_TEST((first.status == EvacuationStatus::Accepted));
    BOOST_TEST((this->apply(command) == first));
    BOOST_TEST((this->withdraw("south") == EvacuationStatus::Accepted));
    BOOST_TEST(this->state.evacuated().revision == 2U);
}

BOOST_FIXTURE_TEST_CASE(late_copy_of_a_command_does_not_undo_a_later_change, Fixture)
{
    this->evacuate("north");
    this->withdraw("north");
    auto late = this->apply({ "north", false, 1 });
    BOOST_TEST((late.status == EvacuationStatus::Outdated));
    BOOST_TEST(this->state.evacuated().domains.empty());
    // The proposer of a command that is still wanted proposes it again with the revision from this result.
    BOOST_TEST((this->apply({ "north", false, late.evacuated.revision }).status == EvacuationStatus::Accepted));
}

BOOST_FIXTURE_TEST_CASE(several_domains_are_evacuated_and_withdrawn_independently, Fixture)
{
    this->evacuate("north");
    this->evacuate("south");
    BOOST_TEST((this->state.evacuated().domains == Domains { "north", "south" }));
    this->withdraw("north");
    BOOST_TEST((this->state.evacuated().domains == Domains { "south" }));
    BOOST_TEST(this->state.evacuated().revision == 4U);
}

BOOST_FIXTURE_TEST_CASE(evacuations_survive_a_restart_from_a_snapshot, Fixture)
{
    this->evacuate("north");
    Fixture restarted;
    restarted.state.restore(this->state.save());
    BOOST_TEST((restarted.state.evacuated() == this->state.evacuated()));
}

BOOST_FIXTURE_TEST_CASE(snapshot_of_an_earlier_version_reads_as_no_evacuations, Fixture)
{
    auto unpacked = msgpack::unpack(this->state.save().data(), this->state.save().size());
    auto fields = unpacked.get().as<std::vector<msgpack::object>>();
    fields.pop_back();
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, fields);
    std::string earlier(buffer.data(), buffer.size());
    this->evacuate("north");
    BOOST_REQUIRE(this->state.canRestore(earlier));
    this->state.restore(earlier);
    BOOST_TEST((this->state.evacuated() == EvacuatedDomains {}));
}

// Members ignore revisions that are not higher than theirs, so the revisions of a new ledger must not start again below these.
BOOST_FIXTURE_TEST_CASE(revision_of_a_new_ledger_rises_above_that_which_members_have, Fixture)
{
    BOOST_TEST((this->apply({ "north", true, 7 }).status == EvacuationStatus::Accepted));
    BOOST_TEST(this->state.evacuated().revision == 8U);
}

// A replica of an earlier version answers the unknown command with the result of another one, which must not count as accepted.
BOOST_AUTO_TEST_CASE(result_of_a_replica_of_an_earlier_version_is_no_acceptance)
{
    BOOST_TEST(!Transport::decodeValue<EvacuationResult>(Transport::encodeValue(JobUpdateResult { JobStatus::Conflict })).has_value());
}

BOOST_FIXTURE_TEST_CASE(number_of_evacuated_domains_is_bounded, Fixture)
{
    for (size_t index = 0; index < maximumEvacuatedDomains; ++index)
        this->evacuate(std::to_string(index));
    BOOST_TEST((this->evacuate("north") == EvacuationStatus::TooMany));
    BOOST_TEST((this->evacuate("0") == EvacuationStatus::Accepted));
}

BOOST_AUTO_TEST_CASE(lower_revision_never_replaces_a_higher_one)
{
    EvacuationView view(Instant {});
    BOOST_TEST(view.activateIfNewer({ 3, { "north" } }));
    BOOST_TEST(!view.activateIfNewer({ 2, {} }));
    BOOST_TEST(!view.activateIfNewer({ 3, {} }));
    BOOST_TEST((view.evacuated().domains == Domains { "north" }));
}

BOOST_AUTO_TEST_CASE(dispatcher_that_has_just_started_waits_for_the_set_of_a_member)
{
    Instant now { 1h };
    EvacuationView view(now);
    BOOST_TEST(!view.mayDispatch());
    now += 1900ms;
    BOOST_TEST((view.update({ { "a", 0 }, { "b", 2 } }, now) == "b"));
    now += 10s;
    (void)view.update({ { "b", 2 } }, now);
    BOOST_TEST(!view.mayDispatch());
    BOOST_TEST(view.activateIfNewer({ 2, { "north" } }));
    BOOST_TEST(view.mayDispatch());
}

BOOST_AUTO_TEST_CASE(dispatcher_that_knows_no_member_with_a_set_starts_after_two_seconds)
{
    Instant now { 1h };
    EvacuationView view(now);
    (void)view.update({ { "a", 0 } }, now + 1999ms);
    BOOST_TEST(!view.mayDispatch());
    (void)view.update({ { "a", 0 } }, now + 2s);
    BOOST_TEST(view.mayDispatch());
    // A ledger that returns later still has its set put in force.
    BOOST_TEST((view.update({ { "a", 1 } }, now + 3s) == "a"));
}

// Asking only one member would leave the change out for as long as that one is not reachable.
BOOST_AUTO_TEST_CASE(member_that_missed_a_change_asks_the_members_that_have_it_in_turn)
{
    Instant now { 1h };
    EvacuationView view(now);
    BOOST_TEST(view.activateIfNewer({ 1, {} }));
    std::vector<EvacuationView::Peer> peers { { "a", 2 }, { "b", 1 }, { "c", 3 } };
    BOOST_TEST((view.update(peers, now) == "a"));
    BOOST_TEST(!view.update(peers, now + 100ms).has_value());
    BOOST_TEST((view.update(peers, now + 200ms) == "c"));
    BOOST_TEST(view.activateIfNewer({ 3, { "north" } }));
    BOOST_TEST(!view.update(peers, now + 1s).has_value());
}
