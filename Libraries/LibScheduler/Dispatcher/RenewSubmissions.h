#pragma once

#include <LibBase/Clock.h>
#include <LibScheduler/ClockEcho.h>
#include <LibScheduler/Dispatcher/TaskScheduler.h>
#include <LibTransport/CodecFields.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Lists all open jobs that an entry host has submitted to the dispatcher. It extends the lease on them, unless `kind` makes it
/// a mere query.
struct RenewSubmissions {
    std::vector<std::string> jobs;
    TaskScheduler::RenewalKind kind { TaskScheduler::RenewalKind::ExtendLease };
    /// The time of sending by the clock of the entry host, in milliseconds. Only times of the same incarnation are comparable.
    Milliseconds::rep sentAt { 0 };
    uint64_t entryIncarnation { 0 };
    /// The number of the RenewalRequest that this answers; zero if it answers none.
    uint64_t answeredRequest { 0 };
    /// For the home of the entry host's jobs: those that other shards have, and withdrawn ones whose runs may continue. The answer to a
    /// request lists none.
    std::vector<PlacedJob> placedJobs;
    ClockEcho echo;

    CODEC_FIELDS(jobs, kind, sentAt, entryIncarnation, answeredRequest, placedJobs, echo);
};

}
