#pragma once

#include <LibBase/Clock.h>
#include <map>
#include <string>

namespace Sassafrasshift::Scheduler {

/// Estimates the run time of tasks by queue and target kind, as a ratio to the estimates of clients. Only completed runs are
/// observed, because the duration of a stopped or failed run does not depend on the speed of its target.
class SpeedEstimator {
public:
    /// Records the duration of a completed run, and the client's estimate of it.
    void observe(const std::string& queue, const std::string& kind, Milliseconds estimate, Milliseconds actual);

    /// The expected run time of a task with this estimate on targets of the kind; the estimate itself before any observation.
    [[nodiscard]] Milliseconds expected(const std::string& queue, const std::string& kind, Milliseconds estimate) const;

    /// The expected run time on the fastest kind observed for the queue; the estimate itself if none was observed.
    [[nodiscard]] Milliseconds expectedOnFastestKind(const std::string& queue, Milliseconds estimate) const;

private:
    struct Ratio {
        double mean { 1 };
        unsigned observations { 0 };
    };

    /// By queue and target kind.
    std::map<std::string, std::map<std::string, Ratio>> ratios;
};

}
