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
    BOOST_TEST(!settings->limitAdmission);
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

BOOST_AUTO_TEST_CASE(relays_are_used_by_a_dispatcher_with_fewer_cores_than_the_settings_say)
{
    auto parse = [](const std::string& text) { return ClusterSettings::parse(requiredKeys + "seeds: [\"127.0.0.1:80\"]\n" + text, "test"); };
    BOOST_TEST(!parse("")->usesOrderRelays());
    BOOST_TEST(!parse("dispatchCores: 0.12\n")->usesOrderRelays());
    BOOST_TEST(parse("dispatchCores: 0.12\norderRelayCores: 0.15\n")->usesOrderRelays());
    BOOST_TEST(!parse("dispatchCores: 0.15\norderRelayCores: 0.15\n")->usesOrderRelays());
    for (const auto* value : { "-1", "1001", "many" }) {
        auto settings = parse(std::string("orderRelayCores: ") + value + "\n");
        BOOST_REQUIRE(!settings.has_value());
        BOOST_TEST(toText(settings.error()).find("orderRelayCores") != std::string::npos);
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

BOOST_AUTO_TEST_CASE(deployment_lists_its_failure_domains)
{
    auto values = valuesOfLedgerHost();
    auto settings = ClusterSettings::parse(renderTemplate(values), "template");
    BOOST_TEST_REQUIRE(settings.has_value(), (settings ? "" : toText(settings.error())));
    BOOST_TEST(settings->failureDomains.empty());
    values["zones"] = "yes";
    values["@"] = "north";
    settings = ClusterSettings::parse(renderTemplate(values), "template");
    BOOST_TEST_REQUIRE(settings.has_value(), (settings ? "" : toText(settings.error())));
    BOOST_TEST(settings->failureDomains == std::vector<std::string> { "north" });
}

BOOST_AUTO_TEST_CASE(failure_domains_are_bounded)
{
    std::string list;
    for (int index = 0; index <= 1000; ++index)
        list += "d" + std::to_string(index) + ",";
    auto settings = ClusterSettings::parse(requiredKeys + "seeds: [\"127.0.0.1:80\"]\nfailureDomains: [" + list + "]\n", "test");
    BOOST_REQUIRE(!settings.has_value());
    BOOST_TEST(toText(settings.error()).find("failureDomains") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(deployment_without_a_number_of_disks_is_valid)
{
    auto settings = ClusterSettings::parse(renderTemplate(valuesOfLedgerHost()), "template");
    BOOST_TEST_REQUIRE(settings.has_value(), (settings ? "" : toText(settings.error())));
    BOOST_TEST(settings->toleratedDiskLosses == 1U);
}

// Guards against a deployment that does not pass on the limits of its hosts: nothing would limit hostile clients there.
BOOST_AUTO_TEST_CASE(deployment_passes_on_the_limits_of_the_host)
{
    auto values = valuesOfLedgerHost();
    values["limits.memory_mb"] = "120";
    values["limits.max_fds"] = "3075";
    auto settings = ClusterSettings::parse(renderTemplate(values), "template");
    BOOST_TEST_REQUIRE(settings.has_value(), (settings ? "" : toText(settings.error())));
    BOOST_TEST(settings->memoryLimit == 120'000'000);
    BOOST_TEST(settings->descriptorLimit == 3075);
    BOOST_TEST(settings->controlLimits.memory == 32'400'000);
    BOOST_TEST(settings->controlLimits.connections == 1153);
    BOOST_TEST(settings->peerLimits.connections == 384);
    BOOST_TEST(settings->controlLimits.connectionsPerAddress == 0);
}

// Guards against limits in a deployment that did not ask for them.
BOOST_AUTO_TEST_CASE(nothing_is_limited_without_the_limits_of_the_host)
{
    auto settings = ClusterSettings::parse(requiredKeys + "seeds: [\"127.0.0.1:80\"]\n", "test");
    BOOST_REQUIRE(settings.has_value());
    PortLimits unlimited;
    unlimited.requestTimeout = settings->jobsLimits.requestTimeout;
    unlimited.answerTimeout = settings->jobsLimits.answerTimeout;
    for (const auto& limits : { settings->jobsLimits, settings->controlLimits, settings->readinessLimits, settings->metricsLimits, settings->peerLimits })
        BOOST_TEST((limits == unlimited));
    BOOST_TEST(settings->targetAnswerMemory == 0);
}

BOOST_AUTO_TEST_CASE(limits_of_a_port_are_read_and_validated)
{
    const auto* valid = "memoryLimit: 200MB\nportLimits:\n  jobs:\n    memory: 8MB\n    connections: 50\n    connectionsPerAddress: 7\n    pipelinedRequests: 3\n    headerFields: 99\n    headerBytes: 32KiB\n    requestTimeout: 5s\n    answerTimeout: 6s\n";
    auto settings = ClusterSettings::parse(requiredKeys + "seeds: [\"127.0.0.1:80\"]\n" + valid, "test");
    BOOST_TEST_REQUIRE(settings.has_value(), (settings ? "" : toText(settings.error())));
    BOOST_TEST((settings->jobsLimits == PortLimits { 8'000'000, 50, 7, 3, 99, 32'768, Milliseconds(5000), Milliseconds(6000) }));
    BOOST_TEST(settings->peerLimits.memory == 24'000'000);
    for (const auto* value : { "memoryLimit: 120", "memoryLimit: 1MB", "descriptorLimit: 63", "descriptorLimit: many", "portLimits: 7", "portLimits: { job: { memory: 8MB } }",
             "portLimits: { jobs: { memory: 8 } }", "portLimits: { jobs: { memry: 8MB } }", "portLimits: { peers: { requestTimeout: 0s } }", "portLimits: { peers: { connections: 15 } }" }) {
        settings = ClusterSettings::parse(requiredKeys + "seeds: [\"127.0.0.1:80\"]\n" + value + "\n", "test");
        BOOST_TEST(!settings.has_value(), value);
    }
}
