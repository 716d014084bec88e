#include <LibTrace/Checker.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift::Trace;

// The time of the next event, in microseconds since the Unix epoch.
static int64_t nextTime = 1;

static Event makeEvent(std::string name, std::map<std::string, std::string, std::less<>> fields, std::string process = "p")
{
    return Event { nextTime++, 0, std::move(process), std::move(name), std::move(fields) };
}

static Event sent(const std::string& id, const std::string& kind = "job", const std::string& tasks = "1")
{
    return makeEvent("client-sent", { { "id", id }, { "kind", kind }, { "tasks", tasks }, { "idempotent", "false" } });
}

static Event answered(const std::string& id, const std::string& result, const std::string& verdict)
{
    return makeEvent("client-answered", { { "id", id }, { "result", result }, { "verdict", verdict }, { "own", "true" } });
}

static Event started(const std::string& job, const std::string& task = "0", const std::string& target = "w")
{
    return makeEvent("task-started", { { "job", job }, { "task", task }, { "target", target } });
}

BOOST_AUTO_TEST_CASE(valid_trace_has_no_violations)
{
    auto findings = checkEvents({ sent("a"), started("a"), answered("a", "complete", "ran"), sent("b"), answered("b", "refused", "not-run") });
    BOOST_TEST(findings.hasNoViolations());
    BOOST_TEST(findings.jobsComplete == 1U);
    BOOST_TEST(findings.refusedNotRun == 1U);
}

BOOST_AUTO_TEST_CASE(repeated_start_is_detected)
{
    BOOST_TEST(checkEvents({ sent("a"), started("a"), started("a"), answered("a", "complete", "ran") }).startedTwice == 1U);
}

BOOST_AUTO_TEST_CASE(start_before_or_after_a_not_run_verdict_is_detected)
{
    BOOST_TEST(checkEvents({ sent("a"), started("a"), answered("a", "refused", "not-run") }).falseNotRun == 1U);
    BOOST_TEST(checkEvents({ sent("a"), answered("a", "refused", "not-run"), started("a") }).falseNotRun == 1U);
    // A submission that is sent again after the refusal may run.
    BOOST_TEST(checkEvents({ sent("a"), answered("a", "refused", "not-run"), sent("a"), started("a"), answered("a", "complete", "ran") }).hasNoViolations());
}

BOOST_AUTO_TEST_CASE(missing_answer_is_detected)
{
    BOOST_TEST(checkEvents({ sent("a"), sent("a"), started("a"), answered("a", "complete", "ran") }).lost == 1U);
}

BOOST_AUTO_TEST_CASE(complete_job_with_unstarted_tasks_is_partial)
{
    BOOST_TEST(checkEvents({ sent("a", "job", "2"), started("a", "0"), answered("a", "complete", "ran") }).partial == 1U);
}

BOOST_AUTO_TEST_CASE(answer_to_wrong_caller_is_detected)
{
    auto wrong = answered("a", "complete", "ran");
    wrong.fields["own"] = "false";
    BOOST_TEST(checkEvents({ sent("a"), started("a"), wrong }).wrongCaller == 1U);
}

BOOST_AUTO_TEST_CASE(configuration_rollback_is_detected)
{
    auto newer = makeEvent("configuration-in-force", { { "version", "10" } });
    auto older = makeEvent("configuration-in-force", { { "version", "9" } });
    BOOST_TEST(checkEvents({ newer, older }).reverted == 1U);
    auto elsewhere = makeEvent("configuration-in-force", { { "version", "9" } }, "other");
    BOOST_TEST(checkEvents({ newer, elsewhere }).hasNoViolations());
}

BOOST_AUTO_TEST_CASE(work_started_long_after_leaving_is_detected)
{
    auto leaving = makeEvent("target-leaving", { { "target", "w" } });
    auto late = started("a");
    late.wall += 5'000'000;
    auto findings = checkEvents({ sent("a"), leaving, late, answered("a", "complete", "ran") });
    BOOST_TEST(findings.startedAfterLeaving == 1U);
}

BOOST_AUTO_TEST_CASE(truncated_last_line_is_skipped_and_other_malformed_lines_fail)
{
    auto line = toJsonLine(started("a")) + "\n";
    BOOST_TEST(parseEvents(line + line.substr(0, 10))->size() == 1U);
    BOOST_TEST(!parseEvents(line.substr(0, 10) + "\n" + line).has_value());
}
