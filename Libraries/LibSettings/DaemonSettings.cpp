#include <LibBase/Try.h>
#include <LibSettings/DaemonSettings.h>
#include <LibSettings/MappingReader.h>
#include <algorithm>
#include <array>
#include <set>
#include <yaml-cpp/yaml.h>

namespace Sassafrasshift::Settings {

using namespace std::chrono_literals;

static const std::array<std::string, 4> logLevels { "debug", "information", "warning", "error" };

static HostSettings readHost(MappingReader& reader)
{
    HostSettings host;
    host.name = reader.text("name");
    host.failureDomain = reader.text("failureDomain");
    host.peerAddress = reader.text("peerAddress");
    host.callerAddress = reader.text("callerAddress");
    host.replica = reader.boolean("replica", false);
    reader.reportUnexpectedKeys();
    return host;
}

static void readHosts(MappingReader& reader, DaemonSettings& settings)
{
    std::set<std::string> names;
    std::set<std::string> addresses;
    for (auto& hostReader : reader.mappings("hosts")) {
        auto host = readHost(hostReader);
        if (!host.name.empty() && !names.insert(host.name).second)
            hostReader.report("name", "host \"" + host.name + "\" is listed twice");
        for (const auto& [key, address] : { std::pair { "peerAddress", host.peerAddress }, std::pair { "callerAddress", host.callerAddress } }) {
            if (!address.empty() && !addresses.insert(address).second)
                hostReader.report(key, "address \"" + address + "\" is used twice");
        }
        settings.hosts.push_back(std::move(host));
    }
    if (!settings.host.empty() && !names.contains(settings.host))
        reader.report("host", "host \"" + settings.host + "\" is not listed under \"hosts\"");
}

tl::expected<DaemonSettings, Diagnostics> DaemonSettings::parse(const std::string& text, const std::string& file)
{
    Diagnostics diagnostics;
    auto documents = parseDocuments(text, file, diagnostics);
    if (diagnostics.empty() && documents.size() != 1)
        diagnostics.push_back(Diagnostic { file, 1, 1, "exactly one YAML document is expected" });
    if (!diagnostics.empty())
        return tl::unexpected(diagnostics);
    MappingReader reader(documents.front(), file, diagnostics);
    DaemonSettings settings;
    settings.host = reader.text("host");
    settings.dataFolder = reader.text("dataFolder", "");
    settings.timeLineFile = reader.text("timeLineFile", "");
    settings.logLevel = reader.oneOf("logLevel", logLevels, "information");
    settings.maximumBody = reader.bytes("maximumBody", 1024, 1024LL * 1024 * 1024, 16 * 1024 * 1024);
    settings.heartbeatInterval = reader.duration("heartbeatInterval", 10ms, 10s, 500ms);
    settings.failureTimeout = reader.duration("failureTimeout", 50ms, 60s, 1500ms);
    settings.targetLease = reader.duration("targetLease", 100ms, 60s, 2s);
    settings.electionTimeout = reader.duration("electionTimeout", 50ms, 60s, 600ms);
    settings.shutdownTimeout = reader.duration("shutdownTimeout", 1s, 600s, 30s);
    settings.jobKeyRetention = reader.duration("jobKeyRetention", 1min, 7 * 24h, 1h);
    readHosts(reader, settings);
    if (settings.failureTimeout < 2 * settings.heartbeatInterval)
        reader.report("failureTimeout", "\"failureTimeout\" must be at least twice \"heartbeatInterval\"");
    reader.reportUnexpectedKeys();
    if (!diagnostics.empty())
        return tl::unexpected(diagnostics);
    if (settings.self().replica && settings.dataFolder.empty())
        return tl::unexpected(Diagnostics { Diagnostic { file, 1, 1, "a host with a replica requires a \"dataFolder\"" } });
    return settings;
}

const HostSettings& DaemonSettings::self() const
{
    auto position = std::find_if(this->hosts.begin(), this->hosts.end(), [&](const auto& candidate) { return candidate.name == this->host; });
    VERIFY(position != this->hosts.end());
    return *position;
}

}
