#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "http/types/httpmessage.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

struct event;
struct event_base;

namespace gooseberrywall {

/// Limits of an HttpPool.
struct HttpPoolSettings
{
    /// Connections to one address at most.
    std::size_t connectionsPerAddress = 8;
    /// Requests to one address that wait for a connection at most; further ones end as NotSent.
    std::size_t waitingLimitPerAddress = 1024;
    /// Larger answers end as BadAnswer.
    std::size_t answerLimitBytes = std::size_t{4} * 1024 * 1024;
    /// A connection that was idle for this long is reopened before its next use. Should be less
    /// than the server's own idle timeout: a request that is sent while the server closes the
    /// connection is lost, and it is unknown whether the server has read it.
    Duration idleTimeout = std::chrono::seconds{20};

    auto operator==(const HttpPoolSettings &) const -> bool = default;
};

/// Sends HTTP requests over a limited number of keep-alive connections per address. Runs on one
/// event base and is used from its thread only. Requests are never repeated. Ignores SIGPIPE for
/// the whole process, which a write to a closed connection would raise.
class HttpPool
{
public:
    using Done = std::function<void(HttpAnswer)>;

    /// @param base runs the connections; must outlive the pool
    HttpPool(event_base *base, HttpPoolSettings settings);
    ~HttpPool();
    HttpPool(const HttpPool &) = delete;
    HttpPool(HttpPool &&) = delete;
    auto operator=(const HttpPool &) -> HttpPool & = delete;
    auto operator=(HttpPool &&) -> HttpPool & = delete;

    /// Sends a request, at once or as soon as a connection is free.
    /// @param address numeric "ip:port"; names are not resolved
    /// @param timeout time until the complete answer, including the wait for a connection
    /// @param done called exactly once, never from within send(), and not after the pool's
    ///        destruction. The pool must not be destroyed from within it.
    auto send(const Address &address, HttpRequest request, Duration timeout, Done done) -> void;

    /// @returns the number of pooled connections, including closed ones that reopen when needed
    [[nodiscard]] auto connectionCount() const -> std::size_t;

private:
    class AddressPool;

    auto refuse(Done done) -> void;
    auto reportRefused() -> void;
    auto closeIdle() -> void;

    event_base *base;
    HttpPoolSettings settings;
    std::unordered_map<Address, std::unique_ptr<AddressPool>> addressPools;
    std::vector<Done> refused;
    event *refusedEvent;
    event *idleTimer;
};

} // namespace gooseberrywall
