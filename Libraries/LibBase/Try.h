#pragma once

#include <LibBase/Error.h>
#include <LibBase/Verify.h>

/// Evaluates an expression of type ErrorOr and yields its value. On failure, returns the error from the enclosing function.
#define TRY(expression)                                                \
    ({                                                                 \
        auto temporaryResult = (expression);                           \
        if (!temporaryResult.has_value())                              \
            return tl::unexpected(std::move(temporaryResult).error()); \
        std::move(temporaryResult).value();                            \
    })

/// Like TRY, for an expression whose success carries no value.
#define TRY_VOID(expression)                                           \
    do {                                                               \
        auto temporaryResult = (expression);                           \
        if (!temporaryResult.has_value())                              \
            return tl::unexpected(std::move(temporaryResult).error()); \
    } while (false)
