#pragma once

#include <LibBase/Clock.h>
#include <LibScheduler/AdmissionLevel.h>
#include <LibScheduler/Dispatcher/LoadMonitor.h>
#include <map>
#include <optional>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Maps the lag of a dispatcher's event loop to the level of the jobs that it admits. When more jobs arrive
/// than it has CPU time for, messages become too old, are ignored and sent again, which costs more CPU time than refusals. Lag below the
/// upper limit changes nothing. It performs no I/O.
class AdmissionController {
public:
    struct Options {
        /// Above this sustained lag, less is admitted. It is half of the transit time after which messages of entry hosts are ignored, and
        /// above the 100 ms for which a CPU quota may stop a process that keeps up.
        Milliseconds upperLag { 125 };
        /// Below this lag, more is admitted.
        Milliseconds lowerLag { 80 };
        /// The time between two changes of the level.
        Milliseconds interval { 130 };
        /// After a reduction, entry hosts learn of the level with their next renewal; a further one waits for its effect.
        Milliseconds reductionInterval { 450 };
        /// If the lag lasts for this time although hardly any job is admitted, jobs are not its cause, for example because the host stops
        /// the process repeatedly. All jobs are admitted then.
        Milliseconds futileTime { 1000 };
        /// For how long the lag is ignored after that, unless it ends before.
        Milliseconds ignoredTime { 10'000 };
    };

    explicit AdmissionController(Options);

    /// Records the priority of a submission.
    void observe(int64_t priority, Instant now);
    /// Adjusts the level. Returns whether it has changed.
    bool update(const LoadMonitor&, Instant now);
    /// Admits all jobs again.
    void reset();
    [[nodiscard]] const AdmissionLevel& level() const { return this->currentLevel; }
    /// Whether the admitted part cannot be reduced further.
    [[nodiscard]] bool isAtMinimum() const;

private:
    [[nodiscard]] std::vector<int64_t> knownPriorities() const;
    void reduce(Milliseconds lag, double priorityCount, Instant now);
    void raise(double priorityCount);
    [[nodiscard]] AdmissionLevel levelAt(const std::vector<int64_t>&) const;

    Options options;
    AdmissionLevel currentLevel;
    /// The priorities of recent submissions, and when each was seen last.
    std::map<int64_t, Instant> seenAt;
    /// While not all jobs are admitted: the number of admitted priorities, most urgent first, with the fraction of the last one.
    double position { 0 };
    /// The number of raises since the last reduction.
    uint32_t raises { 0 };
    /// Since when the least is admitted although the lag lasts.
    std::optional<Instant> futileSince;
    Instant lagIgnoredUntil {};
    Instant nextChange {};
    Instant nextReduction {};
};

}
