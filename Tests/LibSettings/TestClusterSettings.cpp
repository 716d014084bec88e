#include <LibLedger/FileOperations.h>
#include <LibSettings/ClusterSettings.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Settings;

static const std::string requiredKeys = "host: a\nfailureDomain: d\npeerAddress: 127.0.0.1:1\n";

BOOST_AUTO_TEST_CASE(cluster_example_is_valid)
{
    auto text = Ledger::readFile(std::string(SOURCE_DIRECTORY) + "/Base/examples/cluster.yaml");
    BOOST_REQUIRE(text.has_value());
    auto settings = ClusterSettings::parse(*text, "cluster.yaml");
    BOOST_TEST(settings.has_value(), (settings ? "" : toText(settings.error())));
}

BOOST_AUTO_TEST_CASE(seed_port_replaces_the_ports_of_the_seeds)
{
    auto settings = ClusterSettings::parse(requiredKeys + "seeds: [\"127.0.0.1:80\", \"127.0.0.2:80\"]\nseedPort: 7000\ndispatchCores: 0.25\n", "test");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->seeds.at(1) == "127.0.0.2:7000");
    BOOST_TEST(settings->dispatchWeight == 250);
}

BOOST_AUTO_TEST_CASE(tolerated_disk_losses_are_read_and_one_without_a_value)
{
    auto settings = ClusterSettings::parse(requiredKeys + "seeds: [\"127.0.0.1:80\"]\n", "test");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->toleratedDiskLosses == 1U);
    settings = ClusterSettings::parse(requiredKeys + "seeds: [\"127.0.0.1:80\"]\ntoleratedDiskLosses: 2\n", "test");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->toleratedDiskLosses == 2U);
}

BOOST_AUTO_TEST_CASE(tolerated_disk_losses_out_of_range_are_refused_with_the_range)
{
    for (const auto* value : { "-1", "101", "many", "1.5" }) {
        auto settings = ClusterSettings::parse(requiredKeys + "seeds: [\"127.0.0.1:80\"]\ntoleratedDiskLosses: " + value + "\n", "test");
        BOOST_REQUIRE(!settings.has_value());
        auto text = toText(settings.error());
        BOOST_TEST(text.find("toleratedDiskLosses") != std::string::npos);
        BOOST_TEST(text.find("100") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(all_errors_in_cluster_settings_are_reported)
{
    auto settings = ClusterSettings::parse("host: a\npeerAddress: b\njobsAddress: c\nseeds: []\nseedprt: 1\n", "test");
    BOOST_REQUIRE(!settings.has_value());
    auto text = toText(settings.error());
    BOOST_TEST(text.find("failureDomain") != std::string::npos);
    BOOST_TEST(text.find("readinessAddress") != std::string::npos);
    BOOST_TEST(text.find("seedprt") != std::string::npos);
}
