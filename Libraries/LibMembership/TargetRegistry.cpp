#include <LibMembership/TargetRegistry.h>
#include <limits>

namespace Sassafrasshift::Membership {

// How long a target that has announced its end is remembered.
static constexpr Milliseconds removedReportRetention { 10'000 };

// A report with the sequence number of the last one before the removal may have been in transit.
static bool isOutdated(const TargetRegistry::Entry& known, const TargetReport& report)
{
    if (report.incarnation != known.report.incarnation)
        return report.incarnation < known.report.incarnation;
    return known.removedAt ? report.sequence <= known.report.sequence : report.sequence < known.report.sequence;
}

// The remaining cold time differs in each report of a cold target; only its end is news.
static bool isRepetition(TargetReport report, const TargetReport& other)
{
    report.sequence = other.sequence;
    if (report.coldLeftMilliseconds > 0 && other.coldLeftMilliseconds > 0)
        report.coldLeftMilliseconds = other.coldLeftMilliseconds;
    return report == other;
}

TargetRegistry::Update TargetRegistry::update(const TargetReport& report, Instant now)
{
    auto [position, isNew] = this->entriesByIdentity.try_emplace(report.identity, Entry { report, now, {} });
    if (isNew)
        return Update::Changed;
    auto& known = position->second;
    if (isOutdated(known, report))
        return Update::Outdated;
    bool isRepeated = !known.removedAt && isRepetition(known.report, report);
    known = Entry { report, now, {} };
    return isRepeated ? Update::Repeated : Update::Changed;
}

bool TargetRegistry::remove(const std::string& identity, const std::string& incarnation, Instant now)
{
    std::erase_if(this->entriesByIdentity, [&](const auto& entry) { return entry.second.removedAt && now - *entry.second.removedAt > removedReportRetention; });
    auto position = this->entriesByIdentity.find(identity);
    if (position == this->entriesByIdentity.end()) {
        this->rememberRemoval(identity, incarnation, now);
        return true;
    }
    if (!incarnation.empty() && incarnation < position->second.report.incarnation)
        return false;
    position->second.removedAt = now;
    return true;
}

// Another process may pass on a report from before the end, which arrives later. Its sequence number is unknown here, so no report of
// that incarnation counts while the removal is remembered.
void TargetRegistry::rememberRemoval(const std::string& identity, const std::string& incarnation, Instant now)
{
    TargetReport placeholder;
    placeholder.identity = identity;
    placeholder.incarnation = incarnation;
    placeholder.sequence = std::numeric_limits<uint64_t>::max();
    this->entriesByIdentity.emplace(identity, Entry { placeholder, now, now });
}

void TargetRegistry::forgetSilentTargets(Milliseconds silence, Instant now)
{
    std::erase_if(this->entriesByIdentity, [&](const auto& entry) {
        const auto& known = entry.second;
        return known.removedAt ? now - *known.removedAt > removedReportRetention : now - known.reportedAt > silence;
    });
}

const TargetReport* TargetRegistry::find(const std::string& identity) const
{
    auto position = this->entriesByIdentity.find(identity);
    return position == this->entriesByIdentity.end() || position->second.removedAt ? nullptr : &position->second.report;
}

std::vector<TargetReport> TargetRegistry::presentReports() const
{
    std::vector<TargetReport> present;
    for (const auto& [identity, known] : this->entriesByIdentity) {
        if (!known.removedAt)
            present.push_back(known.report);
    }
    return present;
}

}
