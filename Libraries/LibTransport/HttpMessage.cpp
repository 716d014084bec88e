#include <LibTransport/HttpMessage.h>
#include <algorithm>
#include <array>
#include <strings.h>

namespace Sassafrasshift::Transport {

static bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view headerValue(const HttpHeaders& headers, std::string_view name)
{
    for (const auto& header : headers) {
        if (equalsIgnoringCase(header.name, name))
            return header.value;
    }
    return {};
}

bool isHopByHopHeader(std::string_view name)
{
    static constexpr std::array<std::string_view, 10> names {
        "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
        "te", "trailer", "transfer-encoding", "upgrade", "http2-settings"
    };
    return std::any_of(names.begin(), names.end(), [&](auto candidate) { return equalsIgnoringCase(candidate, name); });
}

std::string_view HttpRequest::path() const
{
    return std::string_view(this->target).substr(0, this->target.find('?'));
}

size_t HttpRequest::headSize() const
{
    static constexpr std::string_view lineEnd = "\r\n";
    // The HTTP version and the two spaces that separate the parts of the request line.
    static constexpr std::string_view version = "  HTTP/1.1";
    static constexpr std::string_view separator = ": ";
    size_t bytes = this->method.size() + this->target.size() + version.size() + 2 * lineEnd.size();
    for (const auto& header : this->headers)
        bytes += header.name.size() + separator.size() + header.value.size() + lineEnd.size();
    return bytes;
}

std::string_view HttpRequest::queryParameter(std::string_view name) const
{
    auto start = this->target.find('?');
    if (start == std::string::npos)
        return {};
    auto rest = std::string_view(this->target).substr(start + 1);
    while (!rest.empty()) {
        auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        auto equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string_view {} : pair.substr(equals + 1);
    }
    return {};
}

}
