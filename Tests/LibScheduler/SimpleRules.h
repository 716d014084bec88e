#pragma once

#include <LibScheduler/Dispatcher/TaskScheduler.h>

namespace Sassafrasshift::Scheduler {

/// The rules of the scheduler as scans over all jobs and targets, without any index or sum. Tests compare its decisions with them.
struct SimpleRules {
    /// Places the waiting tasks of a scheduler, which has none left to place then.
    static void placeWaitingTasks(TaskScheduler&, Instant now);
    /// Returns what differs between the sums of the scheduler and those over all jobs and targets; empty if nothing does.
    [[nodiscard]] static std::string checkSums(const TaskScheduler&, Instant now);
    /// Returns the name of a job that the last periodic check should have dropped, refused or moved back; empty if there is none.
    [[nodiscard]] static std::string checkJobs(const TaskScheduler&, Instant now);
    /// Whether the scheduler has made its periodic checks at this time.
    [[nodiscard]] static bool hasChecked(const TaskScheduler&, Instant now);

private:
    static TargetSession* chooseTarget(TaskScheduler&, const TaskScheduler::Job&, Instant now);
    static void placeTasks(TaskScheduler&, TaskScheduler::Job&, Instant now);
};

}
