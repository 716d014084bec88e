#include <LibScheduler/Dispatcher/TaskScheduler.h>
#include <algorithm>
#include <utility>

// What is recorded of submissions, so that logs show why a job was refused, replaced or answered.
namespace Sassafrasshift::Scheduler {

void TaskScheduler::recordRefusal(const std::string& job, const std::string& reason, uint32_t knownRuns)
{
    this->recordDecision(Decision::Kind::JobRefused, {}, RunId { TaskId { job, 0, 0, 0 }, 0 }, reason);
    this->effects.decisions.back().knownRuns = knownRuns;
    this->effects.decisions.back().runsOnTargets = this->countRunsOnTargets(job);
}

// Records that a job that was open from one entry host is now open from another one, or again from the same one.
void TaskScheduler::recordReplacement(Decision::Kind kind, const Job& job, const std::string& entry, std::string cause)
{
    this->recordDecision(kind, {}, RunId { TaskId { job.submission.job, 0, 0, 0 }, 0 }, std::move(cause));
    this->effects.decisions.back().formerEntry = job.entry;
    this->effects.decisions.back().entry = entry;
}

// Records a submission that leaves an open job as it is.
void TaskScheduler::recordSubmittedAgain(const Job& job, const std::string& entry, std::string cause)
{
    this->recordReplacement(Decision::Kind::JobSubmittedAgain, job, entry, std::move(cause));
    this->effects.decisions.back().isOpen = true;
}

// Records a submission that queues a job again that was refused or dropped here.
void TaskScheduler::recordSubmittedAgain(const FinishedJob& finished, const std::string& entry)
{
    this->recordDecision(Decision::Kind::JobSubmittedAgain, {}, RunId { TaskId { finished.outcome.job, 0, 0, 0 }, 0 }, "the job has ended before: " + finished.outcome.reason);
    this->effects.decisions.back().formerEntry = finished.lastEntry;
    this->effects.decisions.back().entry = entry;
    this->effects.decisions.back().isOpen = false;
}

void TaskScheduler::recordAnsweredAgain(const FinishedJob& finished, const std::string& entry)
{
    this->recordDecision(Decision::Kind::JobAnsweredAgain, {}, RunId { TaskId { finished.outcome.job, 0, 0, 0 }, 0 }, "the job has ended before: " + finished.outcome.reason);
    this->effects.decisions.back().formerEntry = finished.lastEntry;
    this->effects.decisions.back().entry = entry;
}

bool TaskScheduler::hasClaimedTargets() const
{
    return this->isActive() && this->knowsAllTargets && std::all_of(this->targets.begin(), this->targets.end(), [](const auto& entry) { return entry.second.session.knowsAllRuns(); });
}

std::vector<HeldJob> TaskScheduler::heldJobs(const std::string& homeShard) const
{
    std::vector<HeldJob> held;
    for (const auto& [name, job] : this->jobs) {
        const auto& grant = job.submission.placedBy;
        // An entry host of an earlier version does not say which home has placed the job.
        bool mayBelong = grant.homeTerm == 0 ? !job.submission.placement.isRequested : grant.homeShard == homeShard;
        if (mayBelong)
            held.push_back(HeldJob { name, true, job.entry, job.submission.entryIncarnation, { job.formerEntries.begin(), job.formerEntries.end() }, grant.homeTerm, job.submission.firstRunNumber });
    }
    std::set<std::string> withRuns;
    for (const auto& [key, target] : this->targets) {
        for (const auto& [run, state] : target.session.runs()) {
            if (!this->jobs.contains(run.task.job))
                withRuns.insert(run.task.job);
        }
    }
    for (const auto& name : withRuns)
        held.push_back(HeldJob { name, false, {}, 0, {}, 0 });
    return held;
}

bool TaskScheduler::knows(const std::string& job) const
{
    return this->jobs.contains(job) || this->finishedJobs.find(job) || this->countRunsOnTargets(job) > 0;
}

bool TaskScheduler::mayHaveRuns(const std::string& job) const
{
    if (this->jobs.contains(job))
        return true;
    const auto* finished = this->finishedJobs.find(job);
    return (finished && finished->outcome.starts > 0) || this->countRunsOnTargets(job) > 0;
}

}
