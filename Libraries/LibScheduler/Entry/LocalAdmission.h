#pragma once

#include <LibBase/Clock.h>
#include <LibScheduler/AdmissionLevel.h>
#include <map>
#include <string>
#include <string_view>

namespace Sassafrasshift::Scheduler {

/// The admission levels that an entry host knows of dispatchers. It performs no I/O.
class LocalAdmission {
public:
    /// Records the level that an answer of a dispatcher carried.
    void update(const std::string& dispatcher, const AdmissionLevel&, Instant now);
    /// Whether a dispatcher admits a job, as far as is known. A level counts for a limited time.
    [[nodiscard]] bool admits(const std::string& dispatcher, int64_t priority, std::string_view job, Instant now) const;
    /// When the caller of a refused job should come again. The name of the job and the time spread out the callers.
    [[nodiscard]] static Milliseconds retryAfter(std::string_view job, Instant now);

private:
    struct Known {
        AdmissionLevel level;
        Instant receivedAt {};
    };

    std::map<std::string, Known> levels;
};

}
