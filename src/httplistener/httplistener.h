#pragma once

#include "common/types/ids.h"
#include "httplistener/types/servermessages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace gooseberrywall {

class EventLoop;

/// PEM files for TLS by OpenSSL; without a certificate the listener serves plain HTTP.
struct TlsSettings
{
    std::string certificateFile;
    std::string keyFile;
};

struct HttpListenerSettings
{
    Address listen;
    std::size_t bodyLimitBytes = 64 * 1024;
    std::size_t headerLimitBytes = 16 * 1024;
    int connectionLimit = 8192;
    /// Time from the first byte of a request to its last.
    int receiveTimeoutMs = 10'000;
    TlsSettings tls;
};

/// Counts since the listener's start.
struct HttpListenerCounters
{
    std::uint64_t requests = 0;
    std::uint64_t bodyTooLarge = 0;
    std::uint64_t headersTooLarge = 0;
    std::uint64_t malformed = 0;
    std::uint64_t slowSenders = 0;
    std::uint64_t connectionsRefused = 0;
};

/// An HTTP server on the event loop of one task, by libevhtp. Each request becomes an exchange that
/// is answered later by reply(). The limits of the settings bound its memory.
class HttpListener
{
public:
    using OnRequest = std::function<void(ServerRequest request)>;
    using OnDisconnect = std::function<void(ExchangeId exchange)>;

    /// @param firstExchange exchange ids count up from here; the ids of a daemon's listeners must
    /// not
    ///        overlap
    /// @param onDisconnect called if a client closes its connection before the reply
    HttpListener(EventLoop &loop, HttpListenerSettings settings, ExchangeId firstExchange,
                 OnRequest onRequest, OnDisconnect onDisconnect);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    auto operator=(const HttpListener &) -> HttpListener & = delete;

    /// @throws std::runtime_error if the address can't be bound or the certificate can't be loaded;
    ///         the message names the remedy
    auto start() -> void;
    /// Stops accepting connections. Open exchanges continue, and each reply closes its connection.
    auto stopAccepting() -> void;
    /// Sends the reply; has no effect if the client has disconnected.
    auto reply(const ServerReply &reply) -> void;
    /// @returns the number of exchanges that wait for their reply
    [[nodiscard]] auto openExchanges() const -> std::size_t;
    /// @returns whether replies are still in output buffers
    [[nodiscard]] auto hasUnsentOutput() const -> bool;
    [[nodiscard]] auto counters() const -> HttpListenerCounters;

private:
    class Server;
    std::unique_ptr<Server> server;
};

} // namespace gooseberrywall
