#include "SharingModel.h"
#include <algorithm>
#include <cstdio>
#include <cstdlib>

// Compares the order of jobs with and without capacity sharing on the same arrivals: bench-sharing [SECONDS [SEED [JOBS_PER_SECOND]]]
using namespace Sassafrasshift;
using namespace Sassafrasshift::Benchmarks;

template <size_t count>
static double worst(const std::array<Served, count>& parts)
{
    double share = 1;
    for (const auto& part : parts)
        share = std::min(share, part.workShare());
    return share;
}

static void print(const char* rule, const Result& result)
{
    std::printf("%-8s all %.3f worst queue %.3f (", rule, result.all.workShare(), worst(result.queues));
    for (const auto& queue : result.queues)
        std::printf(" %.3f", queue.workShare());
    std::printf(" ) worst domain %.3f (", worst(result.origins));
    for (const auto& origin : result.origins)
        std::printf(" %.3f", origin.workShare());
    std::printf(" ), largest tenth / next fifth / queue, in jobs:");
    for (size_t queue = 0; queue < queueCount; ++queue)
        std::printf(" %.3f/%.3f/%.3f", result.largestTenth[queue].jobShare(), result.nextFifth[queue].jobShare(), result.queues[queue].jobShare());
    std::printf("  jobs %zu refused %zu late %zu\n", result.all.jobs, result.refused, result.late);
    std::fflush(stdout);
}

// Plays one load with both rules.
static void compare(const LoadOptions& load, const std::array<double, 3>& speeds)
{
    auto jobs = recordLoad(load);
    std::printf("speeds %.2f %.2f %.2f, %.0f jobs/s, seed %llu, first domain %.0f times the others\n", speeds[0], speeds[1], speeds[2], load.jobsPerSecond, static_cast<unsigned long long>(load.seed), load.firstOriginFactor);
    Scheduler::TaskScheduler::Options options;
    print("former", play(jobs, speeds, options));
    options.shareCapacity = true;
    print("sharing", play(jobs, speeds, options));
}

int main(int argc, char** argv)
{
    static constexpr std::array<std::array<double, 3>, 2> speedSets { std::array { 0.8, 1.0, 1.25 }, std::array { 0.7, 0.7, 1.7 } };
    LoadOptions load;
    load.duration = Milliseconds(static_cast<Milliseconds::rep>(1000 * (argc > 1 ? std::atof(argv[1]) : 37)));
    load.seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    std::vector<double> rates { 250, 330, 420, 600 };
    if (argc > 3)
        rates = { std::atof(argv[3]) };
    for (const auto& speeds : speedSets) {
        for (auto rate : rates) {
            for (double factor : { 1.0, 4.0 }) {
                load.jobsPerSecond = rate;
                load.firstOriginFactor = factor;
                compare(load, speeds);
            }
        }
    }
}
