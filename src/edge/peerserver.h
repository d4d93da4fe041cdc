#pragma once

#include "logging/logger.h"
#include "streams/frontlistener.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

struct event_base;

namespace gooseberrywall {

/// Serves one path to other daemons.
struct PeerHandler
{
    /// Answers with PeerServer::reply(), at once or later.
    FrontListener::OnRequest onRequest;
    /// Called if the connection ends before the answer was sent.
    FrontListener::OnDisconnect onDisconnect;
    /// A connection is closed that was idle for this long after a request for this path.
    Duration idleTimeout = std::chrono::seconds{2};
    /// Returns headers of the answer to a request for this path that wasn't read whole; may be
    /// empty.
    std::function<std::vector<HttpHeader>(const MessageHead &request)> unreadHeaders = {};
};

/// The HTTP server on the address at which this daemon's peers reach it; each path has one handler.
class PeerServer
{
public:
    /// @param now reads the clock
    /// @param memory counts what the connections hold; nullptr: memory isn't limited
    PeerServer(event_base *base, const Address &listen, const std::function<Instant()> &now,
               Logger &logger, MemoryAccount *memory = nullptr);

    /// Registers the handler of a path; requests for other paths are answered with 404.
    auto serve(const std::string &path, PeerHandler handler) -> void;
    /// Starts to listen. An address that can't be bound is logged; the daemon works without.
    auto start() -> void;
    /// Answers an exchange; has no effect if the peer has disconnected.
    auto reply(ExchangeId exchange, const MessageHead &head, std::string_view body) -> void;
    /// From now on a connection is closed after the answer to its last open request.
    auto closeAfterReplies() -> void { this->listener.closeAfterReplies(); }
    /// Closes connections that exceed a timeout; to be called about twice a second.
    auto sweep() -> void { this->listener.sweep(); }

    /// Closes connections while more memory is held than the budget allows.
    auto shedExcess() -> void { this->listener.shedExcess(); }

    [[nodiscard]] auto counters() const -> const FrontCounters &
    {
        return this->listener.counters();
    }
    [[nodiscard]] auto connectionCount() const -> std::size_t
    {
        return this->listener.connectionCount();
    }
    /// @returns the bytes of answers that peers haven't taken yet
    [[nodiscard]] auto unsentBytes() const -> std::size_t { return this->listener.unsentBytes(); }

private:
    auto onRequest(ExchangeId exchange, WholeMessage request) -> void;
    auto onDisconnect(ExchangeId exchange) -> void;
    /// @param head of the answer that the listener would give
    [[nodiscard]] auto answerUnread(MessageHead head, const MessageHead &request) const
        -> MessageHead;

    Logger &logger;
    std::map<std::string, PeerHandler> handlers;
    /// The paths of open exchanges.
    std::map<ExchangeId, std::string> open;
    FrontListener listener;
};

} // namespace gooseberrywall
