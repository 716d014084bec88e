#include <LibScheduler/Entry/JobOwner.h>
#include <algorithm>
#include <utility>

// How an entry host asks for the places of its jobs, and what it tells their home.
namespace Sassafrasshift::Scheduler {

static constexpr Milliseconds homeFullRetryAfter { 1000 };

// Asks the home of the job which shard gets it. While the home does not answer this host, another dispatcher relays the request; while
// there is no home, the job waits.
void JobOwner::handOver(Job& job, const std::vector<std::string>& excludedShards, Instant now)
{
    const auto& pool = job.submission.pool;
    const auto* home = this->directory.home();
    auto excluded = this->directory.excludeRefusing(pool, job.submission.priority, job.submission.job, excludedShards, now);
    auto choice = this->directory.chooseWithReason(job.submission.job, pool, excluded, now);
    const auto* preferred = choice.dispatcher;
    if (!home || !preferred)
        return;
    bool canAskHome = preferred == home || this->directory.isFresh(*home, now);
    this->request(job, canAskHome ? *home : *preferred, this->directory.explain(choice, pool, excluded, now), now);
}

// Asks the home through the receiver, which is the home itself or relays the request.
void JobOwner::request(Job& job, const DispatcherDirectory::KnownDispatcher& receiver, ShardChoice preference, Instant now)
{
    std::set<std::string> left = job.earlierShards;
    left.insert(job.refusedBy.begin(), job.refusedBy.end());
    const auto& homeShard = this->directory.homeShard();
    const auto& preferredShard = preference.chosen.shard;
    job.submission.placement = PlacementRequest { true, homeShard, preferredShard, { left.begin(), left.end() }, {}, job.wasConfirmed, this->highestHomeTerm };
    job.submission.placedBy = {};
    auto stageAtHome = preferredShard == homeShard ? Stage::Submitted : Stage::Requested;
    this->send(job, receiver, receiver.shard == homeShard ? stageAtHome : Stage::Relayed, std::move(preference), now);
}

// Submits a job to a shard that it was in before, or that its home has chosen.
void JobOwner::handOverTo(Job& job, const DispatcherDirectory::KnownDispatcher& dispatcher, ShardChoice::Reason reason, Instant now)
{
    auto choice = this->directory.explain({ &dispatcher, reason }, job.submission.pool, {}, now);
    if (dispatcher.shard == this->directory.homeShard())
        return this->request(job, dispatcher, std::move(choice), now);
    job.submission.placement = {};
    this->send(job, dispatcher, Stage::Submitted, std::move(choice), now);
}

void JobOwner::onPlacement(const std::string& from, const Placement& placement, Instant now)
{
    this->directory.onAnswer(from, now);
    auto position = this->jobs.find(placement.job);
    if (position == this->jobs.end())
        return;
    auto& job = position->second;
    bool answersLastRequest = job.dispatcher == from && placement.firstRunNumber == job.submission.firstRunNumber;
    if (placement.kind == PlacementKind::TakenOver) {
        if (answersLastRequest || placement.firstRunNumber == 0)
            this->onTakenOver(position, from);
        return;
    }
    if (!answersLastRequest)
        return;
    if (placement.kind == PlacementKind::Refused)
        return this->onHomeFull(position, placement);
    if (placement.kind != PlacementKind::Shard)
        return;
    if (job.stage != Stage::Relayed || placement.shard != this->directory.homeShard())
        job.wasConfirmed = true;
    if (placement.shard == this->directory.homeShard()) {
        // A home that this host does not reach has the job of another entry host, and is asked again.
        if (job.stage == Stage::Requested)
            job.stage = Stage::Submitted;
        return;
    }
    // The caller may have submitted the job again through another entry host during the pause.
    if (job.hasPausedSinceHandover) {
        this->finishWithAnswer(position, Answer::Kind::Unknown, "entry-paused");
        return;
    }
    this->highestHomeTerm = std::max(this->highestHomeTerm, placement.homeTerm);
    job.submission.placedBy = PlacementGrant { this->directory.homeShard(), placement.homeTerm };
    job.unknownRunsEndAt = now + Milliseconds(placement.untilUnknownRunsEnd);
    job.hasUnknownRuns = job.hasUnknownRuns || placement.untilUnknownRunsEnd > 0;
    bool isPreferred = placement.shard == job.submission.placement.preferredShard;
    noteLastDispatcher(job, isPreferred ? HandoverCause::Kind::Placed : HandoverCause::Kind::PlacedOtherwise);
    if (const auto* dispatcher = this->directory.find(placement.shard))
        this->handOverTo(job, *dispatcher, ShardChoice::Reason::Home, now);
    else
        this->onShardLost(job, placement.shard, now);
}

// No other dispatcher may place the job. The home would have known it if a shard had it.
void JobOwner::onHomeFull(Jobs::iterator position, const Placement& refusal)
{
    bool mayHaveRun = !position->second.earlierShards.empty() || refusal.untilUnknownRunsEnd > 0;
    this->finishWithAnswer(position, mayHaveRun ? Answer::Kind::Unknown : Answer::Kind::Refused, "home-full", mayHaveRun ? Milliseconds(0) : homeFullRetryAfter);
}

// The shard that has the job of another entry host has no dispatcher any more. The job is placed anew.
void JobOwner::onShardLost(Job& job, const std::string& shard, Instant now)
{
    job.earlierRunsEndAt = std::max(job.earlierRunsEndAt, now + this->earlierRunsTimeout());
    job.earlierShards.insert(shard);
    job.dispatcher.clear();
}

// A home that answers renewals, but no requests, is of an earlier version: it gets the job itself.
void JobOwner::repeatRequest(Job& job, Instant now)
{
    const auto* home = this->directory.home();
    bool answersOtherMessages = home && job.stage == Stage::Requested && home->lastHeardAt > job.handedOverAt;
    bool mayStay = answersOtherMessages && std::find(job.refusedBy.begin(), job.refusedBy.end(), home->shard) == job.refusedBy.end();
    if (mayStay)
        this->handOverTo(job, *home, ShardChoice::Reason::Home, now);
    else
        this->handOver(job, job.refusedBy, now);
}

// Sends the requests again that have not been answered in time.
void JobOwner::repeatRequests(Instant now)
{
    for (auto position = this->jobs.begin(); position != this->jobs.end();) {
        auto& job = position->second;
        bool isWaiting = !job.dispatcher.empty() && job.stage != Stage::Submitted;
        if (!isWaiting || now - job.handedOverAt <= this->options.renewalInterval) {
            ++position;
            continue;
        }
        if (job.hasPausedSinceHandover) {
            position = this->finishWithAnswer(position, Answer::Kind::Unknown, "entry-paused");
            continue;
        }
        noteLastDispatcher(job, HandoverCause::Kind::RequestUnanswered);
        this->repeatRequest(job, now);
        ++position;
    }
}

// The dispatcher has the jobs that were handed over before it answered, and that it does not name.
void JobOwner::confirmJobs(const std::string& dispatcher, const std::vector<std::string>& unknownJobs, Instant now)
{
    std::set<std::string_view> unknown(unknownJobs.begin(), unknownJobs.end());
    for (auto& [name, job] : this->jobs) {
        bool wasListed = job.dispatcher == dispatcher && job.stage == Stage::Submitted && now - job.handedOverAt > this->options.renewalInterval;
        if (wasListed && !unknown.contains(name))
            job.wasConfirmed = true;
    }
}

// A new home has to know where runs of the job may continue if the caller submits it again.
void JobOwner::noteLeft(const Job& job)
{
    auto runsEndAt = job.earlierRunsEndAt;
    if (!job.dispatcher.empty())
        runsEndAt = std::max(runsEndAt, job.lastExtensionSentAt + this->earlierRunsTimeout());
    if (runsEndAt != Instant {})
        this->leftJobs.insert_or_assign(job.submission.job, LeftJob { job.shard, runsEndAt });
}

void JobOwner::addLeftJobs(Renewal& toHome, Instant now)
{
    std::erase_if(this->leftJobs, [&](const auto& entry) { return now >= entry.second.runsEndAt; });
    for (const auto& [name, left] : this->leftJobs)
        toHome.placedJobs.push_back(PlacedJob { name, left.shard, false });
}

}
