#pragma once

#include <compare>
#include <string>
#include <vector>

namespace Sassafrasshift::Settings {

/// One mistake in a YAML file. Lines and columns count from one.
struct Fault {
    std::string file;
    int line { 1 };
    int column { 1 };
    std::string message;

    /// "file:line:column: message"
    [[nodiscard]] std::string toText() const;

    friend auto operator<=>(const Fault&, const Fault&) = default;
};

using Faults = std::vector<Fault>;

/// All faults in order of place, one a line.
[[nodiscard]] std::string toText(Faults);

}
