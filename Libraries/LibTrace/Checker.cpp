#include <LibTrace/Checker.h>
#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace Sassafrasshift::Trace {

static constexpr size_t maximumViolations = 50;
// "A target that is leaving receives no new work after a few seconds."
static constexpr int64_t leavingAllowanceMicroseconds = 4'000'000;

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

// What is known of one request, or of one job under its key.
struct Work {
    bool idempotent { false };
    bool isJob { false };
    uint64_t tasks { 0 };
    std::vector<int64_t> sentAt;
    uint64_t answers { 0 };
    std::vector<int64_t> startedAt;
    std::map<std::string, uint64_t> startsByTask;
    std::vector<int64_t> notRunAt;
    bool complete { false };
};

class Checker {
public:
    void take(const Event& event)
    {
        if (event.name == "client-sent")
            this->takeSent(event);
        else if (event.name == "client-answered")
            this->takeAnswered(event);
        else if (event.name == "request-started" || event.name == "task-started")
            this->takeStarted(event);
        else if (event.name == "target-leaving")
            this->leavingSince.try_emplace(event.field("target"), event.wall);
        else if (event.name == "configuration-in-force")
            this->takeConfiguration(event);
    }

    Findings finish()
    {
        for (const auto& [id, work] : this->works)
            this->checkWork(id, work);
        return this->findings;
    }

private:
    void violate(uint64_t& count, std::string sentence)
    {
        ++count;
        if (this->findings.violations.size() < maximumViolations)
            this->findings.violations.push_back(std::move(sentence));
    }

    void takeSent(const Event& event)
    {
        auto& work = this->works[event.field("id")];
        work.isJob = event.field("kind") == "job";
        work.idempotent = event.field("idempotent") == "true";
        work.tasks = std::strtoull(event.field("tasks").c_str(), nullptr, 10);
        work.sentAt.push_back(event.wall);
        ++this->findings.requests;
    }

    void takeAnswered(const Event& event)
    {
        auto& work = this->works[event.field("id")];
        ++work.answers;
        if (event.field("whole") == "false")
            this->violate(this->findings.partial, event.field("id") + " got a partial answer");
        if (event.field("own") == "false")
            this->violate(this->findings.wrongCaller, event.field("id") + " got an answer that is not its own");
        const auto& result = event.field("result");
        const auto& verdict = event.field("verdict");
        if (result == "complete") {
            ++(work.isJob ? this->findings.jobsComplete : this->findings.answered);
            work.complete = true;
        } else if (verdict == "not-run") {
            ++this->findings.refusedNotRun;
            work.notRunAt.push_back(event.wall);
        } else if (verdict == "ran") {
            ++(work.isJob ? this->findings.jobsFailed : this->findings.answered);
        } else {
            ++this->findings.unknown;
        }
    }

    void takeStarted(const Event& event)
    {
        bool isTask = event.name == "task-started";
        auto& work = this->works[event.field(isTask ? "job" : "request")];
        work.startedAt.push_back(event.wall);
        ++work.startsByTask[event.field("task")];
        auto leaving = this->leavingSince.find(event.field("target"));
        if (leaving != this->leavingSince.end() && event.wall > leaving->second + leavingAllowanceMicroseconds)
            this->violate(this->findings.startedAfterLeaving, event.field("target") + " started work after it had announced that it leaves");
    }

    void takeConfiguration(const Event& event)
    {
        auto version = std::strtoull(event.field("version").c_str(), nullptr, 10);
        auto& highest = this->versionInForce[event.process];
        if (version < highest)
            this->violate(this->findings.reverted, event.process + " went back from version " + std::to_string(highest) + " to " + std::to_string(version));
        highest = std::max<uint64_t>(highest, version);
    }

    void checkWork(const std::string& id, const Work& work)
    {
        if (work.answers < work.sentAt.size())
            this->violate(this->findings.lost, id + " was sent " + std::to_string(work.sentAt.size()) + " times and answered " + std::to_string(work.answers) + " times");
        for (const auto& [task, starts] : work.startsByTask) {
            if (starts > 1 && !work.idempotent)
                this->violate(this->findings.startedTwice, id + (task.empty() ? "" : " task " + task) + " was started " + std::to_string(starts) + " times");
        }
        if (work.isJob && work.complete && work.startsByTask.size() < work.tasks)
            this->violate(this->findings.partial, id + " was called complete with " + std::to_string(work.startsByTask.size()) + " of " + std::to_string(work.tasks) + " tasks started");
        for (auto notRunAt : work.notRunAt)
            this->checkNotRun(id, work, notRunAt);
    }

    // "Not run" speaks of everything sent up to then; what is sent later under the same id may run.
    void checkNotRun(const std::string& id, const Work& work, int64_t notRunAt)
    {
        int64_t nextSending = INT64_MAX;
        for (auto sentAt : work.sentAt) {
            if (sentAt > notRunAt)
                nextSending = std::min(nextSending, sentAt);
        }
        for (auto startedAt : work.startedAt) {
            if (startedAt < nextSending) {
                this->violate(this->findings.falseNotRun, id + " was started although its caller was told that it did not run");
                return;
            }
        }
    }

    Findings findings;
    std::map<std::string, Work> works;
    std::map<std::string, int64_t> leavingSince;
    std::map<std::string, uint64_t> versionInForce;
};

}

Findings checkEvents(std::vector<Event> events)
{
    sortEvents(events);
    Checker checker;
    for (const auto& event : events)
        checker.take(event);
    return checker.finish();
}

}
