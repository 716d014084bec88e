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

/// Withdraws a request for grants.
struct CancelGrantRequest {
    Dispatch::RequestId request;

    CODEC_FIELDS(request);
};

/// The grants that an entry holds for some time; it names them so that they are not taken back.
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

struct ProposeResponse {
    uint64_t number { 0 };
    bool succeeded { false };
    /// The encoded result of the command.
    std::string result;
    /// Where it did not succeed.
    Reason reason { Reason::Internal };
    Verdict verdict { Verdict::MayHaveRun };
    std::string detail;

    [[nodiscard]] static ProposeResponse create(uint64_t number, ErrorOr<std::string> result);

    CODEC_FIELDS(number, succeeded, result, reason, verdict, detail);
};

/// Asks the leader to take in a replica.
struct JoinRequest {
    std::string host;
    std::string identity;

    CODEC_FIELDS(host, identity);
};

/// Asks a peer for the configuration that it has in force.
struct ConfigurationRequest {
    uint64_t knownVersion { 0 };

    CODEC_FIELDS(knownVersion);
};

struct ConfigurationTransfer {
    DurableState::PublishedConfiguration configuration;

    CODEC_FIELDS(configuration);
};

struct HeldJob {
    std::string key;
    uint64_t epoch { 0 };

    CODEC_FIELDS(key, epoch);
};

/// The jobs that a host runs; sent to the leader of the ledger.
struct HeldJobs {
    std::string host;
    std::string incarnation;
    std::vector<HeldJob> jobs;

    CODEC_FIELDS(host, incarnation, jobs);
};

/// Tells a host that the ledger names it the owner of a job.
struct AdoptJob {
    DurableState::JobRecord record;

    CODEC_FIELDS(record);
};

/// Tells the owner of a job that it is to be cancelled.
struct CancelNotice {
    std::string key;

    CODEC_FIELDS(key);
};

enum class QueryMode {
    /// Answer with what is known now.
    Immediate,
    /// Answer once the job has an outcome.
    WhenFinished,
};

struct JobQuery {
    uint64_t number { 0 };
    std::string key;
    QueryMode mode { QueryMode::Immediate };

    CODEC_FIELDS(number, key, mode);
};

struct JobQueryAnswer {
    uint64_t number { 0 };
    bool found { false };
    bool finished { false };
    std::string ownerHost;
    DurableState::JobOutcome outcome;

    CODEC_FIELDS(number, found, finished, ownerHost, outcome);
};

/// Everything that one process sends to another. New alternatives are added at the end.
using PeerMessage = std::variant<Membership::Heartbeat, Membership::TargetReport, Dispatch::GrantRequest, Dispatch::Grant, Dispatch::Refusal,
    Dispatch::Release, CancelGrantRequest, HeldGrants, Dispatch::DomainView, Dispatch::HandOver, Dispatch::HandOverResult, Ledger::Message,
    ProposeRequest, ProposeResponse, JoinRequest, ConfigurationRequest, ConfigurationTransfer, HeldJobs, AdoptJob, CancelNotice, JobQuery, JobQueryAnswer>;

}
