#include <LibSettings/ClusterSettings.h>
#include <LibSettings/MappingReader.h>
#include <array>
#include <yaml-cpp/yaml.h>

namespace Sassafrasshift::Settings {

using namespace std::chrono_literals;

static const std::array<std::string, 4> logLevels { "debug", "information", "warning", "error" };
static constexpr int64_t milliCoresPerCore = 1000;
static constexpr int64_t maximumCores = 1000;
static constexpr int64_t maximumToleratedDiskLosses = 100;
static constexpr double minimumWeight = 0.01;
static constexpr double maximumWeight = 1000;

// A missing key reads as no weights.
static std::map<std::string, double> readWeights(MappingReader& reader, std::string_view key)
{
    std::map<std::string, double> weights;
    if (!reader.has(key))
        return weights;
    for (auto& entry : reader.mappings(key)) {
        auto name = entry.text("name");
        auto weight = entry.number("weight", minimumWeight, maximumWeight);
        if (!weights.emplace(name, weight).second)
            entry.report("name", "\"" + name + "\" is listed twice");
        entry.reportUnexpectedKeys();
    }
    return weights;
}

tl::expected<ClusterSettings, Diagnostics> ClusterSettings::parse(const std::string& text, const std::string& file)
{
    Diagnostics diagnostics;
    auto documents = parseDocuments(text, file, diagnostics);
    if (diagnostics.empty() && documents.size() != 1)
        diagnostics.push_back(Diagnostic { file, 1, 1, "exactly one YAML document is expected" });
    if (!diagnostics.empty())
        return tl::unexpected(diagnostics);
    MappingReader reader(documents.front(), file, diagnostics);
    ClusterSettings settings;
    settings.host = reader.text("host");
    settings.failureDomain = reader.text("failureDomain");
    settings.peerAddress = reader.text("peerAddress");
    settings.jobsAddress = reader.text("jobsAddress", "");
    settings.readinessAddress = reader.text("readinessAddress", "");
    settings.controlAddress = reader.text("controlAddress", "");
    settings.metricsAddress = reader.text("metricsAddress", "");
    settings.seeds = reader.textList("seeds");
    // A seed may be listed under another of its addresses, with a different port. All members listen for peers on one
    // port, which replaces the listed one.
    auto seedPort = reader.integer("seedPort", 0, 65'535, 0);
    if (seedPort > 0) {
        for (auto& seed : settings.seeds)
            seed = seed.substr(0, seed.find(':')) + ":" + std::to_string(seedPort);
    }
    settings.dataFolder = reader.text("dataFolder", "");
    settings.firstStart = reader.boolean("firstStart", false);
    settings.toleratedDiskLosses = static_cast<size_t>(reader.integer("toleratedDiskLosses", 0, maximumToleratedDiskLosses, 1));
    settings.logLevel = reader.oneOf("logLevel", logLevels, "information");
    auto cores = reader.number("dispatchCores", 0, maximumCores, 0);
    settings.dispatchWeight = static_cast<int64_t>(cores * milliCoresPerCore);
    auto relayCores = reader.number("orderRelayCores", 0, maximumCores, 0);
    settings.orderRelayWeight = static_cast<int64_t>(relayCores * milliCoresPerCore);
    settings.maximumLease = reader.duration("maximumLease", 100ms, 600s, 1s);
    settings.shareCapacity = reader.boolean("shareCapacity", false);
    settings.separateInterfering = reader.boolean("separateInterfering", false);
    settings.domainWeights = readWeights(reader, "domainWeights");
    settings.queueWeights = readWeights(reader, "queueWeights");
    settings.shutdownTimeout = reader.duration("shutdownTimeout", 1s, 600s, 30s);
    if (settings.jobsAddress.empty() != settings.readinessAddress.empty())
        reader.report("readinessAddress", "\"jobsAddress\" and \"readinessAddress\" must be set together");
    reader.reportUnexpectedKeys();
    if (!diagnostics.empty())
        return tl::unexpected(diagnostics);
    return settings;
}

}
