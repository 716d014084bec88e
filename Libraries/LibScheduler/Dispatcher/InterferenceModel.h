#pragma once

#include <LibBase/Clock.h>
#include <LibScheduler/Types.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Learns from completed runs which kinds of work run longer next to which others on the same target. A kind is a queue, since job
/// descriptions that name an image are refused.
///
/// For each kind, the model is a linear regression of the logarithm of the run time, relative to the estimate, on the parts of the run
/// time during which the other kinds ran on the target. Both are taken as differences from their means on that target, so that the target, its kind and
/// the usual error of the estimates have no effect. The regression on all kinds at once tells neighbours apart that often occur together.
class InterferenceModel {
public:
    struct Options {
        /// Further kinds are ignored until one of these has not been seen for `forgetTime`.
        size_t maximumKinds { 16 };
        /// Further runs on one target are ignored.
        size_t maximumRunsPerTarget { 64 };
        /// Observations lose half of their weight in this time.
        Milliseconds halfLife { 60'000 };
        Milliseconds forgetTime { 600'000 };
        /// The number of jobs that must have been observed with the neighbour, and without it.
        double minimumJobs { 20 };
        /// Acts on effects above `minimumEffect` and this many standard errors, until they are below `negligibleEffect` or two errors.
        double standardErrors { 5 };
        double minimumEffect { 1.15 };
        double negligibleEffect { 1.08 };
        Milliseconds evaluationInterval { 1000 };
    };

    /// What is known of the runs on one target.
    class TargetRuns {
        friend class InterferenceModel;

        /// For how long one kind and, for a run's own kind, two runs of it have been present in total.
        struct Presence {
            size_t running { 0 };
            Instant updatedAt {};
            double oneMilliseconds { 0 };
            double twoMilliseconds { 0 };
        };

        struct OpenRun {
            size_t kind { 0 };
            /// Whether the run was observed from its start.
            bool isWhole { false };
            Instant startedAt {};
            /// The totals at the start, by kind.
            std::vector<double> presentBefore;
        };

        /// Decaying means over the runs of one kind.
        struct Means {
            /// That of the kind.
            uint64_t generation { 0 };
            double weight { 0 };
            double logRatio { 0 };
            std::vector<double> present;
            Instant updatedAt {};
        };

        std::vector<Presence> presences;
        std::map<RunId, OpenRun> runs;
        std::vector<Means> means;
    };

    /// A completed run.
    struct Sample {
        Milliseconds duration { 0 };
        Milliseconds estimate { 0 };
        /// The tasks of its job share the error of the estimate, so that they count as one observation together.
        uint32_t tasks { 1 };
    };

    /// A queue whose runs take longer next to those of another one.
    struct Pair {
        std::string queue;
        std::string neighbour;
        /// How many times as long a run of the queue takes if the neighbour is present all the time.
        double ratio { 1 };
        Instant since {};
    };

    /// A pair on which placement begins or ceases to act.
    struct Change {
        Pair pair;
        bool hasBegun { false };
    };

    explicit InterferenceModel(Options);

    /// Records a run of a queue on a target. `isWhole` is false for runs that were discovered.
    void onStarted(TargetRuns&, const RunId&, const std::string& queue, bool isWhole, Instant now);
    /// Records the end of a run; without a sample if it has not completed or its run time says nothing.
    void onEnded(TargetRuns&, const RunId&, const std::optional<Sample>&, Instant now);
    /// To be called regularly. Returns the pairs on which placement begins or ceases to act.
    [[nodiscard]] std::vector<Change> evaluate(Instant now);

    /// The pairs on which placement acts.
    [[nodiscard]] std::vector<Pair> pairs() const;
    [[nodiscard]] bool hasPairs() const { return this->actingPairs > 0; }
    [[nodiscard]] std::optional<size_t> findKind(const std::string& queue) const;
    /// By what factor a run of this kind, together with the present runs of the target, is expected to take longer; 1 to 3.
    [[nodiscard]] double penalty(const TargetRuns&, size_t kind) const;
    [[nodiscard]] size_t knownKinds() const { return this->numbers.size(); }

private:
    struct Kind {
        std::string name;
        Instant usedAt {};
        size_t openRuns { 0 };
        /// Distinguishes this kind from an earlier one in the same place.
        uint64_t generation { 0 };
    };

    /// The decaying sums of the regression of one kind.
    struct Regression {
        /// The products of the deviations of two neighbours, as a square matrix.
        std::vector<double> products;
        /// The products of the deviation of a neighbour and the response.
        std::vector<double> responses;
        /// The squares of the response.
        double squares { 0 };
        double weight { 0 };
        /// By neighbour: the numbers of jobs observed with it and without it, counted by the part of the run time.
        std::vector<double> with;
        std::vector<double> without;
        Instant updatedAt {};
    };

    struct Slope {
        double value { 0 };
        double error { 0 };
    };

    struct Effect {
        bool isActing { false };
        double logRatio { 0 };
        Instant since {};
    };

    [[nodiscard]] std::optional<size_t> takeKind(const std::string& queue, Instant now);
    void forget(size_t kind);
    [[nodiscard]] double decay(Instant from, Instant to) const;
    static void integrate(TargetRuns::Presence&, Instant now);
    [[nodiscard]] static double presentTime(const TargetRuns&, size_t neighbour, size_t kind);
    void prepare(TargetRuns&) const;
    void observe(TargetRuns::Means&, size_t kind, const std::vector<double>& present, double logRatio, double weight, Instant now);
    void addObservation(Regression&, const std::vector<double>& present, const std::vector<double>& deviation, double response, double weight, Instant now) const;
    [[nodiscard]] std::vector<Slope> solve(const Regression&, const std::vector<size_t>& neighbours, double decayFactor) const;
    void evaluate(size_t kind, std::vector<Change>&, Instant now);
    void setActing(size_t kind, size_t neighbour, bool isActing, std::vector<Change>&, Instant now);

    Options options;
    std::map<std::string, size_t> numbers;
    std::vector<Kind> kinds;
    std::vector<Regression> regressions;
    /// By kind and neighbour.
    std::vector<Effect> effects;
    size_t actingPairs { 0 };
    uint64_t generations { 0 };
    Instant nextEvaluation {};
};

}
