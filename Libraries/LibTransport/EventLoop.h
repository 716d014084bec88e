#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Error.h>
#include <functional>
#include <memory>

struct st_h2o_evloop_t;
struct st_h2o_multithread_receiver_t;

namespace Sassafrasshift::Transport {

/// A pending call of a function after a delay. Destroying it cancels the call.
class Timer {
public:
    virtual ~Timer() = default;
};

/// The event loop of one thread. Everything that is registered with it runs in that thread.
///
/// All input and output is started from a callback of the loop: the loop polls before it looks at what was started
/// between two polls, so that such work would wait for a whole poll.
class EventLoop final : public Clock {
public:
    [[nodiscard]] static std::unique_ptr<EventLoop> create();
    ~EventLoop() override;
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Runs until stop() is called.
    void run();
    void stop();

    /// Calls a function once after a delay. The time of day has no influence on it; a time in which the machine was
    /// suspended counts.
    [[nodiscard]] std::unique_ptr<Timer> after(Milliseconds, std::function<void()>);

    /// Calls a function in the loop's thread as soon as the present callback has returned.
    void defer(std::function<void()>);

    /// Calls a function in the loop's thread; may be called from any thread.
    void post(std::function<void()>);

    [[nodiscard]] Instant now() const override;
    [[nodiscard]] WallTime wallNow() const override;

    /// The loop of the underlying library, for the classes of this library.
    [[nodiscard]] st_h2o_evloop_t* nativeLoop() const;

    /// The receiver that the underlying library's connection pool needs.
    [[nodiscard]] st_h2o_multithread_receiver_t* hostLookupReceiver() const;

private:
    EventLoop();

    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
