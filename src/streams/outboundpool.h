#pragma once

#include "http1/messagereader.h"
#include "streams/socketstream.h"
#include "streams/types/outboundmessages.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

struct event_base;

namespace gooseberrywall {

struct OutboundPoolSettings
{
    /// A connection that isn't made by then counts as not to be had.
    Duration connectTimeout = std::chrono::milliseconds{250};
    /// Connections that were idle for longer aren't used again; less than upstreams' own limit.
    Duration idleTimeout = std::chrono::seconds{9};
    /// Idle connections kept for one address.
    std::size_t idlePerAddress = 8;
    /// Header by which answers name their request; empty: answers aren't matched.
    std::string echoHeader;
    MessageLimits limits;
    auto operator==(const OutboundPoolSettings &) const -> bool = default;
};

/// Sends HTTP requests over kept connections, one at a time on each. A connection is kept only
/// after a whole answer that belongs to its request and with nothing behind it. Requests are never
/// repeated.
class OutboundPool
{
public:
    using Done = std::function<void(OutboundResult)>;

    /// @param base runs the connections; must outlive the pool
    /// @param now reads the clock
    OutboundPool(event_base *base, OutboundPoolSettings settings, std::function<Instant()> now);
    ~OutboundPool();
    OutboundPool(const OutboundPool &) = delete;
    auto operator=(const OutboundPool &) -> OutboundPool & = delete;

    /// @param done called once, never from within send(), and not after abort()
    auto send(OutboundRequest request, Done done) -> OutboundId;
    /// Resets the request's connection; its bytes on the way are lost.
    auto abort(OutboundId id) -> void;

    /// @returns connections opened since the start
    [[nodiscard]] auto openedCount() const -> std::uint64_t { return this->openedConnections; }

private:
    class Connection;

    auto takeIdle(const Address &address) -> Connection *;
    auto discard(Connection *connection) -> void;
    auto keep(Connection *connection) -> void;
    auto discardStale() -> void;

    event_base *base;
    OutboundPoolSettings settings;
    std::function<Instant()> now;
    std::unordered_map<Connection *, std::unique_ptr<Connection>> connections;
    std::unordered_map<Address, std::vector<Connection *>> idle;
    std::unordered_map<std::uint64_t, Connection *> busy;
    std::vector<std::unique_ptr<Connection>> discarded;
    EventPointer cleanupEvent;
    std::uint64_t nextId = 1;
    std::uint64_t openedConnections = 0;
    Instant sweptAt{};
};

} // namespace gooseberrywall
