#include "Cluster/ControlApi.h"
#include <LibTelemetry/Log.h>
#include <algorithm>
#include <platform/Decode.h>
#include <platform/Paths.h>

namespace Sassafrasshift::Daemon {

using Membership::TargetReport;
using Telemetry::LogLevel;
using Transport::HttpExchange;
using Transport::HttpResponse;

// Shorter than one second, after which a caller that has received no response tries another host.
static constexpr Milliseconds responseTimeout { 850 };
// The response to an evacuation is sent within 850 ms. A timeout is noticed by the next tick, and a stalled host may take longer.
static constexpr Milliseconds evacuationTimeout { 780 };
// Within this time after its start, a host learns of the members, targets and evacuations from which it knows failure domains.
static constexpr Milliseconds discoveryTime { 2000 };
// A target that has not reported itself for this long is forgotten, and no longer announced to new members.
static constexpr Milliseconds reportRetention { 8'000 };

static constexpr unsigned evacuationLogLinesPerSecond = 10;
static constexpr Milliseconds refusalLogInterval { 1000 };

using Exchange = std::shared_ptr<HttpExchange>;

static void respond(const Exchange& exchange, int status, std::string body = "{}")
{
    exchange->respond(HttpResponse { status, { { "content-type", "application/json" } }, std::move(body) });
}

static void refuse(const Exchange& exchange, int status, std::string_view detail)
{
    respond(exchange, status, Platform::encodeError(detail));
}

ControlApi::ControlApi(ClusterContext& context, DocumentLedger& ledger, DocumentStore& documents, EvacuationStore& evacuations, const Scheduler::TaskScheduler& scheduler)
    : context(context)
    , ledger(ledger)
    , documents(documents)
    , evacuations(evacuations)
    , scheduler(scheduler)
    , startedAt(context.now())
    , evacuationLog(evacuationLogLinesPerSecond)
{
}

void ControlApi::handle(const Exchange& exchange)
{
    const auto& request = exchange->request();
    auto path = request.path();
    if (path == Platform::configurationPath && request.method == "PUT")
        return this->publish(exchange);
    if (path == Platform::configurationPath && request.method == "GET")
        return this->read(exchange);
    if (path.starts_with(Platform::reportPathPrefix) && path.size() > Platform::reportPathPrefix.size()) {
        std::string identity(path.substr(Platform::reportPathPrefix.size()));
        if (request.method == "PUT")
            return this->acceptReport(exchange, identity);
        if (request.method == "DELETE" && Platform::isValidName(identity))
            return this->removeTarget(exchange, identity);
    }
    if (path.starts_with(Platform::evacuationPathPrefix) && (request.method == "POST" || request.method == "DELETE"))
        return this->evacuate(exchange, std::string(path.substr(Platform::evacuationPathPrefix.size())));
    refuse(exchange, 404, "no resource exists at this path");
}

void ControlApi::publish(const Exchange& exchange)
{
    auto routes = Platform::decodeConfiguration(exchange->request().body);
    if (!routes) {
        Telemetry::log(LogLevel::Warning, "document-refused", "this member rejected an invalid published document", { { "detail", routes.error().detail } });
        refuse(exchange, 400, routes.error().detail);
        return;
    }
    DurableState::PublishDocumentCommand command { routes->version(), exchange->request().body };
    this->ledger.propose(command, responseTimeout, [exchange, version = routes->version()](ErrorOr<uint64_t> result) {
        if (!result) {
            Telemetry::log(LogLevel::Warning, "document-unconfirmed", "the ledger did not confirm a published document in time", { { "version", std::to_string(version) }, { "detail", result.error().detail } });
            return refuse(exchange, 503, result.error().detail);
        }
        Telemetry::log(LogLevel::Information, "document-accepted", "the ledger stored a published document", { { "version", std::to_string(version) }, { "inForce", std::to_string(*result) } });
        respond(exchange, 200);
    });
}

void ControlApi::read(const Exchange& exchange)
{
    auto deadline = this->context.now() + responseTimeout;
    this->ledger.propose(DurableState::ReadDocumentCommand {}, responseTimeout, [this, exchange, deadline](ErrorOr<uint64_t> result) {
        if (!result)
            return refuse(exchange, 503, result.error().detail);
        if (*result == 0)
            return refuse(exchange, 404, "no document has been published");
        this->pendingReads.push_back(PendingRead { exchange, *result, deadline });
        this->tick(this->context.now());
    });
}

bool ControlApi::isKnownDomain(const std::string& failureDomain) const
{
    const auto& listed = this->context.settings.failureDomains;
    auto members = this->context.cluster.liveMembers(this->context.now());
    auto targets = this->reports.presentReports();
    auto isHere = [&](const auto& object) { return object.failureDomain == failureDomain; };
    return std::ranges::find(listed, failureDomain) != listed.end()
        || this->evacuations.evacuated().domains.contains(failureDomain)
        || std::ranges::any_of(members, [&](const auto* member) { return isHere(*member); })
        || std::ranges::any_of(targets, isHere);
}

// A replica of an earlier version never has a set. It would apply the command without effect, and have another state than the others.
bool ControlApi::allReplicasKnowEvacuations() const
{
    auto members = this->context.cluster.liveMembers(this->context.now());
    return std::ranges::none_of(members, [](const auto* member) { return !member->replicaIdentity.empty() && member->evacuationRevision == 0; });
}

void ControlApi::evacuate(const Exchange& exchange, const std::string& failureDomain)
{
    if (!Platform::isValidName(failureDomain) || !this->isKnownDomain(failureDomain)) {
        // A call that another host has accepted must not be refused by one that does not know the domain yet.
        bool isStarting = this->context.settings.failureDomains.empty() && this->context.now() - this->startedAt < discoveryTime;
        return refuse(exchange, isStarting ? 503 : 404, isStarting ? "this host does not know all failure domains yet" : "no member, target or setting names this failure domain");
    }
    if (!this->allReplicasKnowEvacuations())
        return refuse(exchange, 503, "a ledger host is of an earlier version, or has just started");
    bool isWithdrawn = exchange->request().method == "DELETE";
    this->ledger.evacuate(failureDomain, isWithdrawn, evacuationTimeout, [this, exchange, failureDomain, isWithdrawn](ErrorOr<DurableState::EvacuatedDomains> result) {
        this->logEvacuation(failureDomain, isWithdrawn, result);
        if (!result)
            return refuse(exchange, 503, result.error().detail);
        respond(exchange, 200);
    });
}

// The number of lines is limited, since a caller may repeat its call without a pause.
void ControlApi::logEvacuation(const std::string& failureDomain, bool isWithdrawn, const ErrorOr<DurableState::EvacuatedDomains>& result)
{
    this->context.metrics.count(std::string("evacuation_calls_total{result=\"") + (result ? "accepted" : "unconfirmed") + "\"}");
    if (!this->evacuationLog.take(this->context.now()))
        return this->context.metrics.count("log_lines_dropped_total");
    std::vector<Telemetry::EventField> fields { { "domain", failureDomain }, { "withdrawn", isWithdrawn ? "true" : "false" } };
    fields.push_back(result ? Telemetry::EventField { "revision", std::to_string(result->revision) } : Telemetry::EventField { "detail", result.error().detail });
    if (result)
        Telemetry::log(LogLevel::Information, "evacuation-accepted", "the ledger stored the evacuation of a failure domain or its end", fields);
    else
        Telemetry::log(LogLevel::Warning, "evacuation-unconfirmed", "the ledger did not confirm the evacuation of a failure domain or its end in time", fields);
}

// The response to the report of a leaving target is sent only after the dispatcher has acknowledged the report, so that the
// target gets no new work after the response.
void ControlApi::acceptReport(const Exchange& exchange, const std::string& identity)
{
    auto report = Platform::decodeTargetReport(identity, exchange->request().body);
    if (!report) {
        this->logRefusedReport(identity, report.error());
        return refuse(exchange, 400, report.error().detail);
    }
    auto now = this->context.now();
    auto update = this->reports.update(*report, now);
    if (update == Membership::TargetRegistry::Update::Outdated)
        return respond(exchange, 200);
    bool isUnchanged = update == Membership::TargetRegistry::Update::Repeated;
    bool isLeaving = report->state == Membership::TargetState::Leaving;
    if (!isUnchanged)
        this->forwardReport(*report);
    auto dispatcher = this->context.dispatcherFor(report->failureDomain);
    if (!isLeaving) {
        // The dispatcher gets every report, changed or not, since messages between hosts may be lost.
        if (isUnchanged && !dispatcher.empty())
            this->context.send(dispatcher, ReportNotice { *report, 0 });
        return respond(exchange, 200);
    }
    if (dispatcher.empty())
        return refuse(exchange, 503, "no dispatcher is known for this target");
    auto number = this->nextReportNumber++;
    this->pendingReports.emplace(number, PendingReport { exchange, now + responseTimeout });
    this->context.send(dispatcher, ReportNotice { *report, number });
}

// Each refused report is counted. The log gets at most one line per interval, since a writer repeats its report.
void ControlApi::logRefusedReport(const std::string& identity, const Error& error)
{
    this->context.metrics.count("reports_refused_total");
    ++this->refusedReports;
    auto now = this->context.now();
    if (now < this->nextRefusalLog)
        return;
    this->nextRefusalLog = now + refusalLogInterval;
    auto loggedIdentity = Platform::isValidName(identity) ? identity : std::string("invalid");
    Telemetry::log(LogLevel::Warning, "report-refused", "this member refused the report of a target; its last valid report stays in force", { { "target", loggedIdentity }, { "detail", error.detail }, { "refusedReports", std::to_string(this->refusedReports) } });
}

void ControlApi::onMessage(const std::string&, const ReportAcknowledgment& acknowledgment)
{
    auto position = this->pendingReports.find(acknowledgment.number);
    if (position == this->pendingReports.end())
        return;
    respond(position->second.exchange, 200);
    this->pendingReports.erase(position);
}

void ControlApi::onMessage(const std::string& from, const TargetListRequest& request)
{
    // A request from a member that is not known here yet is ignored, since the member repeats it.
    const auto* member = this->context.cluster.find(from);
    if (!member)
        return;
    TargetListResponse response { request.number, {} };
    for (auto& report : this->reports.presentReports()) {
        if (this->mayDispatch(*member, report))
            response.reports.push_back(std::move(report));
    }
    // A candidate for dispatching keeps the reports of targets that the hosts which accept reports have not heard of for a while.
    for (auto& report : this->scheduler.knownReports()) {
        if (this->mayDispatch(*member, report))
            response.reports.push_back(std::move(report));
    }
    this->context.send(from, response);
}

void ControlApi::removeTarget(const Exchange& exchange, const std::string& identity)
{
    const auto* known = this->reports.find(identity);
    auto incarnation = known ? known->incarnation : std::string {};
    Telemetry::log(LogLevel::Information, "target-removed", "a target announced that it ends", { { "target", identity }, { "incarnation", incarnation } });
    for (const auto* member : this->context.cluster.liveMembers(this->context.now()))
        this->context.send(member->address, TargetGone { identity, incarnation });
    respond(exchange, 200);
}

// Other hosts that accept reports may have an earlier report of the target, and would pass it on to members that start later.
void ControlApi::onMessage(const std::string&, const ReportNotice& notice)
{
    if (this->acceptsReports())
        this->reports.update(notice.report, this->context.now());
}

void ControlApi::onMessage(const std::string&, const TargetGone& gone)
{
    this->reports.remove(gone.identity, gone.incarnation, this->context.now());
}

// All members that may become the dispatcher of a target are informed of it, so that a new dispatcher can start immediately.
bool ControlApi::mayDispatch(const Membership::MemberRecord& member, const TargetReport& report) const
{
    const auto& cluster = this->context.cluster;
    return member.dispatchWeight > 0 && cluster.shardFor(member.failureDomain) == cluster.shardFor(report.failureDomain);
}

void ControlApi::forwardReport(const TargetReport& report)
{
    for (const auto* member : this->context.cluster.liveMembers(this->context.now())) {
        bool isOtherReportHost = !member->isEntry && member->address != this->context.ownAddress();
        if (isOtherReportHost || this->mayDispatch(*member, report))
            this->context.send(member->address, ReportNotice { report, 0 });
    }
}

void ControlApi::sendTargetsToNewMembers(Instant now)
{
    for (const auto* member : this->context.cluster.liveMembers(now)) {
        auto& incarnation = this->informedMembers[member->address];
        if (member->dispatchWeight == 0 || incarnation == member->incarnation)
            continue;
        incarnation = member->incarnation;
        for (const auto& report : this->reports.presentReports()) {
            if (this->mayDispatch(*member, report))
                this->context.send(member->address, ReportNotice { report, 0 });
        }
    }
    std::erase_if(this->informedMembers, [&](const auto& entry) { return !this->context.cluster.isAlive(entry.first, now); });
}

void ControlApi::tick(Instant now)
{
    std::erase_if(this->pendingReads, [&](const PendingRead& pendingRead) {
        const auto& document = this->documents.published();
        if (document.version >= pendingRead.version)
            respond(pendingRead.exchange, 200, document.text);
        else if (now >= pendingRead.deadline)
            refuse(pendingRead.exchange, 503, "this host has not received the latest document yet");
        else
            return false;
        return true;
    });
    std::erase_if(this->pendingReports, [&](const auto& entry) {
        if (now < entry.second.deadline)
            return false;
        refuse(entry.second.exchange, 503, "the dispatcher did not acknowledge the report in time");
        return true;
    });
    this->sendTargetsToNewMembers(now);
    this->reports.forgetSilentTargets(reportRetention, now);
}

}
