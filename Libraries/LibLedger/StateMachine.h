#pragma once

#include <LibLedger/Types.h>
#include <string>

namespace Sassafrasshift::Ledger {

/// A deterministic state machine driven by the replicated log: the same commands in the same order must produce the same
/// state on every replica.
class StateMachine {
public:
    virtual ~StateMachine() = default;

    /// Applies a committed command and returns the encoded result, which is delivered to the proposer.
    virtual std::string apply(Index, const std::string& command) = 0;

    /// Returns the encoded state for a snapshot.
    [[nodiscard]] virtual std::string save() const = 0;
    /// Whether a text can have been returned by save().
    [[nodiscard]] virtual bool canRestore(const std::string& state) const = 0;
    /// Replaces the state by one that save() returned.
    virtual void restore(const std::string& state) = 0;
};

}
