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

/// Bounds of an HttpPool.
struct HttpPoolSettings
{
    /// Connections to one address at most.
    std::size_t connectionsPerAddress = 8;
    /// Requests to one address that wait for a connection at most; more end as NotSent.
    std::size_t waitingLimitPerAddress = 1024;
    /// Larger answers end as BadAnswer.
    std::size_t answerLimitBytes = std::size_t{4} * 1024 * 1024;
    /// A connection without a request for this time is not used again but opened anew. Should be
    /// less than the server's own limit: a request that meets the server's closing is lost, and
    /// nobody can tell whether it was read.
    Duration idleTimeout = std::chrono::seconds{20};

    auto operator==(const HttpPoolSettings &) const -> bool = default;
};

/// Sends requests over a bounded number of keep-alive connections to each of many addresses.
/// Lives on one event base and is used from its thread only. Requests are never repeated.
/// Ignores SIGPIPE for the whole process, which a write to a closed connection would raise.
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
    /// @param address where to; names are not resolved
    /// @param timeout from now to the whole answer, including the wait for a connection
    /// @param done called exactly once, never from within send(); not called any more once the
    ///        pool is destroyed, which must not happen from within it
    auto send(const Address &address, HttpRequest request, Duration timeout, Done done) -> void;

    /// @returns how many connections exist, open or to be opened again when needed
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
