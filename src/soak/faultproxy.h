#pragma once

#include "http/clocktimer.h"
#include "streams/socketlistener.h"
#include "streams/socketstream.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace gooseberrywall {

/// A TCP proxy on loopback that injects faults into its connections.
class FaultProxy
{
public:
    enum class Mode : std::uint8_t {
        Pass,
        /// Bytes are delivered after a fixed delay.
        Delay,
        /// Bytes to the target are delivered, bytes from it are not.
        OneWay,
        /// No bytes are delivered and connections stay open; they are reset when the mode ends.
        Silent,
        /// What the target sends is delivered twice, the second time behind the next request.
        Twice,
        /// Only the first part of what the target sends is delivered, then the connection ends.
        CutOff,
        /// What the target sends is followed by more bytes than any answer has.
        Endless,
    };
    static constexpr std::size_t linkModes = 4;
    static constexpr std::size_t allModes = 7;

    /// How a client of the proxy is cut off from the target.
    enum class Cut : std::uint8_t {
        None,
        /// No bytes are delivered; connections stay open, and are reset when the cut ends.
        Hang,
        /// Connections are reset, and new ones too.
        Reset,
        /// New connections are reset, others aren't harmed.
        RefuseNew,
    };
    static constexpr std::size_t allCuts = 4;

    /// Tells the clients of an accepted connection apart.
    using ClientOf = std::function<int(int descriptor)>;
    static constexpr int unknownClient = -1;

    /// @param clientOf if empty, no client can be cut off
    FaultProxy(event_base *base, Address target, ClientOf clientOf = {});
    ~FaultProxy() = default;
    FaultProxy(const FaultProxy &) = delete;
    auto operator=(const FaultProxy &) -> FaultProxy & = delete;

    [[nodiscard]] auto address() const -> const Address & { return this->listen; }
    auto setMode(Mode mode) -> void;
    /// Cuts off one client, and no other.
    auto setCut(int client, Cut cut) -> void;
    /// Resets all connections.
    auto reset() -> void;

private:
    struct Pair
    {
        std::unique_ptr<SocketStream> acceptedStream;
        std::unique_ptr<SocketStream> targetStream;
        int client = unknownClient;
        bool isEnded = false;
        /// Mode Twice: what the target sent last.
        std::string copy;
    };
    struct DelayedBytes
    {
        Instant at;
        std::weak_ptr<Pair> pair;
        bool isTowardsTarget = false;
        std::string bytes;
    };

    auto accept(int descriptor) -> void;
    /// Reads from the pair's connections or not, as the mode and the cuts say.
    auto updateReading(const Pair &pair) -> void;
    auto resetPairs(const std::function<bool(const Pair &)> &isAffected) -> void;
    [[nodiscard]] auto cutOf(int client) const -> Cut;
    auto forward(const std::shared_ptr<Pair> &pair, bool isTowardsTarget) -> void;
    /// Passes on what the target sends, as the modes Twice, CutOff and Endless say.
    auto corrupt(const std::shared_ptr<Pair> &pair, const std::string &bytes) -> void;
    auto end(const std::shared_ptr<Pair> &pair) -> void;
    auto sendDelayed() -> void;

    event_base *base;
    Address target;
    ClientOf clientOf;
    Address listen;
    Mode mode = Mode::Pass;
    std::map<int, Cut> cuts;
    SocketListener listener;
    std::list<std::shared_ptr<Pair>> pairs;
    std::deque<DelayedBytes> delayed;
    ClockTimer timer;
};

} // namespace gooseberrywall
