#pragma once

#include <algorithm>

namespace Sassafrasshift::Dispatch {

/// Token bucket that limits retries to a share of the successful requests, so that retries cannot amplify an overload.
class RetryBudget {
public:
    /// Adds `share` of one retry to the budget for a successful request, up to `maximumBalance`.
    void addSuccess(double share) { this->balance = std::min(this->balance + share, maximumBalance); }

    /// Takes one retry from the budget. Returns false if less than one is left.
    [[nodiscard]] bool take()
    {
        if (this->balance < 1)
            return false;
        this->balance -= 1;
        return true;
    }

private:
    // All balances are numbers of retries.
    static constexpr double maximumBalance = 100;
    static constexpr double initialBalance = 10;

    double balance { initialBalance };
};

}
