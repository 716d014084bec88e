#pragma once

#include <LibScheduler/Placement.h>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace Sassafrasshift::Scheduler {

/// The highest term that a home can have. Its upper bits are an epoch, which counts seconds; a message that names a higher term is invalid, and
/// no home could raise its own above it.
inline constexpr uint64_t maximumHomeTerm = uint64_t { 1 } << 55;

/// The highest term of the home of each shard that a dispatcher knows of. It accepts no job that a home of a lower term has placed: the later
/// home has been told which jobs were there, and cannot know of that one. Terms are the fencing tokens of the claims to a shard, so that no
/// two homes have the same one ("How to do distributed locking", Kleppmann, 2016).
class HomeTerms {
public:
    void observe(const std::string& homeShard, uint64_t term);
    [[nodiscard]] uint64_t highest(const std::string& homeShard) const;
    /// Whether a home of a higher term is known. Decisions of entry hosts of an earlier version name no term, and are never outdated.
    [[nodiscard]] bool isOutdated(const PlacementGrant&) const;

private:
    std::unordered_map<std::string, uint64_t> terms;
};

}
