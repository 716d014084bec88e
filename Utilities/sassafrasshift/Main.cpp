#include "Command.h"
#include <algorithm>
#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <sstream>

namespace Sassafrasshift::CommandLine {

static const std::vector<OptionDefinition> commonOptions {
    { "entry", "ADDRESS:PORT,...", "entry hosts, tried in order (default: $SASSAFRASSHIFT_ENTRY, or 127.0.0.1:8101)" },
    { "output", "table|json", "output format (default: table)" },
    { "help", "", "print this help" },
};

const std::vector<CommandDefinition>& allCommands()
{
    static const std::vector<CommandDefinition> commands {
        { "check", "FILE...", "validate files of configuration objects as one set and list every error", "sassafrasshift check objects/*.yaml", {}, 1, runCheck },
        { "diff", "FILE...", "show what publishing the files would change", "sassafrasshift diff --entry 127.0.1.1:8101 objects/*.yaml", {}, 1, runDiff },
        { "publish", "FILE...", "replace the whole configuration with the objects in the files", "sassafrasshift publish --author eva objects/*.yaml",
            { { "author", "NAME", "author of the change (default: $USER)" }, { "base-version", "N", "version that the change is based on (default: the version in force)" }, { "change-id", "ID", "idempotency key of the change; pass the same ID to retry a change" }, { "wait", "", "wait until the change is in force on every reachable entry host" } }, 1, runPublish },
        { "get", "", "print the configuration in force", "sassafrasshift get", { { "into", "FOLDER", "write the files to a folder instead" } }, 0, runGet },
        { "history", "", "list the accepted configuration changes", "sassafrasshift history --output json", {}, 0, runHistory },
        { "status", "", "show the state of the entry hosts, the ledger and, on request, the targets", "sassafrasshift status", { { "targets", "", "also list the targets" } }, 0, runStatus },
        { "drain", "TARGET", "take a target out of service by publishing a drain object", "sassafrasshift drain ex-katutura-1", { { "undo", "", "return the target to service" }, { "author", "NAME", "author of the change (default: $USER)" } }, 1, runDrain },
        { "submit", "KEY TASK...", "submit a job and wait for its result", "sassafrasshift submit --task-kind shift-plan rota-2026-12-04 'run=50 a' 'run=80 b'",
            { { "task-kind", "NAME", "task kind of the job" }, { "team", "NAME", "team that submits the job" }, { "created-at", "MS", "creation time of the key in Unix milliseconds; pass the same time to retry a job" } }, 2, runSubmit },
        { "cancel", "KEY", "cancel a job", "sassafrasshift cancel rota-2026-12-04", {}, 1, runCancel },
        { "timeline", "[FILE...]", "merge time lines from files, or fetch them from the entry hosts", "sassafrasshift timeline --containing job-17 --format text *.jsonl",
            { { "containing", "TEXT", "only print events whose process or a field equals TEXT, such as a job key" }, { "format", "text|jsonl|chrome", "event format (default: text, or jsonl with --output json)" } }, 0, runTimeLine },
        { "replay", "FILE...", "check recorded time lines for violations of the service guarantees", "sassafrasshift replay --expect outcomes.json *.jsonl",
            { { "expect", "FILE", "compare the counts with the JSON object in FILE" } }, 1, runReplay },
        { "load", "PROFILE", "generate load for a limited time and print latencies", "sassafrasshift load --duration 10s profiles/khomas.yaml",
            { { "duration", "TIME", "override the duration of the profile" }, { "rate-factor", "X", "multiply the request and job rates of the profile" }, { "seed", "N", "override the random seed of the profile" }, { "time-line", "FILE", "append a time line of the requests, jobs and responses to FILE as JSON lines" }, { "json", "FILE", "write the results to FILE as JSON" }, { "direct", "ADDRESS:PORT", "bypass the dispatcher and send requests directly to a target, as a baseline" } }, 1, runLoad },
        { "completion", "bash", "print the completion script for a shell", "source <(sassafrasshift completion bash)", {}, 0, runCompletion },
    };
    return commands;
}

std::string Arguments::option(std::string_view name, std::string fallback) const
{
    auto position = this->options.find(name);
    return position == this->options.end() ? fallback : position->second;
}

bool Arguments::has(std::string_view name) const
{
    return this->options.contains(name);
}

ExitCode reportError(const Error& error)
{
    std::cerr << "sassafrasshift: " << toString(error.reason) << " (" << toString(error.verdict) << "): " << error.detail << "\n";
    if (error.retryAfter)
        std::cerr << "sassafrasshift: retry after " << error.retryAfter->count() << " ms\n";
    if (error.reason == Reason::Conflict)
        return ExitCode::Conflict;
    switch (error.verdict) {
    case Verdict::NotRun:
        return ExitCode::NotRun;
    case Verdict::MayHaveRun:
        return ExitCode::MayHaveRun;
    case Verdict::Ran:
        return ExitCode::Failure;
    }
    return ExitCode::Failure;
}

static void printOption(const OptionDefinition& option)
{
    std::string label = "  --" + std::string(option.name) + (option.placeholder.empty() ? "" : " " + std::string(option.placeholder));
    label.resize(std::max<size_t>(label.size() + 2, 30), ' ');
    std::cout << label << option.help << "\n";
}

static void printCommandHelp(const CommandDefinition& command)
{
    std::cout << "Usage: sassafrasshift " << command.name << " [OPTION...] " << command.operands << "\n\n"
              << command.summary << "\n\n";
    for (const auto& option : command.options)
        printOption(option);
    for (const auto& option : commonOptions)
        printOption(option);
    std::cout << "\nExample:\n  " << command.example << "\n\n"
              << "Exit codes: 0 success, 1 failure, 2 invalid arguments, 3 errors in input files, 4 refused and not run, 5 conflict,\n6 the work may have run.\n";
}

static void printHelp()
{
    std::cout << "Usage: sassafrasshift COMMAND [OPTION...]\n\nOperate the dispatcher and submit work to it.\n\n";
    for (const auto& command : allCommands()) {
        std::string label = "  " + std::string(command.name);
        label.resize(14, ' ');
        std::cout << label << command.summary << "\n";
    }
    std::cout << "\n'sassafrasshift COMMAND --help' describes a command. --version prints the version.\n\nExample:\n  sassafrasshift publish objects/*.yaml\n";
}

static ErrorOr<std::vector<Transport::Endpoint>> parseEntryHosts(const std::string& text)
{
    std::vector<Transport::Endpoint> entryHosts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        auto endpoint = Transport::Endpoint::parse(part);
        if (!endpoint)
            return tl::unexpected(endpoint.error());
        entryHosts.push_back(*endpoint);
    }
    return entryHosts;
}

