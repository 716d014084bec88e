#include <LibTrace/Checker.h>
#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace Sassafrasshift::Trace {

static constexpr size_t maximumReportedViolations = 50;
// Users are promised: "A target that is leaving receives no new work after a few seconds."
static constexpr int64_t leavingGracePeriodMicroseconds = 4'000'000;

bool Findings::hasNoViolations() const
{
    return this->startedTwice == 0 && this->lost == 0 && this->partial == 0 && this->wrongCaller == 0 && this->falseNotRun == 0
        && this->reverted == 0 && this->startedAfterLeaving == 0;
}

std::string Findings::toJson() const
{
    nlohmann::ordered_json body;
    body["requests"] = this->requests;
    body["answered"] = this->answered;
    body["refused_not_run"] = this->refusedNotRun;
    body["unknown"] = this->unknown;
    body["jobs_complete"] = this->jobsComplete;
    body["jobs_failed"] = this->jobsFailed;
    body["started_twice"] = this->startedTwice;
    body["lost"] = this->lost;
    body["partial"] = this->partial;
    body["wrong_caller"] = this->wrongCaller;
    body["false_not_run"] = this->falseNotRun;
    body["reverted"] = this->reverted;
    body["started_after_leaving"] = this->startedAfterLeaving;
    return body.dump();
}

namespace {

// The events that concern one request, or all submissions of one job key. Times are in microseconds since the Unix epoch.
struct WorkRecord {
    bool idempotent { false };
    bool isJob { false };
    uint64_t tasks { 0 };
    std::vector<int64_t> sentAt;
    uint64_t answers { 0 };
    std::vector<int64_t> startedAt;
    // The number of starts by task index; the starts of a request are counted under the empty string.
    std::map<std::string, uint64_t> startsByTask;
    // The times of the answers that stated the verdict "not-run".
    std::vector<int64_t> notRunAt;
    bool complete { false };
};

class Checker {
public:
    void processEvent(const Event& event)
    {
        if (event.name == "client-sent")
            this->processSent(event);
        else if (event.name == "client-answered")
            this->processAnswered(event);
        else if (event.name == "request-started" || event.name == "task-started")
            this->processStarted(event);
        else if (event.name == "target-leaving")
            this->leavingSinceByTarget.try_emplace(event.field("target"), event.wall);
        else if (event.name == "configuration-in-force")
            this->processConfiguration(event);
    }

    Findings finish()
    {
        for (const auto& [id, record] : this->recordsById)
            this->checkRecord(id, record);
        return this->findings;
    }

private:
    void addViolation(uint64_t& count, std::string description)
    {
        ++count;
        if (this->findings.violations.size() < maximumReportedViolations)
            this->findings.violations.push_back(std::move(description));
    }

    void processSent(const Event& event)
    {
        auto& record = this->recordsById[event.field("id")];
        record.isJob = event.field("kind") == "job";
        record.idempotent = event.field("idempotent") == "true";
        record.tasks = std::strtoull(event.field("tasks").c_str(), nullptr, 10);
        record.sentAt.push_back(event.wall);
        ++this->findings.requests;
    }

    void processAnswered(const Event& event)
    {
        auto& record = this->recordsById[event.field("id")];
        ++record.answers;
        if (event.field("whole") == "false")
            this->addViolation(this->findings.partial, event.field("id") + " received a partial answer");
        if (event.field("own") == "false")
            this->addViolation(this->findings.wrongCaller, event.field("id") + " received an answer meant for another caller");
        const auto& result = event.field("result");
        const auto& verdict = event.field("verdict");
        if (result == "complete") {
            ++(record.isJob ? this->findings.jobsComplete : this->findings.answered);
            record.complete = true;
        } else if (verdict == "not-run") {
            ++this->findings.refusedNotRun;
            record.notRunAt.push_back(event.wall);
        } else if (verdict == "ran") {
            ++(record.isJob ? this->findings.jobsFailed : this->findings.answered);
        } else {
            ++this->findings.unknown;
        }
    }

    void processStarted(const Event& event)
    {
        bool isTask = event.name == "task-started";
        auto& record = this->recordsById[event.field(isTask ? "job" : "request")];
        record.startedAt.push_back(event.wall);
        ++record.startsByTask[event.field("task")];
        auto leaving = this->leavingSinceByTarget.find(event.field("target"));
        if (leaving != this->leavingSinceByTarget.end() && event.wall > leaving->second + leavingGracePeriodMicroseconds)
            this->addViolation(this->findings.startedAfterLeaving, event.field("target") + " started work after the grace period that follows its announcement that it is leaving");
    }

    void processConfiguration(const Event& event)
    {
        auto version = std::strtoull(event.field("version").c_str(), nullptr, 10);
        auto& highest = this->highestVersionByProcess[event.process];
        if (version < highest)
            this->addViolation(this->findings.reverted, event.process + " reverted from configuration version " + std::to_string(highest) + " to " + std::to_string(version));
        highest = std::max<uint64_t>(highest, version);
    }

    void checkRecord(const std::string& id, const WorkRecord& record)
    {
        if (record.answers < record.sentAt.size())
            this->addViolation(this->findings.lost, id + " was sent " + std::to_string(record.sentAt.size()) + " times but answered " + std::to_string(record.answers) + " times");
        for (const auto& [task, starts] : record.startsByTask) {
            if (starts > 1 && !record.idempotent)
                this->addViolation(this->findings.startedTwice, id + (task.empty() ? "" : " task " + task) + " was started " + std::to_string(starts) + " times");
        }
        if (record.isJob && record.complete && record.startsByTask.size() < record.tasks)
            this->addViolation(this->findings.partial, id + " was reported as complete with " + std::to_string(record.startsByTask.size()) + " of " + std::to_string(record.tasks) + " tasks started");
        for (auto notRunAt : record.notRunAt)
            this->checkNotRun(id, record, notRunAt);
    }

    // A "not-run" verdict covers every submission sent before it. A start counts as a violation unless a later submission under
    // the same id could have caused it.
    void checkNotRun(const std::string& id, const WorkRecord& record, int64_t notRunAt)
    {
        int64_t nextSentAt = INT64_MAX;
        for (auto sentAt : record.sentAt) {
            if (sentAt > notRunAt)
                nextSentAt = std::min(nextSentAt, sentAt);
        }
        for (auto startedAt : record.startedAt) {
            if (startedAt < nextSentAt) {
                this->addViolation(this->findings.falseNotRun, id + " was started although its caller was told that it had not run");
                return;
            }
        }
    }

    Findings findings;
    std::map<std::string, WorkRecord> recordsById;
    std::map<std::string, int64_t> leavingSinceByTarget;
    std::map<std::string, uint64_t> highestVersionByProcess;
};

}

Findings checkEvents(std::vector<Event> events)
{
    sortEvents(events);
    Checker checker;
    for (const auto& event : events)
        checker.processEvent(event);
    return checker.finish();
}

}
