#include <LibSettings/ClusterSettings.h>
#include <LibSettings/MappingReader.h>
#include <algorithm>
#include <array>
#include <yaml-cpp/yaml.h>

namespace Sassafrasshift::Settings {

using namespace std::chrono_literals;

static const std::array<std::string, 4> logLevels { "debug", "information", "warning", "error" };
static constexpr int64_t maximumCores = 1000;
static constexpr int64_t maximumToleratedDiskLosses = 100;
static constexpr size_t maximumFailureDomains = 1000;
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

static constexpr int64_t minimumMemoryLimit = 16'000'000;
static constexpr int64_t maximumMemoryLimit = 1'000'000'000'000;
static constexpr int64_t minimumDescriptorLimit = 64;
static constexpr int64_t maximumDescriptorLimit = 10'000'000;

// The shares of a port in the limits of its host, in thousandths. They add up to about half of the memory, since the process itself, what
// the C library retains, and what arrives between two measurements need the rest, and to at most 69 % of the descriptors, since
// connections to members and targets need the rest.
struct PortShares {
    int64_t memory;
    int64_t connections;
};
static constexpr PortShares callersShares { 150, 375 };
static constexpr PortShares controlShares { 120, 125 };
// For the port of callers on a host without a control address, and the other way round.
static constexpr PortShares onlyServiceShares { 270, 375 };
static constexpr PortShares peerShares { 120, 125 };
static constexpr PortShares readinessShares { 20, 32 };
static constexpr PortShares metricsShares { 40, 32 };
static constexpr int64_t targetAnswerShare = 60;
static constexpr int64_t thousandths = 1000;
// One message of a member may contain a published document of 8 MiB, or a snapshot with several.
static constexpr int64_t minimumPeerMemory = 16 * 1024 * 1024;
static constexpr int64_t minimumPortMemory = 1024 * 1024;
static constexpr int64_t minimumPortConnections = 16;
// Above what published documents allow, 16 KiB, which is 4,096 fields of 4 bytes.
static constexpr int64_t defaultHeaderFields = 4096;
static constexpr int64_t defaultHeaderBytes = 64 * 1024;
static constexpr int64_t defaultPipelinedRequests = 256;
// Ten times the time that a published document allows for a head.
static constexpr Milliseconds defaultTransferTimeout { 30'000 };
// Where the settings name no limits of the host: the time after which the HTTP library itself closes a connection without a complete request.
static constexpr Milliseconds unlimitedTransferTimeout { 60'000 };
static constexpr int64_t maximumCount = 10'000'000;
static constexpr int64_t minimumHeaderFields = 16;
static constexpr int64_t minimumHeaderBytes = 1024;
// Below the 408 KiB from which h2o itself refuses a head (H2O_MAX_REQLEN).
static constexpr int64_t maximumHeaderBytes = 400 * 1024;

static PortLimits readPortLimits(std::optional<MappingReader> reader, const ClusterSettings& settings, PortShares shares, int64_t minimumMemory = minimumPortMemory)
{
    PortLimits limits;
    bool isLimited = settings.memoryLimit > 0 || settings.descriptorLimit > 0;
    if (settings.memoryLimit > 0)
        limits.memory = std::max(settings.memoryLimit / thousandths * shares.memory, minimumMemory);
    if (settings.descriptorLimit > 0)
        limits.connections = std::max(settings.descriptorLimit * shares.connections / thousandths, minimumPortConnections);
    if (isLimited) {
        limits.pipelinedRequests = defaultPipelinedRequests;
        limits.headerFields = defaultHeaderFields;
        limits.headerBytes = defaultHeaderBytes;
    }
    limits.requestTimeout = isLimited ? defaultTransferTimeout : unlimitedTransferTimeout;
    limits.answerTimeout = limits.requestTimeout;
    if (!reader)
        return limits;
    limits.memory = reader->bytes("memory", minimumPortMemory, maximumMemoryLimit, limits.memory);
    limits.connections = reader->integer("connections", minimumPortConnections, maximumCount, limits.connections);
    limits.connectionsPerAddress = reader->integer("connectionsPerAddress", 1, maximumCount, limits.connectionsPerAddress);
    limits.pipelinedRequests = reader->integer("pipelinedRequests", 1, maximumCount, limits.pipelinedRequests);
    limits.headerFields = reader->integer("headerFields", minimumHeaderFields, maximumCount, limits.headerFields);
    limits.headerBytes = reader->bytes("headerBytes", minimumHeaderBytes, maximumHeaderBytes, limits.headerBytes);
    limits.requestTimeout = reader->duration("requestTimeout", 1s, 600s, limits.requestTimeout);
    limits.answerTimeout = reader->duration("answerTimeout", 1s, 600s, limits.answerTimeout);
    reader->reportUnexpectedKeys();
    return limits;
}

static void readLimits(MappingReader& reader, ClusterSettings& settings)
{
    settings.memoryLimit = reader.bytes("memoryLimit", minimumMemoryLimit, maximumMemoryLimit, 0);
    settings.descriptorLimit = reader.integer("descriptorLimit", minimumDescriptorLimit, maximumDescriptorLimit, 0);
    settings.targetAnswerMemory = reader.bytes("targetAnswerMemory", minimumPortMemory, maximumMemoryLimit, settings.memoryLimit / thousandths * targetAnswerShare);
    auto ports = reader.mapping("portLimits");
    bool servesBoth = !settings.jobsAddress.empty() && !settings.controlAddress.empty();
    auto read = [&](std::string_view port, PortShares shares, int64_t minimumMemory = minimumPortMemory) {
        return readPortLimits(ports ? ports->mapping(port) : std::nullopt, settings, shares, minimumMemory);
    };
    settings.jobsLimits = read("jobs", servesBoth ? callersShares : onlyServiceShares);
    settings.controlLimits = read("control", servesBoth ? controlShares : onlyServiceShares);
    settings.readinessLimits = read("readiness", readinessShares);
    settings.metricsLimits = read("metrics", metricsShares);
    settings.peerLimits = read("peers", peerShares, minimumPeerMemory);
    if (ports)
        ports->reportUnexpectedKeys();
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
    settings.failureDomains = reader.textList("failureDomains");
    if (settings.failureDomains.size() > maximumFailureDomains)
        reader.report("failureDomains", "\"failureDomains\" must have at most " + std::to_string(maximumFailureDomains) + " entries");
    settings.logLevel = reader.oneOf("logLevel", logLevels, "information");
    auto cores = reader.number("dispatchCores", 0, maximumCores, 0);
    settings.dispatchWeight = static_cast<int64_t>(cores * milliCoresPerCore);
    auto relayCores = reader.number("orderRelayCores", 0, maximumCores, 0);
    settings.orderRelayWeight = static_cast<int64_t>(relayCores * milliCoresPerCore);
    settings.maximumLease = reader.duration("maximumLease", 100ms, 600s, 1s);
    settings.limitAdmission = reader.boolean("limitAdmission", false);
    settings.shareCapacity = reader.boolean("shareCapacity", false);
    settings.separateInterfering = reader.boolean("separateInterfering", false);
    settings.domainWeights = readWeights(reader, "domainWeights");
    settings.queueWeights = readWeights(reader, "queueWeights");
    settings.shutdownTimeout = reader.duration("shutdownTimeout", 1s, 600s, 30s);
    readLimits(reader, settings);
    if (settings.jobsAddress.empty() != settings.readinessAddress.empty())
        reader.report("readinessAddress", "\"jobsAddress\" and \"readinessAddress\" must be set together");
    reader.reportUnexpectedKeys();
    if (!diagnostics.empty())
        return tl::unexpected(diagnostics);
    return settings;
}

}
