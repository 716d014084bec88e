#pragma once

#include "PeerMessages.h"
#include <LibDurableState/DurableState.h>
#include <LibLedger/Types.h>
#include <LibMembership/Cluster.h>
#include <LibMembership/TargetReport.h>
#include <LibScheduler/TaskScheduler.h>
#include <LibScheduler/Types.h>
#include <variant>
#include <vector>

namespace Sassafrasshift::Daemon {

/// What a member knows of the cluster.
struct Gossip {
    std::vector<Membership::MemberRecord> members;

    CODEC_FIELDS(members);
};

/// Withdraws a job.
struct CancelSubmission {
    std::string job;

    CODEC_FIELDS(job);
};

/// An entry names all its open jobs; it keeps them alive at the dispatcher.
struct RenewSubmissions {
    std::vector<std::string> jobs;
    Scheduler::TaskScheduler::RenewalKind kind { Scheduler::TaskScheduler::RenewalKind::ExtendLease };
    /// By the entry's clock, and the incarnation of the entry.
    Milliseconds::rep sentAt { 0 };
    uint64_t entryIncarnation { 0 };

    CODEC_FIELDS(jobs, kind, sentAt, entryIncarnation);
};

/// The dispatcher's answer, with the jobs that it does not know, and what its targets have to do.
struct RenewAnswer {
    std::vector<std::string> unknownJobs;
    std::vector<Scheduler::PoolLoad> loads;

    CODEC_FIELDS(unknownJobs, loads);
};

/// A target's report, as it reached a host that takes reports.
struct ReportNotice {
    Membership::TargetReport report;
    /// To be answered with ReportTaken; zero where no answer is wanted.
    uint64_t number { 0 };

    CODEC_FIELDS(report, number);
};

struct ReportTaken {
    uint64_t number { 0 };

    CODEC_FIELDS(number);
};

/// A target has said that it ends.
struct TargetGone {
    std::string identity;

    CODEC_FIELDS(identity);
};

/// A dispatcher asks a host that takes reports for the targets of its shard.
struct TargetListRequest {
    uint64_t number { 0 };

    CODEC_FIELDS(number);
};

struct TargetListAnswer {
    uint64_t number { 0 };
    std::vector<Membership::TargetReport> reports;

    CODEC_FIELDS(number, reports);
};

/// Asks a member for its published document, where it is newer.
struct DocumentRequest {
    uint64_t knownVersion { 0 };

    CODEC_FIELDS(knownVersion);
};

struct DocumentTransfer {
    DurableState::PublishedDocument document;

    CODEC_FIELDS(document);
};

/// Everything that one process of a cluster sends to another. New alternatives are added at the end.
using ClusterMessage = std::variant<Gossip, Scheduler::Submission, CancelSubmission, RenewSubmissions, RenewAnswer, Scheduler::JobOutcome, ReportNotice, ReportTaken,
    TargetGone, Ledger::Message, JoinRequest, ProposeRequest, ProposeResponse, DocumentRequest, DocumentTransfer, TargetListRequest, TargetListAnswer>;

}
