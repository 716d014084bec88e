#pragma once

#include "PeerMessages.h"
#include <LibDurableState/DurableState.h>
#include <LibLedger/Types.h>
#include <LibMembership/Cluster.h>
#include <LibMembership/TargetReport.h>
#include <LibScheduler/Dispatcher/RenewSubmissions.h>
#include <LibScheduler/Home/PlacedJobs.h>
#include <LibScheduler/Relay/RelayMessages.h>
#include <LibScheduler/Types.h>
#include <variant>
#include <vector>

namespace Sassafrasshift::Daemon {

/// The records of the members that the sender considers alive.
struct Gossip {
    std::vector<Membership::MemberRecord> members;
    /// The time of sending by the clock of the sender, in milliseconds. Only times of the same incarnation are comparable.
    Milliseconds::rep sentAt { 0 };
    uint64_t senderIncarnation { 0 };
    /// The number of members that the sender considers alive; zero if it does not say.
    uint32_t knownMembers { 0 };

    CODEC_FIELDS(members, sentAt, senderIncarnation, knownMembers);
};

/// Asks the dispatcher to cancel a job.
struct CancelSubmission {
    std::string job;
    /// Whether nothing of the job has run, as far as the sender knows.
    bool hasNotRun { false };

    CODEC_FIELDS(job, hasNotRun);
};

/// Asks a dispatcher to pass the request of an entry host on to the home of its job, or the home to answer it. Members of an earlier version
/// ignore it; as a plain submission, they would queue the job.
struct RelayedRequest {
    Scheduler::Submission submission;

    CODEC_FIELDS(submission);
};

/// Asks an entry host to send RenewSubmissions at once.
struct RenewalRequest {
    uint64_t number { 0 };

    CODEC_FIELDS(number);
};

/// The dispatcher's response to RenewSubmissions: the listed jobs that it does not know, and the load of its pools.
struct RenewResponse {
    std::vector<std::string> unknownJobs;
    std::vector<Scheduler::PoolLoad> loads;
    /// As in Gossip; both are zero if the sender does not say.
    Milliseconds::rep sentAt { 0 };
    uint64_t senderIncarnation { 0 };

    CODEC_FIELDS(unknownJobs, loads, sentAt, senderIncarnation);
};

/// A target's report, forwarded by the host that accepted it.
struct ReportNotice {
    Membership::TargetReport report;
    /// Identifies the ReportAcknowledgment that the sender expects; zero if it expects none.
    uint64_t number { 0 };

    CODEC_FIELDS(report, number);
};

/// The dispatcher's response to a ReportNotice whose number is not zero.
struct ReportAcknowledgment {
    uint64_t number { 0 };

    CODEC_FIELDS(number);
};

/// A target has deregistered itself because it is shutting down.
struct TargetGone {
    std::string identity;
    /// The incarnation that the sender knew; empty if it knew none.
    std::string incarnation;

    CODEC_FIELDS(identity, incarnation);
};

/// Asks a host that accepts targets' reports, or that may dispatch to them, for the latest reports of the targets in the sender's
/// shard.
struct TargetListRequest {
    uint64_t number { 0 };

    CODEC_FIELDS(number);
};

/// The response to the TargetListRequest with the same number.
struct TargetListResponse {
    uint64_t number { 0 };
    std::vector<Membership::TargetReport> reports;

    CODEC_FIELDS(number, reports);
};

/// Asks a member for its published document, if that is newer than `knownVersion`.
struct DocumentRequest {
    uint64_t knownVersion { 0 };

    CODEC_FIELDS(knownVersion);
};

/// Transfers the published document in force on the sender, as the response to a DocumentRequest or because it is new.
struct DocumentTransfer {
    DurableState::PublishedDocument document;

    CODEC_FIELDS(document);
};

/// Asks a member for its set of evacuated failure domains, if that is newer than `knownRevision`.
struct EvacuationRequest {
    uint64_t knownRevision { 0 };

    CODEC_FIELDS(knownRevision);
};

/// Transfers the set of evacuated failure domains in force on the sender.
struct EvacuationTransfer {
    DurableState::EvacuatedDomains evacuated;

    CODEC_FIELDS(evacuated);
};

/// All messages between processes of a cluster. New alternatives are added at the end, since an alternative is encoded by its
/// index.
using ClusterMessage = std::variant<Gossip, Scheduler::Submission, CancelSubmission, Scheduler::RenewSubmissions, RenewResponse, Scheduler::JobOutcome, ReportNotice, ReportAcknowledgment,
    TargetGone, Ledger::Message, JoinRequest, ProposeRequest, ProposeResponse, DocumentRequest, DocumentTransfer, TargetListRequest, TargetListResponse, RenewalRequest, Scheduler::Placement, RelayedRequest,
    Scheduler::PlacedJobsRequest, Scheduler::PlacedJobsResponse, LeaveRequest, LeaveResponse, Scheduler::RelayedOrders, Scheduler::RelayedAnswers, EvacuationRequest, EvacuationTransfer>;

}
