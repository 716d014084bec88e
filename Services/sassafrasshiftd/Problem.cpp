#include "Problem.h"
#include <nlohmann/json.hpp>

namespace Sassafrasshift::Daemon {

int httpStatusFor(Reason reason)
{
    switch (reason) {
    case Reason::InvalidInput:
        return 400;
    case Reason::NotFound:
        return 404;
    case Reason::Conflict:
    case Reason::KeyExpired:
    case Reason::KeyReused:
    case Reason::Cancelled:
        return 409;
    case Reason::TooLarge:
        return 413;
    case Reason::CannotRun:
        return 422;
    case Reason::QuotaExceeded:
        return 429;
    case Reason::Unreachable:
    case Reason::ConnectionLost:
    case Reason::AnswerTruncated:
    case Reason::TargetFailed:
        return 502;
    case Reason::Overloaded:
    case Reason::NoConfiguration:
    case Reason::NoTarget:
    case Reason::NotLeader:
    case Reason::NoQuorum:
    case Reason::ShuttingDown:
        return 503;
    case Reason::DeadlineExceeded:
        return 504;
    case Reason::StorageFull:
    case Reason::StorageFailed:
    case Reason::Damaged:
        return 507;
    case Reason::Internal:
        return 500;
    }
    return 500;
}

Transport::HttpResponse makeJsonResponse(int status, std::string body)
{
    return Transport::HttpResponse { status, { { "content-type", "application/json" } }, std::move(body) };
}

Transport::HttpResponse makeProblem(const Error& error)
{
    nlohmann::ordered_json body;
    auto status = httpStatusFor(error.reason);
    body["type"] = "about:blank";
    body["title"] = toString(error.reason);
    body["status"] = status;
    body["detail"] = error.detail;
    body["verdict"] = toString(error.verdict);
    body["reason"] = toString(error.reason);
    Transport::HttpResponse response;
    response.status = status;
    response.headers = {
        { "content-type", "application/problem+json" },
        { std::string(verdictHeader), std::string(toString(error.verdict)) },
        { std::string(reasonHeader), std::string(toString(error.reason)) },
    };
    if (error.retryAfter) {
        body["retryAfterMs"] = error.retryAfter->count();
        response.headers.push_back({ "retry-after", std::to_string((error.retryAfter->count() + 999) / 1000) });
    }
    response.body = body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
    return response;
}

}
