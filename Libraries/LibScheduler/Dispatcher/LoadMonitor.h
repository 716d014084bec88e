#pragma once

#include <LibBase/Clock.h>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Sassafrasshift::Scheduler {

/// Measures how late the event loop of a dispatcher handles what has arrived. The lag of a window is the longest delay of a timer or, up
/// to twice that, the median over the senders of messages of how much longer their fastest message took than usual: messages that wait in
/// sockets wait for longer than timers, a single late sender does not move the median, and a slow network delays no timer. It performs no I/O.
class LoadMonitor {
public:
    struct Options {
        Milliseconds window { 100 };
        /// The lag is sustained if consecutive windows of at least this number and total duration have it.
        size_t sustainedWindows { 3 };
        Milliseconds sustainedTime { 400 };
        /// Below this number of senders in a window, their messages do not count.
        size_t minimumSenders { 4 };
    };

    explicit LoadMonitor(Options);

    /// Records a timer that was due at a time, and ends the window if it is complete.
    void onTick(Instant dueAt, Instant now);
    /// Records how much longer a message was in transit than the fastest recent one of its sender.
    void observeTransit(const std::string& sender, Milliseconds excess);

    /// The lag that each of the last windows had at least. A single pause of the process ends within one window.
    [[nodiscard]] Milliseconds sustainedLag() const;
    /// The lag that each of the last two windows had at least.
    [[nodiscard]] Milliseconds recentLag() const;
    /// The lag of the last complete window.
    [[nodiscard]] Milliseconds lastLag() const { return this->windows.empty() ? Milliseconds(0) : this->windows.back().lag; }

private:
    struct Window {
        Milliseconds duration { 0 };
        Milliseconds lag { 0 };
    };

    [[nodiscard]] Milliseconds transitLag() const;
    /// The smallest lag of the last windows, at least `count` of them and as many as cover the duration; zero if there are too few.
    [[nodiscard]] Milliseconds smallestLag(size_t count, Milliseconds duration) const;

    Options options;
    std::optional<Instant> windowBegin;
    Milliseconds longestDelay { 0 };
    /// The smallest excess by sender, in the current window.
    std::map<std::string, Milliseconds> excessBySender;
    std::deque<Window> windows;
};

}
