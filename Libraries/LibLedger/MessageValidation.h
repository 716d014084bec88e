#pragma once

#include <LibLedger/Types.h>

namespace Sassafrasshift::Ledger {

/// Whether a message has a form that a correct replica sends: known enumerators, terms and indices in range, entries that follow each
/// other, and memberships that can be decoded. A replica relies on it, and stores what it receives.
[[nodiscard]] bool isWellFormed(const Message&);

}
