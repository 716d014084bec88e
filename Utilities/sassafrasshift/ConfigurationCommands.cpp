#include "Command.h"
#include "Connection.h"
#include "Files.h"
#include <LibBase/Random.h>
#include <LibBase/Try.h>
#include <LibLedger/FileOperations.h>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace Sassafrasshift::CommandLine {

using Catalog::SourceFile;
using Json = nlohmann::ordered_json;

static constexpr Milliseconds callTimeout { 10'000 };
static constexpr Milliseconds inForceTimeout { 10'000 };
static constexpr int maximumAttempts = 3;
static constexpr std::string_view drainFileName = "drains.yaml";

static tl::expected<std::vector<SourceFile>, ExitCode> readAndValidate(const std::vector<std::string>& paths)
{
    auto files = readSourceFiles(paths);
    if (!files) {
        reportError(files.error());
        return tl::unexpected(ExitCode::InvalidInputFiles);
    }
    auto catalog = Catalog::Catalog::create(*files);
    if (!catalog) {
        std::cerr << Settings::toText(catalog.error());
        return tl::unexpected(ExitCode::InvalidInputFiles);
    }
    return *files;
}

ExitCode runCheck(const Arguments& arguments)
{
    auto files = readAndValidate(arguments.operands);
    if (!files)
        return files.error();
    std::cout << "no errors in " << files->size() << " files\n";
    return ExitCode::Success;
}

static ErrorOr<Json> fetchConfiguration(const Arguments& arguments)
{
    return callForJson(arguments.entryHosts, { "GET", "/v1/configuration", {}, {} }, callTimeout);
}

static std::vector<SourceFile> filesFromJson(const Json& configuration)
{
    std::vector<SourceFile> files;
    for (const auto& file : configuration["files"])
        files.push_back({ file["name"].get<std::string>(), file["text"].get<std::string>() });
    return files;
}

ExitCode runDiff(const Arguments& arguments)
{
    auto files = readAndValidate(arguments.operands);
    if (!files)
        return files.error();
    auto currentConfiguration = fetchConfiguration(arguments);
    if (!currentConfiguration && currentConfiguration.error().reason != Reason::NoConfiguration)
        return reportError(currentConfiguration.error());
    Catalog::Catalog before;
    if (currentConfiguration) {
        auto currentCatalog = Catalog::Catalog::create(filesFromJson(*currentConfiguration));
        if (currentCatalog)
            before = *currentCatalog;
    }
    auto changes = Catalog::describeChanges(before, *Catalog::Catalog::create(*files));
    if (arguments.output == OutputFormat::Json)
        std::cout << Json(changes).dump() << "\n";
    for (const auto& change : changes) {
        if (arguments.output == OutputFormat::Table)
            std::cout << change << "\n";
    }
    return ExitCode::Success;
}

static std::string authorName(const Arguments& arguments)
{
    const char* user = std::getenv("USER");
    return arguments.option("author", user && *user ? user : "unknown");
}

static Json filesToJson(const std::vector<SourceFile>& files)
{
    Json list = Json::array();
    for (const auto& file : files)
        list.push_back({ { "name", file.name }, { "text", file.text } });
    return list;
}

// Publishes a change, and resends it if its response was lost. The ledger recognizes the change ID of a repeated change and
// returns the first response.
static ErrorOr<Json> sendChange(const Arguments& arguments, uint64_t baseVersion, const std::vector<SourceFile>& files)
{
    auto random = makeEntropySeededRandom();
    Json body { { "baseVersion", baseVersion }, { "changeId", arguments.option("change-id", makeRandomIdentity(random)) }, { "author", authorName(arguments) }, { "files", filesToJson(files) } };
    ErrorOr<Json> result;
    auto entryHosts = arguments.entryHosts;
    for (int attempt = 0; attempt < maximumAttempts; ++attempt) {
        result = callForJson(entryHosts, { "PUT", "/v1/configuration", {}, body.dump() }, callTimeout);
        if (result || result.error().verdict != Verdict::MayHaveRun)
            return result;
        std::rotate(entryHosts.begin(), entryHosts.begin() + 1, entryHosts.end());
    }
    return result;
}

// Waits until every reachable entry host has this version or a later one in force. Returns the time waited, or nothing after
// a timeout.
static std::optional<Milliseconds> waitUntilInForce(const Arguments& arguments, uint64_t version)
{
    auto start = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < start + inForceTimeout) {
        bool inForceEverywhere = true;
        for (const auto& entryHost : arguments.entryHosts) {
            auto status = callForJson({ entryHost }, { "GET", "/v1/status", {}, {} }, callTimeout);
            inForceEverywhere = inForceEverywhere && (!status || (*status)["configurationVersion"].get<uint64_t>() >= version);
        }
        if (inForceEverywhere)
            return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - start);
    }
    return std::nullopt;
}

