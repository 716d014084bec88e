#include <LibScheduler/Dispatcher/TaskScheduler.h>
#include <vector>

// Restarts of runs that stand still, where another run of the task would end in time. The load that this answers: the tasks on some
// targets stand still for seconds, while these targets accept and hold runs as usual.
namespace Sassafrasshift::Scheduler {

// The time for a stop order to be obeyed and for the end of the run to be reported.
static constexpr Milliseconds stopTime { 100 };
// The time for the first start on another target, and for the answer to the caller.
static constexpr Milliseconds restartMargin { 100 };
// Tasks that stand still everywhere are not restarted time and again.
static constexpr uint32_t maximumRestarts = 2;
// Stalled runs of further queues are not restarted.
static constexpr size_t maximumQueuesWithProgress = 10'000;

// Records the queues whose runs are seen to progress. That a run always shows the same says nothing where the targets do not report
// the progress of such runs.
void TaskScheduler::observeProgress()
{
    for (const auto& [key, target] : this->targets) {
        for (const auto& [id, run] : target.session.runs()) {
            auto position = this->jobs.find(id.task.job);
            if (position != this->jobs.end() && run.progress.hasProgressed() && this->queuesWithProgress.size() < maximumQueuesWithProgress)
                this->queuesWithProgress.insert(position->second.submission.queue);
        }
    }
}

bool TaskScheduler::shouldRestart(const Job& job, const Task& task, const TargetSession::Run& run, Instant now) const
{
    if (!this->queuesWithProgress.contains(job.submission.queue))
        return false;
    if (run.state != TargetSession::RunState::Running || !run.progress.isStalled() || task.restarts >= maximumRestarts)
        return false;
    return now + stopTime + restartMargin + job.expectedRunTime < job.deadline;
}

void TaskScheduler::restartStalledRuns(Instant now)
{
    this->observeProgress();
    for (auto& [key, target] : this->targets) {
        std::vector<RunId> stalled;
        for (const auto& [id, run] : target.session.runs()) {
            auto* task = this->findTask(id, key.identity);
            if (task && this->shouldRestart(this->jobs.at(id.task.job), *task, run, now))
                stalled.push_back(id);
        }
        for (const auto& id : stalled) {
            ++this->findTask(id, key.identity)->restarts;
            this->recordDecision(Decision::Kind::RunStalled, key.identity, id, "the run makes no progress; it is stopped, and its task is started elsewhere");
            target.session.stop(id, now);
            target.speed.observeStall(now);
        }
    }
}

// Returns the task that a run on a target is placed for, or null if it is none of an open job.
TaskScheduler::Task* TaskScheduler::findTask(const RunId& id, const std::string& target)
{
    auto position = this->jobs.find(id.task.job);
    if (position == this->jobs.end() || id.task.index >= position->second.tasks.size())
        return nullptr;
    auto& task = position->second.tasks[id.task.index];
    return task.state == TaskState::Placed && task.run == id.number && task.target == target ? &task : nullptr;
}

}
