#pragma once

#include <LibBase/Error.h>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Sassafrasshift::Catalog {

/// A queue of jobs, and the requests that it takes.
struct Route {
    std::string name;
    /// Compared with the host that a request names, without its port.
    std::string host;
    /// The longest prefix of a request's path decides.
    std::string pathPrefix;
    std::string pool;
    /// Zero comes first.
    int64_t priority { 0 };
    /// How long a request may take where the caller does not say.
    int64_t timeoutMilliseconds { 0 };
    /// What a job may take beside its own work.
    int64_t targetLatencyMilliseconds { 0 };
    /// What a job may take, as a multiple of its work.
    double stretch { 1 };
    /// Failed runs of one task after which its job has failed.
    int64_t maximumAttempts { 1 };

    friend auto operator<=>(const Route&, const Route&) = default;
};

/// A pool of targets that routes name.
struct RoutedPool {
    std::string name;

    friend auto operator<=>(const RoutedPool&, const RoutedPool&) = default;
};

/// What the servers accept from callers; zero or less stands for no limit.
struct RequestLimits {
    int64_t maximumBodyBytes { 256 * 1024 };
    /// Of the request line and all header fields.
    int64_t maximumHeaderBytes { 64 * 1024 };
    /// How long a caller may take for the head of a request.
    int64_t headerTimeoutMilliseconds { 10'000 };
    /// How long a connection may stay open without a request.
    int64_t idleTimeoutMilliseconds { 60'000 };

    friend auto operator<=>(const RequestLimits&, const RequestLimits&) = default;
};

/// Which queue takes which requests: one published set, checked as a whole.
class RouteTable {
public:
    /// Fails with Reason::InvalidInput where a route names an unknown pool, two routes take the same requests, or a
    /// timeout is not positive.
    [[nodiscard]] static ErrorOr<RouteTable> create(uint64_t version, std::vector<Route>, std::vector<RoutedPool>, RequestLimits);

    /// The route that takes a request; null for none. The host may carry a port.
    [[nodiscard]] const Route* match(std::string_view host, std::string_view path) const;

    [[nodiscard]] uint64_t version() const { return this->versionNumber; }
    [[nodiscard]] const RequestLimits& limits() const { return this->requestLimits; }
    [[nodiscard]] const std::vector<Route>& routes() const { return this->sortedRoutes; }

private:
    RouteTable(uint64_t version, std::vector<Route>, RequestLimits);

    uint64_t versionNumber { 0 };
    /// By host, and for one host by prefix.
    std::vector<Route> sortedRoutes;
    /// The lengths of the prefixes that occur, the longest first.
    std::vector<size_t> prefixLengths;
    RequestLimits requestLimits;
};

}
