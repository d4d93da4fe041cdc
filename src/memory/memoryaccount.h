#pragma once

#include "memory/types/memorybudget.h"

#include <cstddef>
#include <functional>
#include <utility>

namespace gooseberrywall {

/// Counts the bytes that a process holds for its callers and upstreams against a budget: partly
/// received requests, requests that wait or are at an upstream, and answers on their way back.
class MemoryAccount
{
public:
    /// Messages of more bytes than this are large: they don't get the reserved part of the budget.
    static constexpr std::size_t smallMessageBytes = std::size_t{64} * 1024;

    explicit MemoryAccount(MemoryBudget budget);
    MemoryAccount(const MemoryAccount &) = delete;
    auto operator=(const MemoryAccount &) -> MemoryAccount & = delete;

    /// The bytes of one holder, counted until it is destroyed.
    class Charge
    {
    public:
        /// @param account nullptr where nothing is counted
        explicit Charge(MemoryAccount *account = nullptr)
            : account(account)
        {
        }
        ~Charge() { this->set(0); }
        Charge(Charge &&other) noexcept;
        auto operator=(Charge &&other) noexcept -> Charge &;
        Charge(const Charge &) = delete;
        auto operator=(const Charge &) -> Charge & = delete;

        /// Replaces the number of bytes that the holder has.
        auto set(std::size_t bytes) -> void;
        [[nodiscard]] auto bytes() const -> std::size_t { return this->chargedBytes; }

    private:
        MemoryAccount *account;
        std::size_t chargedBytes = 0;
    };

    /// Sets what releases memory where more is held than the budget allows.
    auto setRelief(std::function<void()> release) -> void { this->release = std::move(release); }
    /// Releases memory where more is held than the budget allows.
    /// @returns whether that was enough
    auto relieve() -> bool;
    /// @returns whether a message of this size may be taken in besides what is held
    [[nodiscard]] auto hasRoomFor(std::size_t bytes) const -> bool;
    /// @returns whether a message of this size could be taken in if nothing else were held
    [[nodiscard]] auto canEverHold(std::size_t bytes) const -> bool;
    /// @returns how many bytes have to be released before hasRoomFor() allows the message; zero
    ///          where it does
    [[nodiscard]] auto missingFor(std::size_t bytes) const -> std::size_t;
    /// @returns whether more is held than the budget allows
    [[nodiscard]] auto isOver() const -> bool { return this->held > this->limits.totalBytes; }
    [[nodiscard]] auto heldBytes() const -> std::size_t { return this->held; }
    [[nodiscard]] auto budget() const -> const MemoryBudget & { return this->limits; }

private:
    /// @returns what messages of this size may use of the budget
    [[nodiscard]] auto usableFor(std::size_t bytes) const -> std::size_t;

    MemoryBudget limits;
    std::size_t held = 0;
    std::function<void()> release;
    bool isRelieving = false;
};

} // namespace gooseberrywall
