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
static constexpr int attemptsToSend = 3;
static constexpr std::string_view drainFile = "drains.yaml";

static tl::expected<std::vector<SourceFile>, ExitCode> readAndCheck(const std::vector<std::string>& paths)
{
    auto files = readSourceFiles(paths);
    if (!files) {
        reportError(files.error());
        return tl::unexpected(ExitCode::Faults);
    }
    auto checked = Catalog::Catalog::create(*files);
    if (!checked) {
        std::cerr << Settings::toText(checked.error());
        return tl::unexpected(ExitCode::Faults);
    }
    return *files;
}

ExitCode runCheck(const Arguments& arguments)
{
    auto files = readAndCheck(arguments.operands);
    if (!files)
        return files.error();
    std::cout << "no faults in " << files->size() << " files\n";
    return ExitCode::Success;
}

static ErrorOr<Json> getConfiguration(const Arguments& arguments)
{
    return callForJson(arguments.entries, { "GET", "/v1/configuration", {}, {} }, callTimeout);
}

static std::vector<SourceFile> filesOf(const Json& configuration)
{
    std::vector<SourceFile> files;
    for (const auto& file : configuration["files"])
        files.push_back({ file["name"].get<std::string>(), file["text"].get<std::string>() });
    return files;
}

ExitCode runDiff(const Arguments& arguments)
{
    auto files = readAndCheck(arguments.operands);
    if (!files)
        return files.error();
    auto inForce = getConfiguration(arguments);
    if (!inForce && inForce.error().reason != Reason::NoConfiguration)
        return reportError(inForce.error());
    Catalog::Catalog before;
    if (inForce) {
        auto known = Catalog::Catalog::create(filesOf(*inForce));
        if (known)
            before = *known;
    }
    auto changes = Catalog::describeChanges(before, *Catalog::Catalog::create(*files));
    if (arguments.output == OutputForm::Json)
        std::cout << Json(changes).dump() << "\n";
    for (const auto& change : changes) {
        if (arguments.output == OutputForm::Table)
            std::cout << change << "\n";
    }
    return ExitCode::Success;
}

static std::string authorOf(const Arguments& arguments)
{
    const char* user = std::getenv("USER");
    return arguments.option("author", user && *user ? user : "unknown");
}

static Json makeFiles(const std::vector<SourceFile>& files)
{
    Json list = Json::array();
    for (const auto& file : files)
        list.push_back({ { "name", file.name }, { "text", file.text } });
    return list;
}

// A change whose answer was lost is sent again under its id, and gets the first answer.
static ErrorOr<Json> sendChange(const Arguments& arguments, uint64_t baseVersion, const std::vector<SourceFile>& files)
{
    auto random = makeSeededRandom();
    Json body { { "baseVersion", baseVersion }, { "changeId", arguments.option("change-id", makeRandomIdentity(random)) }, { "author", authorOf(arguments) }, { "files", makeFiles(files) } };
    ErrorOr<Json> result;
    auto entries = arguments.entries;
    for (int attempt = 0; attempt < attemptsToSend; ++attempt) {
        result = callForJson(entries, { "PUT", "/v1/configuration", {}, body.dump() }, callTimeout);
        if (result || result.error().verdict != Verdict::MayHaveRun)
            return result;
        std::rotate(entries.begin(), entries.begin() + 1, entries.end());
    }
    return result;
}

// The time from now until every live host has the version in force; nothing where that takes too long.
static std::optional<Milliseconds> waitUntilInForce(const Arguments& arguments, uint64_t version)
{
    auto start = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < start + inForceTimeout) {
        bool everywhere = true;
        for (const auto& entry : arguments.entries) {
            auto status = callForJson({ entry }, { "GET", "/v1/status", {}, {} }, callTimeout);
            everywhere = everywhere && (!status || (*status)["configurationVersion"].get<uint64_t>() >= version);
        }
        if (everywhere)
            return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - start);
    }
    return std::nullopt;
}

