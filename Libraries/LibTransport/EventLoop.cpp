#include <LibTransport/EventLoop.h>
#include <LibTransport/H2O.h>
#include <algorithm>
#include <csignal>
#include <map>
#include <utility>
#include <vector>

namespace Sassafrasshift::Transport {

// The longest time for which one poll blocks when no timer is due earlier.
static constexpr Milliseconds maximumPollTime { 1000 };

// A function on its way through the queue of h2o. It is allocated by post() and deleted by onPosted().
struct PostedCall {
    h2o_multithread_message_t message {};
    std::function<void()> function;
};

class TimerImplementation;

// The timeouts of h2o are measured on the wall clock, which may be stepped. Timers are therefore kept here and measured on a
// monotonic clock. One h2o timeout entry, which is due as soon as it is linked, runs the timers that are due and the deferred
// calls.
struct EventLoop::Implementation {
    h2o_loop_t* loop { nullptr };
    h2o_multithread_queue_t* queue { nullptr };
    h2o_multithread_receiver_t postReceiver {};
    h2o_multithread_receiver_t hostLookupReceiver {};
    h2o_timeout_t zeroTimeout {};
    struct WakeUpEntry {
        h2o_timeout_entry_t entry {};
        Implementation* owner { nullptr };
    } wakeUp;
    std::multimap<Instant, TimerImplementation*> timers;
    std::vector<std::function<void()>> deferred;
    SystemClock clock;
    bool stopped { false };

    void scheduleWakeUp();
    void runDueCalls();
    [[nodiscard]] Milliseconds timeUntilNextTimer() const;
};

class TimerImplementation final : public Timer {
public:
    using Timers = std::multimap<Instant, TimerImplementation*>;

    TimerImplementation(Timers& timers, Instant dueTime, std::function<void()> function)
        : timers(timers)
        , position(timers.emplace(dueTime, this))
        , function(std::move(function))
    {
    }

    ~TimerImplementation() override
    {
        if (this->isPending)
            this->timers.erase(this->position);
    }

    // Removes the timer from the queue and returns its function. The function is moved out because it may destroy this timer.
    [[nodiscard]] std::function<void()> expire()
    {
        this->timers.erase(this->position);
        this->isPending = false;
        return std::move(this->function);
    }

private:
    Timers& timers;
    Timers::iterator position;
    std::function<void()> function;
    bool isPending { true };
};

void EventLoop::Implementation::scheduleWakeUp()
{
    if (h2o_timeout_is_linked(&this->wakeUp.entry))
        return;
    h2o_timeout_link(this->loop, &this->zeroTimeout, &this->wakeUp.entry);
    // h2o compares this time with the wall clock. Zero keeps the entry due even if the wall clock is set back.
    this->wakeUp.entry.registered_at = 0;
}

void EventLoop::Implementation::runDueCalls()
{
    auto calls = std::exchange(this->deferred, {});
    for (auto& call : calls)
        call();
    auto now = this->clock.now();
    while (!this->timers.empty() && this->timers.begin()->first <= now) {
        auto function = this->timers.begin()->second->expire();
        function();
    }
    if (!this->deferred.empty())
        this->scheduleWakeUp();
}

Milliseconds EventLoop::Implementation::timeUntilNextTimer() const
{
    if (this->timers.empty())
        return maximumPollTime;
    return std::min(std::chrono::ceil<Milliseconds>(this->timers.begin()->first - this->clock.now()), maximumPollTime);
}

EventLoop::EventLoop()
    : implementation(std::make_unique<Implementation>())
{
}

EventLoop::~EventLoop() = default;

static void onPosted(h2o_multithread_receiver_t*, h2o_linklist_t* messages)
{
    while (!h2o_linklist_is_empty(messages)) {
        auto* message = H2O_STRUCT_FROM_MEMBER(h2o_multithread_message_t, link, messages->next);
        h2o_linklist_unlink(&message->link);
        std::unique_ptr<PostedCall> call(H2O_STRUCT_FROM_MEMBER(PostedCall, message, message));
        call->function();
    }
}

std::unique_ptr<EventLoop> EventLoop::create()
{
    // Without this, writing to a connection that the peer has closed would terminate the process.
    signal(SIGPIPE, SIG_IGN);
    std::unique_ptr<EventLoop> loop(new EventLoop);
    auto& state = *loop->implementation;
    state.loop = h2o_evloop_create();
    h2o_timeout_init(state.loop, &state.zeroTimeout, 0);
    state.wakeUp.owner = &state;
    state.wakeUp.entry.cb = [](h2o_timeout_entry_t* entry) { H2O_STRUCT_FROM_MEMBER(Implementation::WakeUpEntry, entry, entry)->owner->runDueCalls(); };
    state.queue = h2o_multithread_create_queue(state.loop);
    h2o_multithread_register_receiver(state.queue, &state.postReceiver, onPosted);
    h2o_multithread_register_receiver(state.queue, &state.hostLookupReceiver, h2o_hostinfo_getaddr_receiver);
    return loop;
}

void EventLoop::run()
{
    auto& state = *this->implementation;
    state.stopped = false;
    while (!state.stopped) {
        auto wait = state.timeUntilNextTimer();
        if (wait.count() <= 0)
            state.scheduleWakeUp();
        h2o_evloop_run(state.loop, static_cast<int32_t>(std::max<int64_t>(wait.count(), 0)));
    }
}

void EventLoop::stop()
{
    this->implementation->stopped = true;
}

std::unique_ptr<Timer> EventLoop::after(Milliseconds delay, std::function<void()> function)
{
    auto& state = *this->implementation;
    return std::make_unique<TimerImplementation>(state.timers, state.clock.now() + std::max(delay, Milliseconds(0)), std::move(function));
}

void EventLoop::defer(std::function<void()> function)
{
    auto& state = *this->implementation;
    state.deferred.push_back(std::move(function));
    state.scheduleWakeUp();
}

void EventLoop::post(std::function<void()> function)
{
    auto* call = new PostedCall;
    call->function = std::move(function);
    h2o_multithread_send_message(&this->implementation->postReceiver, &call->message);
}

Instant EventLoop::now() const
{
    return this->implementation->clock.now();
}

WallTime EventLoop::wallNow() const
{
    return this->implementation->clock.wallNow();
}

st_h2o_evloop_t* EventLoop::nativeLoop() const
{
    return this->implementation->loop;
}

st_h2o_multithread_receiver_t* EventLoop::hostLookupReceiver() const
{
    return &this->implementation->hostLookupReceiver;
}

}
