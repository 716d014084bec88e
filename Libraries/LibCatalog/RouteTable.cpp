#include <LibCatalog/RouteTable.h>
#include <algorithm>
#include <set>
#include <tuple>

namespace Sassafrasshift::Catalog {

static auto placeOf(const Route& route)
{
    return std::tie(route.host, route.pathPrefix);
}

static tl::unexpected<Error> invalid(std::string detail)
{
    return tl::unexpected(Error::notRun(Reason::InvalidInput, std::move(detail)));
}

RouteTable::RouteTable(uint64_t version, std::vector<Route> routes, RequestLimits limits)
    : number(version)
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
    std::set<std::string> known;
    for (const auto& pool : pools)
        known.insert(pool.name);
    for (const auto& route : routes) {
        if (!known.contains(route.pool))
            return invalid("route \"" + route.name + "\" names the unknown pool \"" + route.pool + "\"");
        if (route.timeoutMilliseconds <= 0)
            return invalid("route \"" + route.name + "\" has no timeout");
    }
    std::sort(routes.begin(), routes.end(), [](const auto& left, const auto& right) { return placeOf(left) < placeOf(right); });
    auto twin = std::adjacent_find(routes.begin(), routes.end(), [](const auto& left, const auto& right) { return placeOf(left) == placeOf(right); });
    if (twin != routes.end())
        return invalid("two routes take \"" + twin->host + twin->pathPrefix + "\"");
    return RouteTable(version, std::move(routes), limits);
}

const Route* RouteTable::match(std::string_view host, std::string_view path) const
{
    host = host.substr(0, host.find(':'));
    path = path.substr(0, path.find('?'));
    for (auto length : this->prefixLengths) {
        if (length > path.size())
            continue;
        auto wanted = std::pair(host, path.substr(0, length));
        auto before = [](const Route& route, const auto& place) { return std::pair<std::string_view, std::string_view>(route.host, route.pathPrefix) < place; };
        auto position = std::lower_bound(this->sortedRoutes.begin(), this->sortedRoutes.end(), wanted, before);
        if (position != this->sortedRoutes.end() && position->host == wanted.first && position->pathPrefix == wanted.second)
            return &*position;
    }
    return nullptr;
}

}
