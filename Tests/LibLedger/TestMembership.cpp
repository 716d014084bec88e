#include <LibLedger/Replica.h>
#include <LibTransport/Codec.h>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Ledger;
using namespace std::chrono_literals;

namespace {

// A replica group with instantaneous storage and a lossless network between the running replicas.
struct Group {
    Instant now { std::chrono::hours(1) };
    std::map<std::string, std::unique_ptr<Replica>> replicas;
    std::deque<Message> network;
    std::vector<MembershipChange> changes;
    size_t toleratedDiskLosses;

    explicit Group(const std::vector<std::string>& names, size_t toleratedDiskLosses = 1)
        : toleratedDiskLosses(toleratedDiskLosses)
    {
        StoredState initialState;
        for (const auto& name : names)
            initialState.snapshot.membership.members.push_back({ name, name, MemberRole::Voter });
        for (const auto& name : names)
            this->start(name, initialState);
    }

    void start(const std::string& name, const StoredState& stored)
    {
        Replica::Options options;
        options.identity = name;
        options.host = name;
        options.lostVoterTimeout = 4s;
        options.toleratedDiskLosses = this->toleratedDiskLosses;
        this->replicas[name] = std::make_unique<Replica>(options, stored, Random(std::hash<std::string> {}(name)), this->now);
    }

    void run(Milliseconds duration)
    {
        for (auto end = this->now + duration; this->now < end; this->now += 5ms) {
            for (auto& [name, replica] : this->replicas) {
                replica->tick(this->now);
                this->processEffects(*replica);
            }
            while (!this->network.empty()) {
                auto message = std::move(this->network.front());
                this->network.pop_front();
                auto position = this->replicas.find(message.toHost);
                if (position == this->replicas.end())
                    continue;
                position->second->receive(message, this->now);
                this->processEffects(*position->second);
            }
        }
    }

    void processEffects(Replica& replica)
    {
        auto effects = replica.takeEffects();
        replica.markStored(effects.ticket);
        this->changes.insert(this->changes.end(), effects.membershipChanges.begin(), effects.membershipChanges.end());
        for (const auto* messages : { &effects.immediateMessages, &effects.messagesAfterStore })
            this->network.insert(this->network.end(), messages->begin(), messages->end());
    }

    Replica* leader()
    {
        for (auto& [name, replica] : this->replicas) {
            if (replica->isEstablishedLeader())
                return replica.get();
        }
        return nullptr;
    }
};

}

// Guards against a lost voter that stays in the membership after its successor has become a voter: two of four voters would be
// unreachable after the second loss, so that the group would have no quorum.
BOOST_AUTO_TEST_CASE(two_voters_can_be_replaced_one_after_the_other)
{
    Group group({ "a", "b", "c" });
    group.run(3s);
    for (const auto* lost : { "a", "b" }) {
        group.replicas.erase(lost);
        group.run(2s);
        auto successor = std::string(lost) + "-successor";
        group.start(successor, {});
        for (int i = 0; i < 20; ++i) {
            BOOST_REQUIRE(group.leader());
            group.leader()->requestJoin(successor, successor);
            group.run(500ms);
        }
        BOOST_TEST(group.leader()->membership().voterCount() == 3U);
        BOOST_TEST(!group.leader()->membership().find(lost));
    }
    auto index = group.leader()->propose("command");
    BOOST_REQUIRE(index.has_value());
    group.run(1s);
    BOOST_TEST(group.leader()->commitIndex() >= *index);
}

BOOST_AUTO_TEST_CASE(unreachable_voter_is_kept_at_the_minimum_voter_count)
{
    Group group({ "a", "b", "c" });
    group.run(3s);
    group.replicas.erase(group.replicas.begin()->second->leaderHost() == "a" ? "b" : "a");
    group.run(10s);
    BOOST_REQUIRE(group.leader());
    BOOST_TEST(group.leader()->membership().voterCount() == 3U);
}

// Guards against a learner that sends its join requests, and the commands of its operators, to a former leader for good: it does
// not stand for election, so that nothing else clears the leader.
BOOST_AUTO_TEST_CASE(learner_does_not_name_a_silent_leader)
{
    Group group({ "a", "b", "c" });
    group.run(3s);
    BOOST_REQUIRE(group.leader());
    auto former = group.leader()->leaderHost();
    StoredState stored;
    stored.snapshot.membership = group.leader()->membership().with(Member { "d", "d", MemberRole::Learner });
    group.start("d", stored);
    group.replicas.at("d")->receive(Message { 0, former, former, "d", "d", AppendRequest { 1, 0, 0, 0, {} } }, group.now);
    BOOST_TEST(group.replicas.at("d")->leaderHost() == former);
    group.run(2s);
    BOOST_TEST(group.replicas.at("d")->leaderHost() == "");
}

// Guards against a leader that has removed itself, and is lost before any other replica has stored that: the others need its vote, but
// its log is longer than theirs, and it would not stand for election itself.
BOOST_AUTO_TEST_CASE(replica_whose_own_removal_is_not_committed_can_be_elected)
{
    Membership four;
    for (const auto* name : { "a", "b", "c", "d" })
        four.members.push_back({ name, name, MemberRole::Voter });
    StoredState stored;
    stored.snapshot.membership = four;
    stored.hardState = HardState { 1, "a" };
    stored.entries = { Entry { 1, 1, EntryKind::Membership, Transport::encodeValue(four) } };
    Group group({});
    group.start("b", stored);
    group.start("c", stored);
    stored.entries.push_back(Entry { 1, 2, EntryKind::Membership, Transport::encodeValue(four.without("a")) });
    group.start("a", stored);
    group.run(5s);
    BOOST_REQUIRE(group.leader());
    BOOST_TEST(!group.leader()->membership().find("a"));
    auto index = group.leader()->propose("command");
    BOOST_REQUIRE(index.has_value());
    group.run(1s);
    BOOST_REQUIRE(group.leader());
    BOOST_TEST(group.leader()->commitIndex() >= *index);
}

