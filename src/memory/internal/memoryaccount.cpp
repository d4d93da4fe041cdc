#include "memory/memoryaccount.h"

#include <utility>

namespace gooseberrywall {

namespace {

/// Share of the VM's memory for held bytes. With 112 MB, a request of 64 MiB still fits beside the
/// reserved part.
constexpr double heldShare = 0.65;
/// Share of the budget that is reserved for small messages.
constexpr double reservedShare = 0.05;

} // namespace

auto MemoryBudget::ofVm(std::size_t vmBytes) -> MemoryBudget
{
    const auto total = heldShare * static_cast<double>(vmBytes);
    return MemoryBudget{static_cast<std::size_t>(total),
                        static_cast<std::size_t>(reservedShare * total)};
}

MemoryAccount::MemoryAccount(MemoryBudget budget)
    : limits(budget)
{
}

MemoryAccount::Charge::Charge(Charge &&other) noexcept
    : account(other.account)
    , chargedBytes(std::exchange(other.chargedBytes, 0))
{
}

auto MemoryAccount::Charge::operator=(Charge &&other) noexcept -> Charge &
{
    if (this != &other) {
        this->set(0);
        this->account = other.account;
        this->chargedBytes = std::exchange(other.chargedBytes, 0);
    }
    return *this;
}

auto MemoryAccount::Charge::set(std::size_t bytes) -> void
{
    if (this->account != nullptr) {
        this->account->held += bytes;
        this->account->held -= this->chargedBytes;
        this->chargedBytes = bytes;
    }
}

auto MemoryAccount::relieve() -> bool
{
    // Closing a connection ends requests, which may ask for relief in turn.
    if (this->isOver() && this->release && !std::exchange(this->isRelieving, true)) {
        this->release();
        this->isRelieving = false;
    }
    return !this->isOver();
}

auto MemoryAccount::hasRoomFor(std::size_t bytes) const -> bool
{
    return this->missingFor(bytes) == 0;
}

auto MemoryAccount::canEverHold(std::size_t bytes) const -> bool
{
    return bytes <= this->usableFor(bytes);
}

auto MemoryAccount::usableFor(std::size_t bytes) const -> std::size_t
{
    const auto isLarge = bytes > smallMessageBytes;
    return this->limits.totalBytes - (isLarge ? this->limits.reservedBytes : 0);
}

auto MemoryAccount::missingFor(std::size_t bytes) const -> std::size_t
{
    const auto usable = this->usableFor(bytes);
    const auto needed = this->held + bytes;
    return needed > usable ? needed - usable : 0;
}

} // namespace gooseberrywall
