#include <LibBase/Random.h>
#include <LibDispatch/Dispatcher.h>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Dispatch;

static size_t residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    size_t total = 0;
    size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

// Measures the cost of one task start (request, grant and release) in a steady state in which all slots are taken and requests
// are waiting, and the memory per target.
static void measure(size_t targets, size_t teams)
{
    auto bytesBefore = residentBytes();
    Instant now {};
    Dispatcher dispatcher({ .host = "a", .holderTimeout = std::chrono::hours(1000) }, 1, now);
    Random random(1);
    for (size_t i = 0; i < targets; ++i) {
        Membership::TargetReport report;
        report.identity = "worker-" + std::to_string(i);
        report.incarnation = "0123456789abcdef";
        report.pool = "pool";
        report.failureDomain = "domain";
        report.address = "127.0.0.1:10000";
        report.capacity = { 64'000, 256LL << 30, 0 };
        dispatcher.updateTarget(report, now);
    }
    auto bytesAfterTargets = residentBytes();
    std::vector<uint64_t> held;
    uint64_t next = 1;
    auto requestGrants = [&](uint32_t count) {
        GrantRequest request;
        request.id = { "entry", next++ };
        request.pool = "pool";
        request.kind = "kind";
        request.team = "team-" + std::to_string(next % teams);
        request.teamLimit = 1'000'000;
        request.queueLimit = 10'000'000;
        request.waitLimit = 3'600'000;
        request.count = count;
        request.needs = { 1000, 1 << 30, 0 };
        dispatcher.request(request, now);
    };
    auto collectGrants = [&] {
        for (const auto& command : dispatcher.takeCommands()) {
            if (const auto* grant = std::get_if<Grant>(&command))
                held.push_back(grant->number);
        }
    };
    auto releaseOne = [&] {
        auto position = random() % held.size();
        auto number = held[position];
        held[position] = held.back();
        held.pop_back();
        dispatcher.release({ number, WorkResult::Succeeded, 100'000 + static_cast<int64_t>(random() % 900'000) }, now);
        collectGrants();
    };
    // The dispatcher first learns the speeds of the targets; then every slot is taken.
    for (size_t i = 0; i < targets * 8; ++i) {
        requestGrants(1);
        collectGrants();
        if (held.size() > targets * 2)
            releaseOne();
    }
    for (size_t i = 0; i < targets * 64 / 100 + 200; ++i) {
        requestGrants(100);
        collectGrants();
    }
    constexpr size_t startCount = 200'000;
    auto heldBefore = held.size();
    auto start = std::chrono::steady_clock::now();
    for (size_t i = 0; i < startCount; ++i) {
        if (i % 100 == 0)
            requestGrants(100);
        releaseOne();
    }
    auto seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    std::printf("| %5zu | %4zu | %9.0f | %6.2f | %7zu | %9zu |\n", targets, teams, startCount / seconds, seconds / startCount * 1e6, (bytesAfterTargets - bytesBefore) / targets, heldBefore);
}

int main()
{
    std::puts("| targets | teams | task starts per second | microseconds per start | bytes per target | grants held |");
    std::puts("|---|---|---|---|---|---|");
    for (size_t targets : { 50, 410, 1000, 4100 }) {
        for (size_t teams : { 4, 180 })
            measure(targets, teams);
    }
    return 0;
}
