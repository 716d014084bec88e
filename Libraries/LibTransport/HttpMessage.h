#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace Sassafrasshift::Transport {

struct HttpHeader {
    std::string name;
    std::string value;

    friend auto operator<=>(const HttpHeader&, const HttpHeader&) = default;
};

using HttpHeaders = std::vector<HttpHeader>;

/// The value of the first header with the given name, which is compared case-insensitively, or an empty string.
[[nodiscard]] std::string_view headerValue(const HttpHeaders&, std::string_view name);

/// Whether a header applies to a single connection and must not be forwarded (RFC 9110 section 7.6.1).
[[nodiscard]] bool isHopByHopHeader(std::string_view name);

struct HttpRequest {
    std::string method { "GET" };
    /// The path and, after a question mark, the query, as in the request line.
    std::string target { "/" };
    HttpHeaders headers {};
    std::string body {};

    [[nodiscard]] std::string_view path() const;
    /// The value of a query parameter, still percent-encoded, or an empty string.
    [[nodiscard]] std::string_view queryParameter(std::string_view name) const;
    /// The size in bytes of the request line and all header fields in HTTP/1.1 format.
    [[nodiscard]] size_t headSize() const;

    friend auto operator<=>(const HttpRequest&, const HttpRequest&) = default;
};

struct HttpResponse {
    int status { 200 };
    HttpHeaders headers {};
    std::string body {};

    friend auto operator<=>(const HttpResponse&, const HttpResponse&) = default;
};

}
