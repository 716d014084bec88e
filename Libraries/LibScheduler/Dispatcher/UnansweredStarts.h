#pragma once

#include <LibScheduler/Types.h>
#include <map>

namespace Sassafrasshift::Scheduler {

/// The start orders with large payloads that were not answered yet, each of which holds a copy of the payload of its job. Their number is
/// limited by the bytes that these copies hold.
class UnansweredStarts {
public:
    /// Orders with payloads up to this size are not counted.
    static constexpr size_t smallPayloadBytes = 4096;

    explicit UnansweredStarts(size_t maximumPayloadBytes)
        : maximumPayloadBytes(maximumPayloadBytes)
    {
    }

    /// Whether another order with a payload of that size may be sent. One may always be, whatever its size.
    [[nodiscard]] bool admits(size_t payloadBytes) const
    {
        return payloadBytes <= smallPayloadBytes || this->payloads.empty() || this->payloadBytes + payloadBytes <= this->maximumPayloadBytes;
    }

    void add(const RunId& run, size_t bytes)
    {
        if (bytes > smallPayloadBytes && this->payloads.emplace(run, bytes).second)
            this->payloadBytes += bytes;
    }

    /// Called with each answer, also one that says that there is none.
    void remove(const RunId& run)
    {
        if (this->payloads.empty())
            return;
        auto position = this->payloads.find(run);
        if (position == this->payloads.end())
            return;
        this->payloadBytes -= position->second;
        this->payloads.erase(position);
    }

    void clear()
    {
        this->payloads.clear();
        this->payloadBytes = 0;
    }

private:
    size_t maximumPayloadBytes;
    std::map<RunId, size_t> payloads;
    size_t payloadBytes { 0 };
};

}
