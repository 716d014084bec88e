#include <boost/test/unit_test.hpp>
#include <limits>
#include <map>
#include <platform/Decode.h>
#include <platform/Orders.h>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using Transport::HttpResponse;

BOOST_AUTO_TEST_CASE(job_is_decoded_with_its_resource_needs)
{
    auto job = Platform::decodeJob(R"({"spec":"x","best_effort":true,"steps":[{"count":4,"cpu":500,"mem_mb":2,"estimate_ms":900,"data_rack":"r1"}]})");
    BOOST_REQUIRE(job.has_value());
    BOOST_TEST(job->bestEffort);
    BOOST_TEST(job->steps.front().taskCount == 4U);
    BOOST_TEST(job->steps.front().needs.milliCores == 500);
    BOOST_TEST(job->steps.front().needs.memoryBytes == 2 * 1024 * 1024);
    BOOST_TEST(job->steps.front().preferredRack == "r1");
    BOOST_TEST(!job->steps.front().usesUnsupportedFeatures);
}

BOOST_AUTO_TEST_CASE(malformed_jobs_are_refused)
{
    for (const auto* body : { "", "[]", "{", R"({"spec":1,"steps":[{"count":1}]})", R"({"steps":[]})", R"({"steps":[{"count":0}]})", R"({"steps":[{"count":1,"cpu":"much"}]})", R"({"steps":[{"count":1,"cpu":-1}]})", "{\"steps\":[{\"count\":1}],\"spec\":\"\xff\"}" })
        BOOST_TEST(!Platform::decodeJob(body).has_value(), body);
}

BOOST_AUTO_TEST_CASE(unsupported_features_are_detected)
{
    auto job = Platform::decodeJob(R"({"steps":[{"count":1,"gang":true}],"long_running":true,"repeat_count":2})");
    BOOST_REQUIRE(job.has_value());
    BOOST_TEST(job->steps.front().usesUnsupportedFeatures);
    BOOST_TEST(job->longRunning);
    BOOST_TEST(job->repeats);
    BOOST_TEST(!job->bestEffort);
}

BOOST_AUTO_TEST_CASE(configuration_is_decoded_and_invalid_ones_are_refused)
{
    const std::string validBody = R"({"version":7,"routes":[{"name":"r","host":"a.example","path_prefix":"/p/","timeout_ms":1500,"priority":2,"service":"s","max_attempts":4,"stretch":1.6,"target_latency_ms":60}],"services":[{"name":"s"}],"limits":{"max_body_bytes":100,"max_header_bytes":200,"header_timeout_ms":300,"idle_timeout_ms":400}})";
    auto table = Platform::decodeConfiguration(validBody);
    BOOST_REQUIRE(table.has_value());
    BOOST_TEST(table->version() == 7U);
    BOOST_TEST(table->match("a.example", "/p/x")->maximumAttempts == 4);
    BOOST_TEST(table->limits().maximumBodyBytes == 100);
    BOOST_TEST(table->limits().maximumHeaderBytes == 200);
    BOOST_TEST(table->limits().headerTimeoutMilliseconds == 300);
    BOOST_TEST(table->limits().idleTimeoutMilliseconds == 400);
    BOOST_TEST(!Platform::decodeConfiguration(validBody.substr(0, validBody.size() / 2)).has_value());
    for (const auto* body : { R"({"version":"7","routes":[],"services":[]})", R"({"version":7,"routes":{},"services":[]})", R"({"routes":[],"services":[]})", R"({"version":7,"routes":[{"host":"a","path_prefix":"/","timeout_ms":0,"service":"s"}],"services":[{"name":"s"}]})", R"({"version":7,"routes":[{"host":"a","path_prefix":"/","timeout_ms":1,"service":"t"}],"services":[{"name":"s"}]})" })
        BOOST_TEST(!Platform::decodeConfiguration(body).has_value(), body);
}

BOOST_AUTO_TEST_CASE(target_report_is_decoded_and_invalid_ones_are_refused)
{
    const std::string validBody = R"({"service":"s","addr":"10.0.0.9:80","zone":"z","state":"draining","capacity":{"cpu":16000,"mem_mb":1,"gpu":0},"labels":["a","r1"],"sequence":4,"born":1700000000000})";
    auto report = Platform::decodeTargetReport("i-1", validBody);
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST((report->state == Membership::TargetState::Leaving));
    BOOST_TEST(report->kind == "a");
    BOOST_TEST(report->rack == "r1");
    BOOST_TEST(report->incarnation == "1700000000000");
    for (const auto* body : { "", R"({"service":"s"})", R"({"service":"s","addr":"nowhere","zone":"z","state":"ready","capacity":{},"sequence":1})", R"({"service":"s","addr":"10.0.0.9:80","zone":"z","state":"odd","capacity":{},"sequence":1})", R"({"service":"s","addr":"10.0.0.9:80","zone":"z","state":"ready","capacity":7,"sequence":1})" })
        BOOST_TEST(!Platform::decodeTargetReport("i-1", body).has_value(), body);
}

