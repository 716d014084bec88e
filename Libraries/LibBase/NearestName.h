#pragma once

#include <span>
#include <string>
#include <string_view>

namespace Sassafrasshift {

/// The candidate with the least edit distance to a name, or an empty string where none is close enough to suggest.
[[nodiscard]] std::string nearestName(std::string_view name, std::span<const std::string> candidates);

}
