#include "dispatch/slotreduction.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

/// Share of the stated slots that is used at least.
constexpr double minShare = 0.1;
/// Share of the stated slots that is added back each second.
constexpr double recoveryPerSecond = 0.1;

} // namespace

auto SlotReduction::onOverload(Instant grantedAt, Instant now) -> void
{
    if (grantedAt < this->reducedAt) {
        return;
    }
    this->share = std::max(minShare, this->shareAt(now) / 2);
    this->reducedAt = now;
}

auto SlotReduction::slotsOf(int stated, Instant now) const -> int
{
    // The tolerance keeps a sum such as 0.7 + 0.3 from ending below the stated number.
    constexpr double tolerance = 1e-6;
    return std::max(1, static_cast<int>(stated * this->shareAt(now) + tolerance));
}

auto SlotReduction::shareAt(Instant now) const -> double
{
    const auto seconds = std::chrono::duration<double>(now - this->reducedAt).count();
    return std::min(1.0, this->share + recoveryPerSecond * std::max(0.0, seconds));
}

} // namespace gooseberrywall
