#pragma once

#include "Cluster/ClusterContext.h"
#include <LibScheduler/Dispatcher/AdmissionController.h>
#include <LibScheduler/Dispatcher/LoadMonitor.h>
#include <LibTelemetry/LogBudget.h>
#include <string>
#include <string_view>

namespace Sassafrasshift::Daemon {

/// Measures the lag of this process's event loop while it dispatches, and refuses submissions above its admission level.
class DispatchAdmission {
public:
    explicit DispatchAdmission(ClusterContext&);

    /// Adjusts the level in each tick, and admits all jobs again when this process stops dispatching.
    void onTick(Instant dueAt, bool isDispatching, Instant now);
    void observeTransit(const std::string& sender, Milliseconds excess) { this->monitor.observeTransit(sender, excess); }

    [[nodiscard]] const Scheduler::AdmissionLevel& level() const { return this->controller.level(); }
    [[nodiscard]] bool isLimited() const { return !this->level().admitsAll(); }
    /// The estimated delay of the answer to a job by the lag: once for its submission, and once for the tick that decides about it. Zero while
    /// all jobs are admitted.
    [[nodiscard]] Milliseconds answerDelay() const;
    /// Records a submission, and returns whether it is above the level.
    [[nodiscard]] bool refuses(const Scheduler::Submission&, Instant now);
    /// Sends the refusal of a job of which nothing has run here. The cause is "level" or "late".
    void refuse(const std::string& entry, const Scheduler::Submission&, std::string_view cause);

private:
    void reportLevel(Instant now);

    ClusterContext& context;
    Scheduler::LoadMonitor monitor;
    Scheduler::AdmissionController controller;
    bool wasDispatching { false };
    Telemetry::LogBudget logBudget;
};

}
