#pragma once

#include <LibBase/Error.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

struct sockaddr_in;

namespace Sassafrasshift::Transport {

/// An IPv4 address in dotted form and a TCP port.
struct Endpoint {
    std::string address;
    uint16_t port { 0 };

    /// Parses an address and port such as "127.0.0.1:8080". Fails with Reason::InvalidInput if either part is malformed or the
    /// port is zero.
    [[nodiscard]] static ErrorOr<Endpoint> parse(std::string_view);

    [[nodiscard]] std::string toText() const;
    [[nodiscard]] sockaddr_in toSocketAddress() const;

    friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

}
