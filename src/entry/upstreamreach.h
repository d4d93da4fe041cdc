#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "dispatch/types/permits.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gooseberrywall {

struct UpstreamReachSettings
{
    /// Attempts without an answer for this long, with no answer of another upstream meanwhile, put
    /// the VM's links in doubt.
    Duration silence = std::chrono::milliseconds{250};
    /// Upstreams that have to fail, with no answer of another one since, until the links are in
    /// doubt; fewer where the VM uses fewer.
    std::size_t failedUpstreams = 2;
    /// Upstreams that are probed at once.
    std::size_t probesAtOnce = 3;
    /// Shortest time between two probes.
    Duration probeInterval = std::chrono::milliseconds{300};
    /// An upstream that wasn't used for this long isn't probed any more.
    Duration retention = std::chrono::seconds{30};
    auto operator==(const UpstreamReachSettings &) const -> bool = default;
};

/// Finds out whether this VM has lost its links to all upstreams. Attempts that fail or hang raise
/// the doubt; connections to several upstreams decide, as an upstream that is slow or lost looks
/// the same to a single attempt. Does no I/O; the time is passed in.
class UpstreamReach
{
public:
    explicit UpstreamReach(UpstreamReachSettings settings);

    /// Counts a request or an order that this daemon sends to an upstream itself.
    auto onSent(const Address &upstream, Instant now) -> void;
    /// Takes in how it ended.
    /// @param sentAt as passed to onSent()
    auto onEnd(const Address &upstream, AttemptEnd end, Instant sentAt, Instant now) -> void;
    /// Takes in how a probe ended.
    /// @param isOpen the connection was established
    auto onProbeEnd(bool isOpen, Instant now) -> void;
    /// Starts the probes that are due.
    auto advance(Instant now) -> void;

    /// @returns whether no upstream is reached: the last probes have all failed
    [[nodiscard]] auto isIsolated() const -> bool { return this->isolated; }
    /// @returns how many times the links have been lost
    [[nodiscard]] auto isolationCount() const -> std::uint64_t { return this->isolations; }
    /// @returns the upstreams to connect to since the last call
    [[nodiscard]] auto takeProbes() -> std::vector<Address>;
    /// @returns when to call advance() next; empty where nothing is open and no link in doubt
    [[nodiscard]] auto nextDue() const -> std::optional<Instant>;

private:
    struct Known
    {
        Instant usedAt{};
        /// When its open attempts were sent.
        std::multiset<Instant> openSince;
        /// Its last attempt failed, and no other upstream has answered since.
        bool hasFailed = false;
    };

    /// An upstream has answered.
    auto onContact(Instant now) -> void;
    [[nodiscard]] auto isDoubtful(const Known &known, Instant now) const -> bool;
    /// @returns whether so many doubtful upstreams put the links in doubt
    [[nodiscard]] auto areEnough(std::size_t doubtful) const -> bool;
    [[nodiscard]] auto areLinksInDoubt(Instant now) const -> bool;
    auto startProbes(Instant now) -> void;
    auto forgetUnused(Instant now) -> void;

    UpstreamReachSettings settings;
    std::map<Address, Known> upstreams;
    Instant contactAt{};
    bool isolated = false;
    std::uint64_t isolations = 0;
    std::vector<Address> probes;
    std::size_t openProbes = 0;
    Instant probeDue{};
    /// The last upstream that was probed: the next ones in order follow.
    Address lastProbed;
};

} // namespace gooseberrywall
