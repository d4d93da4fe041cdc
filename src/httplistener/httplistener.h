#pragma once

#include "common/types/ids.h"
#include "httplistener/types/servermessages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace gooseberrywall {

class EventLoop;

/// TLS by OpenSSL; without a certificate the listener speaks plain HTTP.
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
    /// From the first byte of a request to its last.
    int receiveTimeoutMs = 10'000;
    TlsSettings tls;
};

/// What a listener has refused by itself since its start.
struct HttpListenerCounters
{
    std::uint64_t requests = 0;
    std::uint64_t bodyTooLarge = 0;
    std::uint64_t headersTooLarge = 0;
    std::uint64_t malformed = 0;
    std::uint64_t slowSenders = 0;
    std::uint64_t connectionsRefused = 0;
};

/// Listens for HTTP by libevhtp on the loop of one task. Each request becomes an exchange that
/// is answered later by reply(); memory is bounded by the limits of the settings.
class HttpListener
{
public:
    using OnRequest = std::function<void(ServerRequest request)>;
    using OnDisconnect = std::function<void(ExchangeId exchange)>;

    /// @param firstExchange exchange ids count from here; listeners of a daemon must not overlap
    /// @param onDisconnect called where a client closed its connection before the reply
    HttpListener(EventLoop &loop, HttpListenerSettings settings, ExchangeId firstExchange,
                 OnRequest onRequest, OnDisconnect onDisconnect);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    auto operator=(const HttpListener &) -> HttpListener & = delete;

    /// @throws std::runtime_error where the address can't be bound; the message names the remedy
    auto start() -> void;
    /// Accepts no further connection; open exchanges go on, and each reply closes its connection.
    auto stopAccepting() -> void;
    /// Sends the reply; without effect where the client is gone.
    auto reply(const ServerReply &reply) -> void;
    /// @returns exchanges that wait for their reply
    [[nodiscard]] auto openExchanges() const -> std::size_t;
    /// @returns whether replies still wait in output buffers
    [[nodiscard]] auto hasUnsentOutput() const -> bool;
    [[nodiscard]] auto counters() const -> HttpListenerCounters;

private:
    class Server;
    std::unique_ptr<Server> server;
};

} // namespace gooseberrywall
