#include <LibScheduler/Dispatcher/LoadMonitor.h>
#include <algorithm>
#include <vector>

namespace Sassafrasshift::Scheduler {

// The senders are members of the cluster; further ones in a window are not needed for the median.
static constexpr size_t maximumSenders = 1000;
// A message that arrives at the beginning of an iteration of the event loop waits for that one and most of the next one.
static constexpr int maximumTransitRatio = 2;
static constexpr size_t maximumWindows = 16;

LoadMonitor::LoadMonitor(Options options)
    : options(options)
{
}

void LoadMonitor::onTick(Instant dueAt, Instant now)
{
    this->longestDelay = std::max(this->longestDelay, std::chrono::duration_cast<Milliseconds>(now - dueAt));
    if (!this->windowBegin)
        this->windowBegin = dueAt;
    if (now - *this->windowBegin < this->options.window)
        return;
    // A network that delays all messages does not delay the timers.
    auto lag = std::max(this->longestDelay, std::min(this->transitLag(), this->longestDelay * maximumTransitRatio));
    this->windows.push_back(Window { std::chrono::duration_cast<Milliseconds>(now - *this->windowBegin), lag });
    if (this->windows.size() > maximumWindows)
        this->windows.pop_front();
    this->windowBegin = now;
    this->longestDelay = Milliseconds(0);
    this->excessBySender.clear();
}

void LoadMonitor::observeTransit(const std::string& sender, Milliseconds excess)
{
    auto position = this->excessBySender.find(sender);
    if (position != this->excessBySender.end())
        position->second = std::min(position->second, excess);
    else if (this->excessBySender.size() < maximumSenders)
        this->excessBySender.emplace(sender, excess);
}

Milliseconds LoadMonitor::transitLag() const
{
    if (this->excessBySender.size() < this->options.minimumSenders)
        return Milliseconds(0);
    std::vector<Milliseconds> excesses;
    for (const auto& [sender, excess] : this->excessBySender)
        excesses.push_back(excess);
    auto median = excesses.begin() + static_cast<std::ptrdiff_t>(excesses.size() / 2);
    std::nth_element(excesses.begin(), median, excesses.end());
    return *median;
}

Milliseconds LoadMonitor::smallestLag(size_t count, Milliseconds duration) const
{
    auto smallest = Milliseconds::max();
    for (auto window = this->windows.rbegin(); window != this->windows.rend(); ++window) {
        smallest = std::min(smallest, window->lag);
        duration -= window->duration;
        count -= std::min<size_t>(count, 1);
        if (count == 0 && duration <= Milliseconds(0))
            return smallest;
    }
    return Milliseconds(0);
}

Milliseconds LoadMonitor::sustainedLag() const
{
    return this->smallestLag(this->options.sustainedWindows, this->options.sustainedTime);
}

Milliseconds LoadMonitor::recentLag() const
{
    return this->smallestLag(2, Milliseconds(0));
}

}
