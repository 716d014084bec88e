#pragma once

#include <compare>
#include <string>
#include <vector>

namespace Sassafrasshift::Settings {

/// An error in a YAML file and its location. Lines and columns are counted from one.
struct Diagnostic {
    std::string file;
    int line { 1 };
    int column { 1 };
    std::string message;

    /// Formats the diagnostic as "file:line:column: message".
    [[nodiscard]] std::string toText() const;

    friend auto operator<=>(const Diagnostic&, const Diagnostic&) = default;
};

using Diagnostics = std::vector<Diagnostic>;

/// Formats all diagnostics, one per line, sorted by file, line and column.
[[nodiscard]] std::string toText(Diagnostics);

}
