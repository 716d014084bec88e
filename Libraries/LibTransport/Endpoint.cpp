#include <LibTransport/Endpoint.h>
#include <arpa/inet.h>
#include <charconv>
#include <netinet/in.h>

namespace Sassafrasshift::Transport {

static constexpr size_t maximumQuotedLength = 64;

ErrorOr<Endpoint> Endpoint::parse(std::string_view text)
{
    auto malformed = [&] {
        return tl::unexpected(Error::notRun(Reason::InvalidInput, "\"" + std::string(text.substr(0, maximumQuotedLength)) + "\" is not an IPv4 address and port, as in 127.0.0.1:8080"));
    };
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return malformed();
    Endpoint endpoint;
    endpoint.address = text.substr(0, colon);
    auto portText = text.substr(colon + 1);
    auto [end, code] = std::from_chars(portText.begin(), portText.end(), endpoint.port);
    in_addr parsed {};
    // inet_pton() reads only up to the first null character.
    if (endpoint.address.find('\0') != std::string::npos)
        return malformed();
    if (code != std::errc {} || end != portText.end() || endpoint.port == 0 || inet_pton(AF_INET, endpoint.address.c_str(), &parsed) != 1)
        return malformed();
    return endpoint;
}

std::string Endpoint::toText() const
{
    return this->address + ":" + std::to_string(this->port);
}

sockaddr_in Endpoint::toSocketAddress() const
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(this->port);
    inet_pton(AF_INET, this->address.c_str(), &result.sin_addr);
    return result;
}

}
