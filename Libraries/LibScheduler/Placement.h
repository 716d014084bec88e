#pragma once

#include <LibBase/Clock.h>
#include <LibTransport/CodecFields.h>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// The part of a submission that asks the home of a job which shard gets it. The home of a job is the dispatcher of the shard that its
/// entry host belongs to; all entry hosts of a failure domain have the same one.
struct PlacementRequest {
    /// False for a submission to the shard that the home has chosen, and for one of a host of an earlier version.
    bool isRequested { false };
    std::string homeShard;
    /// The shard that the entry host would choose.
    std::string preferredShard;
    /// The shards that have refused the job, or from which the entry host has withdrawn it.
    std::vector<std::string> leftShards;
    /// The address of the entry host, since another dispatcher may have relayed the request.
    std::string entry;
    /// Whether the home or the dispatcher of a shard has confirmed to this entry host that the job is there.
    bool wasConfirmed { false };
    /// The highest term of a home of that shard that the entry host knows of.
    uint64_t highestHomeTerm { 0 };

    CODEC_FIELDS(isRequested, homeShard, preferredShard, leftShards, entry, wasConfirmed, highestHomeTerm);
    friend auto operator<=>(const PlacementRequest&, const PlacementRequest&) = default;
};

/// The home that has sent a job to a shard, and its term; see HomeTerms.
struct PlacementGrant {
    std::string homeShard;
    /// Zero if no home has decided, or one of an earlier version.
    uint64_t homeTerm { 0 };

    CODEC_FIELDS(homeShard, homeTerm);
    friend auto operator<=>(const PlacementGrant&, const PlacementGrant&) = default;
};

enum class PlacementKind {
    /// The entry host submits the job to the shard, or the home has queued it there.
    Shard,
    /// The job belongs to another entry host, through which its caller has submitted it later.
    TakenOver,
    /// The home has no room to record another job, and has not placed it. If `untilUnknownRunsEnd` is not zero, runs of the job may
    /// continue that the home does not know of.
    Refused,
};

/// The home's answer to a PlacementRequest.
struct Placement {
    std::string job;
    /// The address of the entry host. A dispatcher that has relayed the request passes the answer on to it.
    std::string entry;
    PlacementKind kind { PlacementKind::Shard };
    /// The `firstRunNumber` of the submission with the request; zero if the entry host is told without having asked.
    uint64_t firstRunNumber { 0 };
    std::string shard;
    /// How long runs may continue that other entry hosts of the job know of; see Submission.
    Milliseconds::rep untilUnknownRunsEnd { 0 };
    /// The term of the home that has decided; zero for a notice.
    uint64_t homeTerm { 0 };

    CODEC_FIELDS(job, entry, kind, firstRunNumber, shard, untilUnknownRunsEnd, homeTerm);
    friend auto operator<=>(const Placement&, const Placement&) = default;
};

/// A job that an entry host has in another shard than its own, or has withdrawn from a shard where runs of it may continue.
struct PlacedJob {
    std::string job;
    std::string shard;
    /// False if the entry host has withdrawn the job: its runs may continue, but need not be there only.
    bool isOpen { true };

    CODEC_FIELDS(job, shard, isOpen);
    friend auto operator<=>(const PlacedJob&, const PlacedJob&) = default;
};

}
