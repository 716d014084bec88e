#pragma once

#include <LibBase/Error.h>
#include <LibTransport/HttpMessage.h>
#include <string_view>

namespace Sassafrasshift::Daemon {

inline constexpr std::string_view verdictHeader = "sassafrasshift-verdict";
inline constexpr std::string_view reasonHeader = "sassafrasshift-reason";
inline constexpr std::string_view requestIdHeader = "x-request-id";
inline constexpr std::string_view attemptHeader = "sassafrasshift-attempt";
inline constexpr std::string_view teamHeader = "sassafrasshift-team";
inline constexpr std::string_view deadlineHeader = "sassafrasshift-deadline-ms";

/// Returns the HTTP status code for a reason.
[[nodiscard]] int httpStatusFor(Reason);

/// Builds a problem response (RFC 9457) with the verdict and the reason of the error. If the error has a retry delay, the response
/// includes Retry-After (RFC 9110 section 10.2.3).
[[nodiscard]] Transport::HttpResponse makeProblem(const Error&);

[[nodiscard]] Transport::HttpResponse makeJsonResponse(int status, std::string body);

}
