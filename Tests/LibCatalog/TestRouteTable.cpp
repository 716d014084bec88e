#include <LibCatalog/RouteTable.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Catalog;

static Route makeRoute(std::string host, std::string prefix)
{
    Route route;
    route.name = host + prefix;
    route.host = std::move(host);
    route.pathPrefix = std::move(prefix);
    route.pool = "pool";
    route.timeoutMilliseconds = 1000;
    return route;
}

BOOST_AUTO_TEST_CASE(longest_matching_prefix_of_the_host_wins)
{
    auto table = RouteTable::create(1, { makeRoute("a.example", "/one/"), makeRoute("a.example", "/one/two/"), makeRoute("b.example", "/one/") }, { { "pool" } }, {});
    BOOST_REQUIRE(table.has_value());
    BOOST_TEST(table->match("a.example", "/one/two/x")->name == "a.example/one/two/");
    BOOST_TEST(table->match("a.example:8080", "/one/x?y=/one/two/")->name == "a.example/one/");
    BOOST_TEST(table->match("b.example", "/one/two/x")->name == "b.example/one/");
    BOOST_TEST(table->match("c.example", "/one/") == nullptr);
    BOOST_TEST(table->match("a.example", "/on") == nullptr);
}

BOOST_AUTO_TEST_CASE(table_with_an_invalid_route_is_refused)
{
    auto unknownPool = makeRoute("a.example", "/");
    unknownPool.pool = "other";
    auto noTimeout = makeRoute("a.example", "/");
    noTimeout.timeoutMilliseconds = 0;
    for (const auto& routes : { std::vector { unknownPool }, std::vector { noTimeout }, std::vector { makeRoute("a.example", "/"), makeRoute("a.example", "/") } }) {
        auto table = RouteTable::create(1, routes, { { "pool" } }, {});
        BOOST_REQUIRE(!table.has_value());
        BOOST_TEST((table.error().reason == Reason::InvalidInput));
    }
}
