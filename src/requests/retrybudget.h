#pragma once

namespace gooseberrywall {

/// Limits retries to a share of recent successes, so that retries can't multiply an overload.
class RetryBudget
{
public:
    /// @param percent retries allowed for each hundred successes
    explicit RetryBudget(int percent);

    auto configure(int percent) -> void;
    auto onSuccess() -> void;

    /// @returns whether a retry is allowed; takes it from the budget
    [[nodiscard]] auto take() -> bool;

private:
    double tokensPerSuccess;
    double tokens;
};

} // namespace gooseberrywall
