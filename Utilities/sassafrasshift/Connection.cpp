#include "Connection.h"
#include <LibTransport/EventLoop.h>
#include <LibTransport/HttpClient.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace Sassafrasshift::CommandLine {

using Transport::HttpResponse;
using Json = nlohmann::ordered_json;

static ErrorOr<HttpResponse> callOne(const Transport::Endpoint& entry, const Transport::HttpRequest& request, Milliseconds timeout)
{
    auto loop = Transport::EventLoop::create();
    auto client = Transport::HttpClient::create(*loop, {});
    std::optional<ErrorOr<HttpResponse>> result;
    auto pending = client->send(entry, request, timeout, [&](ErrorOr<HttpResponse> answer) {
        result = std::move(answer);
        loop->stop();
    });
    loop->run();
    return std::move(*result);
}

ErrorOr<HttpResponse> call(const std::vector<Transport::Endpoint>& entries, const Transport::HttpRequest& request, Milliseconds timeout)
{
    ErrorOr<HttpResponse> result = tl::unexpected(Error::notRun(Reason::Unreachable, "no entry host is given; use --entry or SASSAFRASSHIFT_ENTRY"));
    for (const auto& entry : entries) {
        result = callOne(entry, request, timeout);
        if (result || result.error().verdict != Verdict::NotRun)
            return result;
    }
    return result;
}

Error readProblem(const HttpResponse& response)
{
    auto body = Json::parse(response.body, nullptr, false);
    Error error { Reason::Internal, Verdict::MayHaveRun, "status " + std::to_string(response.status) };
    if (!body.is_object())
        return error;
    error.reason = reasonFromString(body.value("reason", std::string("internal")));
    error.verdict = verdictFromString(body.value("verdict", std::string("may-have-run"))).value_or(Verdict::MayHaveRun);
    error.detail = body.value("detail", std::string());
    if (body.contains("retryAfterMs") && body["retryAfterMs"].is_number())
        error.retryAfter = Milliseconds(body["retryAfterMs"].get<int64_t>());
    return error;
}

ErrorOr<Json> callForJson(const std::vector<Transport::Endpoint>& entries, const Transport::HttpRequest& request, Milliseconds timeout)
{
    auto response = call(entries, request, timeout);
    if (!response)
        return tl::unexpected(response.error());
    if (response->status >= 400)
        return tl::unexpected(readProblem(*response));
    auto body = Json::parse(response->body, nullptr, false);
    if (body.is_discarded())
        return tl::unexpected(Error::mayHaveRun(Reason::Internal, "the answer is not JSON"));
    return body;
}

}
