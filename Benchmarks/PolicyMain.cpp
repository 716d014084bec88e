#include "PolicyModel.h"
#include <cstdio>
#include <cstdlib>
#include <cstring>

using namespace Sassafrasshift::Bench;

static constexpr int seedCount = 3;

// The mean of the figures over the seeds.
template <typename Run>
static Figures overSeeds(Scenario scenario, uint64_t firstSeed, Run run)
{
    Figures total;
    for (int i = 0; i < seedCount; ++i) {
        scenario.seed = firstSeed + static_cast<uint64_t>(i);
        auto figures = run(scenario);
        total.mean += figures.mean / seedCount;
        total.median += figures.median / seedCount;
        total.p99 += figures.p99 / seedCount;
        total.othersP99 += figures.othersP99 / seedCount;
        total.messages += figures.messages / seedCount;
        total.wasted += figures.wasted / seedCount;
        total.goodput += figures.goodput / seedCount;
        total.completed += figures.completed;
        total.refused += figures.refused;
        total.failed += figures.failed;
        total.mostGivenToFailing = std::max(total.mostGivenToFailing, figures.mostGivenToFailing);
    }
    return total;
}

static void printRow(const char* name, const Scenario& scenario, const Figures& figures, const Figures& bound)
{
    std::printf("| %-44s | %.2f | %6.2f | %6.2f | %7.2f | %5.2f | %5.2f | %6.2f | %6.3f%% |\n", name, scenario.load, figures.mean, figures.median, figures.p99,
        figures.mean / bound.mean, figures.p99 / bound.p99, figures.messages, figures.wasted * 100);
}

static void comparePolicies(uint64_t seed)
{
    std::puts("| policy and arrangement                       | load |   mean |    p50 |     p99 | mean/bound | p99/bound | messages | wasted |");
    std::puts("|---|---|---|---|---|---|---|---|---|");
    for (double load : { 0.3, 0.5, 0.8, 0.9, 0.95 }) {
        Scenario scenario;
        scenario.load = load;
        auto bound = overSeeds(scenario, seed, runAllKnowing);
        printRow("all-knowing queue", scenario, bound, bound);
        printRow("random", scenario, overSeeds(scenario, seed, [](const auto& s) { return runBaseline(s, Baseline::Random); }), bound);
        printRow("round robin", scenario, overSeeds(scenario, seed, [](const auto& s) { return runBaseline(s, Baseline::RoundRobin); }), bound);
        printRow("power of two choices", scenario, overSeeds(scenario, seed, [](const auto& s) { return runBaseline(s, Baseline::TwoChoices); }), bound);
        printRow("least outstanding", scenario, overSeeds(scenario, seed, [](const auto& s) { return runBaseline(s, Baseline::LeastOutstanding); }), bound);
        printRow("least expected completion", scenario, overSeeds(scenario, seed, [](const auto& s) { return runBaseline(s, Baseline::LeastExpectedCompletion); }), bound);
        auto one = scenario;
        one.domains = 1;
        printRow("grants, one dispatcher", scenario, overSeeds(one, seed, runDispatchers), bound);
        printRow("grants, 4 domains with hand-over", scenario, overSeeds(scenario, seed, runDispatchers), bound);
        auto apart = scenario;
        apart.handsOver = false;
        printRow("grants, 4 domains without hand-over", scenario, overSeeds(apart, seed, runDispatchers), bound);
        apart.domains = 9;
        printRow("targets split over 9 entries", scenario, overSeeds(apart, seed, runDispatchers), bound);
    }
}

static void compareFaults(uint64_t seed)
{
    Scenario failing;
    failing.failingShare = 0.05;
    auto figures = overSeeds(failing, seed, runDispatchers);
    std::printf("5%% of targets fail everything: mean %.2f p99 %.2f, %llu of %llu requests failed, most given to one before it was set aside or on probation %llu, wasted %.3f%%\n", figures.mean, figures.p99,
        static_cast<unsigned long long>(figures.failed), static_cast<unsigned long long>(figures.completed + figures.failed), static_cast<unsigned long long>(figures.mostGivenToFailing), figures.wasted * 100);

    Scenario overload;
    overload.load = 2;
    overload.waitLimit = 5000;
    figures = overSeeds(overload, seed, runDispatchers);
    std::printf("twice the capacity, deadline 5 s: goodput %.3f of capacity, %llu completed, %llu refused as not run\n", figures.goodput,
        static_cast<unsigned long long>(figures.completed), static_cast<unsigned long long>(figures.refused));

    Scenario quiet;
    quiet.load = 0.4;
    Scenario crowded;
    crowded.load = 1.2;
    crowded.greedyShare = 2.0 / 3;
    crowded.greedyLimit = 20;
    crowded.waitLimit = 3'600'000;
    auto alone = overSeeds(quiet, seed, runDispatchers);
    auto beside = overSeeds(crowded, seed, runDispatchers);
    std::printf("a team beside one over its quota: p99 %.2f, alone %.2f, ratio %.2f\n", beside.othersP99, alone.othersP99, beside.othersP99 / alone.othersP99);

    for (double load : { 0.3, 0.6 }) {
        Scenario degraded;
        degraded.load = load;
        degraded.firstDomainSlowness = 10;
        auto left = overSeeds(degraded, seed, runDispatchers);
        degraded.firstDomainIsolated = true;
        auto isolated = overSeeds(degraded, seed, runDispatchers);
        std::printf("one domain 10x slower, load %.1f: left to the policy mean %.2f p99 %.2f; isolated by the operator mean %.2f p99 %.2f\n", load, left.mean, left.p99, isolated.mean, isolated.p99);
    }
}

int main(int argc, char** argv)
{
    // Rows appear as they come, also in a file.
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    uint64_t seed = 1;
    bool faultsOnly = false;
    for (int i = 1; i < argc; ++i) {
        if (std::strcmp(argv[i], "--seed") == 0 && i + 1 < argc)
            seed = std::strtoull(argv[++i], nullptr, 10);
        else if (std::strcmp(argv[i], "--faults") == 0)
            faultsOnly = true;
    }
    if (!faultsOnly)
        comparePolicies(seed);
    std::puts("");
    compareFaults(seed);
    return 0;
}
