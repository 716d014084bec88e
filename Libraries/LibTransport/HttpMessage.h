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

/// The value of the first header with this name, compared without regard to case, or an empty text.
[[nodiscard]] std::string_view headerValue(const HttpHeaders&, std::string_view name);

/// Whether a header belongs to one connection and must not be forwarded (RFC 9110 section 7.6.1).
[[nodiscard]] bool isHopByHopHeader(std::string_view name);

struct HttpRequest {
    std::string method { "GET" };
    /// The path and, after a question mark, the query, as received.
    std::string target { "/" };
    HttpHeaders headers {};
    std::string body {};

    [[nodiscard]] std::string_view path() const;
    /// The value of a query parameter, not decoded, or an empty text.
    [[nodiscard]] std::string_view queryParameter(std::string_view name) const;
    /// The bytes of the request line and all header fields as HTTP/1.1 writes them.
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