static ErrorOr<uint64_t> versionInForce(const Arguments& arguments)
{
    auto inForce = getConfiguration(arguments);
    if (inForce)
        return (*inForce)["version"].get<uint64_t>();
    if (inForce.error().reason == Reason::NoConfiguration)
        return 0;
    return tl::unexpected(inForce.error());
}

static ExitCode publishFiles(const Arguments& arguments, uint64_t base, const std::vector<SourceFile>& files)
{
    auto result = sendChange(arguments, base, files);
    if (!result)
        return reportError(result.error());
    auto version = (*result)["version"].get<uint64_t>();
    if (arguments.has("wait")) {
        auto elapsed = waitUntilInForce(arguments, version);
        if (!elapsed) {
            std::cerr << "sassafrasshift: version " << version << " is accepted, but not in force everywhere yet\n";
            return ExitCode::Failure;
        }
        (*result)["inForceMs"] = elapsed->count();
    }
    if (arguments.output == OutputForm::Json)
        std::cout << result->dump() << "\n";
    else
        std::cout << "published version " << version << "\n";
    return ExitCode::Success;
}

ExitCode runPublish(const Arguments& arguments)
{
    auto files = readAndCheck(arguments.operands);
    if (!files)
        return files.error();
    uint64_t base = 0;
    if (arguments.has("base-version")) {
        base = std::strtoull(arguments.option("base-version").c_str(), nullptr, 10);
    } else {
        auto version = versionInForce(arguments);
        if (!version)
            return reportError(version.error());
        base = *version;
    }
    return publishFiles(arguments, base, *files);
}

ExitCode runGet(const Arguments& arguments)
{
    auto inForce = getConfiguration(arguments);
    if (!inForce)
        return reportError(inForce.error());
    if (arguments.has("into")) {
        auto folder = std::filesystem::path(arguments.option("into"));
        std::filesystem::create_directories(folder);
        for (const auto& file : filesOf(*inForce)) {
            auto written = Ledger::replaceFile((folder / std::filesystem::path(file.name).filename()).string(), file.text);
            if (!written)
                return reportError(written.error());
        }
        return ExitCode::Success;
    }
    if (arguments.output == OutputForm::Json) {
        std::cout << inForce->dump() << "\n";
        return ExitCode::Success;
    }
    std::cout << "# version " << (*inForce)["version"] << " by " << (*inForce)["author"].get<std::string>() << "\n";
    for (const auto& file : filesOf(*inForce))
        std::cout << "---\n# " << file.name << "\n"
                  << file.text;
    return ExitCode::Success;
}

ExitCode runHistory(const Arguments& arguments)
{
    auto history = callForJson(arguments.entries, { "GET", "/v1/configuration/history", {}, {} }, callTimeout);
    if (!history)
        return reportError(history.error());
    if (arguments.output == OutputForm::Json) {
        std::cout << history->dump() << "\n";
        return ExitCode::Success;
    }
    for (const auto& entry : *history)
        std::cout << entry["version"] << "\t" << entry["publishedAt"] << "\t" << entry["author"].get<std::string>() << "\t" << entry["changeId"].get<std::string>() << "\n";
    return ExitCode::Success;
}

ExitCode runDrain(const Arguments& arguments)
{
    auto inForce = getConfiguration(arguments);
    if (!inForce)
        return reportError(inForce.error());
    auto files = filesOf(*inForce);
    auto position = std::find_if(files.begin(), files.end(), [](const auto& file) { return file.name == drainFile; });
    if (position == files.end())
        position = files.insert(files.end(), SourceFile { std::string(drainFile), {} });
    auto document = "---\nkind: drain\nname: " + arguments.operands.front() + "\n";
    auto found = position->text.find(document);
    bool undo = arguments.has("undo");
    if (undo == (found == std::string::npos)) {
        std::cout << (undo ? "the target is not drained\n" : "the target is drained already\n");
        return ExitCode::Success;
    }
    if (undo)
        position->text.erase(found, document.size());
    else
        position->text += document;
    return publishFiles(arguments, (*inForce)["version"].get<uint64_t>(), files);
}

}
