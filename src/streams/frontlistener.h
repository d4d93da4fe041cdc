#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "http1/messagereader.h"
#include "memory/memoryaccount.h"
#include "memory/shedorder.h"
#include "streams/socketlistener.h"
#include "streams/socketstream.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

struct event_base;

namespace gooseberrywall {

struct FrontSettings
{
    Address listen;
    MessageLimits limits;
    /// A connection without an open request is closed after this time.
    Duration idleTimeout = std::chrono::seconds{60};
    /// Time from a request's first byte to the end of its headers.
    Duration headerTimeout = std::chrono::seconds{10};
    /// Time from a request's first byte to its last.
    Duration bodyTimeout = std::chrono::seconds{30};
    /// A connection whose caller doesn't acknowledge sent bytes for this long is reset, so that
    /// callers behind a broken network path hold no memory. Callers that don't read acknowledge.
    Duration silenceTimeout = std::chrono::seconds{2};
    /// Requests of one connection that are open at once; further ones stay unread.
    std::size_t pipelineLimit = 16;
    std::size_t connectionLimit = 2000;
    /// Head of the answer to requests that are refused because memory is short.
    MessageHead memoryRefusal = unavailable();
    [[nodiscard]] static auto unavailable() -> MessageHead
    {
        MessageHead head;
        head.status = 503;
        return head;
    }
    auto operator==(const FrontSettings &) const -> bool = default;
};

/// A request that the listener has answered itself, as it couldn't or wouldn't read it whole.
struct UnreadRequest
{
    /// Empty where the head wasn't read as far as that.
    std::string host;
    /// The limits that the request was read with.
    MessageLimits limits;
    /// What was read of the request's head; without headers where it isn't complete.
    MessageHead head = {};
    auto operator==(const UnreadRequest &) const -> bool = default;
};

/// Counts since the listener's start.
struct FrontCounters
{
    std::uint64_t connections = 0;
    std::uint64_t requests = 0;
    std::uint64_t malformed = 0;
    std::uint64_t slowSenders = 0;
    /// Connections whose caller didn't acknowledge its answers.
    std::uint64_t silentCallers = 0;
    std::uint64_t connectionsRefused = 0;
    /// Requests that were refused because memory was short.
    std::uint64_t memoryRefusals = 0;
    /// Connections that were closed to release memory.
    std::uint64_t shedConnections = 0;
    auto operator==(const FrontCounters &) const -> bool = default;
};

/// An HTTP/1.1 server. Accepts pipelined requests: several may be open on one connection, and their
/// answers are sent in the order of the requests. Where memory is short, it refuses requests that
/// haven't arrived whole, and closes connections that make slow progress.
class FrontListener
{
public:
    using OnRequest = std::function<void(ExchangeId exchange, WholeMessage request)>;
    using OnDisconnect = std::function<void(ExchangeId exchange)>;
    /// @param head of the answer that the listener would give
    /// @returns the head of the answer
    using AnswerUnread = std::function<MessageHead(MessageHead head, const UnreadRequest &request)>;

    /// @param now returns the current time
    /// @param onDisconnect called if the connection ends before the answer was sent
    /// @param memory counts what the connections hold; nullptr: memory isn't limited
    /// @param answerUnread decides on the answers that the listener gives itself; without it, they
    ///        are given as they are
    FrontListener(event_base *base, FrontSettings settings, std::function<Instant()> now,
                  OnRequest onRequest, OnDisconnect onDisconnect, MemoryAccount *memory = nullptr,
                  AnswerUnread answerUnread = {});
    ~FrontListener();
    FrontListener(const FrontListener &) = delete;
    auto operator=(const FrontListener &) -> FrontListener & = delete;

    /// @throws std::runtime_error if the address can't be bound
    auto start() -> void;
    /// From now on refuses new connections; open ones continue.
    auto stopAccepting() -> void { this->listener.reset(); }
    auto setLimits(MessageLimits limits, Duration headerTimeout, Duration idleTimeout) -> void;
    /// Sets how long the connection of an open exchange may be idle from now on, in place of the
    /// listener's idle timeout.
    auto setIdleTimeout(ExchangeId exchange, Duration idleTimeout) -> void;
    auto setConnectionLimit(std::size_t limit) -> void { this->settings.connectionLimit = limit; }
    /// Answers an exchange; has no effect if the caller has disconnected.
    auto reply(ExchangeId exchange, const MessageHead &head, std::string_view body) -> void;
    auto reply(ExchangeId exchange, WholeMessage answer) -> void;
    /// Sets the head of the answer to requests that are refused because memory is short.
    auto setMemoryRefusal(MessageHead head) -> void
    {
        this->settings.memoryRefusal = std::move(head);
    }
    /// Closes connections while more memory is held than the budget allows.
    auto shedExcess() -> void;
    /// From now on a connection is closed after the answer to its last open request.
    auto closeAfterReplies() -> void { this->isClosing = true; }
    /// Answers requests of which only a part has arrived, and closes their connections.
    auto refuseIncomplete(const MessageHead &head) -> void;
    /// Closes connections that have no open request and no unread input.
    auto closeIdle() -> void;
    /// Closes connections that exceed a timeout; to be called about twice a second.
    auto sweep() -> void;

    [[nodiscard]] auto connectionCount() const -> std::size_t { return this->connections.size(); }
    /// @returns the bytes of answers that callers haven't taken yet
    [[nodiscard]] auto unsentBytes() const -> std::size_t;
    [[nodiscard]] auto openExchanges() const -> std::size_t { return this->exchanges.size(); }
    [[nodiscard]] auto counters() const -> const FrontCounters & { return this->counts; }

private:
    class Connection;

    /// After room was looked for in vain, it is looked for again after this time.
    static constexpr Duration shedInterval = std::chrono::milliseconds{100};

    auto accept(int descriptor) -> void;
    auto discard(Connection *connection) -> void;
    /// Closes connections that make slow progress as far as the message needs their memory.
    /// @param receiver the connection on which the message arrives; it isn't closed
    /// @returns whether the message may be taken in
    [[nodiscard]] auto hasRoomFor(std::size_t bytes, const Connection *receiver) -> bool;
    /// @param kept isn't closed
    /// @returns whether a connection was closed
    auto shedOne(ShedOrder::Urgency urgency, const Connection *kept) -> bool;

    event_base *base;
    FrontSettings settings;
    std::function<Instant()> now;
    OnRequest onRequest;
    OnDisconnect onDisconnect;
    MemoryAccount *memory;
    AnswerUnread answerUnread;
    std::unique_ptr<SocketListener> listener;
    std::map<Connection *, std::unique_ptr<Connection>> connections;
    std::map<ExchangeId, Connection *> exchanges;
    std::vector<std::unique_ptr<Connection>> discarded;
    EventPointer cleanupEvent;
    std::uint64_t nextExchange = 1;
    bool isClosing = false;
    /// When connections may be closed again to make room.
    Instant shedDue{};
    FrontCounters counts;
};

} // namespace gooseberrywall
