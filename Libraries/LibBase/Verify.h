#pragma once

namespace Sassafrasshift {

/// Called with the text and the source location of a condition that did not hold. It must not return.
using VerificationHandler = void (*)(const char* condition, const char* file, int line);

/// Replaces the default handler, which aborts the process. Tests that break an invariant on purpose set one that throws.
void setVerificationHandler(VerificationHandler);

/// Calls the handler. Aborts the process if the handler returns nevertheless.
[[noreturn]] void failVerification(const char* condition, const char* file, int line);

}

/// Checks an invariant and calls the verification handler if it does not hold. Use it only for conditions that cannot be
/// false in a correct program, not for faulty input or failures of the environment.
#define VERIFY(condition)                                                       \
    do {                                                                        \
        if (!(condition))                                                       \
            ::Sassafrasshift::failVerification(#condition, __FILE__, __LINE__); \
    } while (false)
