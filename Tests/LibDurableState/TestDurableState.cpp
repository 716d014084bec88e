#include <LibDurableState/DurableState.h>
#include <LibTransport/Codec.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::DurableState;

// The time of the first commands in milliseconds since the Unix epoch.
static constexpr int64_t start = 1'000'000'000;
// In milliseconds.
static constexpr int64_t minute = 60'000;

struct Fixture {
    std::vector<uint64_t> published;
    Sassafrasshift::DurableState::DurableState state { std::chrono::hours(1), { [this](const auto& configuration) { this->published.push_back(configuration.version); }, {} } };

    template <typename Result = JobUpdateResult>
    Result apply(const Command& command)
    {
        auto result = Transport::decodeValue<Result>(this->state.apply(1, Transport::encodeValue(command)));
        BOOST_REQUIRE(result.has_value());
        return *result;
    }

    PublishResult publish(const std::string& change, uint64_t base, const std::string& author = "eva")
    {
        return this->apply<PublishResult>(PublishCommand { change, base, author, { { "f", "text of " + change } }, start });
    }

    static AcceptJobCommand makeJob(const std::string& key, int64_t now = start, const std::string& owner = "host")
    {
        AcceptJobCommand command;
        command.key = key;
        command.contentHash = 7;
        command.createdAt = start;
        command.ownerHost = owner;
        command.ownerIncarnation = "1";
        command.arrivedAt = now;
        command.proposedAt = now;
        return command;
    }
};

BOOST_FIXTURE_TEST_CASE(concurrent_publish_conflicts_and_names_the_accepted_change, Fixture)
{
    BOOST_TEST((this->publish("c1", 0, "eva").status == PublishStatus::Accepted));
    auto second = this->publish("c2", 0, "ana");
    BOOST_TEST((second.status == PublishStatus::Conflict));
    BOOST_TEST(second.author == "eva");
    BOOST_TEST(second.changeId == "c1");
    BOOST_TEST(second.version == 1U);
}

