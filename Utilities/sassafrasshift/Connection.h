#pragma once

#include <LibBase/Clock.h>
#include <LibTransport/Endpoint.h>
#include <LibTransport/HttpMessage.h>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace Sassafrasshift::CommandLine {

/// Sends one request and waits for its answer. Where an entry host cannot be reached, the next one is tried.
[[nodiscard]] ErrorOr<Transport::HttpResponse> call(const std::vector<Transport::Endpoint>& entryHosts, const Transport::HttpRequest&, Milliseconds timeout);

/// As call(), and reads a JSON answer. A problem body becomes the error that it describes.
[[nodiscard]] ErrorOr<nlohmann::ordered_json> callForJson(const std::vector<Transport::Endpoint>& entryHosts, const Transport::HttpRequest&, Milliseconds timeout);

/// The error that a problem body describes.
[[nodiscard]] Error parseErrorResponse(const Transport::HttpResponse&);

}
