#pragma once

#include <LibBase/Clock.h>
#include <LibScheduler/Types.h>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// What identifies the work of a job beyond its name, so that a job submitted again is told from another job of the same name.
struct JobFingerprint {
    std::string queue;
    uint32_t taskCount { 0 };
    Catalog::Resources needs;
    /// A hash of the payload, since payloads may be long.
    size_t payloadHash { 0 };

    [[nodiscard]] static JobFingerprint of(const Submission&);

    friend auto operator<=>(const JobFingerprint&, const JobFingerprint&) = default;
};

/// A job that ended or was dropped by a dispatcher.
struct FinishedJob {
    /// The entry host that the outcome is for; empty if the job was dropped.
    std::string entry;
    JobOutcome outcome;
    Instant finishedAt {};
    /// The lowest run number that may be used if the job is submitted again.
    uint64_t nextRunNumber { 1 };
    JobFingerprint fingerprint;
    /// For each task, whether it has succeeded.
    std::vector<bool> doneTasks;
    /// The entry hosts from which another one has taken the job over.
    std::set<std::string> formerEntries;
    /// When all runs that other dispatchers may have started have ended.
    Instant earlierRunsEndAt {};
    /// The entry host that had the job last.
    std::string lastEntry {};

    /// Whether the job has an outcome that also answers later submissions of it: its tasks have run, and must not run again.
    [[nodiscard]] bool isFinal() const { return !this->entry.empty() && this->outcome.end != JobEnd::Refused; }
};

/// The jobs that ended recently at a dispatcher. A caller whose answer was lost submits its job again, through any entry host; what
/// has run then is not run again.
class FinishedJobs {
public:
    explicit FinishedJobs(Milliseconds retention);

    void add(const std::string& job, FinishedJob);
    /// Returns null if no such job is remembered.
    [[nodiscard]] const FinishedJob* find(const std::string& job) const;
    /// Addresses the outcome of a job to another entry host, for the given submission, and returns it.
    [[nodiscard]] const JobOutcome& readdress(const std::string& job, const std::string& entry, uint64_t firstRunNumber);
    void remove(const std::string& job) { this->jobs.erase(job); }
    void removeExpired(Instant now);
    void clear() { this->jobs.clear(); }

private:
    Milliseconds retention;
    std::unordered_map<std::string, FinishedJob> jobs;
};

}