static int reportUsageError(const std::string& message, std::string_view command)
{
    std::cerr << "sassafrasshift: " << message << "\nTry 'sassafrasshift " << command << (command.empty() ? "" : " ") << "--help'.\n";
    return static_cast<int>(ExitCode::Usage);
}

static int runCommand(const CommandDefinition& command, int argc, char** argv)
{
    auto definitions = command.options;
    definitions.insert(definitions.end(), commonOptions.begin(), commonOptions.end());
    std::vector<option> longOptions;
    std::vector<std::string> names;
    for (const auto& definition : definitions)
        names.emplace_back(definition.name);
    for (size_t i = 0; i < definitions.size(); ++i)
        longOptions.push_back({ names[i].c_str(), definitions[i].placeholder.empty() ? no_argument : required_argument, nullptr, static_cast<int>(i) + 256 });
    longOptions.push_back({ nullptr, 0, nullptr, 0 });
    Arguments arguments;
    for (int optionCode = 0; (optionCode = getopt_long(argc, argv, "", longOptions.data(), nullptr)) != -1;) {
        if (optionCode < 256)
            return reportUsageError("invalid options", command.name);
        arguments.options[names[static_cast<size_t>(optionCode) - 256]] = optarg ? optarg : "";
    }
    if (arguments.has("help")) {
        printCommandHelp(command);
        return 0;
    }
    for (int i = optind; i < argc; ++i)
        arguments.operands.emplace_back(argv[i]);
    if (arguments.operands.size() < command.minimumOperands)
        return reportUsageError("missing operands: " + std::string(command.operands), command.name);
    auto output = arguments.option("output", "table");
    if (output != "table" && output != "json")
        return reportUsageError("--output must be table or json", command.name);
    arguments.output = output == "json" ? OutputFormat::Json : OutputFormat::Table;
    const char* environmentValue = std::getenv("SASSAFRASSHIFT_ENTRY");
    auto entryHosts = parseEntryHosts(arguments.option("entry", environmentValue ? environmentValue : "127.0.0.1:8101"));
    if (!entryHosts)
        return reportUsageError(entryHosts.error().detail, command.name);
    arguments.entryHosts = *entryHosts;
    return static_cast<int>(command.run(arguments));
}

static int runCommandLine(int argc, char** argv)
{
    std::string name = argc > 1 ? argv[1] : "";
    if (name == "--version") {
        std::cout << "sassafrasshift " << SASSAFRASSHIFT_VERSION << "\n";
        return 0;
    }
    if (name == "--help" || name == "help") {
        printHelp();
        return 0;
    }
    const auto& commands = allCommands();
    auto position = std::find_if(commands.begin(), commands.end(), [&](const auto& command) { return command.name == name; });
    if (position == commands.end())
        return reportUsageError(name.empty() ? "missing command" : "unknown command \"" + name + "\"", "");
    return runCommand(*position, argc - 1, argv + 1);
}

}

int main(int argc, char** argv)
{
    return Sassafrasshift::CommandLine::runCommandLine(argc, argv);
}
