#include <LibDurableState/DurableState.h>
#include <LibLedger/Node.h>
#include <LibLedger/StorageThread.h>
#include <LibTransport/Codec.h>
#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <mutex>
#include <unistd.h>

using namespace Sassafrasshift;

// An event loop that runs functions which other threads post.
class EventLoop {
public:
    void post(std::function<void()> function)
    {
        std::lock_guard lock(this->mutex);
        this->functions.push_back(std::move(function));
        this->functionPosted.notify_one();
    }

    void runOne()
    {
        std::function<void()> function;
        {
            std::unique_lock lock(this->mutex);
            this->functionPosted.wait(lock, [this] { return !this->functions.empty(); });
            function = std::move(this->functions.front());
            this->functions.pop_front();
        }
        function();
    }

private:
    std::mutex mutex;
    std::condition_variable functionPosted;
    std::deque<std::function<void()>> functions;
};

static double median(std::vector<double> values)
{
    std::nth_element(values.begin(), values.begin() + static_cast<ptrdiff_t>(values.size() / 2), values.end());
    return values[values.size() / 2];
}

static double millisecondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

// Measures the time of a synced append to a preallocated file, which is the baseline for the latency of a commit. Returns the
// median in milliseconds.
static double measureSyncedWrites(const std::string& folder, size_t bytes, int rounds)
{
    auto path = folder + "/bare";
    int descriptor = open(path.c_str(), O_RDWR | O_CREAT, 0644);
    (void)!posix_fallocate(descriptor, 0, 16 * 1024 * 1024);
    fsync(descriptor);
    std::string content(bytes, 'x');
    std::vector<double> times;
    for (int i = 0; i < rounds; ++i) {
        auto start = std::chrono::steady_clock::now();
        (void)!pwrite(descriptor, content.data(), content.size(), static_cast<off_t>(static_cast<size_t>(i) * bytes));
        fdatasync(descriptor);
        times.push_back(millisecondsSince(start));
    }
    close(descriptor);
    return median(times);
}

struct Measurement {
    /// Median in milliseconds.
    double latency { 0 };
    double commitsPerSecond { 0 };
    uint64_t batches { 0 };
};

static DurableState::Command makeJob(uint64_t number, size_t tasks)
{
    DurableState::AcceptJobCommand accept;
    accept.key = "job-" + std::to_string(number);
    accept.content = std::string(tasks * 40, 'x');
    accept.ownerHost = "katutura-1";
    accept.ownerIncarnation = std::string(32, 'i');
    accept.submission = std::string(32, 's');
    for (size_t i = 0; i < tasks; ++i)
        accept.intents.push_back({ static_cast<uint32_t>(i), 1, "workers-katutura-12", std::string(16, 'i'), "127.0.1.3:11000" });
    return accept;
}

// Measures the commits of a replica group of one member while each client always has one command in progress.
static Measurement measureNode(const std::string& folder, size_t clients, size_t commands)
{
    EventLoop loop;
    SystemClock clock;
    Random random(1);
    auto store = Ledger::DiskStore::open(folder, random);
    Ledger::StoredState initialState;
    initialState.snapshot.membership.members = { { (*store)->identity(), "a", Ledger::MemberRole::Voter } };
    DurableState::DurableState state(std::chrono::hours(1), {});
    Ledger::Node::Options options;
    options.replica.identity = (*store)->identity();
    options.replica.host = "a";
    options.snapshotInterval = 1'000'000;
    Ledger::Node::Environment environment { &clock, [](const auto&) {}, [&](auto function) { loop.post(std::move(function)); }, [](const Error& error) { std::fprintf(stderr, "%s\n", error.detail.c_str()); std::abort(); } };
    Ledger::Node node(options, std::make_unique<Ledger::StorageThread>(std::move(*store)), initialState, state, environment, random);
    while (!node.replica().isEstablishedLeader()) {
        loop.post([&] { node.tick(); });
        loop.runOne();
    }
    std::vector<double> times;
    uint64_t next = 1;
    size_t inProgress = 0;
    auto batchesBefore = node.batchesStored();
    auto start = std::chrono::steady_clock::now();
    while (times.size() < commands) {
        while (inProgress < clients && next <= commands) {
            ++inProgress;
            auto sentAt = std::chrono::steady_clock::now();
            node.propose(Transport::encodeValue(makeJob(next++, 20)), [&, sentAt](const auto&) {
                times.push_back(millisecondsSince(sentAt));
                --inProgress;
            });
        }
        loop.runOne();
    }
    auto seconds = millisecondsSince(start) / 1000;
    return { median(times), static_cast<double>(commands) / seconds, node.batchesStored() - batchesBefore };
}

int main()
{
    char pattern[] = "/tmp/sassafrasshift-bench-XXXXXX";
    std::string folder = mkdtemp(pattern);
    auto bytes = Transport::encodeValue(makeJob(1, 20)).size();
    std::printf("bytes of an accepted job with 20 tasks: %zu\n", bytes);
    auto syncedWrite = measureSyncedWrites(folder, bytes, 300);
    std::printf("synced write of that size without the ledger: median %.3f ms\n", syncedWrite);
    std::puts("| clients | commits per second | median ms | ratio to the synced write | commits per sync |");
    std::puts("|---|---|---|---|---|");
    for (size_t clients : { 1, 8, 64, 512 }) {
        auto result = measureNode(folder + "/" + std::to_string(clients), clients, clients * 300);
        std::printf("| %3zu | %8.0f | %7.3f | %5.2f | %6.1f |\n", clients, result.commitsPerSecond, result.latency, result.latency / syncedWrite, static_cast<double>(clients * 300) / static_cast<double>(std::max<uint64_t>(1, result.batches)));
    }
    std::filesystem::remove_all(folder);
    return 0;
}
