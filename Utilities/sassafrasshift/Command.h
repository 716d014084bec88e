#pragma once

#include <LibBase/Error.h>
#include <LibTransport/Endpoint.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Sassafrasshift::CommandLine {

/// The exit codes of the program.
enum class ExitCode {
    Success = 0,
    /// The work failed after it may have run, or a check found something.
    Failure = 1,
    Usage = 2,
    /// Faults in files of the user.
    InvalidFiles = 3,
    /// Refused, and nothing was done; it may be tried again.
    NotRun = 4,
    /// Refused because of a conflict with another change.
    Conflict = 5,
    /// It is not known whether the work ran.
    MayHaveRun = 6,
};

enum class OutputFormat {
    Table,
    Json,
};

/// An option of a command, besides those that every command has.
struct OptionDefinition {
    std::string_view name;
    /// What stands for the value in the help; empty for an option without one.
    std::string_view placeholder;
    std::string_view help;
};

struct Arguments {
    std::vector<Transport::Endpoint> entryHosts;
    OutputFormat output { OutputFormat::Table };
    std::map<std::string, std::string, std::less<>> options;
    std::vector<std::string> operands;

    [[nodiscard]] std::string option(std::string_view name, std::string fallback = {}) const;
    [[nodiscard]] bool has(std::string_view name) const;
};

struct CommandDefinition {
    std::string_view name;
    std::string_view operands;
    std::string_view summary;
    std::string_view example;
    std::vector<OptionDefinition> options;
    size_t minimumOperands { 0 };
    ExitCode (*run)(const Arguments&);
};

/// All commands, in the order of the help.
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

/// Prints an error and returns the code that its verdict and reason call for.
ExitCode reportError(const Error&);

}
