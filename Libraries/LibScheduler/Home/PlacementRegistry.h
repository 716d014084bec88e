#pragma once

#include <LibBase/Clock.h>
#include <LibScheduler/Home/PlacedJobs.h>
#include <LibScheduler/Types.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// The home's record of which shard has each job of its entry hosts, and which of these owns the job. A caller may submit a job through
/// several entry hosts at once; the record sends all of them to the same shard. It performs no I/O.
class PlacementRegistry {
public:
    struct Options {
        /// How long a decision is kept after the last message about the job.
        Milliseconds retention { 10'000 };
        /// How long runs may continue after the last message that extended them has left an entry host.
        Milliseconds longestRun { 1250 };
        /// The delay after which a caller submits a job again whose connection was lost.
        Milliseconds callerRetryDelay { 1300 };
        /// Beyond this number of records, those of jobs that cannot run any more are forgotten; if there are none, unknown jobs are refused. The
        /// noted runs have the same limit. See docs/CAPACITY.md.
        size_t maximumRecords { 50'000 };
    };

    explicit PlacementRegistry(Options);

    /// Starts deciding as the home of the shard's entry hosts, without any records, or goes on in a higher term.
    void begin(std::string shard, uint64_t term);
    void end();
    [[nodiscard]] bool isHomeOf(const std::string& entryShard) const { return this->isActive && this->shard == entryShard; }
    [[nodiscard]] const std::string& ownShard() const { return this->shard; }

    /// The entry host that owns a job, empty if the job is unknown.
    [[nodiscard]] std::string ownerOf(const std::string& job) const;

    /// Whether a job is recorded to be in another shard.
    [[nodiscard]] bool isInOtherShard(const std::string& job) const;

    /// What the home knows of a request beyond its content.
    struct Circumstances {
        /// Whether another dispatcher has relayed the request, so that the entry host does not reach the home.
        bool isRelayed { false };
        /// Whether the scheduler of the home has the job, or runs of it.
        bool isKnownHere { false };
    };

    /// Decides which shard gets a job; to be called once HomeReadiness says so. The owner of a job may move it from a shard that it has left.
    /// Another entry host that submits the job for the first time becomes its owner; a former one does not get it back by handing it
    /// over again. Without room for another record, an unknown job is refused.
    [[nodiscard]] Placement decide(const std::string& entry, const Submission&, Circumstances, Instant now);
    /// Records the jobs that an entry host has in other shards. Returns an answer for each of them that belongs to another one.
    [[nodiscard]] std::vector<Placement> onRenewal(const std::string& entry, uint64_t incarnation, const std::vector<PlacedJob>&, Instant now);
    /// Records the jobs that another shard has from the entry hosts of this one. Its dispatcher knows their owners; what an entry host has
    /// listed may be out of date. Returns the jobs whose records were replaced or added.
    std::vector<std::string> onPlacedJobs(const std::string& jobShard, const std::vector<HeldJob>&, Instant now);
    /// Records that an entry host knows of runs of a job, in whatever shard.
    void noteRuns(const std::string& job, Instant until);
    /// Returns the notices to former owners that have been added since the last call.
    [[nodiscard]] std::vector<Placement> takeNotices();
    /// Forgets the place of a job of which nothing has run, unless another entry host has had the job.
    void forget(const std::string& entry, const std::string& job, Instant now);
    void removeExpired(Instant now);

private:
    struct Owner {
        std::string entry;
        uint64_t incarnation { 0 };

        friend auto operator<=>(const Owner&, const Owner&) = default;
    };

    struct Record {
        Owner owner;
        std::set<Owner> formerOwners;
        std::string shard;
        /// When all runs have ended that were started for an earlier submission of the caller, or in a shard that the job has left.
        Instant earlierRunsEndAt {};
        Instant lastUsedAt {};
        /// Unknown if the home has not decided about the job.
        std::optional<Instant> deadline;
        /// The `firstRunNumber` of the owner's last request.
        uint64_t lastRequest { 0 };
        /// The term of the home that has decided; zero if only the entry host has named the shard.
        uint64_t homeTerm { 0 };
        /// The last term in which this home has decided about the job, or the shard has said that it has the job.
        uint64_t confirmedInTerm { 0 };
        /// The `firstRunNumber` that the shard has named.
        uint64_t firstRunNumber { 0 };
    };

    Record& insert(const std::string& job, Owner, std::string shard, Instant now);
    [[nodiscard]] Instant usedUntil(const Record&) const;
    [[nodiscard]] bool makeRoom(Instant now);
    void omit(Instant until);
    [[nodiscard]] Placement refusal(const std::string& entry, const Submission&, Instant now) const;
    [[nodiscard]] Placement placementOf(const std::string& entry, const Submission&, const Record&, Instant now) const;
    [[nodiscard]] static bool isFormerOwner(const Record&, const Owner&);
    [[nodiscard]] bool isLaterSubmission(const Record&, const HeldJob&) const;
    void changeOwner(const std::string& job, Record&, const Owner&);
    [[nodiscard]] static Placement takenOver(const std::string& job, const std::string& entry, uint64_t firstRunNumber);

    Options options;
    bool isActive { false };
    std::string shard;
    uint64_t term { 0 };
    std::unordered_map<std::string, Record> records;
    /// When the noted runs of jobs without a record have ended.
    std::unordered_map<std::string, Instant> notedRuns;
    std::vector<Placement> notices;
    /// The earliest time at which another record may be forgotten to make room.
    Instant nextRoomAt {};
    /// Until then, runs may continue of jobs that there was no room to record or to note.
    Instant omittedUntil {};
};

}
