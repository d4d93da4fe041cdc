#include "requests/retrybudget.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

constexpr double initialTokens = 3.0;
constexpr double maximalTokens = 20.0;
constexpr double percentBase = 100.0;

} // namespace

RetryBudget::RetryBudget(int percent)
    : tokensPerSuccess(percent / percentBase)
    , tokens(initialTokens)
{
}

auto RetryBudget::configure(int percent) -> void
{
    this->tokensPerSuccess = percent / percentBase;
}

auto RetryBudget::onSuccess() -> void
{
    this->tokens = std::min(maximalTokens, this->tokens + this->tokensPerSuccess);
}

auto RetryBudget::take() -> bool
{
    if (this->tokens < 1.0) {
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

} // namespace gooseberrywall
