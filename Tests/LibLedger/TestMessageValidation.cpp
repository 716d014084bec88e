#include "SimulatedHosts.h"
#include <LibBase/Verify.h>
#include <LibLedger/Replica.h>
#include <LibTransport/Codec.h>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <stdexcept>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Ledger;
using namespace std::chrono_literals;

// A malformed message of another replica must not end a process, nor change what it stores.
namespace {

constexpr auto maximum = std::numeric_limits<uint64_t>::max();

struct Fixture {
    Instant now { std::chrono::hours(1) };
    std::unique_ptr<Replica> replica;

    Fixture()
    {
        setVerificationHandler([](const char* condition, const char*, int) { throw std::logic_error(condition); });
        StoredState stored;
        stored.snapshot.membership.members = { { "a", "host-a", MemberRole::Voter }, { "b", "host-b", MemberRole::Voter }, { "c", "host-c", MemberRole::Voter } };
        Replica::Options options;
        options.identity = "a";
        options.host = "host-a";
        this->replica = std::make_unique<Replica>(options, stored, Random(1), this->now);
        BOOST_REQUIRE(this->receive(append({ { 2, 1, EntryKind::NoOperation, "" }, { 2, 2, EntryKind::Command, "command" } }, 2)));
        this->replica->markStored(this->replica->takeEffects().ticket);
    }

    static AppendRequest append(std::vector<Entry> entries, Index commitIndex = 0)
    {
        return AppendRequest { 2, 0, 0, commitIndex, std::move(entries) };
    }

    bool receive(MessageBody body) { return this->replica->receive(Message { 0, "b", "host-b", "a", "host-a", std::move(body) }, this->now); }

    void checkRefused(const MessageBody& body, const std::string& what)
    {
        auto term = this->replica->term();
        auto commitIndex = this->replica->commitIndex();
        auto lastIndex = this->replica->lastIndex();
        bool isAccepted = true;
        BOOST_CHECK_NO_THROW(isAccepted = this->receive(body));
        BOOST_TEST(!isAccepted, what);
        auto effects = this->replica->takeEffects();
        BOOST_TEST(effects.operations.empty(), what);
        BOOST_TEST(this->replica->term() == term, what);
        BOOST_TEST(this->replica->commitIndex() == commitIndex, what);
        BOOST_TEST(this->replica->lastIndex() == lastIndex, what);
    }
};

Entry commandAt(Index index, Term term = 2)
{
    return Entry { term, index, EntryKind::Command, "other" };
}

}

BOOST_FIXTURE_TEST_CASE(append_with_odd_entries_is_refused, Fixture)
{
    this->checkRefused(AppendRequest { 2, 2, 2, 2, { commandAt(4) } }, "a gap");
    this->checkRefused(AppendRequest { 2, 2, 2, 2, { commandAt(3), commandAt(3) } }, "an index twice");
    this->checkRefused(AppendRequest { 2, 2, 2, 2, { commandAt(3, 3) } }, "a term above that of the leader");
    this->checkRefused(AppendRequest { 2, 2, 2, 2, { commandAt(3, 1) } }, "a term below that of the entry before");
    this->checkRefused(AppendRequest { 2, 2, 2, 2, { { 2, 3, static_cast<EntryKind>(7), "" } } }, "an unknown kind");
    this->checkRefused(AppendRequest { 2, 2, 2, 2, { { 2, 3, EntryKind::Membership, "garbage" } } }, "an unreadable membership");
    auto membership = Transport::encodeValue(Membership { { { "a", "host-a", static_cast<MemberRole>(7) } } });
    this->checkRefused(AppendRequest { 2, 2, 2, 2, { { 2, 3, EntryKind::Membership, membership } } }, "an unknown role");
    this->checkRefused(append({ { 1, 1, EntryKind::Command, "other" }, commandAt(2) }), "other entries than the committed ones");
}

BOOST_FIXTURE_TEST_CASE(message_with_a_term_or_index_out_of_range_is_refused, Fixture)
{
    this->checkRefused(AppendRequest { maximum, 2, 2, 2, {} }, "append, term");
    this->checkRefused(AppendRequest { 2, maximum, 2, 2, {} }, "append, previous index");
    this->checkRefused(VoteRequest { VoteStage::Vote, maximum, 2, 2 }, "vote request, term");
    this->checkRefused(VoteRequest { static_cast<VoteStage>(7), 3, 2, 2 }, "vote request, stage");
    this->checkRefused(RetirementNotice {}, "retirement notice, identity");
    this->checkRefused(VoteResponse { VoteStage::Vote, maximum, false }, "vote response, term");
    this->checkRefused(AppendResponse { maximum, false, 2 }, "append response, term");
    this->checkRefused(SnapshotRequest { maximum, {} }, "snapshot, term");
    this->checkRefused(SnapshotRequest { 2, Snapshot { maximum, 2, {}, "" } }, "snapshot, index");
    this->checkRefused(SnapshotRequest { 2, Snapshot { 9, 3, {}, "" } }, "snapshot, term of its entry");
}

// A leader takes a response as proof that entries are stored.
BOOST_AUTO_TEST_CASE(response_for_entries_that_do_not_exist_is_refused)
{
    SimulatedHosts hosts(1, 3);
    hosts.runFor(3s);
    auto leader = hosts.leader();
    BOOST_REQUIRE(leader.has_value());
    const auto& replica = hosts.node(*leader).replica();
    auto other = (*leader + 1) % hosts.count();
    const auto& sender = hosts.node(other).replica().identity();
    Message response { 0, sender, "", replica.identity(), "", AppendResponse { replica.term(), true, replica.lastIndex() + 5 } };
    auto refused = hosts.refusedMessages();
    hosts.deliver(*leader, response);
    BOOST_TEST(hosts.refusedMessages() == refused + 1);
    auto outcome = hosts.propose(*leader);
    hosts.runFor(1s);
    BOOST_TEST(outcome->isAccepted());
    BOOST_TEST(hosts.refusedMessages() == refused + 1);
}

BOOST_AUTO_TEST_CASE(snapshot_whose_state_cannot_be_read_is_refused)
{
    SimulatedHosts hosts(1, 3);
    hosts.runFor(3s);
    auto leader = hosts.leader();
    BOOST_REQUIRE(leader.has_value());
    auto receiver = (*leader + 1) % hosts.count();
    const auto& replica = hosts.node(receiver).replica();
    Snapshot snapshot { replica.lastIndex() + 100, replica.term(), replica.membership(), SimulatedHosts::unreadableState };
    Message request { 0, hosts.node(*leader).replica().identity(), "", replica.identity(), "", SnapshotRequest { replica.term(), snapshot } };
    auto lastIndex = replica.lastIndex();
    hosts.deliver(receiver, request);
    BOOST_TEST(hosts.refusedMessages() == 1U);
    BOOST_TEST(hosts.node(receiver).replica().lastIndex() == lastIndex);
}
