#include "Command.h"
#include "Connection.h"
#include <LibBase/Clock.h>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>

namespace Sassafrasshift::CommandLine {

using Json = nlohmann::ordered_json;

static constexpr Milliseconds callTimeout { 10'000 };
static constexpr Milliseconds jobTimeout { 600'000 };
static constexpr int maximumAttempts = 3;

ExitCode runSubmit(const Arguments& arguments)
{
    auto createdAt = arguments.has("created-at") ? std::strtoll(arguments.option("created-at").c_str(), nullptr, 10) : toUnixMilliseconds(SystemClock().wallNow());
    Json body { { "taskKind", arguments.option("task-kind") }, { "createdAt", createdAt }, { "tasks", std::vector<std::string>(arguments.operands.begin() + 1, arguments.operands.end()) } };
    if (arguments.has("team"))
        body["team"] = arguments.option("team");
    ErrorOr<Json> result;
    // Submission is idempotent: a retry with the same key joins the running job.
    for (int attempt = 0; attempt < maximumAttempts; ++attempt) {
        result = callForJson(arguments.entryHosts, { "POST", "/v1/jobs/" + arguments.operands.front(), {}, body.dump() }, jobTimeout);
        if (result || result.error().reason != Reason::ConnectionLost)
            break;
    }
    if (!result)
        return reportError(result.error());
    if (arguments.output == OutputFormat::Json) {
        std::cout << result->dump() << "\n";
        return ExitCode::Success;
    }
    for (const auto& answer : (*result)["answers"])
        std::cout << answer.get<std::string>() << "\n";
    return ExitCode::Success;
}

ExitCode runCancel(const Arguments& arguments)
{
    auto result = callForJson(arguments.entryHosts, { "DELETE", "/v1/jobs/" + arguments.operands.front(), {}, {} }, callTimeout);
    if (!result)
        return reportError(result.error());
    std::cout << (arguments.output == OutputFormat::Json ? result->dump() : "cancellation recorded") << "\n";
    return ExitCode::Success;
}

static void printHosts(const Json& status)
{
    for (const auto& [host, state] : status["hosts"].items()) {
        std::cout << host << "\t" << state["failureDomain"].get<std::string>() << "\t" << (state["serving"].get<bool>() ? "serving" : state["alive"].get<bool>() ? "leaving"
                                                                                                                                                                 : "silent")
                  << "\tversion " << state["configurationVersion"] << "\n";
    }
}

ExitCode runStatus(const Arguments& arguments)
{
    auto status = callForJson(arguments.entryHosts, { "GET", "/v1/status", {}, {} }, callTimeout);
    if (!status)
        return reportError(status.error());
    if (arguments.has("targets")) {
        auto targets = callForJson(arguments.entryHosts, { "GET", "/v1/targets", {}, {} }, callTimeout);
        if (!targets)
            return reportError(targets.error());
        (*status)["targets"] = *targets;
    }
    if (arguments.output == OutputFormat::Json) {
        std::cout << status->dump() << "\n";
        return ExitCode::Success;
    }
    const auto& ledger = (*status)["ledger"];
    std::cout << "response from " << (*status)["host"].get<std::string>() << ", dispatcher of its failure domain: " << (*status)["dispatcher"].get<std::string>() << "\n"
              << "ledger leader " << ledger["leader"].get<std::string>() << " in term " << ledger["term"] << "\n";
    if (ledger.contains("damage"))
        std::cout << "the ledger replica of this host is damaged: " << ledger["damage"].get<std::string>() << "\n";
    printHosts(*status);
    if (status->contains("targets")) {
        for (const auto& target : (*status)["targets"])
            std::cout << target["identity"].get<std::string>() << "\t" << target["pool"].get<std::string>() << "\t" << target["state"].get<std::string>() << "\tgrants " << target["grants"] << (target["ejected"].get<bool>() ? "\tejected" : "") << "\n";
    }
    return ExitCode::Success;
}

ExitCode runCompletion(const Arguments&)
{
    std::cout << "_sassafrasshift() {\n    local current=${COMP_WORDS[COMP_CWORD]}\n    if [ \"$COMP_CWORD\" -eq 1 ]; then\n        COMPREPLY=($(compgen -W '";
    for (const auto& command : allCommands())
        std::cout << command.name << " ";
    std::cout << "' -- \"$current\"))\n        return\n    fi\n    case ${COMP_WORDS[1]} in\n";
    for (const auto& command : allCommands()) {
        std::cout << "    " << command.name << ") COMPREPLY=($(compgen -f -W '--entry --output --help";
        for (const auto& option : command.options)
            std::cout << " --" << option.name;
        std::cout << "' -- \"$current\")) ;;\n";
    }
    std::cout << "    esac\n}\ncomplete -o filenames -F _sassafrasshift sassafrasshift\n";
    return ExitCode::Success;
}

}
