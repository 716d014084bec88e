#pragma once

#include <LibBase/Clock.h>
#include <LibScheduler/Target/RunEvidence.h>
#include <LibScheduler/Types.h>
#include <deque>
#include <optional>
#include <string>

namespace Sassafrasshift::Scheduler {

/// The runs that a dispatcher recently took as ended only because their leases had expired. Shows when a target still has one.
class LapsedRuns {
public:
    /// One such run, and what was known of it then.
    struct LapsedRun {
        std::string target;
        RunId run;
        Instant endedAt {};
        RunEvidence evidence;
    };

    /// Beyond this number the oldest runs are forgotten.
    static constexpr size_t maximumRuns = 4096;
    static constexpr Milliseconds retention { 10'000 };

    void add(const std::string& target, const RunId&, const RunEvidence&, Instant now);
    /// Removes and returns the run on the target, if it is remembered.
    [[nodiscard]] std::optional<LapsedRun> take(const std::string& target, const RunId&, Instant now);
    [[nodiscard]] size_t size() const { return this->runs.size(); }
    void clear() { this->runs.clear(); }

private:
    /// Oldest first.
    std::deque<LapsedRun> runs;
};

}
