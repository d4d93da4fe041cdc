#pragma once

#include "membership/membership.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace gooseberrywall {

/// How the links between the daemons of a MembershipCell treat messages.
struct LinkFaults
{
    Duration delay = std::chrono::microseconds{1500};
    /// Upper limit of a random addition to the delay of each message; reorders messages.
    Duration jitter{0};
    int lossPercent = 0;
    int duplicatePercent = 0;
    /// If set, messages for which it returns true are lost.
    std::function<bool(const DaemonId &from, const DaemonId &to)> cut;
};

/// Messages that one daemon sent and received.
struct Traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Simulates the daemons of one cell and the links between them in virtual time.
class MembershipCell
{
public:
    /// @param size daemons, spread over `domains` failure domains in turn
    /// @param seedCount number of daemons, counted from the first, that each daemon has as seeds
    MembershipCell(int size, int domains, int seedCount, std::uint64_t randomSeed);

    auto run(Duration time) -> void;
    /// Runs until the condition holds.
    /// @returns the elapsed time, or `limit` if the condition never held
    auto runUntil(Duration limit, const std::function<bool()> &condition) -> Duration;

    auto kill(int index) -> void { this->nodes.at(index).dead = true; }
    auto pause(int index, Duration time) -> void;
    auto restart(int index) -> void;
    auto leave(int index) -> void;

    [[nodiscard]] auto size() const -> int { return static_cast<int>(this->nodes.size()); }
    [[nodiscard]] auto at(int index) -> Membership & { return *this->nodes.at(index).membership; }
    [[nodiscard]] auto isDead(int index) const -> bool { return this->nodes.at(index).dead; }
    [[nodiscard]] auto state(int observer, int subject) -> std::optional<MemberState>;
    /// @returns whether every running daemon sees each running one as alive and each killed one as
    ///          removed
    [[nodiscard]] auto agrees() -> bool;
    /// @returns how often a daemon's view changed a daemon that isn't killed to removed
    [[nodiscard]] auto falseRemovals() const -> int { return this->falseRemovalCount; }
    auto resetCounters() -> void;
    [[nodiscard]] auto trafficOf(int index) const -> Traffic { return this->nodes[index].traffic; }

    static auto idOf(int index) -> DaemonId;
    static auto indexOf(const DaemonId &id) -> int { return std::stoi(id.value.substr(1)); }
    [[nodiscard]] auto domainOf(int index) const -> int { return index % this->domains; }

    LinkFaults faults;
    Instant now{std::chrono::seconds{1000}};

private:
    struct Node
    {
        std::unique_ptr<Membership> membership;
        bool dead = false;
        Instant pausedUntil{};
        std::uint64_t lastVersion = 0;
        std::map<DaemonId, MemberState> lastStates;
        Traffic traffic;
    };
    struct Delivery
    {
        int from = 0;
        int to = 0;
        PeerMessage message;
    };

    auto identityOf(int index, std::uint64_t incarnation) const -> DaemonIdentity;
    auto start(int index, std::uint64_t incarnation) -> void;
    auto step() -> void;
    auto deliver(const Delivery &delivery) -> void;
    auto flush(int from) -> void;
    auto countRemovals(Node &node) -> void;
    auto chance(int percent) -> bool;

    int domains;
    int seedCount;
    std::mt19937_64 random;
    std::vector<Node> nodes;
    std::multimap<Instant, Delivery> inFlight;
    Outbox out;
    int falseRemovalCount = 0;
};

} // namespace gooseberrywall
