#include "Connection.h"
#include <LibTransport/EventLoop.h>
#include <LibTransport/HttpClient.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace Sassafrasshift::CommandLine {

using Transport::HttpResponse;
using Json = nlohmann::ordered_json;

static ErrorOr<HttpResponse> callEntryHost(const Transport::Endpoint& entryHost, const Transport::HttpRequest& request, Milliseconds timeout)
{
    auto loop = Transport::EventLoop::create();
    auto client = Transport::HttpClient::create(*loop, {});
    std::optional<ErrorOr<HttpResponse>> result;
    auto activeCall = client->send(entryHost, request, timeout, [&](ErrorOr<HttpResponse> response) {
        result = std::move(response);
        loop->stop();
    });
    loop->run();
    return std::move(*result);
}

ErrorOr<HttpResponse> call(const std::vector<Transport::Endpoint>& entryHosts, const Transport::HttpRequest& request, Milliseconds timeout)
{
    ErrorOr<HttpResponse> result = tl::unexpected(Error::notRun(Reason::Unreachable, "no entry host given; use --entry or SASSAFRASSHIFT_ENTRY"));
    for (const auto& entryHost : entryHosts) {
        result = callEntryHost(entryHost, request, timeout);
        if (result || result.error().verdict != Verdict::NotRun)
            return result;
    }
    return result;
}

Error parseErrorResponse(const HttpResponse& response)
{
    auto body = Json::parse(response.body, nullptr, false);
    Error error { Reason::Internal, Verdict::MayHaveRun, "HTTP status " + std::to_string(response.status) };
    if (!body.is_object())
        return error;
    error.reason = reasonFromString(body.value("reason", std::string("internal")));
    error.verdict = verdictFromString(body.value("verdict", std::string("may-have-run"))).value_or(Verdict::MayHaveRun);
    error.detail = body.value("detail", std::string());
    if (body.contains("retryAfterMs") && body["retryAfterMs"].is_number())
        error.retryAfter = Milliseconds(body["retryAfterMs"].get<int64_t>());
    return error;
}

ErrorOr<Json> callForJson(const std::vector<Transport::Endpoint>& entryHosts, const Transport::HttpRequest& request, Milliseconds timeout)
{
    auto response = call(entryHosts, request, timeout);
    if (!response)
        return tl::unexpected(response.error());
    if (response->status >= 400)
        return tl::unexpected(parseErrorResponse(*response));
    auto body = Json::parse(response->body, nullptr, false);
    if (body.is_discarded())
        return tl::unexpected(Error::mayHaveRun(Reason::Internal, "the response is not valid JSON"));
    return body;
}

}
