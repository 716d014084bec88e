#pragma once

#include <LibBase/Error.h>
#include <cstdlib>
#include <iostream>

/// Evaluates an expression that returns an ErrorOr and hands a failure on to the caller.
#define TRY(expression)                                                \
    ({                                                                 \
        auto temporaryResult = (expression);                           \
        if (!temporaryResult.has_value())                              \
            return tl::unexpected(std::move(temporaryResult).error()); \
        std::move(temporaryResult).value();                            \
    })

/// As TRY, for an expression whose success carries no value.
#define TRY_VOID(expression)                                           \
    do {                                                               \
        auto temporaryResult = (expression);                           \
        if (!temporaryResult.has_value())                              \
            return tl::unexpected(std::move(temporaryResult).error()); \
    } while (false)

/// Ends the process where an invariant does not hold; used only for what cannot happen in a correct program.
#define VERIFY(condition)                                                                                 \
    do {                                                                                                  \
        if (!(condition)) {                                                                               \
            std::cerr << "VERIFY failed: " #condition " at " << __FILE__ << ":" << __LINE__ << std::endl; \
            std::abort();                                                                                 \
        }                                                                                                 \
    } while (false)
