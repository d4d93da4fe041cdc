#pragma once

#include "http1/messagereader.h"
#include "memory/memoryaccount.h"
#include "streams/socketstream.h"
#include "streams/types/outboundmessages.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

struct event_base;

namespace gooseberrywall {

struct OutboundPoolSettings
{
    /// A request whose connection takes longer to establish ends as NotSent.
    Duration connectTimeout = std::chrono::milliseconds{250};
    /// Connections that were idle for this long aren't used again. Should be less than the idle
    /// timeout of the upstreams.
    Duration idleTimeout = std::chrono::seconds{9};
    /// Idle connections kept per address at most.
    std::size_t idlePerAddress = 8;
    /// Header in which answers repeat the id of their request; if empty, ids aren't compared.
    std::string echoHeader;
    /// Otherwise a connection is used again only after an answer of status 2xx.
    bool reusesAfterErrors = true;
    MessageLimits limits;
    auto operator==(const OutboundPoolSettings &) const -> bool = default;
};

/// Sends HTTP requests over keep-alive connections, one request at a time on each. Where ids are
/// compared, an answer counts only if it has the request's id, or if it has none and the request is
/// the first one on its connection; others are skipped. A connection is used again only if the
/// answer was complete, had an id where ids are compared, and was followed by no further bytes.
/// Requests are never repeated.
class OutboundPool
{
public:
    using Done = std::function<void(OutboundResult)>;

    /// @param base runs the connections; must outlive the pool
    /// @param now returns the current time
    /// @param memory counts what the connections hold; large answers end as BadAnswer while it
    ///        can't be relieved, or while they take more than their share of the budget together.
    ///        nullptr: nothing is counted
    OutboundPool(event_base *base, OutboundPoolSettings settings, std::function<Instant()> now,
                 MemoryAccount *memory = nullptr);
    ~OutboundPool();
    OutboundPool(const OutboundPool &) = delete;
    auto operator=(const OutboundPool &) -> OutboundPool & = delete;

    /// @param done called once, never from within send(), and not after abort()
    auto send(OutboundRequest request, Done done) -> OutboundId;
    /// Resets the request's connection, which discards bytes in transit. Has no effect if the
    /// request has ended.
    auto abort(OutboundId id) -> void;
    /// @returns when bytes of the request's answer last arrived; empty before the first ones, and
    ///          where the request has ended
    [[nodiscard]] auto lastArrivalAt(OutboundId id) const -> std::optional<Instant>;
    /// @returns whether bytes of an answer that isn't complete have arrived in the last `time`
    [[nodiscard]] auto isArriving(Duration time) const -> bool;

    /// @returns how many answers were given up since they took too much memory together
    [[nodiscard]] auto givenUpCount() const -> std::uint64_t { return this->givenUpAnswers; }
    /// @returns the number of connections opened since the start
    [[nodiscard]] auto openedCount() const -> std::uint64_t { return this->openedConnections; }

private:
    class Connection;

    auto takeIdle(const Address &address) -> Connection *;
    auto discard(Connection *connection) -> void;
    auto keep(Connection *connection) -> void;
    auto discardStale() -> void;
    /// @returns the most bytes that large answers may take while they arrive
    [[nodiscard]] auto arrivingLimit() const -> std::size_t;
    /// Gives up answers that arrive while they take more than that: those without an announced
    /// length first, the largest of them before others. A faulty upstream's answers must not take
    /// the memory of other callers' requests.
    auto boundArriving() -> void;

    event_base *base;
    OutboundPoolSettings settings;
    std::function<Instant()> now;
    MemoryAccount *memory;
    std::unordered_map<Connection *, std::unique_ptr<Connection>> connections;
    std::unordered_map<Address, std::vector<Connection *>> idle;
    std::unordered_map<std::uint64_t, Connection *> busy;
    std::vector<std::unique_ptr<Connection>> discarded;
    EventPointer cleanupEvent;
    std::uint64_t nextId = 1;
    std::uint64_t openedConnections = 0;
    std::uint64_t givenUpAnswers = 0;
    /// Bytes of large answers that arrive.
    std::size_t arrivingBytes = 0;
    Instant sweptAt{};
};

} // namespace gooseberrywall
