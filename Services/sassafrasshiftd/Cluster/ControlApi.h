#pragma once

#include "Cluster/ClusterContext.h"
#include "Cluster/DocumentLedger.h"
#include "Cluster/DocumentStore.h"
#include "Cluster/EvacuationStore.h"
#include <LibMembership/TargetRegistry.h>
#include <LibTelemetry/LogBudget.h>
#include <LibTransport/HttpServer.h>
#include <map>
#include <memory>

namespace Sassafrasshift::Daemon {

/// The HTTP interface for targets, which report themselves, and for operators, who publish and read the document.
class ControlApi {
public:
    ControlApi(ClusterContext&, DocumentLedger&, DocumentStore&, EvacuationStore&, const Scheduler::TaskScheduler&);

    void handle(const std::shared_ptr<Transport::HttpExchange>&);
    void onMessage(const std::string& from, const ReportAcknowledgment&);
    void onMessage(const std::string& from, const TargetListRequest&);
    void onMessage(const std::string& from, const ReportNotice&);
    void onMessage(const std::string& from, const TargetGone&);
    void tick(Instant now);

private:
    /// The report of a leaving target that the dispatcher has not acknowledged yet.
    struct PendingReport {
        std::shared_ptr<Transport::HttpExchange> exchange;
        Instant deadline {};
    };

    /// A read that waits until this member has the document of that version or a later one.
    struct PendingRead {
        std::shared_ptr<Transport::HttpExchange> exchange;
        uint64_t version { 0 };
        Instant deadline {};
    };

    void publish(const std::shared_ptr<Transport::HttpExchange>&);
    void read(const std::shared_ptr<Transport::HttpExchange>&);
    void evacuate(const std::shared_ptr<Transport::HttpExchange>&, const std::string& failureDomain);
    void logEvacuation(const std::string& failureDomain, bool isWithdrawn, const ErrorOr<DurableState::EvacuatedDomains>&);
    [[nodiscard]] bool allReplicasKnowEvacuations() const;
    [[nodiscard]] bool isKnownDomain(const std::string& failureDomain) const;
    void acceptReport(const std::shared_ptr<Transport::HttpExchange>&, const std::string& identity);
    void logRefusedReport(const std::string& identity, const Error&);
    void removeTarget(const std::shared_ptr<Transport::HttpExchange>&, const std::string& identity);
    [[nodiscard]] bool mayDispatch(const Membership::MemberRecord&, const Membership::TargetReport&) const;
    void forwardReport(const Membership::TargetReport&);
    void sendTargetsToNewMembers(Instant now);
    [[nodiscard]] bool acceptsReports() const { return !this->context.settings.controlAddress.empty(); }

    ClusterContext& context;
    DocumentLedger& ledger;
    DocumentStore& documents;
    EvacuationStore& evacuations;
    const Scheduler::TaskScheduler& scheduler;
    /// Of the targets that report to this host or to another one that accepts reports.
    Membership::TargetRegistry reports;
    std::map<uint64_t, PendingReport> pendingReports;
    std::vector<PendingRead> pendingReads;
    uint64_t nextReportNumber { 1 };
    /// The number of reports that were refused because they were malformed.
    uint64_t refusedReports { 0 };
    Instant nextRefusalLog {};
    /// The incarnations of the members to which all known targets have been sent, by address.
    std::map<std::string, uint64_t> informedMembers;
    Instant startedAt;
    Telemetry::LogBudget evacuationLog;
};

}
