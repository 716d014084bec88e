#include <LibScheduler/Home/PlacementRegistry.h>
#include <algorithm>
#include <utility>

namespace Sassafrasshift::Scheduler {

static constexpr Milliseconds shortestRoomInterval { 50 };

PlacementRegistry::PlacementRegistry(Options options)
    : options(options)
{
}

void PlacementRegistry::begin(std::string newShard, uint64_t newTerm)
{
    if (!this->isHomeOf(newShard))
        this->end();
    this->isActive = true;
    this->shard = std::move(newShard);
    this->term = newTerm;
}

void PlacementRegistry::end()
{
    this->isActive = false;
    this->records.clear();
    this->notedRuns.clear();
    this->notices.clear();
    this->nextRoomAt = {};
    this->omittedUntil = {};
}

std::string PlacementRegistry::ownerOf(const std::string& job) const
{
    auto position = this->records.find(job);
    return position == this->records.end() ? std::string() : position->second.owner.entry;
}

bool PlacementRegistry::isInOtherShard(const std::string& job) const
{
    auto position = this->records.find(job);
    return position != this->records.end() && position->second.shard != this->shard;
}

PlacementRegistry::Record& PlacementRegistry::insert(const std::string& job, Owner owner, std::string jobShard, Instant now)
{
    return this->records.emplace(job, Record { std::move(owner), {}, std::move(jobShard), {}, now, {} }).first->second;
}

// A job is not answered later than its deadline, and its runs are not extended after that.
Instant PlacementRegistry::usedUntil(const Record& record) const
{
    if (!record.deadline)
        return record.lastUsedAt + this->options.retention;
    return std::max(record.lastUsedAt, *record.deadline) + this->options.longestRun + this->options.callerRetryDelay;
}

// Returns whether another record fits. If there are too many, those of jobs that cannot run any more are forgotten at once, so that not each
// first submission has to look at all of them.
bool PlacementRegistry::makeRoom(Instant now)
{
    if (this->records.size() < this->options.maximumRecords)
        return true;
    if (now < this->nextRoomAt)
        return false;
    this->nextRoomAt = Instant::max();
    std::erase_if(this->records, [&](const auto& entry) {
        auto until = this->usedUntil(entry.second);
        if (now < until)
            this->nextRoomAt = std::min(this->nextRoomAt, until);
        return now >= until;
    });
    this->nextRoomAt = std::max(this->nextRoomAt, now + shortestRoomInterval);
    return this->records.size() < this->options.maximumRecords;
}

void PlacementRegistry::omit(Instant until)
{
    this->omittedUntil = std::max(this->omittedUntil, until);
}

Placement PlacementRegistry::refusal(const std::string& entry, const Submission& submission, Instant now) const
{
    auto noted = this->notedRuns.find(submission.job);
    auto runsEndAt = noted == this->notedRuns.end() ? now : noted->second;
    if (now < this->omittedUntil)
        runsEndAt = std::max(runsEndAt, now + this->options.longestRun);
    auto untilRunsEnd = std::chrono::ceil<Milliseconds>(runsEndAt - now).count();
    return Placement { submission.job, entry, PlacementKind::Refused, submission.firstRunNumber, {}, std::max<Milliseconds::rep>(untilRunsEnd, 0), this->term };
}

Placement PlacementRegistry::takenOver(const std::string& job, const std::string& entry, uint64_t firstRunNumber)
{
    return Placement { job, entry, PlacementKind::TakenOver, firstRunNumber, {}, 0 };
}

// A shard names its former owners without their incarnations.
bool PlacementRegistry::isFormerOwner(const Record& record, const Owner& owner)
{
    return record.formerOwners.contains(owner) || record.formerOwners.contains(Owner { owner.entry, 0 });
}

// The dispatcher of this shard itself tells the former owner of a job that it has.
void PlacementRegistry::changeOwner(const std::string& job, Record& record, const Owner& owner)
{
    record.formerOwners.insert(record.owner);
    record.formerOwners.erase(owner);
    record.formerOwners.erase(Owner { owner.entry, 0 });
    if (record.shard != this->shard && record.owner.entry != owner.entry)
        this->notices.push_back(takenOver(job, record.owner.entry, 0));
    record.owner = owner;
}

Placement PlacementRegistry::decide(const std::string& entry, const Submission& submission, Circumstances circumstances, Instant now)
{
    Owner sender { entry, submission.entryIncarnation };
    const auto& request = submission.placement;
    auto known = this->records.find(submission.job);
    bool isNew = known == this->records.end();
    // What this home has itself is bounded by its scheduler.
    bool canRecord = !isNew || circumstances.isKnownHere || (now >= this->omittedUntil && this->makeRoom(now));
    if (!canRecord)
        return this->refusal(entry, submission, now);
    auto& record = isNew ? this->insert(submission.job, sender, circumstances.isKnownHere ? this->shard : request.preferredShard, now) : known->second;
    record.lastUsedAt = now;
    // A home of a term in between has queued the job here, and the other shard has not got it.
    bool hasOutdatedShard = !isNew && record.homeTerm > 0 && record.confirmedInTerm < this->term && circumstances.isKnownHere && record.shard != this->shard;
    record.deadline = std::max(record.deadline.value_or(now), now + Milliseconds(submission.untilDeadline));
    record.homeTerm = this->term;
    record.confirmedInTerm = this->term;
    if (hasOutdatedShard) {
        record.shard = this->shard;
        record.earlierRunsEndAt = std::max(record.earlierRunsEndAt, now + this->options.longestRun);
    }
    bool isRepeated = submission.firstRunNumber > 1;
    bool isNewSubmission = !isNew && (!isRepeated || record.owner != sender);
    if (auto noted = this->notedRuns.find(submission.job); isNew && noted != this->notedRuns.end())
        record.earlierRunsEndAt = noted->second;
    bool wasOwner = record.owner == sender;
    if (!wasOwner) {
        if (isRepeated && isFormerOwner(record, sender))
            return takenOver(submission.job, entry, submission.firstRunNumber);
        // The sender cannot reach this dispatcher, and could not keep the job here.
        bool canTakeOver = !circumstances.isRelayed || record.shard != this->shard;
        if (canTakeOver)
            this->changeOwner(submission.job, record, sender);
    }
    if (isNewSubmission && record.owner == sender)
        record.earlierRunsEndAt = now + this->options.longestRun;
    const auto& left = request.leftShards;
    bool hasLeft = std::find(left.begin(), left.end(), record.shard) != left.end();
    bool isOvertaken = wasOwner && isRepeated && submission.firstRunNumber < record.lastRequest;
    if (wasOwner && hasLeft && !isOvertaken)
        record.shard = request.preferredShard;
    if (record.owner == sender && !isOvertaken)
        record.lastRequest = submission.firstRunNumber;
    auto untilRunsEnd = Milliseconds(std::max(submission.untilEarlierRunsEnd, submission.untilOtherShardRunsEnd));
    if (record.owner == sender && untilRunsEnd.count() > 0)
        record.earlierRunsEndAt = std::max(record.earlierRunsEndAt, now + untilRunsEnd);
    return this->placementOf(entry, submission, record, now);
}

Placement PlacementRegistry::placementOf(const std::string& entry, const Submission& submission, const Record& record, Instant now) const
{
    auto untilRunsEnd = std::chrono::ceil<Milliseconds>(record.earlierRunsEndAt - now).count();
    return Placement { submission.job, entry, PlacementKind::Shard, submission.firstRunNumber, record.shard, std::max<Milliseconds::rep>(untilRunsEnd, 0), this->term };
}

std::vector<Placement> PlacementRegistry::onRenewal(const std::string& entry, uint64_t incarnation, const std::vector<PlacedJob>& placed, Instant now)
{
    std::vector<Placement> answers;
    if (!this->isActive)
        return answers;
    Owner sender { entry, incarnation };
    for (const auto& [job, jobShard, isOpen] : placed) {
        auto known = this->records.find(job);
        if (known == this->records.end() && !isOpen) {
            this->noteRuns(job, now + this->options.longestRun);
            continue;
        }
        if (known == this->records.end()) {
            if (this->makeRoom(now))
                this->insert(job, sender, jobShard, now);
            else
                this->omit(now + this->options.retention);
            continue;
        }
        auto& record = known->second;
        if (record.owner == sender) {
            record.lastUsedAt = now;
            continue;
        }
        // The shard that both entry hosts have the job in decides which of them owns it.
        if (record.shard != jobShard)
            record.formerOwners.insert(sender);
        if (isOpen && isFormerOwner(record, sender))
            answers.push_back(takenOver(job, entry, 0));
    }
    return answers;
}

// Whether a shard lists a later submission of the entry host than the shard of the record. The earlier one has not been told yet that the
// entry host has withdrawn the job.
bool PlacementRegistry::isLaterSubmission(const Record& record, const HeldJob& job) const
{
    bool isOfSameHome = record.confirmedInTerm == this->term && record.homeTerm == job.homeTerm && record.homeTerm < this->term;
    return isOfSameHome && record.owner == Owner { job.entry, job.entryIncarnation } && record.firstRunNumber < job.firstRunNumber;
}

std::vector<std::string> PlacementRegistry::onPlacedJobs(const std::string& jobShard, const std::vector<HeldJob>& held, Instant now)
{
    std::vector<std::string> accepted;
    if (!this->isActive)
        return accepted;
    for (const auto& job : held) {
        if (!job.isOpen) {
            this->noteRuns(job.job, now + this->options.longestRun);
            continue;
        }
        auto known = this->records.find(job.job);
        // This home has decided about the job since then, or a shard that got it later has listed it.
        if (known != this->records.end() && known->second.homeTerm >= std::max<uint64_t>(job.homeTerm, 1) && !this->isLaterSubmission(known->second, job)) {
            if (known->second.shard == jobShard)
                known->second.confirmedInTerm = this->term;
            continue;
        }
        Owner owner { job.entry, job.entryIncarnation };
        std::set<Owner> formerOwners;
        if (known != this->records.end()) {
            if (known->second.owner != owner)
                formerOwners.insert(known->second.owner);
            this->records.erase(known);
        }
        if (!this->makeRoom(now)) {
            this->omit(now + this->options.retention);
            continue;
        }
        auto& record = this->insert(job.job, owner, jobShard, now);
        record.formerOwners = std::move(formerOwners);
        accepted.push_back(job.job);
        record.homeTerm = job.homeTerm;
        record.confirmedInTerm = this->term;
        record.firstRunNumber = job.firstRunNumber;
        if (auto noted = this->notedRuns.find(job.job); noted != this->notedRuns.end())
            record.earlierRunsEndAt = noted->second;
        for (const auto& entry : job.formerEntries)
            record.formerOwners.insert(Owner { entry, 0 });
    }
    return accepted;
}

void PlacementRegistry::noteRuns(const std::string& job, Instant until)
{
    auto known = this->notedRuns.find(job);
    if (known != this->notedRuns.end())
        known->second = std::max(known->second, until);
    else if (this->notedRuns.size() < this->options.maximumRecords)
        this->notedRuns.emplace(job, until);
    else
        this->omit(until);
}

std::vector<Placement> PlacementRegistry::takeNotices()
{
    return std::exchange(this->notices, {});
}

void PlacementRegistry::forget(const std::string& entry, const std::string& job, Instant now)
{
    auto position = this->records.find(job);
    if (position == this->records.end())
        return;
    const auto& record = position->second;
    if (record.owner.entry == entry && record.formerOwners.empty() && now >= record.earlierRunsEndAt)
        this->records.erase(position);
}

void PlacementRegistry::removeExpired(Instant now)
{
    std::erase_if(this->notedRuns, [&](const auto& entry) { return now >= entry.second; });
    std::erase_if(this->records, [&](const auto& entry) { return now - entry.second.lastUsedAt > this->options.retention; });
}

}
