#include <LibScheduler/Dispatcher/HostSurvey.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

static const Instant begin { std::chrono::hours(1) };
static const std::vector<std::string> hosts { "a", "b" };

BOOST_AUTO_TEST_CASE(survey_is_complete_once_every_host_has_answered)
{
    HostSurvey survey;
    survey.begin(hosts);
    BOOST_TEST(survey.takeHostsToAsk(begin) == hosts, boost::test_tools::per_element());
    survey.onAnswer("a", survey.number());
    BOOST_TEST(!survey.isComplete(hosts));
    survey.onAnswer("b", survey.number());
    BOOST_TEST(survey.isComplete(hosts));
}

BOOST_AUTO_TEST_CASE(host_that_has_not_answered_is_asked_again)
{
    HostSurvey survey;
    survey.begin(hosts);
    (void)survey.takeHostsToAsk(begin);
    survey.onAnswer("a", survey.number());
    BOOST_TEST(survey.takeHostsToAsk(begin + 100ms).empty());
    BOOST_TEST(survey.takeHostsToAsk(begin + 300ms) == std::vector<std::string> { "b" }, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(answers_to_an_earlier_survey_are_ignored)
{
    HostSurvey survey;
    survey.begin(hosts);
    auto earlier = survey.number();
    survey.begin(hosts);
    survey.onAnswer("a", earlier);
    survey.onAnswer("b", earlier);
    BOOST_TEST(!survey.isComplete(hosts));
}

BOOST_AUTO_TEST_CASE(survey_does_not_wait_for_a_host_that_is_gone)
{
    HostSurvey survey;
    survey.begin(hosts);
    survey.onAnswer("a", survey.number());
    BOOST_TEST(survey.isComplete({ "a" }));
}
