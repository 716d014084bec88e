#include "OverloadModel.h"
#include <algorithm>

namespace Sassafrasshift::Scheduler {

using namespace std::chrono_literals;

// The costs add up to 500 us a job and 8 ms a second for renewals, so that 0.12 core handles 224 jobs/s.
static constexpr std::chrono::microseconds submissionCost { 100 };
static constexpr std::chrono::microseconds targetAnswerCost { 100 };
static constexpr size_t targetAnswers = 4;
static constexpr std::chrono::microseconds renewalCost { 48 };
static constexpr std::chrono::microseconds refusalCost { 30 };
static constexpr double costOfJob = 0.0005;
static constexpr double renewalsPerSecond = 4;
static constexpr Milliseconds maximumTransitTime { 250 };
static constexpr Milliseconds jobTimeout { 1500 };
static constexpr Milliseconds runTime { 51 };
static constexpr Milliseconds tick { 20 };
static constexpr Milliseconds transit { 1 };

OverloadModel::OverloadModel(Options options)
    : options(options)
    , known(options.entries)
{
}

void OverloadModel::spend(Micros cpuTime)
{
    auto quota = std::chrono::duration_cast<Micros>(this->options.quotaPeriod * this->options.cores);
    if (this->now >= this->quotaBegin + this->options.quotaPeriod) {
        this->quotaBegin += (this->now - this->quotaBegin) / this->options.quotaPeriod * this->options.quotaPeriod;
        this->quotaUsed = Micros(0);
    }
    this->now += cpuTime;
    this->quotaUsed += cpuTime;
    if (this->quotaUsed < quota)
        return;
    this->quotaUsed -= quota;
    this->quotaBegin += this->options.quotaPeriod;
    this->now = std::max(this->now, this->quotaBegin);
}

void OverloadModel::refuse(const Job& job)
{
    ++job.result->refusedByDispatcher;
    this->known[job.entry].update("dispatcher", this->controller.level(), this->now);
    job.result->longestRefusal = std::max(job.result->longestRefusal, std::chrono::ceil<Milliseconds>(this->now - job.arrivedAt));
}

// A fifth of the jobs is of priority 0, a twentieth of priority 2, as in the workload of docs/design/005-overload-and-evacuation.md.
void OverloadModel::arrive(Job job)
{
    auto number = this->arrivals++;
    job.entry = number % this->options.entries;
    job.priority = number % 20 == 0 ? 2 : (number % 5 == 1 ? 0 : 1);
    job.name = "job-" + std::to_string(number);
    ++job.result->offered;
    if (this->known[job.entry].admits("dispatcher", job.priority, job.name, job.arrivedAt))
        this->inTransit.emplace(job.sentAt + transit, Message { Kind::Submission, job });
    else
        ++job.result->refusedLocally;
}

void OverloadModel::handleSubmission(const Job& job)
{
    auto excess = std::chrono::duration_cast<Milliseconds>(this->now - job.sentAt);
    this->monitor.observeTransit(std::to_string(job.entry), excess);
    this->controller.observe(job.priority, this->now);
    if (this->options.controlsAdmission && !this->controller.level().admits(job.priority, job.name)) {
        this->spend(refusalCost);
        return this->refuse(job);
    }
    if (excess <= maximumTransitTime) {
        this->spend(submissionCost);
        this->inTransit.emplace(this->now + runTime, Message { Kind::TargetAnswer, job, targetAnswers });
        return;
    }
    this->spend(refusalCost);
    // A dispatcher that limits what it admits says that it has started nothing of the job.
    if (!this->controller.level().admitsAll())
        return this->refuse(job);
    auto again = job;
    again.sentAt = std::max(this->now, job.sentAt + maximumTransitTime);
    if (again.sentAt < job.arrivedAt + jobTimeout)
        this->inTransit.emplace(again.sentAt + transit, Message { Kind::Submission, again });
    else
        ++job.result->unanswered;
}

void OverloadModel::handle(const Message& message)
{
    switch (message.kind) {
    case Kind::Renewal:
        this->spend(renewalCost);
        this->known[message.job.entry].update("dispatcher", this->controller.level(), this->now + transit);
        return;
    case Kind::Submission:
        return this->handleSubmission(message.job);
    case Kind::TargetAnswer:
        this->spend(targetAnswerCost);
        if (message.answersLeft > 1)
            this->inTransit.emplace(this->now + 1ms, Message { Kind::TargetAnswer, message.job, message.answersLeft - 1 });
        else
            ++(this->now <= message.job.arrivedAt + jobTimeout ? message.job.result->served : message.job.result->unanswered);
        return;
    }
}

// One iteration of the event loop: takes what has arrived, renewals and answers first, then the timer.
void OverloadModel::advance(double load, Instant until, Result& result)
{
    auto perSecond = load * (this->options.cores - renewalsPerSecond * static_cast<double>(this->options.entries) * std::chrono::duration<double>(renewalCost).count()) / costOfJob;
    while (this->now < until) {
        for (; this->lastArrivals + 1ms <= this->now; this->lastArrivals += 1ms) {
            for (this->arrivalCredit += perSecond / 1000; this->arrivalCredit >= 1; --this->arrivalCredit)
                this->arrive(Job { this->lastArrivals, this->lastArrivals, 0, 0, {}, &result });
        }
        for (; this->nextRenewal <= this->now; this->nextRenewal += 1000ms / static_cast<int64_t>(renewalsPerSecond)) {
            for (size_t entry = 0; entry < this->options.entries; ++entry)
                this->inTransit.emplace(this->nextRenewal + transit, Message { Kind::Renewal, Job { {}, {}, entry, 0, {}, nullptr } });
        }
        std::vector<Message> arrived;
        auto end = this->inTransit.upper_bound(this->now);
        for (auto position = this->inTransit.begin(); position != end; ++position)
            arrived.push_back(std::move(position->second));
        this->inTransit.erase(this->inTransit.begin(), end);
        std::stable_partition(arrived.begin(), arrived.end(), [](const auto& message) { return message.kind != Kind::Submission; });
        for (const auto& message : arrived)
            this->handle(message);
        if (this->now >= this->nextTick) {
            result.longestLag = std::max(result.longestLag, std::chrono::duration_cast<Milliseconds>(this->now - this->nextTick));
            this->monitor.onTick(this->nextTick, this->now);
            this->nextTick = this->now + tick;
            if (this->options.controlsAdmission)
                this->controller.update(this->monitor, this->now);
        }
        this->now = std::max(this->now, std::min(this->nextTick, this->lastArrivals + 1ms));
    }
}

const OverloadModel::Result& OverloadModel::run(double load, Milliseconds duration)
{
    auto& result = this->results.emplace_back();
    this->advance(load, this->now + duration, result);
    return result;
}

void OverloadModel::pause(Milliseconds duration)
{
    this->now += duration;
}

}
