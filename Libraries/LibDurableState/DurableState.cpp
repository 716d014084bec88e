#include <LibBase/Try.h>
#include <LibDurableState/DurableState.h>
#include <LibTransport/Codec.h>
#include <algorithm>

namespace Sassafrasshift::DurableState {

static constexpr size_t maximumRememberedChanges = 20'000;
static constexpr size_t maximumHistoryEntries = 1000;

DurableState::DurableState(Milliseconds keyRetention, Observer observer)
    : keyRetention(keyRetention)
    , observer(std::move(observer))
{
}

std::string DurableState::apply(Ledger::Index, const std::string& bytes)
{
    auto command = Transport::decodeValue<Command>(bytes);
    // A command that cannot be decoded changes nothing, so that all replicas stay in the same state.
    if (!command)
        return Transport::encodeValue(JobUpdateResult { JobStatus::Conflict });
    return std::visit([&](const auto& alternative) { return this->handle(alternative); }, *command);
}

std::string DurableState::save() const
{
    return Transport::encodeValue(this->content);
}

bool DurableState::canRestore(const std::string& state) const
{
    return Transport::decodeValue<Content>(state).has_value();
}

void DurableState::restore(const std::string& state)
{
    auto restored = Transport::decodeValue<Content>(state);
    VERIFY(restored.has_value());
    this->content = std::move(restored).value();
    if (this->content.configuration.version > 0 && this->observer.configurationPublished)
        this->observer.configurationPublished(this->content.configuration);
    if (this->content.document.version > 0 && this->observer.documentPublished)
        this->observer.documentPublished(this->content.document);
    for (const auto& [key, job] : this->content.jobs)
        this->notifyJobChanged(job);
}

std::string DurableState::handle(const PublishDocumentCommand& command)
{
    auto& document = this->content.document;
    if (command.version > document.version) {
        document = PublishedDocument { command.version, command.text };
        if (this->observer.documentPublished)
            this->observer.documentPublished(document);
    }
    return Transport::encodeValue(DocumentResult { document.version });
}

std::string DurableState::handle(const ReadDocumentCommand&) const
{
    return Transport::encodeValue(DocumentResult { this->content.document.version });
}

// A proposer that knows a higher revision than this state has it from members that outlived the disks of an earlier ledger. The next
// revision is above theirs, since they ignore lower ones.
std::string DurableState::handle(const EvacuateCommand& command)
{
    auto& evacuated = this->content.evacuated;
    bool isFromEarlierLedger = command.knownRevision > evacuated.revision;
    bool isInForce = evacuated.domains.contains(command.failureDomain) != command.isWithdrawn;
    auto resultWith = [&](EvacuationStatus status) { return Transport::encodeValue(EvacuationResult { evacuated, status }); };
    if (isInForce && !isFromEarlierLedger)
        return resultWith(EvacuationStatus::Accepted);
    if (command.knownRevision < evacuated.revision)
        return resultWith(EvacuationStatus::Outdated);
    if (!isInForce && !command.isWithdrawn && evacuated.domains.size() >= maximumEvacuatedDomains)
        return resultWith(EvacuationStatus::TooMany);
    if (command.isWithdrawn)
        evacuated.domains.erase(command.failureDomain);
    else
        evacuated.domains.insert(command.failureDomain);
    evacuated.revision = command.knownRevision + 1;
    return resultWith(EvacuationStatus::Accepted);
}

const JobRecord* DurableState::findJob(std::string_view key) const
{
    auto position = this->content.jobs.find(key);
    return position == this->content.jobs.end() ? nullptr : &position->second;
}

void DurableState::notifyJobChanged(const JobRecord& job)
{
    if (this->observer.jobChanged)
        this->observer.jobChanged(job);
}

std::string DurableState::handle(const PublishCommand& command)
{
    auto& state = this->content;
    auto knownResult = state.publishResults.find(command.changeId);
    if (knownResult != state.publishResults.end())
        return Transport::encodeValue(knownResult->second);
    PublishResult result;
    if (command.baseVersion == state.configuration.version) {
        state.configuration = PublishedConfiguration { state.configuration.version + 1, command.author, command.changeId, command.proposedAt, command.files };
        state.history.push_back(HistoryEntry { state.configuration.version, command.author, command.changeId, command.proposedAt });
        if (state.history.size() > maximumHistoryEntries)
            state.history.pop_front();
        result.status = PublishStatus::Accepted;
    }
    result.version = state.configuration.version;
    result.author = state.configuration.author;
    result.changeId = state.configuration.changeId;
    state.publishResults.emplace(command.changeId, result);
    state.publishOrder.push_back(command.changeId);
    if (state.publishOrder.size() > maximumRememberedChanges) {
        state.publishResults.erase(state.publishOrder.front());
        state.publishOrder.pop_front();
    }
    if (result.status == PublishStatus::Accepted && this->observer.configurationPublished)
        this->observer.configurationPublished(state.configuration);
    return Transport::encodeValue(result);
}

// Time advances only with the commands, so that all replicas discard the same keys at the same log entry.
void DurableState::advanceTime(int64_t time)
{
    auto& state = this->content;
    state.latestProposalTime = std::max(state.latestProposalTime, time);
    auto oldest = state.latestProposalTime - this->keyRetention.count();
    while (!state.finishedJobsByCreation.empty() && state.finishedJobsByCreation.begin()->first < oldest) {
        state.jobs.erase(state.finishedJobsByCreation.begin()->second);
        state.finishedJobsByCreation.erase(state.finishedJobsByCreation.begin());
    }
    while (!state.refusalsByTime.empty() && state.refusalsByTime.begin()->first < state.latestProposalTime - refusalRetention.count()) {
        state.refusals.erase(state.refusalsByTime.begin()->second);
        state.refusalsByTime.erase(state.refusalsByTime.begin());
    }
}

std::optional<JobUpdateResult> DurableState::resultForKnownKey(std::string_view key, uint64_t contentHash, int64_t createdAt) const
{
    if (const auto* job = this->findJob(key)) {
        bool same = job->contentHash == contentHash && job->createdAt == createdAt;
        return JobUpdateResult { same ? JobStatus::Joined : JobStatus::KeyReused, job->epoch, job->ownerHost, job->submission };
    }
    // A key older than the retention time may have been used and discarded.
    if (createdAt < this->content.latestProposalTime - this->keyRetention.count())
        return JobUpdateResult { JobStatus::KeyExpired, 0, {} };
    return std::nullopt;
}

std::string DurableState::handle(const RefuseJobCommand& command)
{
    auto& state = this->content;
    this->advanceTime(command.proposedAt);
    if (auto knownResult = this->resultForKnownKey(command.key, command.contentHash, command.createdAt))
        return Transport::encodeValue(*knownResult);
    auto position = state.refusals.find(command.key);
    if (position != state.refusals.end())
        state.refusalsByTime.erase({ position->second, command.key });
    state.refusals[command.key] = state.latestProposalTime;
    state.refusalsByTime.emplace(state.latestProposalTime, command.key);
    return Transport::encodeValue(JobUpdateResult { JobStatus::Refused, 0, {} });
}

JobUpdateResult DurableState::accept(const AcceptJobCommand& command)
{
    auto& state = this->content;
    this->advanceTime(command.proposedAt);
    if (auto knownResult = this->resultForKnownKey(command.key, command.contentHash, command.createdAt))
        return *knownResult;
    if (state.refusals.contains(command.key) || command.arrivedAt < state.latestProposalTime - refusalRetention.count())
        return { JobStatus::Refused, 0, {} };
    JobRecord job;
    job.key = command.key;
    job.contentHash = command.contentHash;
    job.createdAt = command.createdAt;
    job.acceptedAt = command.proposedAt;
    job.content = command.content;
    job.ownerHost = command.ownerHost;
    job.ownerIncarnation = command.ownerIncarnation;
    job.submission = command.submission;
    for (const auto& intent : command.intents)
        job.intents.emplace(intent.task, intent);
    state.openJobs.insert(command.key);
    auto& stored = state.jobs[command.key];
    stored = std::move(job);
    this->notifyJobChanged(stored);
    return { JobStatus::Accepted, stored.epoch, stored.ownerHost };
}

std::string DurableState::handle(const AcceptJobCommand& command)
{
    return Transport::encodeValue(this->accept(command));
}

tl::expected<JobRecord*, JobUpdateResult> DurableState::findJobForOwner(std::string_view key, uint64_t epoch)
{
    auto position = this->content.jobs.find(key);
    if (position == this->content.jobs.end())
        return tl::unexpected(JobUpdateResult { JobStatus::Unknown });
    auto& job = position->second;
    if (job.epoch != epoch)
        return tl::unexpected(JobUpdateResult { JobStatus::Fenced, job.epoch, job.ownerHost });
    return &job;
}

std::string DurableState::handle(const RecordIntentsCommand& command)
{
    auto found = this->findJobForOwner(command.key, command.epoch);
    if (!found)
        return Transport::encodeValue(found.error());
    auto& job = **found;
    auto isAllowed = [&](const Intent& intent) {
        auto knownIntent = job.intents.find(intent.task);
        if (knownIntent == job.intents.end())
            return intent.attempt == 1;
        // The same command may be applied twice. A further attempt must follow the recorded one directly.
        return intent == knownIntent->second || intent.attempt == knownIntent->second.attempt + 1;
    };
    bool allowed = !job.finished && std::all_of(command.intents.begin(), command.intents.end(), isAllowed);
    if (!allowed)
        return Transport::encodeValue(JobUpdateResult { JobStatus::Conflict, job.epoch, job.ownerHost });
    for (const auto& intent : command.intents)
        job.intents[intent.task] = intent;
    this->notifyJobChanged(job);
    return Transport::encodeValue(JobUpdateResult { JobStatus::Done, job.epoch, job.ownerHost });
}

std::string DurableState::handle(const RecordOutcomeCommand& command)
{
    auto found = this->findJobForOwner(command.key, command.epoch);
    if (!found)
        return Transport::encodeValue(found.error());
    auto& job = **found;
    if (!job.finished) {
        job.finished = true;
        job.outcome = command.outcome;
        this->content.openJobs.erase(job.key);
        this->content.finishedJobsByCreation.emplace(job.createdAt, job.key);
        this->notifyJobChanged(job);
    } else if (job.outcome != command.outcome) {
        return Transport::encodeValue(JobUpdateResult { JobStatus::Conflict, job.epoch, job.ownerHost });
    }
    return Transport::encodeValue(JobUpdateResult { JobStatus::Done, job.epoch, job.ownerHost });
}

std::string DurableState::handle(const TakeOverCommand& command)
{
    auto found = this->findJobForOwner(command.key, command.expectedEpoch);
    if (!found)
        return Transport::encodeValue(found.error());
    auto& job = **found;
    if (job.finished)
        return Transport::encodeValue(JobUpdateResult { JobStatus::Conflict, job.epoch, job.ownerHost });
    ++job.epoch;
    job.ownerHost = command.ownerHost;
    job.ownerIncarnation = command.ownerIncarnation;
    this->notifyJobChanged(job);
    return Transport::encodeValue(JobUpdateResult { JobStatus::Done, job.epoch, job.ownerHost });
}

std::string DurableState::handle(const CancelJobCommand& command)
{
    auto position = this->content.jobs.find(command.key);
    if (position == this->content.jobs.end())
        return Transport::encodeValue(JobUpdateResult { JobStatus::Unknown });
    auto& job = position->second;
    if (!job.finished && !job.cancelRequested) {
        job.cancelRequested = true;
        this->notifyJobChanged(job);
    }
    return Transport::encodeValue(JobUpdateResult { JobStatus::Done, job.epoch, job.ownerHost });
}

}
