#pragma once

#include <LibTransport/CodecFields.h>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Asks the dispatcher of another shard which jobs the entry hosts of the sender's shard have there, and to accept no more jobs that an earlier
/// home of that shard has placed. Dispatchers of an earlier version ignore it.
struct PlacedJobsRequest {
    std::string homeShard;
    uint64_t homeTerm { 0 };

    CODEC_FIELDS(homeShard, homeTerm);
    friend auto operator<=>(const PlacedJobsRequest&, const PlacedJobsRequest&) = default;
};

/// A job that a dispatcher has, or of which runs may continue on its targets.
struct HeldJob {
    std::string job;
    /// False if the job is not open there: its runs may continue for some time, and their entry host is unknown.
    bool isOpen { true };
    std::string entry;
    uint64_t entryIncarnation { 0 };
    /// The entry hosts from which another one has taken the job over.
    std::vector<std::string> formerEntries;
    /// The term of the home that has placed the job; zero if it is unknown.
    uint64_t homeTerm { 0 };
    /// The `firstRunNumber` of the last submission of the job; it rises with each handover of the entry host.
    uint64_t firstRunNumber { 0 };

    CODEC_FIELDS(job, isOpen, entry, entryIncarnation, formerEntries, homeTerm, firstRunNumber);
    friend auto operator<=>(const HeldJob&, const HeldJob&) = default;
};

/// The response to the PlacedJobsRequest of the same term.
struct PlacedJobsResponse {
    std::string homeShard;
    uint64_t homeTerm { 0 };
    /// The highest term of a home of that shard that the sender knows of. If it is above that of the request, no jobs are listed.
    uint64_t highestTerm { 0 };
    /// The shard of the sender.
    std::string shard;
    std::vector<HeldJob> jobs;
    /// Whether all runs on the targets of the sender are known; otherwise the jobs of some runs are missing.
    bool knowsRuns { false };

    CODEC_FIELDS(homeShard, homeTerm, highestTerm, shard, jobs, knowsRuns);
    friend auto operator<=>(const PlacedJobsResponse&, const PlacedJobsResponse&) = default;
};

}
