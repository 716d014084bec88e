#include <LibScheduler/Entry/LocalAdmission.h>
#include <xxhash.h>

namespace Sassafrasshift::Scheduler {

// Four intervals between renewals: answers of a late dispatcher are late, too.
static constexpr Milliseconds levelLifetime { 1000 };
static constexpr Milliseconds shortestRetryAfter { 1000 };
// Retry-After has whole seconds.
static constexpr uint64_t retryAfterSteps = 4;

void LocalAdmission::update(const std::string& dispatcher, const AdmissionLevel& level, Instant now)
{
    std::erase_if(this->levels, [&](const auto& entry) { return now - entry.second.receivedAt > levelLifetime; });
    if (level.admitsAll())
        this->levels.erase(dispatcher);
    else
        this->levels.insert_or_assign(dispatcher, Known { level, now });
}

bool LocalAdmission::admits(const std::string& dispatcher, int64_t priority, std::string_view job, Instant now) const
{
    auto position = this->levels.find(dispatcher);
    return position == this->levels.end() || now - position->second.receivedAt > levelLifetime || position->second.level.admits(priority, job);
}

Milliseconds LocalAdmission::retryAfter(std::string_view job, Instant now)
{
    auto hash = XXH3_64bits_withSeed(job.data(), job.size(), static_cast<uint64_t>(now.time_since_epoch().count()));
    return shortestRetryAfter * static_cast<int64_t>(1 + hash % retryAfterSteps);
}

}
