#include <LibScheduler/Dispatcher/TaskScheduler.h>
#include <algorithm>

// The indexes of the open jobs and the sums over jobs and targets, which are updated with each change, so that no event costs a scan.
namespace Sassafrasshift::Scheduler {

// Returns the expected work of that many tasks, in milliseconds multiplied by thousandths of a core.
int64_t TaskScheduler::expectedWork(const Job& job, size_t tasks)
{
    return static_cast<int64_t>(tasks) * job.submission.needs.milliCores * job.expectedRunTime.count();
}

void TaskScheduler::addToQueue(Job& job, Instant now)
{
    this->jobsByRank.emplace(job.rank, &job);
    this->jobsByEntry[job.entry].insert(&job);
    for (const auto& entry : job.formerEntries)
        this->jobsByFormerEntry[entry].insert(&job);
    job.expiryCheckAt = now;
    this->expiryChecks.emplace(job.expiryCheckAt, job.rank.arrival, &job);
    job.lateFrom = job.rank.objective - job.expectedRunTime;
    this->lateJobChecks.emplace(job.lateFrom, job.rank.arrival, &job);
    job.latestStart = job.deadline - job.expectedRunTime;
    this->latestStarts.emplace(job.latestStart, job.rank.arrival, &job);
    this->updateQueue(job);
}

// To be called after each change of the rank of a job or of the states of its tasks.
void TaskScheduler::updateQueue(Job& job)
{
    const auto& submission = job.submission;
    WorkSums::JobWork work { job.rank.isLate, job.rank.priority, this->shares.stepsOf(job.rank.tag), expectedWork(job, job.waiting), expectedWork(job, job.tasks.size() - job.waiting - job.done) };
    if (work != job.countedWork) {
        this->work.remove(submission.pool, job.countedWork);
        this->work.add(submission.pool, work);
        job.countedWork = work;
    }
    std::optional<JobRank> rank = job.waiting > 0 ? std::optional(job.rank) : std::nullopt;
    if (rank == job.waitingRank)
        return;
    WaitingJobs<Job>::Shape shape { submission.needs, submission.pool, submission.requiredLabel };
    if (job.waitingRank)
        this->waitingJobs.remove(shape, *job.waitingRank);
    if (rank)
        this->waitingJobs.add(shape, *rank, &job);
    job.waitingRank = rank;
}

void TaskScheduler::removeFromQueue(Job& job)
{
    this->jobsByRank.erase(job.rank);
    this->work.remove(job.submission.pool, job.countedWork);
    if (job.waitingRank)
        this->waitingJobs.remove({ job.submission.needs, job.submission.pool, job.submission.requiredLabel }, *job.waitingRank);
    this->expiryChecks.erase({ job.expiryCheckAt, job.rank.arrival, &job });
    this->lateJobChecks.erase({ job.lateFrom, job.rank.arrival, &job });
    this->latestStarts.erase({ job.latestStart, job.rank.arrival, &job });
    while (!job.formerEntries.empty())
        this->removeFormerEntry(job, std::string(*job.formerEntries.begin()));
    this->setEntry(job, {});
}

template <typename Job>
static void removeFrom(std::map<std::string, std::set<Job*>>& jobs, const std::string& entry, Job* job)
{
    auto position = jobs.find(entry);
    if (position != jobs.end() && position->second.erase(job) > 0 && position->second.empty())
        jobs.erase(position);
}

// An empty name stands for no entry host.
void TaskScheduler::setEntry(Job& job, const std::string& entry)
{
    removeFrom(this->jobsByEntry, job.entry, &job);
    job.entry = entry;
    if (!entry.empty())
        this->jobsByEntry[entry].insert(&job);
}

void TaskScheduler::addFormerEntry(Job& job, const std::string& entry)
{
    job.formerEntries.insert(entry);
    this->jobsByFormerEntry[entry].insert(&job);
}

void TaskScheduler::removeFormerEntry(Job& job, const std::string& entry)
{
    removeFrom(this->jobsByFormerEntry, entry, &job);
    job.formerEntries.erase(entry);
}

// To be called after each event of a target.
void TaskScheduler::updateCapacity(Target& target)
{
    const auto& report = target.session.target();
    auto milliCores = countsAsCapacity(target.session) ? report.capacity.milliCores : 0;
    if (milliCores == target.countedMilliCores && (milliCores == 0 || report.pool == target.countedPool))
        return;
    this->work.addCapacity(target.countedPool, -target.countedMilliCores);
    target.countedPool = report.pool;
    target.countedMilliCores = milliCores;
    this->work.addCapacity(target.countedPool, target.countedMilliCores);
}

void TaskScheduler::eraseTargets(const std::function<bool(const Target&)>& isSuperfluous)
{
    std::erase_if(this->targets, [&](const auto& entry) {
        if (!isSuperfluous(entry.second))
            return false;
        this->work.addCapacity(entry.second.countedPool, -entry.second.countedMilliCores);
        return true;
    });
}

// The lease and the deadline of a job are only ever extended, so that a job is looked at again when it could have expired.
void TaskScheduler::dropExpiredJobs(Instant now)
{
    while (!this->expiryChecks.empty() && std::get<Instant>(*this->expiryChecks.begin()) <= now) {
        auto& job = *std::get<Job*>(*this->expiryChecks.begin());
        auto expiresAt = std::min<Instant>(job.lease->lastExtendedAt + this->options.entryLease, job.deadline);
        if (expiresAt <= now) {
            this->dropJob(std::string(job.submission.job), "the entry lease expired or the deadline of the job passed", now);
            continue;
        }
        this->expiryChecks.erase(this->expiryChecks.begin());
        job.expiryCheckAt = expiresAt;
        this->expiryChecks.emplace(job.expiryCheckAt, job.rank.arrival, &job);
    }
}

}
