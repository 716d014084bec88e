#pragma once

#include <LibBase/Error.h>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Sassafrasshift::Catalog {

/// A job queue, and the host and path prefix of the requests that it accepts.
struct Route {
    std::string name;
    /// Compared with the host of a request, without its port.
    std::string host;
    /// The prefix that a request's path has to have. Among matching routes, the one with the longest prefix wins.
    std::string pathPrefix;
    /// The pool of targets that run the jobs.
    std::string pool;
    /// Jobs with lower values come first; zero is the most urgent.
    int64_t priority { 0 };
    /// How long a request may take, unless the caller gives a deadline.
    int64_t timeoutMilliseconds { 0 };
    /// The latency objective of the queue's jobs: `stretch` times the run time, plus this latency.
    int64_t targetLatencyMilliseconds { 0 };
    /// The multiple of its own run time that a job may take; see `targetLatencyMilliseconds`.
    double stretch { 1 };
    /// The number of failed runs of one task after which its job fails.
    int64_t maximumAttempts { 1 };

    friend auto operator<=>(const Route&, const Route&) = default;
};

/// A pool of targets that routes may refer to.
struct RoutedPool {
    std::string name;

    friend auto operator<=>(const RoutedPool&, const RoutedPool&) = default;
};

/// What the HTTP servers accept from callers. Zero or a negative value means no limit.
struct RequestLimits {
    int64_t maximumBodyBytes { 256 * 1024 };
    /// The size of the request line and all header fields together.
    int64_t maximumHeaderBytes { 64 * 1024 };
    /// How long a caller may take to send the request line and the header fields.
    int64_t headerTimeoutMilliseconds { 10'000 };
    /// How long a connection without a request stays open.
    int64_t idleTimeoutMilliseconds { 60'000 };

    friend auto operator<=>(const RequestLimits&, const RequestLimits&) = default;
};

/// Maps requests to job queues. A table is one published version of the routes, validated as a whole.
class RouteTable {
public:
    /// Fails with Reason::InvalidInput if a route refers to an unknown pool, two routes match the same requests, or a
    /// timeout is not positive.
    [[nodiscard]] static ErrorOr<RouteTable> create(uint64_t version, std::vector<Route>, std::vector<RoutedPool>, RequestLimits);

    /// Returns the route for a request, or null if none matches. The host may include a port, and the path a query.
    [[nodiscard]] const Route* match(std::string_view host, std::string_view path) const;

    [[nodiscard]] uint64_t version() const { return this->versionNumber; }
    [[nodiscard]] const RequestLimits& limits() const { return this->requestLimits; }
    [[nodiscard]] const std::vector<Route>& routes() const { return this->sortedRoutes; }

private:
    RouteTable(uint64_t version, std::vector<Route>, RequestLimits);

    uint64_t versionNumber { 0 };
    /// Sorted by host, then by path prefix, for binary search.
    std::vector<Route> sortedRoutes;
    /// All lengths of path prefixes that occur, longest first.
    std::vector<size_t> prefixLengths;
    RequestLimits requestLimits;
};

}
