#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Error.h>
#include <functional>
#include <memory>

struct st_h2o_evloop_t;
struct st_h2o_multithread_receiver_t;

namespace Sassafrasshift::Transport {

/// A function call scheduled for later. Destroying the timer cancels the call if it has not been made yet.
class Timer {
public:
    virtual ~Timer() = default;
};

/// The event loop of one thread. All callbacks that are registered with the loop run in that thread.
///
/// Start input and output only in a callback of the loop, for example with defer(): the loop processes sockets that changed
/// outside a callback only after its next poll, so that such work would wait for the whole poll.
class EventLoop final : public Clock {
public:
    [[nodiscard]] static std::unique_ptr<EventLoop> create();
    ~EventLoop() override;
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Runs callbacks until one of them calls stop().
    void run();
    /// Makes run() return; callbacks that are already due may still run first.
    void stop();

    /// Calls a function once after a delay. Steps of the wall clock do not affect the delay; time during which the machine is
    /// suspended counts toward it.
    [[nodiscard]] std::unique_ptr<Timer> after(Milliseconds, std::function<void()>);

    /// Calls a function in the loop's thread without delay, but not before the current callback has returned.
    void defer(std::function<void()>);

    /// Calls a function in the loop's thread. Unlike the other methods, post() may be called from any thread.
    void post(std::function<void()>);

    [[nodiscard]] Instant now() const override;
    [[nodiscard]] WallTime wallNow() const override;

    /// The event loop of the h2o library, for use within LibTransport.
    [[nodiscard]] st_h2o_evloop_t* nativeLoop() const;

    /// The receiver of host name lookups, which the HTTP client of the h2o library requires.
    [[nodiscard]] st_h2o_multithread_receiver_t* hostLookupReceiver() const;

private:
    EventLoop();

    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
