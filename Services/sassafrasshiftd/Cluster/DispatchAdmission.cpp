#include "Cluster/DispatchAdmission.h"
#include <LibScheduler/Entry/LocalAdmission.h>
#include <LibTelemetry/Log.h>
#include <algorithm>

namespace Sassafrasshift::Daemon {

using Telemetry::LogLevel;

static constexpr unsigned logLinesPerSecond = 2;
// Submissions that were in transit for longer than 250 ms are ignored, and the tick is late by about as much.
static constexpr Milliseconds maximumAnswerDelay { 500 };

DispatchAdmission::DispatchAdmission(ClusterContext& context)
    : context(context)
    , monitor({})
    , controller({})
    , logBudget(logLinesPerSecond)
{
}

void DispatchAdmission::reportLevel(Instant now)
{
    const auto& level = this->level();
    this->context.metrics.setGauge("dispatch_admission_limited", level.admitsAll() ? 0 : 1);
    this->context.metrics.setGauge("dispatch_admission_priority", level.admitsAll() ? 0 : static_cast<double>(level.priority));
    this->context.metrics.setGauge("dispatch_admission_permille", level.permille);
    this->context.metrics.count("dispatch_admission_changes_total");
    // The return to the normal state is always logged.
    if (!level.admitsAll() && !this->logBudget.take(now))
        return this->context.metrics.count("log_lines_dropped_total");
    Telemetry::log(level.admitsAll() ? LogLevel::Information : LogLevel::Warning, "admission-changed", level.admitsAll() ? "the dispatcher admits all jobs again" : "the event loop of the dispatcher is late, and it admits only a part of the jobs",
        { { "priority", level.admitsAll() ? "" : std::to_string(level.priority) }, { "permille", std::to_string(level.permille) }, { "lagMs", std::to_string(this->monitor.recentLag().count()) } });
}

void DispatchAdmission::onTick(Instant dueAt, bool isDispatching, Instant now)
{
    this->monitor.onTick(dueAt, now);
    this->context.metrics.setGauge("event_loop_lag_milliseconds", toMilliseconds(this->monitor.lastLag()));
    bool hasEnded = this->wasDispatching && !isDispatching;
    this->wasDispatching = isDispatching;
    if (hasEnded && this->isLimited()) {
        this->controller.reset();
        return this->reportLevel(now);
    }
    if (isDispatching && this->context.settings.limitAdmission && this->controller.update(this->monitor, now))
        this->reportLevel(now);
}

Milliseconds DispatchAdmission::answerDelay() const
{
    return this->isLimited() ? std::min(2 * this->monitor.recentLag(), maximumAnswerDelay) : Milliseconds(0);
}

bool DispatchAdmission::refuses(const Scheduler::Submission& submission, Instant now)
{
    this->controller.observe(submission.priority, now);
    if (this->level().admits(submission.priority, submission.job))
        return false;
    const auto& placement = submission.placement;
    // To name another shard as the place of a job costs little, unless even that is too much.
    bool isForOtherShard = placement.isRequested && placement.preferredShard != placement.homeShard;
    return !isForOtherShard || this->controller.isAtMinimum();
}

void DispatchAdmission::refuse(const std::string& entry, const Scheduler::Submission& submission, std::string_view cause)
{
    this->context.metrics.count("overload_refusals_total{cause=\"" + std::string(cause) + "\"}");
    Scheduler::JobOutcome outcome { submission.job, Scheduler::JobEnd::Refused, std::string(Scheduler::dispatcherOverloaded), Scheduler::LocalAdmission::retryAfter(submission.job, this->context.now()).count(), 0, 0, submission.firstRunNumber };
    outcome.admission = this->level();
    this->context.send(entry, outcome);
}

}
