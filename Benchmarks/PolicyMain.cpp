#include "PolicyModel.h"
#include <cstdio>
#include <cstdlib>
#include <cstring>

using namespace Sassafrasshift::Bench;

static constexpr int seedCount = 3;

// Runs a scenario with several seeds. Returns the means of the ratios, the sums of the counts, and the maximum of the grants
// for a failing target.
template <typename Run>
static Statistics averageOverSeeds(Scenario scenario, uint64_t firstSeed, Run run)
{
    Statistics total;
    for (int i = 0; i < seedCount; ++i) {
        scenario.seed = firstSeed + static_cast<uint64_t>(i);
        auto statistics = run(scenario);
        total.mean += statistics.mean / seedCount;
        total.median += statistics.median / seedCount;
        total.p99 += statistics.p99 / seedCount;
        total.otherTeamsP99 += statistics.otherTeamsP99 / seedCount;
        total.messagesPerRequest += statistics.messagesPerRequest / seedCount;
        total.wastedMessageShare += statistics.wastedMessageShare / seedCount;
        total.goodput += statistics.goodput / seedCount;
        total.completed += statistics.completed;
        total.refused += statistics.refused;
        total.failed += statistics.failed;
        total.maximumGrantsToFailing = std::max(total.maximumGrantsToFailing, statistics.maximumGrantsToFailing);
    }
    return total;
}

static void printRow(const char* name, const Scenario& scenario, const Statistics& statistics, const Statistics& bound)
{
    std::printf("| %-44s | %.2f | %6.2f | %6.2f | %7.2f | %5.2f | %5.2f | %6.2f | %6.3f%% |\n", name, scenario.load, statistics.mean, statistics.median, statistics.p99,
        statistics.mean / bound.mean, statistics.p99 / bound.p99, statistics.messagesPerRequest, statistics.wastedMessageShare * 100);
}

static void comparePolicies(uint64_t seed)
{
    std::puts("| policy and arrangement                       | load |   mean |    p50 |     p99 | mean/bound | p99/bound | messages | wasted |");
    std::puts("|---|---|---|---|---|---|---|---|---|");
    for (double load : { 0.3, 0.5, 0.8, 0.9, 0.95 }) {
        Scenario scenario;
        scenario.load = load;
        auto bound = averageOverSeeds(scenario, seed, runOracle);
        printRow("oracle with perfect knowledge", scenario, bound, bound);
        printRow("random", scenario, averageOverSeeds(scenario, seed, [](const auto& s) { return runBaseline(s, Baseline::Random); }), bound);
        printRow("round robin", scenario, averageOverSeeds(scenario, seed, [](const auto& s) { return runBaseline(s, Baseline::RoundRobin); }), bound);
        printRow("power of two choices", scenario, averageOverSeeds(scenario, seed, [](const auto& s) { return runBaseline(s, Baseline::TwoChoices); }), bound);
        printRow("least outstanding", scenario, averageOverSeeds(scenario, seed, [](const auto& s) { return runBaseline(s, Baseline::LeastOutstanding); }), bound);
        printRow("least expected completion", scenario, averageOverSeeds(scenario, seed, [](const auto& s) { return runBaseline(s, Baseline::LeastExpectedCompletion); }), bound);
        auto singleDispatcher = scenario;
        singleDispatcher.domains = 1;
        printRow("grants, one dispatcher", scenario, averageOverSeeds(singleDispatcher, seed, runDispatchers), bound);
        printRow("grants, 4 domains with hand-over", scenario, averageOverSeeds(scenario, seed, runDispatchers), bound);
        auto withoutHandOver = scenario;
        withoutHandOver.handOverEnabled = false;
        printRow("grants, 4 domains without hand-over", scenario, averageOverSeeds(withoutHandOver, seed, runDispatchers), bound);
        withoutHandOver.domains = 9;
        printRow("targets split over 9 entries", scenario, averageOverSeeds(withoutHandOver, seed, runDispatchers), bound);
    }
}

static void compareFaults(uint64_t seed)
{
    Scenario failing;
    failing.failingShare = 0.05;
    auto statistics = averageOverSeeds(failing, seed, runDispatchers);
    std::printf("5%% of targets fail all requests: mean %.2f p99 %.2f, %llu of %llu requests failed, at most %llu grants (including probation) to one of them, wasted messages %.3f%%\n", statistics.mean, statistics.p99,
        static_cast<unsigned long long>(statistics.failed), static_cast<unsigned long long>(statistics.completed + statistics.failed), static_cast<unsigned long long>(statistics.maximumGrantsToFailing), statistics.wastedMessageShare * 100);

    Scenario overload;
    overload.load = 2;
    overload.waitLimit = 5000;
    statistics = averageOverSeeds(overload, seed, runDispatchers);
    std::printf("load of twice the capacity, deadline 5 s: goodput %.3f of capacity, %llu completed, %llu refused as not run\n", statistics.goodput,
        static_cast<unsigned long long>(statistics.completed), static_cast<unsigned long long>(statistics.refused));

    Scenario withoutGreedyTeam;
    withoutGreedyTeam.load = 0.4;
    Scenario withGreedyTeam;
    withGreedyTeam.load = 1.2;
    withGreedyTeam.greedyShare = 2.0 / 3;
    withGreedyTeam.greedyLimit = 20;
    withGreedyTeam.waitLimit = 3'600'000;
    auto baseline = averageOverSeeds(withoutGreedyTeam, seed, runDispatchers);
    auto contended = averageOverSeeds(withGreedyTeam, seed, runDispatchers);
    std::printf("team that competes with a team over its quota: p99 %.2f, alone %.2f, ratio %.2f\n", contended.otherTeamsP99, baseline.otherTeamsP99, contended.otherTeamsP99 / baseline.otherTeamsP99);

    for (double load : { 0.3, 0.6 }) {
        Scenario degraded;
        degraded.load = load;
        degraded.firstDomainSlowness = 10;
        auto notIsolated = averageOverSeeds(degraded, seed, runDispatchers);
        degraded.firstDomainIsolated = true;
        auto isolated = averageOverSeeds(degraded, seed, runDispatchers);
        std::printf("one domain 10x slower, load %.1f: not isolated mean %.2f p99 %.2f; isolated by the operator mean %.2f p99 %.2f\n", load, notIsolated.mean, notIsolated.p99, isolated.mean, isolated.p99);
    }
}

int main(int argc, char** argv)
{
    // Line buffering makes each row appear as soon as it is printed, even if the output goes to a file.
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
