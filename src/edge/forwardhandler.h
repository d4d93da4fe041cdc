#pragma once

#include "edge/peerserver.h"
#include "edge/wireadapter.h"
#include "forwarding/forwardcodec.h"
#include "forwarding/forwardservice.h"

#include <utility>

namespace gooseberrywall {

/// Serves requests to forward to other daemons.
/// @param service must outlive the server's exchanges
inline auto serveForwarding(PeerServer &server, ForwardService &service) -> void
{
    // Longer than ForwardClient uses idle connections: a request on a connection that is being
    // closed has an unknown outcome.
    constexpr Duration idleTimeout = std::chrono::seconds{9};
    server.serve(forwardPath,
                 PeerHandler{[&service](ExchangeId exchange, WholeMessage request) {
                                 service.onRequest(exchange, std::move(request));
                             },
                             [&service](ExchangeId exchange) { service.onDisconnect(exchange); },
                             idleTimeout, unreadHeaders});
}

/// @returns what the answer of a forwarded request states to the forwarder
template<WireAdapter Wire>
[[nodiscard]] auto answerStatement(const Wire &wire, const MessageHead &answer, bool isRepeatable)
    -> AnswerStatement
{
    const auto fields = wire.answerFields(answer, isRepeatable);
    const auto isAnswered = fields.end == AttemptEnd::Answered || fields.end == AttemptEnd::Failed
                            || fields.end == AttemptEnd::NotRun;
    return AnswerStatement{isAnswered, fields.isLeaving, fields.pause};
}

} // namespace gooseberrywall
