#pragma once

namespace Sassafrasshift {

/// Called with the condition that did not hold, and its place. It must not return.
using VerificationHandler = void (*)(const char* condition, const char* file, int line);

/// Replaces the handler, which ends the process; tests that break something on purpose set one that throws.
void setVerificationHandler(VerificationHandler);

[[noreturn]] void failVerification(const char* condition, const char* file, int line);

}

/// Ends the process where an invariant does not hold; used only for what cannot happen in a correct program.
#define VERIFY(condition)                                                       \
    do {                                                                        \
        if (!(condition))                                                       \
            ::Sassafrasshift::failVerification(#condition, __FILE__, __LINE__); \
    } while (false)
