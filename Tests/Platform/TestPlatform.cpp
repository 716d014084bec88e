#include <boost/test/unit_test.hpp>
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
    BOOST_TEST(list.ended.at(0).sequence == 58U);
    BOOST_TEST((list.ended.at(0).end == RunEnd::Done));
    BOOST_TEST((list.ended.at(1).end == RunEnd::Failed));
    BOOST_TEST(std::holds_alternative<Unanswered>(Platform::decodeHoldAnswer(HttpResponse { 200, {}, R"({"running":7})" })));
}
