#pragma once

#include <algorithm>

namespace Sassafrasshift::Dispatch {

/// Allows retries as a share of the successes, so that retries cannot multiply an overload.
class RetryBudget {
public:
    /// Each success adds the share of one retry, up to a bound.
    void addSuccess(double share) { this->balance = std::min(this->balance + share, maximumBalance); }

    /// Takes one retry from the budget, or returns false where it has none.
    [[nodiscard]] bool take()
    {
        if (this->balance < 1)
            return false;
        this->balance -= 1;
        return true;
    }

private:
    static constexpr double maximumBalance = 100;
    static constexpr double initialBalance = 10;

    double balance { initialBalance };
};

}
