#include <LibLedger/FileOperations.h>
#include <LibSettings/DaemonSettings.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Settings;

static const std::string valid = R"(host: a
dataFolder: /tmp/a
hosts:
  - { name: a, failureDomain: d, peerAddress: "127.0.0.1:1", callerAddress: "127.0.0.1:2", replica: true }
)";

BOOST_AUTO_TEST_CASE(example_has_no_fault)
{
    auto text = Ledger::readFile(SOURCE_DIRECTORY "/Base/examples/sassafrasshiftd.yaml");
    BOOST_REQUIRE(text.has_value());
    BOOST_TEST(DaemonSettings::parse(*text, "example").has_value());
}

BOOST_AUTO_TEST_CASE(defaults_hold_where_nothing_is_said)
{
    auto settings = DaemonSettings::parse(valid, "file");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->heartbeatInterval.count() == 500);
    BOOST_TEST(settings->self().failureDomain == "d");
}

BOOST_AUTO_TEST_CASE(every_fault_is_listed_with_its_place)
{
    auto diagnostics = DaemonSettings::parse("host: b\nhearbeatInterval: 1s\nfailureTimeout: 3\nhosts:\n  - name: a\n    failureDomain: d\n    peerAddress: x:1\n    callerAddress: x:1\n", "file.yaml").error();
    auto text = toText(diagnostics);
    BOOST_TEST(text.find("file.yaml:2:1: unknown key \"hearbeatInterval\"; did you mean \"heartbeatInterval\"?") != std::string::npos);
    BOOST_TEST(text.find("file.yaml:3:17: \"failureTimeout\" must be a duration") != std::string::npos);
    BOOST_TEST(text.find("host \"b\" is not listed") != std::string::npos);
    BOOST_TEST(text.find("address \"x:1\" is used twice") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(text_that_is_not_yaml_is_one_fault)
{
    BOOST_TEST(DaemonSettings::parse("a: [", "file").error().size() == 1U);
    BOOST_TEST(DaemonSettings::parse("", "file").error().size() == 1U);
    // Found by FuzzObjects: the YAML library finds documents without end in these.
    for (const auto* text : { ",", "a: b\n---\n,", "\n\n," })
        BOOST_TEST(DaemonSettings::parse(text, "file").error().size() >= 1U);
}
