#pragma once

namespace gooseberrywall {

/// Limits retries to a share of recent successes, so that retries can't multiply an overload.
class RetryBudget
{
public:
    /// @param percent retries allowed per hundred successes
    explicit RetryBudget(int percent);

    auto configure(int percent) -> void;
    auto onSuccess() -> void;

    /// Takes one retry from the budget.
    /// @returns whether the retry is allowed
    [[nodiscard]] auto take() -> bool;

private:
    double tokensPerSuccess;
    double tokens;
};

} // namespace gooseberrywall
