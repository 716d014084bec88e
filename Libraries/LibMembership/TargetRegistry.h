#pragma once

#include <LibBase/Clock.h>
#include <LibMembership/TargetReport.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Sassafrasshift::Membership {

/// The latest report of each target that one process knows. A target that has announced its end is remembered for some time, so that
/// a report that it sent before is recognized as outdated, although it arrives later or through another process. The class does no
/// I/O.
class TargetRegistry {
public:
    enum class Update {
        /// The report is older than what is known of the target, and has no effect.
        Outdated,
        /// The report repeats what is known of the target.
        Repeated,
        Changed,
    };

    struct Entry {
        /// Names no address if only the end of the target is known.
        TargetReport report;
        Instant reportedAt {};
        /// When the target announced its end, if it did.
        std::optional<Instant> removedAt;
    };

    Update update(const TargetReport&, Instant now);
    /// Records that a target has announced its end, also if no report of it is known. An empty incarnation stands for the one that is
    /// known here. Returns whether the removal has effect: it has none if a later incarnation is known.
    bool remove(const std::string& identity, const std::string& incarnation, Instant now);
    /// Forgets the targets that have not reported for a time.
    void forgetSilentTargets(Milliseconds silence, Instant now);

    /// Returns null if no report of the target is known, or if the target has announced its end.
    [[nodiscard]] const TargetReport* find(const std::string& identity) const;
    /// The reports of all targets that have not announced their end.
    [[nodiscard]] std::vector<TargetReport> presentReports() const;
    /// All entries by identity, those of targets that have announced their end included.
    [[nodiscard]] const std::map<std::string, Entry>& entries() const { return this->entriesByIdentity; }

private:
    void rememberRemoval(const std::string& identity, const std::string& incarnation, Instant now);

    std::map<std::string, Entry> entriesByIdentity;
};

}