static ErrorOr<uint64_t> fetchCurrentVersion(const Arguments& arguments)
{
    auto currentConfiguration = fetchConfiguration(arguments);
    if (currentConfiguration)
        return (*currentConfiguration)["version"].get<uint64_t>();
    if (currentConfiguration.error().reason == Reason::NoConfiguration)
        return 0;
    return tl::unexpected(currentConfiguration.error());
}

static ExitCode publishFiles(const Arguments& arguments, uint64_t baseVersion, const std::vector<SourceFile>& files)
{
    auto result = sendChange(arguments, baseVersion, files);
    if (!result)
        return reportError(result.error());
    auto version = (*result)["version"].get<uint64_t>();
    if (arguments.has("wait")) {
        auto elapsed = waitUntilInForce(arguments, version);
        if (!elapsed) {
            std::cerr << "sassafrasshift: version " << version << " was accepted but is not yet in force on every entry host\n";
            return ExitCode::Failure;
        }
        (*result)["inForceMs"] = elapsed->count();
    }
    if (arguments.output == OutputFormat::Json)
        std::cout << result->dump() << "\n";
    else
        std::cout << "published version " << version << "\n";
    return ExitCode::Success;
}

ExitCode runPublish(const Arguments& arguments)
{
    auto files = readAndValidate(arguments.operands);
    if (!files)
        return files.error();
    uint64_t baseVersion = 0;
    if (arguments.has("base-version")) {
        baseVersion = std::strtoull(arguments.option("base-version").c_str(), nullptr, 10);
    } else {
        auto version = fetchCurrentVersion(arguments);
        if (!version)
            return reportError(version.error());
        baseVersion = *version;
    }
    return publishFiles(arguments, baseVersion, *files);
}

ExitCode runGet(const Arguments& arguments)
{
    auto currentConfiguration = fetchConfiguration(arguments);
    if (!currentConfiguration)
        return reportError(currentConfiguration.error());
    if (arguments.has("into")) {
        auto folder = std::filesystem::path(arguments.option("into"));
        std::filesystem::create_directories(folder);
        for (const auto& file : filesFromJson(*currentConfiguration)) {
            auto written = Ledger::replaceFile((folder / std::filesystem::path(file.name).filename()).string(), file.text);
            if (!written)
                return reportError(written.error());
        }
        return ExitCode::Success;
    }
    if (arguments.output == OutputFormat::Json) {
        std::cout << currentConfiguration->dump() << "\n";
        return ExitCode::Success;
    }
    std::cout << "# version " << (*currentConfiguration)["version"] << " by " << (*currentConfiguration)["author"].get<std::string>() << "\n";
    for (const auto& file : filesFromJson(*currentConfiguration))
        std::cout << "---\n# " << file.name << "\n"
                  << file.text;
    return ExitCode::Success;
}

ExitCode runHistory(const Arguments& arguments)
{
    auto history = callForJson(arguments.entryHosts, { "GET", "/v1/configuration/history", {}, {} }, callTimeout);
    if (!history)
        return reportError(history.error());
    if (arguments.output == OutputFormat::Json) {
        std::cout << history->dump() << "\n";
        return ExitCode::Success;
    }
    for (const auto& change : *history)
        std::cout << change["version"] << "\t" << change["publishedAt"] << "\t" << change["author"].get<std::string>() << "\t" << change["changeId"].get<std::string>() << "\n";
    return ExitCode::Success;
}

ExitCode runDrain(const Arguments& arguments)
{
    auto currentConfiguration = fetchConfiguration(arguments);
    if (!currentConfiguration)
        return reportError(currentConfiguration.error());
    auto files = filesFromJson(*currentConfiguration);
    auto position = std::find_if(files.begin(), files.end(), [](const auto& file) { return file.name == drainFileName; });
    if (position == files.end())
        position = files.insert(files.end(), SourceFile { std::string(drainFileName), {} });
    auto document = "---\nkind: drain\nname: " + arguments.operands.front() + "\n";
    auto documentOffset = position->text.find(document);
    bool undo = arguments.has("undo");
    if (undo == (documentOffset == std::string::npos)) {
        std::cout << (undo ? "the target is not drained\n" : "the target is already drained\n");
        return ExitCode::Success;
    }
    if (undo)
        position->text.erase(documentOffset, document.size());
    else
        position->text += document;
    return publishFiles(arguments, (*currentConfiguration)["version"].get<uint64_t>(), files);
}

}
