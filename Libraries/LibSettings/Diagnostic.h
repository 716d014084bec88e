#pragma once

#include <compare>
#include <string>
#include <vector>

namespace Sassafrasshift::Settings {

/// One mistake in a YAML file. Lines and columns count from one.
struct Diagnostic {
    std::string file;
    int line { 1 };
    int column { 1 };
    std::string message;

    /// "file:line:column: message"
    [[nodiscard]] std::string toText() const;

    friend auto operator<=>(const Diagnostic&, const Diagnostic&) = default;
};

using Diagnostics = std::vector<Diagnostic>;

/// All faults in order of place, one a line.
[[nodiscard]] std::string toText(Diagnostics);

}
