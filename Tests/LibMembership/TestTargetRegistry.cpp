#include <LibMembership/TargetRegistry.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Membership;
using namespace std::chrono_literals;

using Update = TargetRegistry::Update;

namespace {

struct Fixture {
    Instant now { std::chrono::hours(1) };
    TargetRegistry registry;

    static TargetReport makeReport(uint64_t sequence, const std::string& incarnation = "1", TargetState state = TargetState::Serving)
    {
        TargetReport report;
        report.identity = "target";
        report.incarnation = incarnation;
        report.sequence = sequence;
        report.state = state;
        return report;
    }

    Update update(const TargetReport& report) { return this->registry.update(report, this->now); }
};

}

BOOST_FIXTURE_TEST_CASE(reports_are_told_apart_by_what_they_change, Fixture)
{
    BOOST_TEST((this->update(makeReport(4)) == Update::Changed));
    BOOST_TEST((this->update(makeReport(5)) == Update::Repeated));
    BOOST_TEST((this->update(makeReport(6, "1", TargetState::Leaving)) == Update::Changed));
    BOOST_TEST((this->update(makeReport(5)) == Update::Outdated));
    BOOST_TEST((this->update(makeReport(1, "2")) == Update::Changed));
    BOOST_TEST((this->update(makeReport(7)) == Update::Outdated));
}

// Another host that takes reports may have heard of the target last, and pass its report on after the target has left.
BOOST_FIXTURE_TEST_CASE(report_from_before_the_removal_does_not_bring_a_target_back, Fixture)
{
    this->update(makeReport(4));
    BOOST_TEST(this->registry.remove("target", "1", this->now));
    BOOST_TEST(!this->registry.find("target"));
    BOOST_TEST(this->registry.presentReports().empty());
    this->now += 9s;
    BOOST_TEST((this->update(makeReport(4)) == Update::Outdated));
    BOOST_TEST(!this->registry.find("target"));
}

// One host has told of the end, and another one tells of the target's report only then.
BOOST_FIXTURE_TEST_CASE(report_that_arrives_after_the_removal_of_an_unknown_target_does_not_bring_it_back, Fixture)
{
    BOOST_TEST(this->registry.remove("target", "2", this->now));
    BOOST_TEST((this->update(makeReport(4, "2")) == Update::Outdated));
    BOOST_TEST(!this->registry.find("target"));
    BOOST_TEST(this->registry.presentReports().empty());
    BOOST_TEST((this->update(makeReport(1, "3")) == Update::Changed));
    BOOST_TEST(this->registry.find("target"));
}

BOOST_FIXTURE_TEST_CASE(later_report_brings_a_removed_target_back, Fixture)
{
    this->update(makeReport(4));
    this->registry.remove("target", {}, this->now);
    BOOST_TEST((this->update(makeReport(5)) == Update::Changed));
    BOOST_TEST(this->registry.find("target"));
    this->registry.remove("target", "1", this->now);
    BOOST_TEST((this->update(makeReport(1, "2")) == Update::Changed));
    BOOST_TEST(this->registry.find("target")->incarnation == "2");
}

BOOST_FIXTURE_TEST_CASE(removal_of_an_earlier_incarnation_has_no_effect, Fixture)
{
    this->update(makeReport(1, "2"));
    BOOST_TEST(!this->registry.remove("target", "1", this->now));
    BOOST_TEST(this->registry.find("target"));
}

BOOST_FIXTURE_TEST_CASE(silent_targets_are_forgotten, Fixture)
{
    this->update(makeReport(4));
    this->now += 8s;
    this->registry.forgetSilentTargets(8s, this->now);
    BOOST_TEST(this->registry.find("target"));
    this->now += 1ms;
    this->registry.forgetSilentTargets(8s, this->now);
    BOOST_TEST(this->registry.entries().empty());
}

BOOST_FIXTURE_TEST_CASE(removals_are_forgotten_later, Fixture)
{
    this->update(makeReport(4));
    this->registry.remove("target", "1", this->now);
    this->now += 9s;
    this->registry.forgetSilentTargets(8s, this->now);
    BOOST_TEST(this->registry.entries().size() == 1U);
    this->now += 2s;
    this->registry.forgetSilentTargets(8s, this->now);
    BOOST_TEST(this->registry.entries().empty());
}

// Otherwise each report of a cold target would be passed on to all candidates and to all hosts that take reports.
BOOST_FIXTURE_TEST_CASE(remaining_cold_time_is_no_change_until_it_ends, Fixture)
{
    auto report = makeReport(4);
    report.coldLeftMilliseconds = 900;
    BOOST_TEST((this->update(report) == Update::Changed));
    report.coldLeftMilliseconds = 400;
    BOOST_TEST((this->update(report) == Update::Repeated));
    BOOST_TEST(this->registry.find("target")->coldLeftMilliseconds == 400);
    report.coldLeftMilliseconds = 0;
    BOOST_TEST((this->update(report) == Update::Changed));
}
