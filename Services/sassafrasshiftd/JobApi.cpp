#include "JobApi.h"
#include "Problem.h"
#include <LibBase/Try.h>
#include <LibTransport/Codec.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace Sassafrasshift::Daemon {

using Dispatch::AttemptReport;
using Dispatch::AttemptState;
using DurableState::Intent;
using DurableState::JobOutcome;
using DurableState::JobResult;
using Transport::HttpRequest;
using Transport::HttpResponse;
using Json = nlohmann::ordered_json;

static constexpr size_t maximumKeyLength = 128;
static constexpr size_t maximumTaskBytes = 1024 * 1024;
// A creation time further in the future than this counts as an error of the caller's clock.
static constexpr int64_t maximumClockSkewMilliseconds = 300'000;

bool isValidJobKey(std::string_view key)
{
    auto allowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9') || std::string_view("._~-").find(letter) != std::string_view::npos;
    };
    return !key.empty() && key.size() <= maximumKeyLength && std::all_of(key.begin(), key.end(), allowed);
}

static tl::unexpected<Error> invalid(std::string detail)
{
    return tl::unexpected(Error::notRun(Reason::InvalidInput, std::move(detail)));
}

static ErrorOr<std::vector<std::string>> parseTasks(const Json& body, const Catalog::TaskKind& kind)
{
    if (!body.contains("tasks") || !body["tasks"].is_array() || body["tasks"].empty())
        return invalid("\"tasks\" must be a non-empty array");
    if (static_cast<int64_t>(body["tasks"].size()) > kind.maximumTasks)
        return invalid("a job of task kind \"" + kind.name + "\" has at most " + std::to_string(kind.maximumTasks) + " tasks");
    std::vector<std::string> tasks;
    for (const auto& task : body["tasks"]) {
        if (!task.is_string() || task.get_ref<const std::string&>().size() > maximumTaskBytes)
            return invalid("each element of \"tasks\" must be a string of at most " + std::to_string(maximumTaskBytes) + " bytes");
        tasks.push_back(task.get<std::string>());
    }
    return tasks;
}

ErrorOr<JobSubmission> parseSubmission(const std::string& text, const Catalog::Catalog& catalog, int64_t nowMilliseconds)
{
    auto body = Json::parse(text, nullptr, false);
    if (body.is_discarded() || !body.is_object())
        return invalid("the body must be a JSON object");
    for (const auto& [name, value] : body.items()) {
        if (name != "taskKind" && name != "team" && name != "createdAt" && name != "tasks")
            return invalid("unknown member \"" + name + "\"; the known members are taskKind, team, createdAt and tasks");
    }
    if (!body.contains("taskKind") || !body["taskKind"].is_string())
        return invalid("\"taskKind\" must be the name of a task kind");
    if (!body.contains("createdAt") || !body["createdAt"].is_number_integer())
        return invalid("\"createdAt\" must be the time at which the key was created, in milliseconds since the Unix epoch; a resubmission must repeat it");
    if (body.contains("team") && !body["team"].is_string())
        return invalid("\"team\" must be a string");
    JobSubmission submission;
    submission.createdAt = body["createdAt"].get<int64_t>();
    if (submission.createdAt > nowMilliseconds + maximumClockSkewMilliseconds)
        return invalid("\"createdAt\" is in the future");
    auto kindName = body["taskKind"].get<std::string>();
    const auto* kind = catalog.findTaskKind(kindName);
    if (!kind)
        return tl::unexpected(Error::notRun(Reason::NotFound, "there is no task kind \"" + kindName + "\""));
    auto teamName = body.value("team", std::string());
    const auto* team = catalog.findTeam(teamName);
    if (!team && !teamName.empty())
        return tl::unexpected(Error::notRun(Reason::NotFound, "there is no team \"" + teamName + "\""));
    const auto& policy = *catalog.findPolicy(kind->policy);
    auto& content = submission.content;
    content.tasks = TRY(parseTasks(body, *kind));
    content.taskKind = kindName;
    content.team = teamName;
    content.pool = kind->pool;
    content.priority = policy.priority;
    content.queueLimit = policy.queueLimit;
    content.needs = kind->needs;
    content.waitLimit = policy.deadline.count();
    content.runLimit = policy.runLimit.count();
    if (team) {
        auto domains = static_cast<int64_t>(catalog.findPool(kind->pool)->failureDomains.size());
        content.teamWeight = team->weight;
        content.teamLimit = (team->maximumInProgress + domains - 1) / domains;
    }
    // The hash covers only what the caller chose, so that a resubmission matches the job even after a configuration change.
    Json canonical { kindName, teamName, content.tasks };
    auto bytes = canonical.dump();
    submission.contentHash = XXH3_64bits(bytes.data(), bytes.size());
    return submission;
}

