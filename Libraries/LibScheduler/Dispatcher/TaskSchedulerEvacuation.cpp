#include <LibScheduler/Dispatcher/TaskScheduler.h>
#include <algorithm>
#include <vector>

// Evacuated failure domains, and targets that are slow after their start.
namespace Sassafrasshift::Scheduler {

static constexpr Milliseconds noTargetRetryAfter { 1000 };

void TaskScheduler::setEvacuatedDomains(const std::set<std::string>* domains)
{
    if (!this->evacuations.set(domains))
        return;
    for (auto& [key, target] : this->targets)
        this->updateCapacity(target);
    this->needsPlacement = true;
}

bool TaskScheduler::mayStartOn(const Target& target, const Catalog::Resources& needs, Instant now) const
{
    const auto& report = target.session.target();
    return !this->isEvacuated(report) && target.coldStart.admits(report.capacity, target.session.freeCapacity(), needs, now);
}

// Whether there is a target that could take a task of the job if nothing else ran there. While a domain is evacuated, the label counts
// too: the targets that have it may all be there.
bool TaskScheduler::hasTargetFor(const Submission& submission) const
{
    return std::any_of(this->targets.begin(), this->targets.end(), [&](const auto& entry) {
        const auto& session = entry.second.session;
        const auto& report = session.target();
        if (report.pool != submission.pool || session.isRetired() || !submission.needs.fitInto(report.capacity) || this->isEvacuated(report))
            return false;
        return this->evacuations.isEmpty() || submission.requiredLabel.empty() || std::find(report.labels.begin(), report.labels.end(), submission.requiredLabel) != report.labels.end();
    });
}

// Whether a job that is submitted again has done tasks and could end only on evacuated targets. It waits for these until its deadline:
// another shard, which it would be offered to, would run the done tasks again.
bool TaskScheduler::awaitsEvacuatedTargets(const Submission& submission, const FinishedJob* earlier) const
{
    if (!earlier || this->evacuations.isEmpty() || this->hasTargetFor(submission))
        return false;
    return earlier->fingerprint == JobFingerprint::of(submission) && std::find(earlier->doneTasks.begin(), earlier->doneTasks.end(), true) != earlier->doneTasks.end();
}

// Refuses the jobs that wait for targets of evacuated domains only, so that their entry hosts offer them to other shards. A job of which
// tasks have run stays: another shard would run them again.
void TaskScheduler::refuseJobsWithoutTarget(Instant now)
{
    if (this->evacuations.isEmpty() || !this->knowsAllTargets)
        return;
    std::vector<std::string> refused;
    for (const auto& [name, job] : this->jobs) {
        if (job.starts == 0 && job.waiting == job.tasks.size() && !this->hasTargetFor(job.submission))
            refused.push_back(name);
    }
    for (const auto& name : refused)
        this->finishJob(name, JobEnd::Refused, "no-target", now, noTargetRetryAfter);
}

// A cold target takes more tasks as time passes, without any event.
bool TaskScheduler::hasColdTargets(Instant now) const
{
    return std::any_of(this->targets.begin(), this->targets.end(), [now](const auto& entry) { return entry.second.coldStart.isCold(now); });
}

}
