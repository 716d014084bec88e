#pragma once

#include <span>
#include <string>
#include <string_view>

namespace Sassafrasshift {

/// The candidate with the smallest edit distance to a name, or an empty string if none is close enough to be suggested.
[[nodiscard]] std::string nearestName(std::string_view name, std::span<const std::string> candidates);

}
