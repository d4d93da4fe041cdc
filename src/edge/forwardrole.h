#pragma once

#include "edge/peerserver.h"
#include "edge/wireadapter.h"
#include "forwarding/forwardcodec.h"
#include "forwarding/forwardservice.h"

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
    ForwardRole(event_base *base, const Wire &wire, PeerServer &server, OutboundPool &upstreams,
                UpstreamStatements &statements, const std::function<Instant()> &now,
                std::function<void()> onWork)
        : service(
            base, ForwardSettings{}, upstreams, statements,
            [&wire](const MessageHead &answer, bool isRepeatable) {
                return statementOf(wire.answerFields(answer, isRepeatable));
            },
            now,
            [&server](ExchangeId exchange, const MessageHead &head, std::string_view body) {
                server.reply(exchange, head, body);
            },
            std::move(onWork))
    {
        server.serve(
            forwardPath,
            PeerHandler{[this](ExchangeId exchange, WholeMessage message) {
                            this->service.onRequest(exchange, std::move(message));
                        },
                        [this](ExchangeId exchange) { this->service.onDisconnect(exchange); },
                        idleTimeout});
    }

    /// From now on refuses new requests; those in progress continue.
    auto refuseNew() -> void { this->service.refuseNew(); }
    /// @returns the number of requests in progress
    [[nodiscard]] auto openCount() const -> std::size_t { return this->service.openCount(); }
    /// @returns how many requests were sent to upstreams for other daemons
    [[nodiscard]] auto sentCount() const -> std::uint64_t { return this->service.counters().sent; }

private:
    /// Entry daemons that are cut off send many requests, so their connections stay open.
    static constexpr Duration idleTimeout = std::chrono::seconds{12};

    [[nodiscard]] static auto statementOf(const AnswerFields &fields) -> AnswerStatement
    {
        const auto isAnswered = fields.end == AttemptEnd::Answered
                                || fields.end == AttemptEnd::Failed
                                || fields.end == AttemptEnd::NotRun;
        return AnswerStatement{isAnswered, fields.isLeaving, fields.pause};
    }

    ForwardService service;
};

} // namespace gooseberrywall
