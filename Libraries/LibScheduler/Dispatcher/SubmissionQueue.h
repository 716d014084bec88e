#pragma once

#include <LibScheduler/Types.h>
#include <deque>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Submissions that have arrived and are handled after all other messages, a limited number at a time, so that renewals, answers of targets
/// and gossip do not wait for them. Their time in the queue counts as time in transit. It performs no I/O.
class SubmissionQueue {
public:
    struct Options {
        /// How many submissions are handled before other messages are read again.
        size_t batch { 32 };
        size_t maximumSubmissions { 4000 };
        size_t maximumPayloadBytes { size_t { 8 } * 1024 * 1024 };
    };

    struct Waiting {
        std::string from;
        Submission submission;
        /// Whether it came as a request that another dispatcher has relayed.
        bool isRelayed { false };
    };

    explicit SubmissionQueue(Options);

    /// Adds a submission. Returns those that have to be handled at once, since the queue is full.
    [[nodiscard]] std::vector<Waiting> push(Waiting);
    /// Removes what an entry host has cancelled: its cancellation has overtaken the submission.
    void cancel(const std::string& entry, const std::string& job);
    /// Takes the next batch.
    [[nodiscard]] std::vector<Waiting> take();
    [[nodiscard]] bool isEmpty() const { return this->waiting.empty(); }

private:
    [[nodiscard]] Waiting takeFirst();

    Options options;
    std::deque<Waiting> waiting;
    size_t payloadBytes { 0 };
};

}
