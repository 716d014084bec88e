#pragma once

#include <LibBase/Clock.h>
#include <LibCatalog/Objects.h>
#include <string>

namespace Sassafrasshift::Scheduler {

/// Limits how much of a target is used while it is slow after its start. The share of its cores that may be used rises with the cold
/// time that is over, so that the target is at most half full during the first half of that time.
class ColdStart {
public:
    /// Records how long the process of the target said at some time that it is still slow; zero if it is not.
    void observe(const std::string& incarnation, Milliseconds left, Instant reportedAt);

    [[nodiscard]] bool isCold(Instant now) const { return now < this->endsAt; }
    /// Whether a task with these needs may be started beside what is used. A target that is not used takes one task of up to half of
    /// its cores at any time.
    [[nodiscard]] bool admits(const Catalog::Resources& capacity, const Catalog::Resources& free, const Catalog::Resources& needs, Instant now) const;

private:
    std::string incarnation;
    /// The longest remaining time that the process has reported.
    Milliseconds total { 0 };
    Instant endsAt {};
};

}
