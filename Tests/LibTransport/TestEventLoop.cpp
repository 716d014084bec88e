#include <LibTransport/EventLoop.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <ctime>
#include <mutex>
#include <sys/time.h>
#include <thread>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Transport;
using namespace std::chrono_literals;

// The offset in seconds that the replacement of gettimeofday() adds to the wall clock.
static std::atomic<int64_t> wallClockOffset { 0 };

// h2o reads the wall clock with this function. This definition replaces that of the C library, so that tests can step the clock.
extern "C" int gettimeofday(timeval* time, void*) noexcept
{
    timespec reading {};
    clock_gettime(CLOCK_REALTIME, &reading);
    time->tv_sec = reading.tv_sec + wallClockOffset;
    time->tv_usec = reading.tv_nsec / 1000;
    return 0;
}

namespace {

// Stops a loop that still runs after 5 seconds, so that the test fails instead of hanging.
class Watchdog {
public:
    explicit Watchdog(EventLoop& loop)
        : thread([this, &loop] {
            std::unique_lock lock(this->mutex);
            if (!this->changed.wait_for(lock, 5s, [this] { return this->done; }))
                loop.post([this, &loop] {
                    this->expired = true;
                    loop.stop();
                });
        })
    {
    }

    ~Watchdog()
    {
        {
            std::scoped_lock lock(this->mutex);
            this->done = true;
        }
        this->changed.notify_all();
        this->thread.join();
    }

    std::atomic<bool> expired { false };

private:
    std::mutex mutex;
    std::condition_variable changed;
    bool done { false };
    std::thread thread;
};

struct Fixture {
    std::unique_ptr<EventLoop> loop { EventLoop::create() };

    ~Fixture() { wallClockOffset = 0; }
};

}

BOOST_FIXTURE_TEST_CASE(timer_fires_although_the_wall_clock_is_set_back, Fixture)
{
    Watchdog watchdog(*this->loop);
    bool called = false;
    auto stepTimer = this->loop->after(1ms, [] { wallClockOffset -= 3600; });
    auto timer = this->loop->after(20ms, [&] {
        called = true;
        this->loop->stop();
    });
    this->loop->run();
    BOOST_TEST(called);
    BOOST_TEST(!watchdog.expired);
}

BOOST_FIXTURE_TEST_CASE(deferred_call_runs_although_the_wall_clock_is_set_back, Fixture)
{
    Watchdog watchdog(*this->loop);
    bool called = false;
    auto start = this->loop->after(1ms, [&] {
        wallClockOffset -= 3600;
        this->loop->defer([&] {
            this->loop->defer([&] {
                called = true;
                this->loop->stop();
            });
        });
    });
    this->loop->run();
    BOOST_TEST(called);
    BOOST_TEST(!watchdog.expired);
}

BOOST_FIXTURE_TEST_CASE(timer_does_not_fire_early_although_the_wall_clock_is_set_forward, Fixture)
{
    Watchdog watchdog(*this->loop);
    auto startTime = this->loop->now();
    auto stepTimer = this->loop->after(1ms, [] { wallClockOffset += 3600; });
    auto timer = this->loop->after(50ms, [&] { this->loop->stop(); });
    this->loop->run();
    BOOST_TEST((this->loop->now() - startTime >= 50ms));
    BOOST_TEST(!watchdog.expired);
}

BOOST_FIXTURE_TEST_CASE(timers_fire_in_order_of_their_due_times_unless_destroyed, Fixture)
{
    Watchdog watchdog(*this->loop);
    std::string order;
    auto last = this->loop->after(15ms, [&] { this->loop->stop(); });
    auto second = this->loop->after(10ms, [&] { order += "b"; });
    auto dropped = this->loop->after(7ms, [&] { order += "x"; });
    auto first = this->loop->after(5ms, [&] {
        order += "a";
        dropped.reset();
    });
    this->loop->run();
    BOOST_TEST(order == "ab");
}