HttpResponse makeOutcomeResponse(const std::string& key, const JobOutcome& outcome)
{
    if (outcome.result == JobResult::Complete) {
        Json body;
        body["key"] = key;
        body["result"] = "complete";
        body["verdict"] = toString(outcome.verdict);
        body["answers"] = outcome.answers;
        auto response = makeJsonResponse(200, body.dump() + "\n");
        response.headers.push_back({ std::string(verdictHeader), std::string(toString(outcome.verdict)) });
        return response;
    }
    Error error { reasonFromString(outcome.reason), outcome.verdict, outcome.detail };
    auto response = makeProblem(error);
    auto body = Json::parse(response.body);
    body["key"] = key;
    body["result"] = outcome.result == JobResult::Cancelled ? "cancelled" : "failed";
    response.body = body.dump() + "\n";
    return response;
}

HttpResponse makeRunningResponse(const std::string& key, int status)
{
    Json body;
    body["key"] = key;
    body["result"] = "running";
    return makeJsonResponse(status, body.dump() + "\n");
}

static std::string attemptPath(const std::string& key, uint64_t epoch, const Intent& intent)
{
    return "/v1/attempts?job=" + key + "&task=" + std::to_string(intent.task) + "&attempt=" + std::to_string(intent.attempt)
        + "&epoch=" + std::to_string(epoch) + "&incarnation=" + intent.targetIncarnation;
}

HttpRequest makeTaskRequest(const std::string& key, uint64_t epoch, const Dispatch::JobContent& content, const Intent& intent)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/tasks";
    request.headers = {
        { "sassafrasshift-job", key },
        { "sassafrasshift-task", std::to_string(intent.task) },
        { "sassafrasshift-attempt-number", std::to_string(intent.attempt) },
        { "sassafrasshift-epoch", std::to_string(epoch) },
        { "sassafrasshift-incarnation", intent.targetIncarnation },
        { "sassafrasshift-task-kind", content.taskKind },
    };
    request.body = content.tasks[intent.task];
    return request;
}

HttpRequest makeAttemptQuery(const std::string& key, uint64_t epoch, const Intent& intent, Milliseconds wait)
{
    HttpRequest request;
    request.target = attemptPath(key, epoch, intent) + "&wait=" + std::to_string(wait.count());
    return request;
}

HttpRequest makeStopRequest(const std::string& key, uint64_t epoch, const Intent& intent)
{
    HttpRequest request;
    request.method = "DELETE";
    request.target = attemptPath(key, epoch, intent);
    return request;
}

// Answers are returned in JSON strings, which cannot represent invalid UTF-8.
static bool isValidUtf8(const std::string& text)
{
    try {
        (void)Json(text).dump();
        return true;
    } catch (const Json::exception&) {
        return false;
    }
}

ErrorOr<std::string> parseTaskAnswer(const ErrorOr<HttpResponse>& response)
{
    if (!response)
        return tl::unexpected(response.error());
    if (response->status == 200) {
        if (!isValidUtf8(response->body))
            return tl::unexpected(Error::ran(Reason::TargetFailed, "the answer of a task is not valid UTF-8"));
        return response->body;
    }
    auto verdict = verdictFromString(Transport::headerValue(response->headers, verdictHeader));
    auto detail = "the worker responded with status " + std::to_string(response->status);
    return tl::unexpected(Error { Reason::TargetFailed, verdict.value_or(Verdict::Ran), detail });
}

ErrorOr<AttemptReport> parseAttemptReport(const ErrorOr<HttpResponse>& response)
{
    if (!response)
        return tl::unexpected(response.error());
    auto body = Json::parse(response->body, nullptr, false);
    if (response->status != 200 || !body.is_object() || !body.contains("state") || !body["state"].is_string())
        return tl::unexpected(Error::mayHaveRun(Reason::TargetFailed, "the worker did not report the state of an attempt"));
    auto state = body["state"].get<std::string>();
    AttemptReport report;
    if (state == "running") {
        report.state = AttemptState::Running;
    } else if (state == "finished") {
        report.state = AttemptState::Finished;
        report.succeeded = body.value("succeeded", false);
        report.answer = body.value("answer", std::string());
    } else if (state == "never-started") {
        report.state = AttemptState::NeverStarted;
    }
    return report;
}

}
