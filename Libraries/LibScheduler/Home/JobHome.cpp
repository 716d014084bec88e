#include <LibScheduler/Home/JobHome.h>
#include <algorithm>
#include <iterator>
#include <utility>

namespace Sassafrasshift::Scheduler {

static constexpr size_t maximumHeldSubmissions = 20'000;
static constexpr Milliseconds cleanupInterval { 500 };
static constexpr TaskScheduler::Options scheduling {};
static_assert(PlacementRegistry::Options {}.longestRun >= scheduling.maximumTransitTime + scheduling.leases.maximumRunTimeAfterExtension);

// The entry host to which a submission belongs.
static const std::string& entryOf(const std::string& from, const Submission& submission)
{
    return submission.placement.entry.empty() ? from : submission.placement.entry;
}

static bool mayHaveEarlierRuns(const Submission& submission)
{
    return submission.untilEarlierRunsEnd > 0 || submission.untilOtherShardRunsEnd > 0;
}

// Returns a submission as it would be if it was sent later.
static Submission withAge(Submission submission, Milliseconds age)
{
    submission.untilDeadline -= age.count();
    submission.untilObjective -= age.count();
    submission.untilEarlierRunsEnd = std::max<Milliseconds::rep>(submission.untilEarlierRunsEnd - age.count(), 0);
    submission.untilOtherShardRunsEnd = std::max<Milliseconds::rep>(submission.untilOtherShardRunsEnd - age.count(), 0);
    return submission;
}

JobHome::JobHome(PlacementRegistry::Options options, HomeReadiness::Options readinessOptions)
    : registry(options)
    , readiness(readinessOptions)
{
}

void JobHome::begin(std::string shard, uint64_t term, Instant now)
{
    if (!this->isHomeOf(shard))
        this->end();
    this->readiness.begin(shard, term, now);
    this->readiness.observeTerm(this->terms.highest(shard));
    this->registry.begin(std::move(shard), term);
    this->hasRecordedReadiness = false;
}

void JobHome::end()
{
    this->registry.end();
    this->readiness.end();
    this->held.clear();
    this->answers.clear();
    this->placedElsewhere.clear();
}

void JobHome::observeTerm(const std::string& homeShard, uint64_t term)
{
    if (term > maximumHomeTerm)
        return;
    this->terms.observe(homeShard, term);
    if (this->isHomeOf(homeShard))
        this->readiness.observeTerm(term);
}

// What a job has here already needs no decision: its runs are adopted.
bool JobHome::canDecide(const TaskScheduler& scheduler, const Submission& submission) const
{
    bool isHereAlready = submission.placement.wasConfirmed && scheduler.mayHaveRuns(submission.job) && !this->registry.isInOtherShard(submission.job);
    return this->readiness.isReady() || (isHereAlready && !this->readiness.isSuperseded());
}

void JobHome::submit(TaskScheduler& scheduler, const std::string& from, const Submission& submission, Instant now, Milliseconds leaseAge)
{
    if (!submission.placement.isRequested) {
        const auto& grant = submission.placedBy;
        if (this->terms.isOutdated(grant))
            return scheduler.refuseOutdated(from, submission, this->terms.highest(grant.homeShard), now);
        this->observeTerm(grant.homeShard, grant.homeTerm);
        return scheduler.submit(from, submission, now, leaseAge);
    }
    if (!this->isHomeOf(submission.placement.homeShard))
        return;
    this->observeTerm(submission.placement.homeShard, submission.placement.highestHomeTerm);
    if (this->canDecide(scheduler, submission))
        this->decide(scheduler, from, submission, now, leaseAge);
    else
        this->hold(from, submission, now, leaseAge);
}

bool JobHome::isFirst(const TaskScheduler& scheduler, const std::string& from, const Submission& submission) const
{
    if (!scheduler.isActive() || entryOf(from, submission) != from || mayHaveEarlierRuns(submission) || submission.untilUnknownRunsEnd > 0 || scheduler.knows(submission.job))
        return false;
    if (!submission.placement.isRequested)
        return !this->terms.isOutdated(submission.placedBy);
    bool mayDecide = this->isHomeOf(submission.placement.homeShard) && this->readiness.isReady() && !this->readiness.isSuperseded();
    return mayDecide && this->registry.ownerOf(submission.job).empty();
}

void JobHome::hold(const std::string& from, const Submission& submission, Instant now, Milliseconds leaseAge)
{
    auto untilRunsEnd = std::max(submission.untilEarlierRunsEnd, submission.untilOtherShardRunsEnd);
    if (untilRunsEnd > 0)
        this->registry.noteRuns(submission.job, now + Milliseconds(untilRunsEnd));
    HeldKey key { entryOf(from, submission), submission.job };
    if (this->held.size() < maximumHeldSubmissions || this->held.contains(key))
        this->held.insert_or_assign(std::move(key), HeldSubmission { from, submission, now, now, leaseAge });
}

void JobHome::decide(TaskScheduler& scheduler, const std::string& from, const Submission& submission, Instant now, Milliseconds leaseAge)
{
    const auto& entry = entryOf(from, submission);
    bool isRelayed = entry != from;
    auto formerEntry = this->registry.ownerOf(submission.job);
    auto placement = this->registry.decide(entry, submission, { isRelayed, scheduler.mayHaveRuns(submission.job) }, now);
    if (!formerEntry.empty() && formerEntry != entry)
        this->recordRequest(placement, formerEntry, now);
    if (placement.kind == PlacementKind::Refused)
        this->recordRefusal(placement, now);
    bool staysHere = placement.kind == PlacementKind::Shard && placement.shard == this->registry.ownShard();
    if (staysHere && !isRelayed) {
        auto queued = submission;
        queued.untilUnknownRunsEnd = placement.untilUnknownRunsEnd;
        scheduler.submit(entry, queued, now, leaseAge);
    }
    bool isExpected = staysHere && submission.placement.preferredShard == placement.shard;
    if (!isExpected)
        this->answers.push_back(Answer { from, std::move(placement) });
}

void JobHome::cancel(TaskScheduler& scheduler, const std::string& entry, const std::string& job, bool hasNotRun, Instant now)
{
    if (hasNotRun && !scheduler.mayHaveRuns(job))
        this->registry.forget(entry, job, now);
    this->held.erase(HeldKey { entry, job });
    scheduler.cancel(entry, job, now);
}

std::vector<std::string> JobHome::renew(TaskScheduler& scheduler, const std::string& entry, const RenewSubmissions& renewal, Instant now, Milliseconds leaseAge)
{
    if (renewal.answeredRequest == 0) {
        for (auto& placement : this->registry.onRenewal(entry, renewal.entryIncarnation, renewal.placedJobs, now))
            this->answers.push_back(Answer { entry, std::move(placement) });
        this->readiness.onListed(entry);
    }
    auto unknown = scheduler.renew(entry, renewal.jobs, now, renewal.kind, renewal.answeredRequest, leaseAge);
    std::erase_if(unknown, [&](const auto& job) {
        auto position = this->held.find(HeldKey { entry, job });
        if (position == this->held.end())
            return false;
        if (renewal.kind == TaskScheduler::RenewalKind::ExtendLease)
            position->second.lastExtendedAt = std::max<Instant>(position->second.lastExtendedAt, now - leaseAge);
        return true;
    });
    return unknown;
}

std::vector<std::string> JobHome::withRecords(const TaskScheduler& scheduler, const std::vector<std::string>& jobs) const
{
    std::vector<std::string> found;
    std::copy_if(jobs.begin(), jobs.end(), std::back_inserter(found), [&](const auto& job) { return scheduler.knows(job) || this->registry.isInOtherShard(job); });
    return found;
}

// Decides about the held submissions that can be decided now, in the order of their arrival; before the others, those of entry hosts that
// know of earlier runs.
void JobHome::decideHeld(TaskScheduler& scheduler)
{
    std::vector<HeldSubmission> ready;
    std::erase_if(this->held, [&](auto& entry) {
        bool isReady = this->canDecide(scheduler, entry.second.submission);
        if (isReady)
            ready.push_back(std::move(entry.second));
        return isReady;
    });
    auto rank = [](const HeldSubmission& waiting) { return std::pair(!mayHaveEarlierRuns(waiting.submission), waiting.arrivedAt); };
    std::stable_sort(ready.begin(), ready.end(), [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    for (auto& waiting : ready) {
        auto age = std::chrono::duration_cast<Milliseconds>(waiting.lastExtendedAt - waiting.arrivedAt);
        this->decide(scheduler, waiting.from, withAge(std::move(waiting.submission), age), waiting.lastExtendedAt, waiting.leaseAge);
    }
}

std::optional<PlacedJobsResponse> JobHome::onPlacedJobsRequest(const TaskScheduler& scheduler, const PlacedJobsRequest& request, Instant now)
{
    this->observeTerm(request.homeShard, request.homeTerm);
    if (!scheduler.isActive())
        return {};
    PlacedJobsResponse response { request.homeShard, request.homeTerm, this->terms.highest(request.homeShard), this->registry.ownShard(), {} };
    if (response.highestTerm > request.homeTerm)
        return response;
    response.knowsRuns = scheduler.hasClaimedTargets() || this->readiness.haveUnknownRunsEnded(now);
    response.jobs = scheduler.heldJobs(request.homeShard);
    return response;
}

void JobHome::onPlacedJobsResponse(const std::string& from, const PlacedJobsResponse& response, Instant now)
{
    if (!this->isHomeOf(response.homeShard))
        return;
    this->observeTerm(response.homeShard, response.highestTerm);
    if (response.homeTerm != this->readiness.term() || this->readiness.isSuperseded())
        return;
    auto accepted = this->registry.onPlacedJobs(response.shard, response.jobs, now);
    this->placedElsewhere.insert(this->placedElsewhere.end(), std::make_move_iterator(accepted.begin()), std::make_move_iterator(accepted.end()));
    this->readiness.onAnswer(from, response.knowsRuns);
}

std::vector<JobHome::Question> JobHome::takeQuestions(Instant now)
{
    std::vector<Question> questions;
    if (this->readiness.isSuperseded() || this->readiness.isReady())
        return questions;
    for (auto& dispatcher : this->readiness.takeDispatchersToAsk(now))
        questions.push_back(Question { std::move(dispatcher), PlacedJobsRequest { this->registry.ownShard(), this->readiness.term() } });
    return questions;
}

void JobHome::recordReadiness(Instant now)
{
    if (this->hasRecordedReadiness || !this->readiness.isReady())
        return;
    this->hasRecordedReadiness = true;
    this->events.push_back(HomeEvent { HomeEvent::Kind::Ready, std::string(this->readiness.cause()), this->readiness.sinceBegin(now), this->readiness.unheard() });
}

void JobHome::recordRequest(const Placement& placement, const std::string& formerEntry, Instant now)
{
    HomeEvent event { HomeEvent::Kind::RequestedAgain, placement.kind == PlacementKind::TakenOver ? "taken-over" : "same-shard", this->readiness.sinceBegin(now) };
    event.job = placement.job;
    event.formerEntry = formerEntry;
    event.entry = placement.entry;
    event.shard = placement.shard;
    this->events.push_back(std::move(event));
}

void JobHome::recordRefusal(const Placement& placement, Instant now)
{
    HomeEvent event { HomeEvent::Kind::Refused, placement.untilUnknownRunsEnd > 0 ? "may-have-run" : "not-run", this->readiness.sinceBegin(now) };
    event.job = placement.job;
    event.entry = placement.entry;
    this->events.push_back(std::move(event));
}

std::vector<HomeEvent> JobHome::takeEvents()
{
    return std::exchange(this->events, {});
}

void JobHome::tick(TaskScheduler& scheduler, Instant now)
{
    // A target of the shard has accepted a higher fencing token than that of this term.
    if (scheduler.hasFencedTargets())
        this->readiness.observeTerm(this->readiness.term() + 1);
    this->readiness.update(scheduler.hasClaimedTargets(), now);
    this->recordReadiness(now);
    for (const auto& job : std::exchange(this->placedElsewhere, {}))
        scheduler.endTakenOver(job, now);
    scheduler.setHomeState(this->readiness.isReady(), this->readiness.isSuperseded());
    this->decideHeld(scheduler);
    if (now < this->nextCleanup)
        return;
    this->nextCleanup = now + cleanupInterval;
    this->registry.removeExpired(now);
}

std::vector<JobHome::Answer> JobHome::takeAnswers()
{
    auto taken = std::exchange(this->answers, {});
    for (auto& notice : this->registry.takeNotices()) {
        auto entry = notice.entry;
        taken.push_back(Answer { std::move(entry), std::move(notice) });
    }
    return taken;
}

}
