#pragma once

#include <LibBase/Clock.h>
#include <map>
#include <string>

namespace Sassafrasshift::Scheduler {

/// Learns from finished runs how long tasks of a queue take on targets of a kind, relative to their clients' estimates.
/// Only whole runs count: a run that was stopped or failed says nothing of speed.
class SpeedEstimator {
public:
    void observe(const std::string& queue, const std::string& kind, Milliseconds estimate, Milliseconds actual);

    /// The expected duration of a task of this estimate.
    [[nodiscard]] Milliseconds expected(const std::string& queue, const std::string& kind, Milliseconds estimate) const;

    /// The expected duration on the kind that is fastest for the queue, as far as is known.
    [[nodiscard]] Milliseconds expectedOnFastestKind(const std::string& queue, Milliseconds estimate) const;

private:
    struct Key {
        std::string queue;
        std::string kind;

        friend auto operator<=>(const Key&, const Key&) = default;
    };

    struct Ratio {
        double mean { 1 };
        unsigned observations { 0 };
    };

    std::map<Key, Ratio> ratios;
};

}
