#include <LibScheduler/Dispatcher/FinishedJobs.h>
#include <functional>
#include <utility>

namespace Sassafrasshift::Scheduler {

JobFingerprint JobFingerprint::of(const Submission& submission)
{
    return JobFingerprint { submission.queue, submission.taskCount, submission.needs, std::hash<std::string> {}(submission.payload) };
}

FinishedJobs::FinishedJobs(Milliseconds retention)
    : retention(retention)
{
}

void FinishedJobs::add(const std::string& job, FinishedJob finished)
{
    this->jobs.insert_or_assign(job, std::move(finished));
}

const FinishedJob* FinishedJobs::find(const std::string& job) const
{
    auto position = this->jobs.find(job);
    return position == this->jobs.end() ? nullptr : &position->second;
}

const JobOutcome& FinishedJobs::readdress(const std::string& job, const std::string& entry, uint64_t firstRunNumber)
{
    auto& finished = this->jobs.at(job);
    finished.entry = entry;
    finished.lastEntry = entry;
    finished.outcome.firstRunNumber = firstRunNumber;
    return finished.outcome;
}

void FinishedJobs::removeExpired(Instant now)
{
    std::erase_if(this->jobs, [&](const auto& entry) { return now - entry.second.finishedAt > this->retention; });
}

}
