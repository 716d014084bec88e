#include "LoadProfile.h"
#include <LibSettings/MappingReader.h>
#include <yaml-cpp/yaml.h>

namespace Sassafrasshift::CommandLine {

using namespace std::chrono_literals;
using Settings::Diagnostics;
using Settings::MappingReader;

static RunTimeRange readRunTime(MappingReader& reader, const std::string& prefix)
{
    RunTimeRange range;
    range.minimum = reader.duration(prefix + "Minimum", 0ms, 60s, 50ms);
    range.maximum = reader.duration(prefix + "Maximum", 0ms, 60s, 1000ms);
    if (range.maximum < range.minimum)
        reader.report(prefix + "Maximum", "\"" + prefix + "Maximum\" must not be less than \"" + prefix + "Minimum\"");
    return range;
}

tl::expected<LoadProfile, Diagnostics> LoadProfile::parse(const std::string& text, const std::string& file)
{
    Diagnostics diagnostics;
    auto documents = Settings::parseDocuments(text, file, diagnostics);
    if (diagnostics.empty() && documents.size() != 1)
        diagnostics.push_back({ file, 1, 1, "exactly one YAML document is expected" });
    if (!diagnostics.empty())
        return tl::unexpected(diagnostics);
    MappingReader reader(documents.front(), file, diagnostics);
    LoadProfile profile;
    profile.name = reader.text("name");
    profile.duration = reader.duration("duration", 100ms, 1h, 10s);
    profile.seed = static_cast<uint64_t>(reader.integer("seed", 0, INT64_MAX, 1));
    profile.teams = reader.textList("teams");
    profile.patience = reader.duration("patience", 100ms, 10min, 30s);
    profile.service = reader.text("service", "");
    profile.serviceIdempotent = reader.boolean("serviceIdempotent", false);
    profile.requestRate = reader.number("requestRate", 0, 100'000, 0);
    profile.requestRunTime = readRunTime(reader, "requestRunTime");
    profile.bodyBytes = reader.bytes("body", 0, 64 * 1024 * 1024, 200);
    profile.taskKind = reader.text("taskKind", "");
    profile.jobRate = reader.number("jobRate", 0, 100'000, 0);
    profile.minimumWidth = reader.integer("widthMinimum", 1, 130, 1);
    profile.maximumWidth = reader.integer("widthMaximum", profile.minimumWidth, 130, profile.minimumWidth);
    profile.taskRunTime = readRunTime(reader, "taskRunTime");
    profile.resubmitShare = reader.number("resubmitShare", 0, 1, 0);
    profile.cancelShare = reader.number("cancelShare", 0, 1, 0);
    profile.burstInterval = reader.duration("burstInterval", 0ms, 1h, 0ms);
    profile.burstLength = reader.duration("burstLength", 0ms, 1h, 0ms);
    profile.burstFactor = reader.number("burstFactor", 1, 100, 1);
    reader.reportUnexpectedKeys();
    if (profile.requestRate > 0 && profile.service.empty())
        reader.report("requestRate", "\"requestRate\" requires a \"service\"");
    if (profile.jobRate > 0 && profile.taskKind.empty())
        reader.report("jobRate", "\"jobRate\" requires a \"taskKind\"");
    if (!diagnostics.empty())
        return tl::unexpected(diagnostics);
    return profile;
}

}
