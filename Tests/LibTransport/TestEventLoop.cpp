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

// How far the time of day has been stepped, in seconds.
static std::atomic<int64_t> wallClockOffset { 0 };

// The HTTP library reads the time of day by this function; in this program it can be stepped.
extern "C" int gettimeofday(timeval* time, void*) noexcept
{
    timespec reading {};
    clock_gettime(CLOCK_REALTIME, &reading);
    time->tv_sec = reading.tv_sec + wallClockOffset;
    time->tv_usec = reading.tv_nsec / 1000;
    return 0;
}

namespace {

// Ends a loop that does not end by itself, so that a test fails in place of hanging.
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

BOOST_FIXTURE_TEST_CASE(a_timer_is_due_though_the_time_of_day_goes_back, Fixture)
{
    Watchdog watchdog(*this->loop);
    bool called = false;
    auto step = this->loop->after(1ms, [] { wallClockOffset -= 3600; });
    auto timer = this->loop->after(20ms, [&] {
        called = true;
        this->loop->stop();
    });
    this->loop->run();
    BOOST_TEST(called);
    BOOST_TEST(!watchdog.expired);
}

BOOST_FIXTURE_TEST_CASE(a_deferred_call_is_made_though_the_time_of_day_goes_back, Fixture)
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

BOOST_FIXTURE_TEST_CASE(a_timer_is_not_due_early_though_the_time_of_day_goes_ahead, Fixture)
{
    Watchdog watchdog(*this->loop);
    auto begin = this->loop->now();
    auto step = this->loop->after(1ms, [] { wallClockOffset += 3600; });
    auto timer = this->loop->after(50ms, [&] { this->loop->stop(); });
    this->loop->run();
    BOOST_TEST((this->loop->now() - begin >= 50ms));
    BOOST_TEST(!watchdog.expired);
}

BOOST_FIXTURE_TEST_CASE(timers_run_in_the_order_of_their_times_and_not_once_destroyed, Fixture)
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
