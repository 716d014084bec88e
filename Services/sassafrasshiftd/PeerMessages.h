#pragma once

#include <LibDispatch/Types.h>
#include <LibDurableState/DurableState.h>
#include <LibLedger/Types.h>
#include <LibMembership/PeerTable.h>
#include <LibMembership/TargetReport.h>
#include <LibTransport/CodecFields.h>
#include <string>
#include <variant>
#include <vector>

namespace Sassafrasshift::Daemon {

/// Cancels a request for grants.
struct CancelGrantRequest {
    Dispatch::RequestId request;

    CODEC_FIELDS(request);
};

/// Reports the grants that an entry host has held for some time, so that the dispatcher does not reclaim them.
struct HeldGrants {
    std::string pool;
    Catalog::Resources needs;
    std::vector<Dispatch::Grant> grants;

    CODEC_FIELDS(pool, needs, grants);
};

/// Asks the leader of the ledger to propose a command.
struct ProposeRequest {
    uint64_t number { 0 };
    /// An encoded DurableState::Command.
    std::string command;

    CODEC_FIELDS(number, command);
};

/// The response to a ProposeRequest: the result of the command or the error.
struct ProposeResponse {
    uint64_t number { 0 };
    bool succeeded { false };
    /// The encoded result of the command.
    std::string result;
    /// The reason, verdict and detail are set only if the proposal did not succeed.
    Reason reason { Reason::Internal };
    Verdict verdict { Verdict::MayHaveRun };
    std::string detail;

    [[nodiscard]] static ProposeResponse create(uint64_t number, ErrorOr<std::string> result);

    CODEC_FIELDS(number, succeeded, result, reason, verdict, detail);
};

/// Asks the leader of the ledger to add a replica to the membership.
struct JoinRequest {
    std::string host;
    std::string identity;

    CODEC_FIELDS(host, identity);
};

/// Asks the leader of the ledger to remove a replica from the membership, since its process is about to end.
struct LeaveRequest {
    std::string identity;

    CODEC_FIELDS(identity);
};

/// The response to a LeaveRequest.
struct LeaveResponse {
    std::string identity;
    Ledger::LeaveOutcome outcome { Ledger::LeaveOutcome::Pending };

    CODEC_FIELDS(identity, outcome);
};

/// Asks a peer for the configuration that it has in force.
struct ConfigurationRequest {
    uint64_t knownVersion { 0 };

    CODEC_FIELDS(knownVersion);
};

/// The response to a ConfigurationRequest, if the sender has a newer configuration in force.
struct ConfigurationTransfer {
    DurableState::PublishedConfiguration configuration;

    CODEC_FIELDS(configuration);
};

/// A job that a host runs, and the epoch in which it owns the job.
struct HeldJob {
    std::string key;
    uint64_t epoch { 0 };

    CODEC_FIELDS(key, epoch);
};

/// Reports the jobs that a host runs to the leader of the ledger.
struct HeldJobs {
    std::string host;
    std::string incarnation;
    std::vector<HeldJob> jobs;

    CODEC_FIELDS(host, incarnation, jobs);
};

/// Tells a host that it owns a job according to the ledger.
struct AdoptJob {
    DurableState::JobRecord record;

    CODEC_FIELDS(record);
};

/// Tells the owner of a job that the ledger has recorded a request to cancel it.
struct CancelNotice {
    std::string key;

    CODEC_FIELDS(key);
};

enum class QueryMode {
    /// Respond immediately with the current state.
    Immediate,
    /// Respond once the job has an outcome.
    WhenFinished,
};

/// Asks the leader of the ledger for the state of a job.
struct JobQuery {
    uint64_t number { 0 };
    std::string key;
    QueryMode mode { QueryMode::Immediate };

    CODEC_FIELDS(number, key, mode);
};

/// The response to a JobQuery.
struct JobQueryResponse {
    uint64_t number { 0 };
    bool found { false };
    bool finished { false };
    std::string ownerHost;
    DurableState::JobOutcome outcome;

    CODEC_FIELDS(number, found, finished, ownerHost, outcome);
};

/// All messages between the daemons of the entry hosts. An encoded message identifies its type by the position in this list, so new
/// alternatives must be added at the end.
using PeerMessage = std::variant<Membership::Heartbeat, Membership::TargetReport, Dispatch::GrantRequest, Dispatch::Grant, Dispatch::Refusal,
    Dispatch::Release, CancelGrantRequest, HeldGrants, Dispatch::PoolAvailability, Dispatch::HandOver, Dispatch::HandOverResult, Ledger::Message,
    ProposeRequest, ProposeResponse, JoinRequest, ConfigurationRequest, ConfigurationTransfer, HeldJobs, AdoptJob, CancelNotice, JobQuery, JobQueryResponse>;

}
