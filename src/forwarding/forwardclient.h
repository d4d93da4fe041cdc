#pragma once

#include "forwarding/types/forwardmessages.h"
#include "streams/outboundpool.h"

#include <cstdint>
#include <functional>

struct event_base;

namespace gooseberrywall {

/// The entry daemon's side of a hop: has requests sent to upstreams by another daemon. A request is
/// never repeated.
class ForwardClient
{
public:
    using Done = std::function<void(ForwardAnswer)>;

    /// @param base runs the connections; must outlive the client
    /// @param now returns the current time
    /// @param memory counts what the connections hold; nullptr: nothing is counted
    ForwardClient(event_base *base, const std::function<Instant()> &now,
                  MemoryAccount *memory = nullptr);

    /// @param forwarder the address at which the forwarder serves its peers
    /// @param done called once, never from within send(), and not after abort(). NotSent only where
    ///        it is certain that the forwarder never sends the request.
    auto send(const Address &forwarder, const ForwardRequest &request, Done done) -> OutboundId;
    /// Ends the request; the forwarder then resets its connection to the upstream. Has no effect if
    /// the request has ended.
    auto abort(OutboundId id) -> void { this->pool.abort(id); }

    /// @returns the number of connections opened since the start
    [[nodiscard]] auto openedCount() const -> std::uint64_t { return this->pool.openedCount(); }
    [[nodiscard]] auto givenUpCount() const -> std::uint64_t { return this->pool.givenUpCount(); }

private:
    OutboundPool pool;
    std::uint64_t nextHopId = 1;
};

} // namespace gooseberrywall
