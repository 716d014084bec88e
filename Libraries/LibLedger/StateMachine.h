#pragma once

#include <LibLedger/Types.h>
#include <string>

namespace Sassafrasshift::Ledger {

/// What the replicated log drives. Equal commands in equal order must give equal content on every replica.
class StateMachine {
public:
    virtual ~StateMachine() = default;

    /// Applies a command and returns its encoded result for whoever proposed it.
    virtual std::string apply(Index, const std::string& command) = 0;

    [[nodiscard]] virtual std::string save() const = 0;
    virtual void restore(const std::string& state) = 0;
};

}
