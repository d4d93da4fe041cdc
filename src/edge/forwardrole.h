#pragma once

#include "edge/forwardhandler.h"

#include <functional>
#include <utility>

namespace gooseberrywall {

/// This daemon's role as a forwarder: sends the requests of daemons that have lost their links to
/// upstreams, and answers them through the peers' server.
template<WireAdapter Wire>
class ForwardRole
{
public:
    /// @param upstreams sends to upstreams
    /// @param statements what upstreams have stated to this daemon
    /// @param now reads a clock that goes on while the VM is suspended
    /// @param onWork called after each end of an attempt
    ForwardRole(const Wire &wire, PeerServer &server, OutboundPool &upstreams,
                UpstreamStatements &statements, const std::function<Instant()> &now,
                std::function<void()> onWork)
        : service(
            ForwardSettings{}, upstreams, statements,
            [&wire](const MessageHead &answer, bool isRepeatable) {
                return answerStatement(wire, answer, isRepeatable);
            },
            now,
            [&server](ExchangeId exchange, const MessageHead &head, std::string_view body) {
                server.reply(exchange, head, body);
            },
            std::move(onWork))
    {
        serveForwarding(server, this->service);
    }

    /// As in ForwardService.
    auto onWait(Instant moment, Instant due) -> void { this->service.onWait(moment, due); }
    /// From now on refuses new requests; those in progress continue.
    auto refuseNew() -> void { this->service.refuseNew(); }
    /// @returns the number of requests in progress
    [[nodiscard]] auto openCount() const -> std::size_t { return this->service.openCount(); }
    /// @returns how many requests were sent to upstreams for other daemons
    [[nodiscard]] auto sentCount() const -> std::uint64_t { return this->service.counters().sent; }

private:
    ForwardService service;
};

} // namespace gooseberrywall
