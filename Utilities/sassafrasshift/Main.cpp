#include "Command.h"
#include <algorithm>
#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <sstream>

namespace Sassafrasshift::CommandLine {

static const std::vector<OptionDefinition> commonOptions {
    { "entry", "ADDRESS:PORT,...", "entry hosts to talk to, tried in turn (or SASSAFRASSHIFT_ENTRY)" },
    { "output", "table|json", "form of the output" },
    { "help", "", "print this text" },
};

const std::vector<CommandDefinition>& allCommands()
{
    static const std::vector<CommandDefinition> commands {
        { "check", "FILE...", "check files of objects as one set and list every fault", "sassafrasshift check objects/*.yaml", {}, 1, runCheck },
        { "diff", "FILE...", "show what publishing the files would change", "sassafrasshift diff --entry 127.0.1.1:8101 objects/*.yaml", {}, 1, runDiff },
        { "publish", "FILE...", "publish files of objects as the whole configuration", "sassafrasshift publish --author eva objects/*.yaml",
            { { "author", "NAME", "who publishes (default: $USER)" }, { "base-version", "N", "version that the change starts from (default: the one in force)" }, { "change-id", "ID", "names the change; repeat it when sending a change again" }, { "wait", "", "wait until the change is in force on every live entry host" } }, 1, runPublish },
        { "get", "", "print the configuration in force", "sassafrasshift get", { { "into", "FOLDER", "write the files into a folder" } }, 0, runGet },
        { "history", "", "list the accepted changes", "sassafrasshift history --output json", {}, 0, runHistory },
        { "status", "", "show the entry hosts, the ledger and the targets", "sassafrasshift status", { { "targets", "", "list the targets too" } }, 0, runStatus },
        { "drain", "TARGET", "take a target out of service by publishing a drain", "sassafrasshift drain ex-katutura-1", { { "undo", "", "put it back into service" }, { "author", "NAME", "who publishes (default: $USER)" } }, 1, runDrain },
        { "submit", "KEY TASK...", "submit a job and wait for its answer", "sassafrasshift submit --task-kind shift-plan rota-2026-12-04 'run=50 a' 'run=80 b'",
            { { "task-kind", "NAME", "the task kind of the job" }, { "team", "NAME", "the team that submits" }, { "created-at", "MS", "when the key was made; repeat it when sending a job again" } }, 2, runSubmit },
        { "cancel", "KEY", "cancel a job", "sassafrasshift cancel rota-2026-12-04", {}, 1, runCancel },
        { "timeline", "[FILE...]", "merge time lines from files, or ask the entry hosts", "sassafrasshift timeline --containing job-17 --format text *.jsonl",
            { { "containing", "TEXT", "only events that name a job, request or target" }, { "format", "text|jsonl|chrome", "form of the events (default: text)" } }, 0, runTimeLine },
        { "replay", "FILE...", "check recorded time lines against the promises, and against stated outcomes", "sassafrasshift replay --expect outcomes.json *.jsonl",
            { { "expect", "FILE", "JSON object of counts that have to come out" } }, 1, runReplay },
        { "load", "PROFILE", "send a bounded workload and print latencies", "sassafrasshift load --duration 10s profiles/khomas.yaml",
            { { "duration", "TIME", "in place of the profile's" }, { "rate-factor", "X", "multiplies the rates of the profile" }, { "seed", "N", "seed of the workload" }, { "time-line", "FILE", "record what was sent and answered" }, { "json", "FILE", "write the results as JSON" }, { "direct", "ADDRESS:PORT", "send requests straight to a target, to compare" } }, 1, runLoad },
        { "completion", "bash", "print the completion script of a shell", "source <(sassafrasshift completion bash)", {}, 0, runCompletion },
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
        std::cerr << "sassafrasshift: try again after " << error.retryAfter->count() << " ms\n";
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
              << "Exit codes: 0 success, 1 failure, 2 wrong arguments, 3 faults in files, 4 refused and not run, 5 conflict,\n6 may have run.\n";
}

static void printHelp()
{
    std::cout << "Usage: sassafrasshift COMMAND [OPTION...]\n\nOperates the dispatcher and submits work to it.\n\n";
    for (const auto& command : allCommands()) {
        std::string label = "  " + std::string(command.name);
        label.resize(14, ' ');
        std::cout << label << command.summary << "\n";
    }
    std::cout << "\n'sassafrasshift COMMAND --help' tells more. --version prints the version.\n\nExample:\n  sassafrasshift publish objects/*.yaml\n";
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
            return reportUsageError("wrong options", command.name);
        arguments.options[names[static_cast<size_t>(optionCode) - 256]] = optarg ? optarg : "";
    }
    if (arguments.has("help")) {
        printCommandHelp(command);
        return 0;
    }
    for (int i = optind; i < argc; ++i)
        arguments.operands.emplace_back(argv[i]);
    if (arguments.operands.size() < command.minimumOperands)
        return reportUsageError("operands are missing: " + std::string(command.operands), command.name);
    auto output = arguments.option("output", "table");
    if (output != "table" && output != "json")
        return reportUsageError("--output is table or json", command.name);
    arguments.output = output == "json" ? OutputFormat::Json : OutputFormat::Table;
    const char* environment = std::getenv("SASSAFRASSHIFT_ENTRY");
    auto entryHosts = parseEntryHosts(arguments.option("entry", environment ? environment : "127.0.0.1:8101"));
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
        return reportUsageError(name.empty() ? "a command is needed" : "unknown command \"" + name + "\"", "");
    return runCommand(*position, argc - 1, argv + 1);
}

}

int main(int argc, char** argv)
{
    return Sassafrasshift::CommandLine::runCommandLine(argc, argv);
}
