#pragma once

#include <LibBase/Error.h>
#include <LibBase/Verify.h>

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
