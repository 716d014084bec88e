#include <LibBase/NearestName.h>
#include <algorithm>
#include <numeric>
#include <vector>

namespace Sassafrasshift {

static size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), size_t { 0 });
    for (size_t i = 1; i <= left.size(); ++i) {
        size_t diagonal = row[0];
        row[0] = i;
        for (size_t j = 1; j <= right.size(); ++j) {
            size_t substitution = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({ row[j] + 1, row[j - 1] + 1, substitution });
        }
    }
    return row.back();
}

std::string nearestName(std::string_view name, std::span<const std::string> candidates)
{
    std::string best;
    // A candidate that differs from the name in more than half of its letters would be a misleading suggestion.
    size_t bestDistance = name.size() / 2 + 1;
    for (const auto& candidate : candidates) {
        size_t distance = editDistance(name, candidate);
        if (distance < bestDistance) {
            best = candidate;
            bestDistance = distance;
        }
    }
    return best;
}

}
