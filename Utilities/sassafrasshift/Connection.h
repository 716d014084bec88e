#pragma once

#include <LibBase/Clock.h>
#include <LibTransport/Endpoint.h>
#include <LibTransport/HttpMessage.h>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace Sassafrasshift::CommandLine {

/// Sends one request and waits for the response. Tries the next entry host only if the request cannot have run.
[[nodiscard]] ErrorOr<Transport::HttpResponse> call(const std::vector<Transport::Endpoint>& entryHosts, const Transport::HttpRequest&, Milliseconds timeout);

/// Like call(), but parses the response body as JSON and converts an error response to an Error.
[[nodiscard]] ErrorOr<nlohmann::ordered_json> callForJson(const std::vector<Transport::Endpoint>& entryHosts, const Transport::HttpRequest&, Milliseconds timeout);

/// Converts an error response to an Error. Its verdict is MayHaveRun unless the response body gives another one.
[[nodiscard]] Error parseErrorResponse(const Transport::HttpResponse&);

}
