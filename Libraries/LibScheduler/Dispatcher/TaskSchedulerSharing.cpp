#include <LibScheduler/Dispatcher/TaskScheduler.h>
#include <limits>

// The queue order while capacity is shared.
namespace Sassafrasshift::Scheduler {

// Priorities that come before those of all queues.
static constexpr int64_t startedPriority { std::numeric_limits<int64_t>::min() };
static constexpr int64_t guaranteedPriority { startedPriority + 1 };

void TaskScheduler::changeRank(Job& job, const JobRank& rank)
{
    this->jobsByRank.erase(job.rank);
    job.rank = rank;
    this->jobsByRank.emplace(job.rank, &job);
    this->updateQueue(job);
}

// Returns the rank that a job would get if it were queued now.
JobRank TaskScheduler::rankOf(const Submission& submission, Instant now) const
{
    JobRank rank { false, submission.priority, 0, now + Milliseconds(submission.untilObjective), this->arrivals };
    if (!this->shares.isSharing())
        return rank;
    auto position = this->shares.preview({ submission.originDomain, submission.queue }, submission.priority, now);
    rank.tag = position.tag;
    if (position.isGuaranteed)
        rank.priority = guaranteedPriority;
    return rank;
}

void TaskScheduler::assignShare(Job& job, Instant now)
{
    if (!this->options.shareCapacity)
        return;
    const auto& submission = job.submission;
    job.share = this->shares.add({ submission.originDomain, submission.queue }, submission.priority, static_cast<double>(expectedWork(job, job.waiting)), now);
    this->shares.count(job.share.share, { 1, 0, 0, 0 });
    job.rank.tag = job.share.tag;
    if (job.share.isGuaranteed)
        job.rank.priority = guaranteedPriority;
}

void TaskScheduler::releaseShare(Job& job, Instant now)
{
    if (!this->options.shareCapacity)
        return;
    bool hasStarted = job.starts > 0;
    bool isLate = hasStarted && (now > job.rank.objective || job.done < job.tasks.size());
    this->shares.onEnded(job.share);
    this->shares.count(job.share.share, { 0, hasStarted ? 1U : 0U, hasStarted ? 0U : 1U, isLate ? 1U : 0U });
}

// Whether some waiting job cannot end within its objective if the jobs before it are served first.
bool TaskScheduler::isCapacityShort(double capacity, Instant now) const
{
    double workAhead = 0;
    for (const auto& [rank, job] : this->jobsByRank) {
        if (rank.isLate || capacity <= 0)
            break;
        if (job->waiting == 0)
            continue;
        workAhead += static_cast<double>(expectedWork(*job, job->waiting));
        auto wait = Milliseconds(static_cast<Milliseconds::rep>(workAhead / capacity));
        if (job->starts == 0 && now + wait + job->expectedRunTime > rank.objective)
            return true;
    }
    return false;
}

void TaskScheduler::updateSharing(Instant now)
{
    if (!this->options.shareCapacity)
        return;
    auto capacity = this->usableCapacity();
    auto change = this->shares.observe(this->isCapacityShort(capacity, now), capacity, now);
    if (change == CapacityShares::Change::Began) {
        this->recordDecision(Decision::Kind::SharingBegan, {}, {}, "the waiting work cannot all end in time; capacity is shared between failure domains and queues");
        for (auto& [name, job] : this->jobs)
            this->preferIfStarted(job);
    }
    if (change != CapacityShares::Change::Ended)
        return;
    this->recordDecision(Decision::Kind::SharingEnded, {}, {}, "the waiting work can end in time again");
    for (auto& [name, job] : this->jobs) {
        auto rank = job.rank;
        rank.priority = job.submission.priority;
        rank.tag = 0;
        this->changeRank(job, rank);
    }
}

// A job that has started some of its tasks earns nothing unless the others end in time too.
void TaskScheduler::preferIfStarted(Job& job)
{
    if (!this->shares.isSharing() || job.starts == 0 || job.waiting == 0 || job.rank.priority == startedPriority)
        return;
    auto rank = job.rank;
    rank.priority = startedPriority;
    this->changeRank(job, rank);
}

}
