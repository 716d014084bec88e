#include <LibCatalog/Catalog.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift::Catalog;

static const std::string validObjects = R"(kind: failureDomain
name: katutura
region: khomas
---
kind: pool
name: desks
targets: executor
failureDomains: [katutura]
---
kind: policy
name: urgent
---
kind: service
name: rota
pool: desks
policy: urgent
)";

static std::string diagnosticsOf(const std::string& text)
{
    auto result = Catalog::create({ { "objects.yaml", text } });
    return result ? "" : Sassafrasshift::Settings::toText(result.error());
}

BOOST_AUTO_TEST_CASE(valid_set_is_accepted)
{
    auto catalog = Catalog::create({ { "objects.yaml", validObjects } });
    BOOST_REQUIRE(catalog.has_value());
    BOOST_REQUIRE(catalog->findService("rota"));
    // A service is not idempotent by default, so that no request runs twice unless the operator allows it.
    BOOST_TEST(!catalog->findService("rota")->idempotent);
    BOOST_TEST(!catalog->findService("other"));
}

BOOST_AUTO_TEST_CASE(references_may_cross_files)
{
    auto split = validObjects.find("---\nkind: service");
    BOOST_TEST(Catalog::create({ { "a.yaml", validObjects.substr(split) }, { "b.yaml", validObjects.substr(0, split) } }).has_value());
}

BOOST_AUTO_TEST_CASE(unknown_reference_suggests_the_nearest_name)
{
    auto text = diagnosticsOf(validObjects + "---\nkind: service\nname: second\npool: desk\npolicy: urgent\n");
    BOOST_TEST(text == "objects.yaml:20:7: there is no pool \"desk\"; did you mean \"desks\"?\n");
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_together)
{
    auto text = diagnosticsOf("kind: servise\nname: a\n---\nkind: policy\nname: p\nqueueLimit: -1\nextra: 1\n---\nkind: policy\nname: p\n");
    BOOST_TEST(text.find("unknown kind \"servise\"; did you mean \"service\"?") != std::string::npos);
    BOOST_TEST(text.find("\"queueLimit\" must be an integer") != std::string::npos);
    BOOST_TEST(text.find("unknown key \"extra\"") != std::string::npos);
    BOOST_TEST(text.find("duplicate name \"p\" for objects of this kind") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(overflow_cycle_is_reported)
{
    auto text = diagnosticsOf(validObjects + "---\nkind: pool\nname: x\ntargets: executor\nfailureDomains: [katutura]\noverflow: y\n---\nkind: pool\nname: y\ntargets: executor\nfailureDomains: [katutura]\noverflow: x\n");
    BOOST_TEST(text.find("objects.yaml:19:7: pool \"x\" overflows into itself") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(task_kind_requires_a_pool_of_workers)
{
    auto text = diagnosticsOf(validObjects + "---\nkind: taskKind\nname: t\npool: desks\npolicy: urgent\n");
    BOOST_TEST(text.find("task kind \"t\" requires a pool of workers") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(added_and_removed_objects_are_described)
{
    auto before = *Catalog::create({ { "a", validObjects } });
    auto after = *Catalog::create({ { "a", validObjects + "---\nkind: drain\nname: ex-1\n" } });
    BOOST_TEST(describeChanges(before, after).front() == "added drain ex-1");
    BOOST_TEST(describeChanges(after, before).front() == "removed drain ex-1");
}
