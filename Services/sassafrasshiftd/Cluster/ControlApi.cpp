#include "Cluster/ControlApi.h"
#include <LibTelemetry/Log.h>
#include <platform/Decode.h>
#include <platform/Paths.h>

namespace Sassafrasshift::Daemon {

using Membership::TargetReport;
using Telemetry::LogLevel;
using Transport::HttpExchange;
using Transport::HttpResponse;

// Callers move on to another host after a second without an answer.
static constexpr Milliseconds answerTime { 850 };
// A target that has not reported for this long is not told to new members any more.
static constexpr Milliseconds reportRetention { 8'000 };

using Exchange = std::shared_ptr<HttpExchange>;

static void answer(const Exchange& exchange, int status, std::string body = "{}")
{
    exchange->respond(HttpResponse { status, { { "content-type", "application/json" } }, std::move(body) });
}

static void refuse(const Exchange& exchange, int status, std::string_view detail)
{
    answer(exchange, status, Platform::encodeError(detail));
}

ControlApi::ControlApi(ClusterContext& context, DocumentLedger& ledger, RouteKeeper& routes)
    : context(context)
    , ledger(ledger)
    , routes(routes)
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
            return this->takeReport(exchange, identity);
        if (request.method == "DELETE")
            return this->removeTarget(exchange, identity);
    }
    refuse(exchange, 404, "there is nothing at this path");
}

void ControlApi::publish(const Exchange& exchange)
{
    auto routes = Platform::decodeConfiguration(exchange->request().body);
    if (!routes) {
        Telemetry::log(LogLevel::Warning, "document-refused", "a published document is invalid", { { "detail", routes.error().detail } });
        refuse(exchange, 400, routes.error().detail);
        return;
    }
    DurableState::PublishDocumentCommand command { routes->version(), exchange->request().body };
    this->ledger.propose(command, answerTime, [exchange, version = routes->version()](ErrorOr<uint64_t> result) {
        if (!result) {
            Telemetry::log(LogLevel::Warning, "document-unconfirmed", "a published document was not confirmed in time", { { "version", std::to_string(version) }, { "detail", result.error().detail } });
            return refuse(exchange, 503, result.error().detail);
        }
        Telemetry::log(LogLevel::Information, "document-accepted", "a published document is stored", { { "version", std::to_string(version) }, { "inForce", std::to_string(*result) } });
        answer(exchange, 200);
    });
}

void ControlApi::read(const Exchange& exchange)
{
    auto deadline = this->context.now() + answerTime;
    this->ledger.propose(DurableState::ReadDocumentCommand {}, answerTime, [this, exchange, deadline](ErrorOr<uint64_t> result) {
        if (!result)
            return refuse(exchange, 503, result.error().detail);
        if (*result == 0)
            return refuse(exchange, 404, "nothing has been published");
        this->waitingReads.push_back(WaitingRead { exchange, *result, deadline });
        this->tick(this->context.now());
    });
}

// A target that leaves is confirmed only once the dispatcher knows of it, so that it gets nothing new afterwards.
void ControlApi::takeReport(const Exchange& exchange, const std::string& identity)
{
    auto report = Platform::decodeTargetReport(identity, exchange->request().body);
    if (!report) {
        this->context.metrics.count("reports_refused_total");
        return refuse(exchange, 400, report.error().detail);
    }
    auto now = this->context.now();
    auto& known = this->targets[identity];
    bool isLate = known.report.incarnation > report->incarnation || (known.report.incarnation == report->incarnation && known.report.sequence > report->sequence);
    if (isLate)
        return answer(exchange, 200);
    bool isSame = known.report.incarnation == report->incarnation && known.report.address == report->address && known.report.state == report->state && known.report.pool == report->pool;
    bool leaves = report->state == Membership::TargetState::Leaving;
    known = KnownTarget { *report, now };
    if (!isSame)
        this->spread(*report);
    auto dispatcher = this->context.dispatcherFor(report->failureDomain);
    if (!leaves) {
        // Told again with each report, since a message between hosts may be lost.
        if (isSame && !dispatcher.empty())
            this->context.send(dispatcher, ReportNotice { *report, 0 });
        return answer(exchange, 200);
    }
    if (dispatcher.empty())
        return refuse(exchange, 503, "no dispatcher is known");
    auto number = this->nextNumber++;
    this->waitingReports.emplace(number, WaitingReport { exchange, now + answerTime });
    this->context.send(dispatcher, ReportNotice { *report, number });
}

void ControlApi::onMessage(const std::string&, const ReportTaken& taken)
{
    auto position = this->waitingReports.find(taken.number);
    if (position == this->waitingReports.end())
        return;
    answer(position->second.exchange, 200);
    this->waitingReports.erase(position);
}

void ControlApi::onMessage(const std::string& from, const TargetListRequest& request)
{
    // One that is not known here yet asks again.
    const auto* member = this->context.cluster.find(from);
    if (!member)
        return;
    TargetListAnswer answer { request.number, {} };
    for (const auto& [identity, target] : this->targets) {
        if (this->mayDispatch(*member, target.report))
            answer.reports.push_back(target.report);
    }
    this->context.send(from, answer);
}

void ControlApi::removeTarget(const Exchange& exchange, const std::string& identity)
{
    this->targets.erase(identity);
    for (const auto* member : this->context.cluster.alive(this->context.now()))
        this->context.send(member->address, TargetGone { identity });
    answer(exchange, 200);
}

// All members that may become the dispatcher of a target know it, so that one of them can begin at once.
bool ControlApi::mayDispatch(const Membership::MemberRecord& member, const TargetReport& report) const
{
    const auto& cluster = this->context.cluster;
    return member.dispatchWeight > 0 && cluster.shardFor(member.failureDomain) == cluster.shardFor(report.failureDomain);
}

void ControlApi::spread(const TargetReport& report)
{
    for (const auto* member : this->context.cluster.alive(this->context.now())) {
        if (this->mayDispatch(*member, report))
            this->context.send(member->address, ReportNotice { report, 0 });
    }
}

void ControlApi::greetNewMembers(Instant now)
{
    for (const auto* member : this->context.cluster.alive(now)) {
        auto& incarnation = this->greeted[member->address];
        if (member->dispatchWeight == 0 || incarnation == member->incarnation)
            continue;
        incarnation = member->incarnation;
        for (const auto& [identity, target] : this->targets) {
            if (this->mayDispatch(*member, target.report))
                this->context.send(member->address, ReportNotice { target.report, 0 });
        }
    }
    std::erase_if(this->greeted, [&](const auto& entry) { return !this->context.cluster.isAlive(entry.first, now); });
}

void ControlApi::forgetSilentTargets(Instant now)
{
    std::erase_if(this->targets, [&](const auto& entry) { return now - entry.second.heardAt > reportRetention; });
}

void ControlApi::tick(Instant now)
{
    std::erase_if(this->waitingReads, [&](const WaitingRead& waiting) {
        const auto& document = this->routes.document();
        if (document.version >= waiting.version)
            answer(waiting.exchange, 200, document.text);
        else if (now >= waiting.deadline)
            refuse(waiting.exchange, 503, "the latest document has not reached this host yet");
        else
            return false;
        return true;
    });
    std::erase_if(this->waitingReports, [&](const auto& entry) {
        if (now < entry.second.deadline)
            return false;
        refuse(entry.second.exchange, 503, "the dispatcher did not confirm in time");
        return true;
    });
    this->greetNewMembers(now);
    this->forgetSilentTargets(now);
}

}
