#include <LibLedger/FileOperations.h>
#include <LibSettings/ClusterSettings.h>
#include <boost/test/unit_test.hpp>
#include <map>
#include <regex>

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

BOOST_AUTO_TEST_CASE(capacity_is_shared_and_tasks_are_separated_only_if_the_settings_say_so)
{
    auto settings = ClusterSettings::parse(requiredKeys + "seeds: [\"127.0.0.1:80\"]\n", "test");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(!settings->shareCapacity);
    BOOST_TEST(settings->queueWeights.empty());
    BOOST_TEST(!settings->separateInterfering);
    settings = ClusterSettings::parse(requiredKeys + "seeds: [\"127.0.0.1:80\"]\nshareCapacity: true\nseparateInterfering: true\nqueueWeights:\n  - { name: q, weight: 2.5 }\n", "test");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->shareCapacity);
    BOOST_TEST(settings->separateInterfering);
    BOOST_TEST(settings->queueWeights.at("q") == 2.5);
    // A weight of zero would starve its share, and a second weight of the same name would be ignored.
    for (const auto* weights : { "[{ name: q, weight: 0 }]", "[{ name: q, weight: 1 }, { name: q, weight: 2 }]" })
        BOOST_TEST(!ClusterSettings::parse(requiredKeys + "seeds: [\"127.0.0.1:80\"]\nqueueWeights: " + weights + "\n", "test").has_value());
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

namespace {

// Fills in the settings template of the deployment: values by name, and sections that are left out where there is no value. A section of
// a list is rendered once for its only value.
std::string renderTemplate(const std::map<std::string, std::string>& values)
{
    auto text = Ledger::readFile(std::string(SOURCE_DIRECTORY) + "/deploy/settings.yaml.template").value_or("");
    static const std::regex section(R"(\{\{#([^}]+)\}\}\n([^]*?)\{\{/\1\}\}\n)");
    static const std::regex placeholder(R"(\{\{([^}]+)\}\})");
    for (std::smatch match; std::regex_search(text, match, section);) {
        auto inner = values.contains(match[1]) ? match[2].str() : std::string();
        text = match.prefix().str() + inner + match.suffix().str();
    }
    for (std::smatch match; std::regex_search(text, match, placeholder);) {
        auto position = values.find(match[1]);
        text = match.prefix().str() + (position == values.end() ? std::string() : position->second) + match.suffix().str();
    }
    return text;
}

std::map<std::string, std::string> valuesOfLedgerHost()
{
    return { { "node", "core-1" }, { "zone", "eros" }, { "ip", "10.1.0.1" }, { "internal_ports.0", "7720" }, { "listen.control", "10.1.0.1:8166" },
        { "seeds", "" }, { ".", "10.1.0.1:8166" }, { "data_dir", "/data" }, { "bootstrap", "true" }, { "bounds.hold_max_ms", "1000" }, { "bounds.grace_s", "6" } };
}

}

// Guards against a deployment that does not pass on how many disks may be lost: the ledger would keep voters for one.
BOOST_AUTO_TEST_CASE(deployment_passes_on_how_many_disks_may_be_lost)
{
    auto values = valuesOfLedgerHost();
    values["fault_tolerance.machines"] = "2";
    auto settings = ClusterSettings::parse(renderTemplate(values), "template");
    BOOST_TEST_REQUIRE(settings.has_value(), (settings ? "" : toText(settings.error())));
    BOOST_TEST(settings->toleratedDiskLosses == 2U);
}

BOOST_AUTO_TEST_CASE(deployment_without_a_number_of_disks_is_valid)
{
    auto settings = ClusterSettings::parse(renderTemplate(valuesOfLedgerHost()), "template");
    BOOST_TEST_REQUIRE(settings.has_value(), (settings ? "" : toText(settings.error())));
    BOOST_TEST(settings->toleratedDiskLosses == 1U);
}
