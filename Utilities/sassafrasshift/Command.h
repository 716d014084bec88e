#pragma once

#include <LibBase/Error.h>
#include <LibTransport/Endpoint.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Sassafrasshift::CommandLine {

/// Exit codes of the program.
enum class ExitCode {
    Success = 0,
    /// The work ran and failed, a wait timed out, or a check found a violation.
    Failure = 1,
    /// The command line is invalid.
    Usage = 2,
    /// A file of configuration objects or a load profile cannot be read or contains errors.
    InvalidInputFiles = 3,
    /// The operation was refused without any effect and may be retried.
    NotRun = 4,
    /// The change was refused because it conflicts with another change.
    Conflict = 5,
    /// It is unknown whether the work ran.
    MayHaveRun = 6,
};

enum class OutputFormat {
    Table,
    Json,
};

/// A command-line option, either specific to a command or common to all commands.
struct OptionDefinition {
    std::string_view name;
    /// Placeholder for the value in the help text; empty for a flag that takes no value.
    std::string_view placeholder;
    std::string_view help;
};

/// The parsed command line of one command.
struct Arguments {
    /// Entry hosts in the order in which requests try them.
    std::vector<Transport::Endpoint> entryHosts;
    OutputFormat output { OutputFormat::Table };
    /// The values of the given options, by name; empty for a flag.
    std::map<std::string, std::string, std::less<>> options;
    std::vector<std::string> operands;

    /// Returns the value of an option, or `fallback` if the option was not given.
    [[nodiscard]] std::string option(std::string_view name, std::string fallback = {}) const;
    [[nodiscard]] bool has(std::string_view name) const;
};

struct CommandDefinition {
    std::string_view name;
    /// Operands as the help text shows them.
    std::string_view operands;
    std::string_view summary;
    std::string_view example;
    /// Options besides the common ones.
    std::vector<OptionDefinition> options;
    size_t minimumOperands { 0 };
    ExitCode (*run)(const Arguments&);
};

/// Returns all commands in the order in which the help text lists them.
[[nodiscard]] const std::vector<CommandDefinition>& allCommands();

ExitCode runCheck(const Arguments&);
ExitCode runDiff(const Arguments&);
ExitCode runPublish(const Arguments&);
ExitCode runGet(const Arguments&);
ExitCode runHistory(const Arguments&);
ExitCode runStatus(const Arguments&);
ExitCode runDrain(const Arguments&);
ExitCode runSubmit(const Arguments&);
ExitCode runCancel(const Arguments&);
ExitCode runTimeLine(const Arguments&);
ExitCode runReplay(const Arguments&);
ExitCode runLoad(const Arguments&);
ExitCode runCompletion(const Arguments&);

/// Prints an error to the standard error stream and returns the exit code for its verdict and reason.
ExitCode reportError(const Error&);

}
