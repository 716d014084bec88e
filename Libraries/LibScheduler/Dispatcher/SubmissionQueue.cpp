#include <LibScheduler/Dispatcher/SubmissionQueue.h>
#include <utility>

namespace Sassafrasshift::Scheduler {

SubmissionQueue::SubmissionQueue(Options options)
    : options(options)
{
}

SubmissionQueue::Waiting SubmissionQueue::takeFirst()
{
    auto first = std::move(this->waiting.front());
    this->waiting.pop_front();
    this->payloadBytes -= first.submission.payload.size();
    return first;
}

std::vector<SubmissionQueue::Waiting> SubmissionQueue::push(Waiting submission)
{
    this->payloadBytes += submission.submission.payload.size();
    this->waiting.push_back(std::move(submission));
    std::vector<Waiting> excess;
    while (this->waiting.size() > this->options.maximumSubmissions || this->payloadBytes > this->options.maximumPayloadBytes)
        excess.push_back(this->takeFirst());
    return excess;
}

void SubmissionQueue::cancel(const std::string& entry, const std::string& job)
{
    std::erase_if(this->waiting, [&](const auto& candidate) {
        const auto& submission = candidate.submission;
        bool isCancelled = submission.job == job && (candidate.from == entry || submission.placement.entry == entry);
        if (isCancelled)
            this->payloadBytes -= submission.payload.size();
        return isCancelled;
    });
}

std::vector<SubmissionQueue::Waiting> SubmissionQueue::take()
{
    std::vector<Waiting> batch;
    while (!this->waiting.empty() && batch.size() < this->options.batch)
        batch.push_back(this->takeFirst());
    return batch;
}

}