BOOST_FIXTURE_TEST_CASE(resent_change_gets_its_first_result, Fixture)
{
    this->publish("c1", 0);
    this->publish("c2", 1);
    BOOST_TEST(this->publish("c1", 0).version == 1U);
    BOOST_TEST((this->publish("c1", 0).status == PublishStatus::Accepted));
    this->publish("c3", 0);
    BOOST_TEST((this->publish("c3", 2).status == PublishStatus::Conflict));
    BOOST_TEST(this->state.configuration().version == 2U);
    BOOST_TEST(this->published.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(same_key_joins_and_different_content_is_refused, Fixture)
{
    BOOST_TEST((this->apply(makeJob("k")).status == JobStatus::Accepted));
    auto again = this->apply(makeJob("k", start, "other"));
    BOOST_TEST((again.status == JobStatus::Joined));
    BOOST_TEST(again.ownerHost == "host");
    auto changed = makeJob("k");
    changed.contentHash = 8;
    BOOST_TEST((this->apply(changed).status == JobStatus::KeyReused));
}

BOOST_FIXTURE_TEST_CASE(key_past_its_retention_is_refused_as_expired, Fixture)
{
    this->apply(makeJob("k"));
    this->apply(RecordOutcomeCommand { "k", 1, {} });
    BOOST_TEST((this->apply(makeJob("k", start + 59 * minute)).status == JobStatus::Joined));
    BOOST_TEST((this->apply(makeJob("k", start + 61 * minute)).status == JobStatus::KeyExpired));
}

BOOST_FIXTURE_TEST_CASE(open_job_is_never_discarded, Fixture)
{
    this->apply(makeJob("k"));
    BOOST_TEST((this->apply(makeJob("k", start + 600 * minute)).status == JobStatus::Joined));
}

BOOST_FIXTURE_TEST_CASE(refusal_applies_to_submissions_in_transit, Fixture)
{
    BOOST_TEST((this->apply(RefuseJobCommand { "k", 7, start, start }).status == JobStatus::Refused));
    BOOST_TEST((this->apply(makeJob("k", start + 9000)).status == JobStatus::Refused));
    // A submission that was in transit for longer than the refusal is remembered is refused because of its age.
    auto late = makeJob("k", start + 30'000);
    late.arrivedAt = start;
    BOOST_TEST((this->apply(late).status == JobStatus::Refused));
    BOOST_TEST((this->apply(makeJob("k", start + 30'000)).status == JobStatus::Accepted));
    // An accepted key can no longer be refused.
    BOOST_TEST((this->apply(RefuseJobCommand { "k", 7, start, start + 30'000 }).status == JobStatus::Joined));
}

BOOST_FIXTURE_TEST_CASE(former_owner_is_fenced, Fixture)
{
    this->apply(makeJob("k"));
    BOOST_TEST((this->apply(TakeOverCommand { "k", 1, "other", "2" }).status == JobStatus::Done));
    BOOST_TEST((this->apply(RecordIntentsCommand { "k", 1, { { 0, 1, "w", "i", "a" } } }).status == JobStatus::Fenced));
    BOOST_TEST((this->apply(RecordOutcomeCommand { "k", 1, {} }).status == JobStatus::Fenced));
    BOOST_TEST((this->apply(TakeOverCommand { "k", 1, "third", "3" }).status == JobStatus::Fenced));
    BOOST_TEST((this->apply(RecordOutcomeCommand { "k", 2, {} }).status == JobStatus::Done));
}

BOOST_FIXTURE_TEST_CASE(attempts_must_be_consecutive, Fixture)
{
    this->apply(makeJob("k"));
    Intent first { 0, 1, "w", "i", "a" };
    BOOST_TEST((this->apply(RecordIntentsCommand { "k", 1, { first } }).status == JobStatus::Done));
    BOOST_TEST((this->apply(RecordIntentsCommand { "k", 1, { first } }).status == JobStatus::Done));
    BOOST_TEST((this->apply(RecordIntentsCommand { "k", 1, { { 0, 1, "other", "i", "a" } } }).status == JobStatus::Conflict));
    BOOST_TEST((this->apply(RecordIntentsCommand { "k", 1, { { 0, 3, "other", "i", "a" } } }).status == JobStatus::Conflict));
    BOOST_TEST((this->apply(RecordIntentsCommand { "k", 1, { { 0, 2, "other", "i", "a" } } }).status == JobStatus::Done));
}

BOOST_FIXTURE_TEST_CASE(outcome_is_recorded_once, Fixture)
{
    this->apply(makeJob("k"));
    JobOutcome complete { JobResult::Complete, Verdict::Ran, "", "", { "x" } };
    this->apply(RecordOutcomeCommand { "k", 1, complete });
    BOOST_TEST((this->apply(RecordOutcomeCommand { "k", 1, complete }).status == JobStatus::Done));
    BOOST_TEST((this->apply(RecordOutcomeCommand { "k", 1, {} }).status == JobStatus::Conflict));
    BOOST_TEST((this->state.findJob("k")->outcome.result == JobResult::Complete));
    BOOST_TEST(this->state.openJobs().empty());
}

BOOST_FIXTURE_TEST_CASE(saved_state_is_restored_completely, Fixture)
{
    this->publish("c1", 0);
    this->apply(makeJob("k"));
    this->apply(RefuseJobCommand { "r", 7, start, start });
    Fixture other;
    other.state.restore(this->state.save());
    BOOST_TEST(other.state.save() == this->state.save());
    BOOST_TEST(other.published.size() == 1U);
    BOOST_TEST((other.publish("c1", 0).status == PublishStatus::Accepted));
}

BOOST_FIXTURE_TEST_CASE(undecodable_command_changes_nothing, Fixture)
{
    auto before = this->state.save();
    this->state.apply(1, "\xff garbage");
    BOOST_TEST(this->state.save() == before);
}
