#include <LibCatalog/RouteTable.h>
#include <algorithm>
#include <set>
#include <tuple>

namespace Sassafrasshift::Catalog {

static auto matchKey(const Route& route)
{
    return std::tie(route.host, route.pathPrefix);
}

static tl::unexpected<Error> invalid(std::string detail)
{
    return tl::unexpected(Error::notRun(Reason::InvalidInput, std::move(detail)));
}

RouteTable::RouteTable(uint64_t version, std::vector<Route> routes, RequestLimits limits)
    : versionNumber(version)
    , sortedRoutes(std::move(routes))
    , requestLimits(limits)
{
    std::set<size_t, std::greater<>> lengths;
    for (const auto& route : this->sortedRoutes)
        lengths.insert(route.pathPrefix.size());
    this->prefixLengths.assign(lengths.begin(), lengths.end());
}

ErrorOr<RouteTable> RouteTable::create(uint64_t version, std::vector<Route> routes, std::vector<RoutedPool> pools, RequestLimits limits)
{
    std::set<std::string> poolNames;
    for (const auto& pool : pools)
        poolNames.insert(pool.name);
    for (const auto& route : routes) {
        if (!poolNames.contains(route.pool))
            return invalid("route \"" + route.name + "\" refers to unknown pool \"" + route.pool + "\"");
        if (route.timeoutMilliseconds <= 0)
            return invalid("route \"" + route.name + "\" requires a positive timeout");
    }
    std::sort(routes.begin(), routes.end(), [](const auto& left, const auto& right) { return matchKey(left) < matchKey(right); });
    auto duplicate = std::adjacent_find(routes.begin(), routes.end(), [](const auto& left, const auto& right) { return matchKey(left) == matchKey(right); });
    if (duplicate != routes.end())
        return invalid("two routes match the same requests: \"" + duplicate->host + duplicate->pathPrefix + "\"");
    return RouteTable(version, std::move(routes), limits);
}

const Route* RouteTable::match(std::string_view host, std::string_view path) const
{
    host = host.substr(0, host.find(':'));
    path = path.substr(0, path.find('?'));
    for (auto length : this->prefixLengths) {
        if (length > path.size())
            continue;
        auto wantedKey = std::pair(host, path.substr(0, length));
        auto precedes = [](const Route& route, const auto& key) { return std::pair<std::string_view, std::string_view>(route.host, route.pathPrefix) < key; };
        auto position = std::lower_bound(this->sortedRoutes.begin(), this->sortedRoutes.end(), wantedKey, precedes);
        if (position != this->sortedRoutes.end() && position->host == wantedKey.first && position->pathPrefix == wantedKey.second)
            return &*position;
    }
    return nullptr;
}

}
