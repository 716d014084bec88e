#include <LibScheduler/AdmissionLevel.h>
#include <xxhash.h>

namespace Sassafrasshift::Scheduler {

// Keeps the choice independent of other decisions that hash the name of a job.
static constexpr uint64_t hashSeed = 0x61646d69;
static constexpr uint64_t wholeClass = 1000;

bool AdmissionLevel::admits(int64_t jobPriority, std::string_view job) const
{
    if (jobPriority != this->priority)
        return jobPriority < this->priority;
    return XXH3_64bits_withSeed(job.data(), job.size(), hashSeed) % wholeClass < this->permille;
}

}