// Guards against a voter that is gone for good, and stays one, because another one that is only down for a while was removed instead:
// the group may not shrink further then. Neither the order of the silence nor that of the names tells which one is gone.
static void checkThatTheVoterThatReturnsIsKept(bool isGoneFirst)
{
    // Members are listed by name, so that the one that is only down comes first.
    Group group({ "a", "b", "c", "d", "e" }, 2);
    group.run(3s);
    BOOST_REQUIRE(group.leader());
    auto leader = group.leader()->leaderHost();
    std::vector<std::string> others { "a", "b", "c", "d", "e" };
    std::erase(others, leader);
    auto down = others.front();
    auto gone = others.back();
    auto stopped = std::move(group.replicas.extract(isGoneFirst ? gone : down).mapped());
    group.run(1s);
    if (isGoneFirst)
        stopped = std::move(group.replicas.extract(down).mapped());
    else
        group.replicas.erase(gone);
    group.run(5s);
    BOOST_REQUIRE(group.leader());
    BOOST_REQUIRE(group.leader()->leaderHost() == leader);
    BOOST_TEST(group.leader()->membership().voterCount() == 5U);
    group.start("successor", {});
    group.leader()->requestJoin("successor", "successor");
    group.run(2s);
    BOOST_REQUIRE(group.leader());
    BOOST_TEST(group.leader()->membership().isVoter("successor"));
    BOOST_TEST(group.leader()->membership().isVoter(down));
    BOOST_TEST(group.leader()->membership().voterCount() == 6U);
    group.replicas[down] = std::move(stopped);
    group.run(5s);
    BOOST_REQUIRE(group.leader());
    BOOST_TEST(group.leader()->membership().isVoter(down));
    BOOST_TEST(!group.leader()->membership().isVoter(gone));
    BOOST_TEST(group.leader()->membership().voterCount() == 5U);
}

BOOST_AUTO_TEST_CASE(voter_that_returns_is_kept_beside_one_that_went_silent_before_it)
{
    checkThatTheVoterThatReturnsIsKept(true);
}

BOOST_AUTO_TEST_CASE(voter_that_returns_is_kept_beside_one_that_went_silent_after_it)
{
    checkThatTheVoterThatReturnsIsKept(false);
}

// Guards against a voter that is gone for good, and stays one for longer than needed: where several can be removed, the one that has been
// silent for longest goes first.
BOOST_AUTO_TEST_CASE(voter_that_was_silent_for_longer_is_removed_first)
{
    Group group({ "a", "b", "c", "d", "e", "f", "g" }, 2);
    group.run(3s);
    BOOST_REQUIRE(group.leader());
    std::vector<std::string> others { "a", "b", "c", "d", "e", "f", "g" };
    std::erase(others, group.leader()->leaderHost());
    auto silentForShorter = others.front();
    auto silentForLonger = others.back();
    group.changes.clear();
    group.replicas.erase(silentForLonger);
    group.run(1s);
    group.replicas.erase(silentForShorter);
    group.run(7s);
    std::vector<std::string> removed;
    for (const auto& change : group.changes) {
        if (change.kind == MembershipChangeKind::Silence)
            removed.push_back(change.identity);
    }
    BOOST_TEST((removed == std::vector<std::string> { silentForLonger, silentForShorter }));
}

// Guards against a new leader that takes voters which it has not heard for reachable, and lets another one go that the group needs.
BOOST_AUTO_TEST_CASE(new_leader_lets_no_voter_leave_on_the_strength_of_voters_that_it_has_not_heard)
{
    Group group({ "a", "b", "c", "d", "e", "f" }, 2);
    group.run(3s);
    BOOST_REQUIRE(group.leader());
    std::vector<std::string> others { "a", "b", "c", "d", "e", "f" };
    std::erase(others, group.leader()->leaderHost());
    group.replicas.erase(group.leader()->leaderHost());
    group.replicas.erase(others.front());
    while (!group.leader())
        group.run(5ms);
    auto leaving = group.leader()->leaderHost() == others.back() ? others[1] : others.back();
    auto outcome = group.leader()->requestLeave(leaving);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((*outcome == LeaveOutcome::Pending));
    group.run(100ms);
    BOOST_REQUIRE(group.leader());
    BOOST_TEST(group.leader()->membership().isVoter(leaving));
}

BOOST_AUTO_TEST_CASE(leader_reports_what_a_change_does_to_the_voters)
{
    Group group({ "a", "b", "c", "d" });
    group.run(3s);
    BOOST_REQUIRE(group.leader());
    auto lost = group.leader()->leaderHost() == "d" ? "c" : "d";
    group.replicas.erase(lost);
    group.changes.clear();
    group.run(6s);
    BOOST_REQUIRE(group.changes.size() == 2U);
    BOOST_TEST((group.changes.front() == MembershipChange { MembershipChangeKind::Silence, lost, lost, 4, 3, 3, 2, 3 }));
    BOOST_TEST((group.changes.back() == MembershipChange { MembershipChangeKind::Settlement, {}, {}, 3, 2, 3, 2, 3 }));
}
