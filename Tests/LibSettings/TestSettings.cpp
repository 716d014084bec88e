#include <LibLedger/FileOperations.h>
#include <LibSettings/DaemonSettings.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Settings;

static const std::string validSettings = R"(host: a
dataFolder: /tmp/a
hosts:
  - { name: a, failureDomain: d, peerAddress: "127.0.0.1:1", callerAddress: "127.0.0.1:2", replica: true }
)";

BOOST_AUTO_TEST_CASE(daemon_example_is_valid)
{
    auto text = Ledger::readFile(SOURCE_DIRECTORY "/Base/examples/sassafrasshiftd.yaml");
    BOOST_REQUIRE(text.has_value());
    BOOST_TEST(DaemonSettings::parse(*text, "example").has_value());
}

BOOST_AUTO_TEST_CASE(missing_keys_read_as_defaults)
{
    auto settings = DaemonSettings::parse(validSettings, "file");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->heartbeatInterval.count() == 500);
    BOOST_TEST(settings->self().failureDomain == "d");
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_with_their_locations)
{
    auto diagnostics = DaemonSettings::parse("host: b\nhearbeatInterval: 1s\nfailureTimeout: 3\nhosts:\n  - name: a\n    failureDomain: d\n    peerAddress: x:1\n    callerAddress: x:1\n", "file.yaml").error();
    auto text = toText(diagnostics);
    BOOST_TEST(text.find("file.yaml:2:1: unknown key \"hearbeatInterval\"; did you mean \"heartbeatInterval\"?") != std::string::npos);
    BOOST_TEST(text.find("file.yaml:3:17: \"failureTimeout\" must be a duration") != std::string::npos);
    BOOST_TEST(text.find("host \"b\" is not listed") != std::string::npos);
    BOOST_TEST(text.find("address \"x:1\" is used twice") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(invalid_yaml_is_reported)
{
    BOOST_TEST(DaemonSettings::parse("a: [", "file").error().size() == 1U);
    BOOST_TEST(DaemonSettings::parse("", "file").error().size() == 1U);
    // Found by FuzzObjects: yaml-cpp parses an endless sequence of documents from these texts.
    for (const auto* text : { ",", "a: b\n---\n,", "\n\n," })
        BOOST_TEST(DaemonSettings::parse(text, "file").error().size() >= 1U);
}
