#include <LibDurableState/DurableState.h>
#include <LibDurableState/EvacuationView.h>
#include <LibTransport/Codec.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::DurableState;
using namespace std::chrono_literals;

namespace {

using Domains = std::set<std::string>;
using Status = EvacuationStatus;

struct Fixture {
    Sassafrasshift::DurableState::DurableState state { std::chrono::hours(1), {} };

    Status apply(const std::string& domain, bool isWithdrawn, uint64_t knownRevision)
    {
        auto result = Transport::decodeValue<EvacuationResult>(this->state.apply(1, Transport::encodeValue(Command(EvacuateCommand { domain, isWithdrawn, knownRevision }))));
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST((result->evacuated == this->state.evacuated()));
        return result->status;
    }

    Status evacuate(const std::string& domain) { return this->apply(domain, false, this->state.evacuated().revision); }
    Status withdraw(const std::string& domain) { return this->apply(domain, true, this->state.evacuated().revision); }
};

}

// A caller that got no response, since the leader was lost after it had stored the command, calls again on another host.
BOOST_FIXTURE_TEST_CASE(call_that_is_made_again_is_accepted_and_changes_nothing, Fixture)
{
    for (int call = 0; call < 2; ++call)
        BOOST_TEST((this->apply("north", false, 1) == Status::Accepted));
    BOOST_TEST((this->withdraw("south") == Status::Accepted));
    BOOST_TEST((this->state.evacuated() == EvacuatedDomains { 2, { "north" } }));
}

BOOST_FIXTURE_TEST_CASE(late_copy_of_a_command_does_not_undo_a_later_change, Fixture)
{
    this->evacuate("north");
    this->withdraw("north");
    BOOST_TEST((this->apply("north", false, 1) == Status::Outdated));
    BOOST_TEST((this->state.evacuated() == EvacuatedDomains { 3, {} }));
}

BOOST_FIXTURE_TEST_CASE(two_domains_are_evacuated_independently_and_survive_a_restart, Fixture)
{
    this->evacuate("north");
    this->evacuate("south");
    Fixture restarted;
    restarted.state.restore(this->state.save());
    BOOST_TEST((restarted.state.evacuated().domains == Domains { "north", "south" }));
    restarted.withdraw("north");
    BOOST_TEST((restarted.state.evacuated() == EvacuatedDomains { 4, { "south" } }));
}

BOOST_FIXTURE_TEST_CASE(snapshot_of_an_earlier_version_reads_as_no_evacuations, Fixture)
{
    this->evacuate("north");
    auto saved = this->state.save();
    auto unpacked = msgpack::unpack(saved.data(), saved.size());
    auto fields = unpacked.get().as<std::vector<msgpack::object>>();
    fields.pop_back();
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, fields);
    this->state.restore(std::string(buffer.data(), buffer.size()));
    BOOST_TEST((this->state.evacuated() == EvacuatedDomains {}));
    // Nor does the result with which a replica of that version answers the unknown command count as accepted.
    BOOST_TEST(!Transport::decodeValue<EvacuationResult>(Transport::encodeValue(JobUpdateResult { JobStatus::Conflict })).has_value());
}

// Members ignore revisions that are not higher than theirs, so the revisions of a new ledger must not start again below these.
BOOST_FIXTURE_TEST_CASE(revision_of_a_new_ledger_rises_above_that_which_members_have, Fixture)
{
    BOOST_TEST((this->apply("north", true, 7) == Status::Accepted));
    BOOST_TEST(this->state.evacuated().revision == 8U);
}

BOOST_FIXTURE_TEST_CASE(number_of_evacuated_domains_is_bounded, Fixture)
{
    for (size_t index = 0; index < maximumEvacuatedDomains; ++index)
        this->evacuate(std::to_string(index));
    BOOST_TEST((this->evacuate("north") == Status::TooMany));
}

BOOST_AUTO_TEST_CASE(dispatcher_that_has_just_started_waits_for_the_set_of_a_member)
{
    Instant now { 1h };
    EvacuationView view(now);
    BOOST_TEST((view.update({ { "a", 0 }, { "b", 2 } }, now + 1900ms) == "b"));
    (void)view.update({ { "b", 2 } }, now + 10s);
    BOOST_TEST(!view.mayDispatch());
    BOOST_TEST(view.activateIfNewer({ 2, { "north" } }));
    BOOST_TEST(view.mayDispatch());
    BOOST_TEST(!view.activateIfNewer({ 1, {} }));
    BOOST_TEST((view.evacuated().domains == Domains { "north" }));
}

BOOST_AUTO_TEST_CASE(dispatcher_that_knows_no_member_with_a_set_starts_after_two_seconds)
{
    Instant now { 1h };
    EvacuationView view(now);
    (void)view.update({ { "a", 0 } }, now + 1999ms);
    BOOST_TEST(!view.mayDispatch());
    (void)view.update({ { "a", 0 } }, now + 2s);
    BOOST_TEST(view.mayDispatch());
}

// Asking only one member would leave the change out for as long as that one is not reachable.
BOOST_AUTO_TEST_CASE(member_that_missed_a_change_asks_the_members_that_have_it_in_turn)
{
    Instant now { 1h };
    EvacuationView view(now);
    std::vector<EvacuationView::Peer> peers { { "a", 2 }, { "b", 0 }, { "c", 3 } };
    BOOST_TEST((view.update(peers, now) == "a"));
    BOOST_TEST(!view.update(peers, now + 100ms).has_value());
    BOOST_TEST((view.update(peers, now + 200ms) == "c"));
}