BOOST_AUTO_TEST_CASE(orders_carry_the_task_name_and_the_fencing_token)
{
    StartOrder order { { "i-1", "b", "10.0.0.9:80" }, 7, { { "job", 0, 1, 17 }, 2 }, "text", 486000 };
    auto request = Platform::encodeOrder(order);
    BOOST_TEST(request.target == "/api/run-start");
    BOOST_TEST(Transport::headerValue(request.headers, "expect-instance") == "i-1");
    BOOST_TEST(request.body.find("\"task\":\"job.0.1.17\"") != std::string::npos);
    BOOST_TEST(request.body.find("\"fence\":7") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(answers_to_orders_are_decoded)
{
    BOOST_TEST(std::get<Acknowledged>(Platform::decodeOrderAnswer(HttpResponse { 200, {}, R"({"clock_ms":5})" })).clock == 5);
    auto refusal = [](int status, std::string body) { return std::get<Refused>(Platform::decodeOrderAnswer(HttpResponse { status, {}, std::move(body) })).reason; };
    BOOST_TEST((refusal(409, R"({"reason":"fence"})") == OrderRefusal::Fenced));
    BOOST_TEST((refusal(409, R"({"reason":"old"})") == OrderRefusal::StaleRun));
    BOOST_TEST((refusal(409, R"({"reason":"late"})") == OrderRefusal::LeaseExpired));
    BOOST_TEST((refusal(421, "") == OrderRefusal::OtherIncarnation));
    BOOST_TEST((refusal(503, "") == OrderRefusal::Unhealthy));
    // The target may return a server error after it has carried out the order.
    BOOST_TEST((std::get<Unanswered>(Platform::decodeOrderAnswer(HttpResponse { 500, {}, "" })).verdict == Verdict::MayHaveRun));
    BOOST_TEST((std::get<Unanswered>(Platform::decodeOrderAnswer(tl::unexpected(Error::notRun(Reason::Unreachable, "refused")))).verdict == Verdict::NotRun));
}

BOOST_AUTO_TEST_CASE(response_without_a_defined_meaning_is_not_taken_as_a_refusal)
{
    for (int status : { 204, 302, 404, 408 })
        BOOST_TEST(std::holds_alternative<Unanswered>(Platform::decodeOrderAnswer(HttpResponse { status, {}, "" })), status);
    BOOST_TEST((std::get<Refused>(Platform::decodeOrderAnswer(HttpResponse { 409, {}, R"({"reason":"room"})" })).reason == OrderRefusal::InsufficientCapacity));
    BOOST_TEST((std::get<Refused>(Platform::decodeOrderAnswer(HttpResponse { 400, {}, "" })).reason == OrderRefusal::Malformed));
}

BOOST_AUTO_TEST_CASE(run_lists_are_decoded)
{
    auto answer = Platform::decodeHoldAnswer(HttpResponse { 200, {}, R"({"clock_ms":9,"born":3,"running":[["job.0.0.1",2,"",41]],"ended":[[58,"job.0.0.9",1,"done",""],[59,"job.0.0.8",1,"failed",""]]})" });
    const auto& list = std::get<RunList>(answer);
    BOOST_TEST(list.clock == 9);
    BOOST_TEST(list.incarnation == "3");
    BOOST_TEST((list.running.front() == RunId { { "job", 0, 0, 1 }, 2 }));
    BOOST_TEST(list.progress.at(list.running.front()) == 41);
    BOOST_TEST(list.ended.at(0).sequence == 58U);
    BOOST_TEST((list.ended.at(0).end == RunEnd::Done));
    BOOST_TEST((list.ended.at(1).end == RunEnd::Failed));
    BOOST_TEST(std::holds_alternative<Unanswered>(Platform::decodeHoldAnswer(HttpResponse { 200, {}, R"({"running":7})" })));
}

// The progress is not needed to know which runs there are.
BOOST_AUTO_TEST_CASE(row_with_an_odd_progress_is_a_run_of_unknown_progress)
{
    for (const auto* progress : { R"("41")", "-1", "101", "1e30", "null", "[]", "41.5" }) {
        auto body = std::string(R"({"clock_ms":9,"running":[["job.0.0.1",2,"",)") + progress + R"(]],"ended":[]})";
        auto list = std::get<RunList>(Platform::decodeHoldAnswer(HttpResponse { 200, {}, body }));
        BOOST_TEST(list.isComplete, progress);
        BOOST_TEST(list.running.size() == 1U, progress);
        BOOST_TEST(list.progress.empty(), progress);
    }
}

BOOST_AUTO_TEST_CASE(refusal_with_a_reason_that_is_no_string_ends_no_process)
{
    for (const auto* body : { R"({"reason":7})", R"({"reason":null})", R"({"reason":["fence"]})", R"([])", "\xff" })
        BOOST_TEST((std::get<Refused>(Platform::decodeOrderAnswer(HttpResponse { 409, {}, body })).reason == OrderRefusal::InsufficientCapacity), body);
}

namespace {

std::string nested(size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

// The body of a valid report, in which the value of one member is replaced, or to which the member is added.
std::string reportWith(const std::string& name, const std::string& value)
{
    std::map<std::string, std::string> members { { "service", "\"s\"" }, { "addr", "\"10.0.0.9:80\"" }, { "zone", "\"z\"" }, { "state", "\"ready\"" }, { "sequence", "4" }, { "born", "1700000000000" }, { "capacity", "{}" } };
    members[name] = value;
    std::string body;
    for (const auto& [memberName, memberValue] : members)
        body += (body.empty() ? "{\"" : ",\"") + memberName + "\":" + memberValue;
    return body + "}";
}

Scheduler::HoldAnswer holdAnswer(const std::string& members)
{
    return Platform::decodeHoldAnswer(HttpResponse { 200, {}, "{" + members + "}" });
}

}

BOOST_AUTO_TEST_CASE(clock_out_of_range_does_not_let_all_leases_expire)
{
    BOOST_TEST(std::holds_alternative<RunList>(holdAnswer(R"("clock_ms":9,"running":[],"ended":[])")));
    for (const auto* clock : { "-1", "1e30", "9.5", "18446744073709551615", "9223372036854775807", "1e400", "\"9\"", "null" }) {
        BOOST_TEST(std::holds_alternative<Unanswered>(holdAnswer(std::string(R"("running":[],"ended":[],"clock_ms":)") + clock)), clock);
        BOOST_TEST(std::holds_alternative<Unanswered>(Platform::decodeOrderAnswer(HttpResponse { 200, {}, std::string(R"({"clock_ms":)") + clock + "}" })), clock);
    }
    for (const auto* born : { "-1", "1e30", "18446744073709551615", "\"9\"" })
        BOOST_TEST(std::holds_alternative<Unanswered>(holdAnswer(std::string(R"("clock_ms":9,"running":[],"ended":[],"born":)") + born)), born);
}

// The field is a hint: a target whose report was accepted before must not be lost for it.
BOOST_AUTO_TEST_CASE(remaining_cold_time_is_read_and_an_odd_one_reads_as_zero)
{
    auto coldTime = [](const std::string& value) { return Platform::decodeTargetReport("i-1", reportWith("cold_left_ms", value)).value().coldLeftMilliseconds; };
    BOOST_TEST(coldTime("1500") == 1500);
    BOOST_TEST(coldTime("1500.5") == 1500);
    BOOST_TEST(coldTime("1e30") == 24 * 3'600'000);
    for (const auto* value : { "-1", "\"9\"", "null", "{}" })
        BOOST_TEST(coldTime(value) == 0, value);
}

BOOST_AUTO_TEST_CASE(odd_numbers_in_a_report_refuse_the_report)
{
    BOOST_TEST(Platform::decodeTargetReport("i-1", reportWith("sequence", "4")).has_value());
    for (const auto* value : { "-1", "18446744073709551615", "9223372036854775807", "18446744073709551616", "1e30", "4.5" })
        BOOST_TEST(!Platform::decodeTargetReport("i-1", reportWith("sequence", value)).has_value(), value);
    // Start times are compared as text, so all of them must have the same number of digits.
    for (const auto* value : { "-1", "5", "18446744073709551615", "9223372036854775807", "17000000000000" })
        BOOST_TEST(!Platform::decodeTargetReport("i-1", reportWith("born", value)).has_value(), value);
    for (const auto* value : { "-1", "18446744073709551615", "9223372036854775807", "1e30" }) {
        for (const auto* resource : { "cpu", "mem_mb", "gpu" })
            BOOST_TEST(!Platform::decodeTargetReport("i-1", reportWith("capacity", std::string("{\"") + resource + "\":" + value + "}")).has_value(), std::string(resource) + " " + value);
    }
}

BOOST_AUTO_TEST_CASE(odd_addresses_in_a_report_refuse_the_report)
{
    for (const auto* value : { R"("10.0.0.9:0")", R"("10.0.0.9:65536")", R"("10.0.0.9:-1")", R"("10.0.0.9:+80")", R"(":80")", R"("[::1]:80")", R"("::1:80")", R"(" 10.0.0.9:80")", R"("10.0.0.9 :80")", R"("10.0.0.9:80 ")", R"("10.0.0.9:80/x")", R"("host:80")", R"("10.0.0.9\u0000.example:80")", R"("10.0.0.9:80\u0000")", R"("0.0.0.0:80")", R"("255.255.255.255:80")", R"("224.0.0.1:80")", "7", "null" })
        BOOST_TEST(!Platform::decodeTargetReport("i-1", reportWith("addr", value)).has_value(), value);
}

BOOST_AUTO_TEST_CASE(deeply_nested_or_huge_documents_are_refused)
{
    static constexpr size_t levels = 100'000;
    BOOST_TEST(!Platform::decodeTargetReport("i-1", reportWith("extra", nested(levels))).has_value());
    BOOST_TEST(!Platform::decodeTargetReport("i-1", reportWith("extra", "\"" + std::string(1'000'000, 'x') + "\"")).has_value());
    BOOST_TEST(!Platform::decodeJob(R"({"steps":[{"count":1}],"extra":)" + nested(levels) + "}").has_value());
    BOOST_TEST(!Platform::decodeConfiguration(R"({"version":7,"routes":[],"services":[],"extra":)" + nested(levels) + "}").has_value());
    BOOST_TEST(std::holds_alternative<Unanswered>(holdAnswer(R"("clock_ms":9,"running":[],"ended":[],"extra":)" + nested(levels))));
    BOOST_TEST(std::holds_alternative<Unanswered>(Platform::decodeOrderAnswer(HttpResponse { 200, {}, R"({"clock_ms":9,"extra":)" + nested(levels) + "}" })));
    // Brackets within a text are no nesting.
    BOOST_TEST(Platform::decodeTargetReport("i-1", reportWith("extra", "\"\\\"" + std::string(1000, '[') + "\"")).has_value());
}

BOOST_AUTO_TEST_CASE(odd_numbers_in_a_job_refuse_the_job)
{
    auto decode = [](const std::string& member) { return Platform::decodeJob(R"({"steps":[{"count":1,"cpu":500,)" + member + "}]}"); };
    // A negative need of one resource, beside a positive need of another, would add to what the target has left.
    for (const auto* member : { R"("mem_mb":-1)", R"("gpu":-1)", R"("mem_mb":9223372036854775807)", R"("mem_mb":18446744073709551615)", R"("cpu":18446744073709551615)", R"("cpu":9223372036854775807)", R"("gpu":9223372036854775807)", R"("estimate_ms":-1)", R"("estimate_ms":1e30)", R"("estimate_ms":18446744073709551615)", R"("anti_affinity":-1)" })
        BOOST_TEST(!decode(member).has_value(), member);
    auto job = decode(R"("estimate_ms":9007199254740991,"anti_affinity":4294967296)");
    BOOST_REQUIRE(job.has_value());
    BOOST_TEST(job->steps.front().maximumPerTarget == std::numeric_limits<uint32_t>::max());
    // Times are added to an instant, which counts nanoseconds.
    BOOST_TEST(job->steps.front().estimate.count() < std::numeric_limits<int64_t>::max() / 1'000'000'000);
}

BOOST_AUTO_TEST_CASE(extreme_numbers_in_a_configuration_do_not_overflow_later_arithmetic)
{
    auto decode = [](const std::string& route, const std::string& limits) { return Platform::decodeConfiguration(R"({"version":7,"routes":[{"host":"a.example","path_prefix":"/p/","service":"s",)" + route + R"(}],"services":[{"name":"s"}],"limits":{)" + limits + "}}"); };
    BOOST_TEST(!decode(R"("timeout_ms":18446744073709551615)", "").has_value());
    BOOST_TEST(!decode(R"("timeout_ms":1,"stretch":1e400)", "").has_value());
    BOOST_TEST(!decode(R"("timeout_ms":1,"priority":18446744073709551615)", "").has_value());
    auto table = decode(R"("timeout_ms":9223372036854775807,"target_latency_ms":-9223372036854775808,"stretch":1e300,"max_attempts":4294967296)", R"("header_timeout_ms":9223372036854775807,"idle_timeout_ms":9223372036854775807)");
    BOOST_REQUIRE(table.has_value());
    const auto* route = table->match("a.example", "/p/x");
    static constexpr int64_t addable = std::numeric_limits<int64_t>::max() / 1'000'000'000;
    BOOST_TEST(route->timeoutMilliseconds < addable);
    BOOST_TEST(route->targetLatencyMilliseconds == 0);
    BOOST_TEST(route->stretch * static_cast<double>(addable) < 1e18);
    BOOST_TEST(route->maximumAttempts > 1);
    BOOST_TEST(route->maximumAttempts <= std::numeric_limits<uint32_t>::max());
    BOOST_TEST(table->limits().headerTimeoutMilliseconds < addable);
    BOOST_TEST(table->limits().idleTimeoutMilliseconds < addable);
}

BOOST_AUTO_TEST_CASE(unreadable_run_hides_no_other_run_and_makes_none_look_ended)
{
    for (const auto* row : { R"([])", R"(7)", R"([5,2])", R"(["job.0.0.2"])", R"(["job.0.0.2",-1])", R"(["job.0.0.2",1e30])", R"(["job.0.0.2",18446744073709551615])", R"({"task":"job.0.0.2"})" }) {
        auto answer = holdAnswer(std::string(R"("clock_ms":9,"running":[["job.0.0.1",2],)") + row + R"(,["job.0.0.3",4]],"ended":[])");
        BOOST_REQUIRE(std::holds_alternative<RunList>(answer));
        const auto& list = std::get<RunList>(answer);
        BOOST_TEST(!list.isComplete);
        BOOST_TEST((list.running == std::vector { RunId { { "job", 0, 0, 1 }, 2 }, RunId { { "job", 0, 0, 3 }, 4 } }), row);
    }
    // A readable name of another form belongs to no task of this system.
    BOOST_TEST(std::get<RunList>(holdAnswer(R"("clock_ms":9,"running":[["foreign",1]],"ended":[])")).isComplete);
}

BOOST_AUTO_TEST_CASE(unreadable_end_is_not_acknowledged)
{
    for (const auto* row : { R"([])", R"(7)", R"([59,"job.0.0.2",1,7,""])", R"([59,"job.0.0.2",-1,"done",""])", R"([59,"job.0.0.2"])", R"(["59","job.0.0.2",1,"done",""])", R"([59,null,1,"done",""])" }) {
        auto answer = holdAnswer(std::string(R"("clock_ms":9,"running":[],"ended":[[58,"job.0.0.1",1,"done",""],)") + row + R"(,[60,"job.0.0.3",1,"done",""]])");
        BOOST_REQUIRE(std::holds_alternative<RunList>(answer));
        const auto& list = std::get<RunList>(answer);
        BOOST_TEST(!list.isComplete);
        BOOST_TEST(list.ended.size() == 2U);
        BOOST_TEST(list.lastReadableEnd == 58U, row);
    }
    auto answer = holdAnswer(R"("clock_ms":9,"running":[],"ended":[[58,"foreign",1,"done",""]])");
    BOOST_TEST(std::get<RunList>(answer).isComplete);
    BOOST_TEST(std::get<RunList>(answer).ended.at(0).sequence == 58U);
}

BOOST_AUTO_TEST_CASE(job_that_targets_cannot_list_under_its_name_is_refused)
{
    auto listedName = [](const std::string& job) {
        StartOrder order { { "i-1", "b", "10.0.0.9:80" }, 7, { { job, 0, 0, 1 }, 2 }, "text", 486000 };
        auto body = Platform::encodeOrder(order).body;
        static const std::string memberStart = "\"task\":";
        auto start = body.find(memberStart) + memberStart.size();
        auto name = body.substr(start, body.find('"', start + 1) + 1 - start);
        return std::get<RunList>(holdAnswer(R"("clock_ms":9,"running":[[)" + name + R"(,2]],"ended":[])")).running.at(0).task.job;
    };
    // JSON holds no invalid UTF-8; it is replaced, so the run would look absent.
    BOOST_TEST(listedName("job\xff") != "job\xff");
    for (const auto* name : { "job\xff", "job\xc3\xa9", "", "job 1", "job\n", "job\x7f" })
        BOOST_TEST(!Platform::isValidName(name));
    BOOST_TEST(!Platform::isValidName(std::string(1000, 'x')));
    for (const auto* name : { "5c0e7a21d94b36f8", "a.b", "%C3%A9" }) {
        BOOST_TEST(Platform::isValidName(name));
        BOOST_TEST(listedName(name) == name);
    }
    BOOST_TEST(!Platform::decodeTargetReport("i-\xff", reportWith("sequence", "4")).has_value());
}
