#include <LibTransport/EventLoop.h>
#include <LibTransport/H2O.h>
#include <bit>
#include <csignal>
#include <map>
#include <mutex>
#include <vector>

namespace Sassafrasshift::Transport {

static constexpr int32_t maximumPollMilliseconds = 1000;

struct PostedCall {
    h2o_multithread_message_t message {};
    std::function<void()> function;
};

struct EventLoop::Implementation {
    h2o_loop_t* loop { nullptr };
    h2o_multithread_queue_t* queue { nullptr };
    h2o_multithread_receiver_t postReceiver {};
    h2o_multithread_receiver_t addressReceiver {};
    std::map<uint64_t, std::unique_ptr<h2o_timeout_t>> timeouts;
    SystemClock clock;
    bool stopped { false };

    h2o_timeout_t* timeoutFor(uint64_t milliseconds);
};

struct TimerEntry {
    h2o_timeout_entry_t entry {};
    std::function<void()> function;
};

class TimerImplementation final : public Timer {
public:
    explicit TimerImplementation(std::function<void()> function)
    {
        this->state.function = std::move(function);
        this->state.entry.cb = [](h2o_timeout_entry_t* entry) {
            auto* state = H2O_STRUCT_FROM_MEMBER(TimerEntry, entry, entry);
            // The function may destroy this timer, so it is moved out before it is called.
            auto function = std::move(state->function);
            function();
        };
    }

    ~TimerImplementation() override
    {
        if (h2o_timeout_is_linked(&this->state.entry))
            h2o_timeout_unlink(&this->state.entry);
    }

    TimerEntry state;
};

// The library keeps a list for each distinct delay; rounding bounds the number of lists.
static uint64_t roundDelay(uint64_t milliseconds)
{
    if (milliseconds < 16)
        return milliseconds;
    uint64_t step = std::bit_floor(milliseconds) / 8;
    return (milliseconds + step - 1) / step * step;
}

h2o_timeout_t* EventLoop::Implementation::timeoutFor(uint64_t milliseconds)
{
    auto& slot = this->timeouts[roundDelay(milliseconds)];
    if (!slot) {
        slot = std::make_unique<h2o_timeout_t>();
        h2o_timeout_init(this->loop, slot.get(), roundDelay(milliseconds));
    }
    return slot.get();
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
    // A peer that closes its connection must not end the process.
    signal(SIGPIPE, SIG_IGN);
    std::unique_ptr<EventLoop> loop(new EventLoop);
    auto& state = *loop->implementation;
    state.loop = h2o_evloop_create();
    state.queue = h2o_multithread_create_queue(state.loop);
    h2o_multithread_register_receiver(state.queue, &state.postReceiver, onPosted);
    h2o_multithread_register_receiver(state.queue, &state.addressReceiver, h2o_hostinfo_getaddr_receiver);
    return loop;
}

void EventLoop::run()
{
    this->implementation->stopped = false;
    while (!this->implementation->stopped)
        h2o_evloop_run(this->implementation->loop, maximumPollMilliseconds);
}

void EventLoop::stop()
{
    this->implementation->stopped = true;
}

std::unique_ptr<Timer> EventLoop::after(Milliseconds delay, std::function<void()> function)
{
    auto timer = std::make_unique<TimerImplementation>(std::move(function));
    auto milliseconds = static_cast<uint64_t>(std::max<int64_t>(delay.count(), 0));
    h2o_timeout_link(this->implementation->loop, this->implementation->timeoutFor(milliseconds), &timer->state.entry);
    return timer;
}

void EventLoop::defer(std::function<void()> function)
{
    auto* timer = new TimerImplementation({});
    timer->state.function = [timer, function = std::move(function)]() {
        std::unique_ptr<TimerImplementation> owner(timer);
        function();
    };
    h2o_timeout_link(this->implementation->loop, this->implementation->timeoutFor(0), &timer->state.entry);
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

st_h2o_evloop_t* EventLoop::native() const
{
    return this->implementation->loop;
}

st_h2o_multithread_receiver_t* EventLoop::addressReceiver() const
{
    return &this->implementation->addressReceiver;
}

}
