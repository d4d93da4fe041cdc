#include "forwarding/forwardclient.h"

#include "forwarding/forwardcodec.h"

#include <string>
#include <utility>

namespace gooseberrywall {

namespace {

/// The forwarder ends requests itself when their time is over; this bounds those whose end doesn't
/// arrive.
constexpr Duration endSlack = std::chrono::milliseconds{500};
/// Less than the forwarder's idle timeout: a request on a connection that the forwarder closes has
/// an unknown outcome.
constexpr Duration idleTimeout = std::chrono::seconds{6};

auto poolSettings() -> OutboundPoolSettings
{
    OutboundPoolSettings result;
    result.connectTimeout = std::chrono::milliseconds{250};
    result.idleTimeout = idleTimeout;
    result.echoHeader = forwardIdHeader;
    // Room for a whole answer of an upstream in the body.
    const MessageLimits inner;
    result.limits.bodyBytes = inner.bodyBytes + 2 * inner.headBytes;
    return result;
}

/// @returns the end of a hop; an answer that cannot be read says nothing about the upstream
auto answerOf(const OutboundResult &result, const std::string &hopId, bool isHead) -> ForwardAnswer
{
    switch (result.end) {
    case OutboundResult::End::Answered:
        return decodeForwardAnswer(result.answer, hopId, isHead).value_or(ForwardAnswer{});
    case OutboundResult::End::NotSent:
        return ForwardAnswer{OutboundResult::End::NotSent};
    case OutboundResult::End::NoAnswer:
    case OutboundResult::End::BadAnswer:
        break;
    }
    return ForwardAnswer{};
}

} // namespace

ForwardClient::ForwardClient(event_base *base, const std::function<Instant()> &now,
                             MemoryAccount *memory)
    : pool(base, poolSettings(), now, memory)
{
}

auto ForwardClient::send(const Address &forwarder, const ForwardRequest &request, Done done)
    -> OutboundId
{
    const auto hopId = std::to_string(this->nextHopId++);
    OutboundRequest outbound;
    outbound.address = forwarder;
    outbound.text = forwardRequestText(request, forwarder, hopId);
    outbound.body = request.body;
    outbound.timeout = request.remaining + endSlack;
    outbound.echoedId = hopId;
    return this->pool.send(
        std::move(outbound),
        [hopId, isHead = request.isHead, done = std::move(done)](const OutboundResult &result) {
            done(answerOf(result, hopId, isHead));
        });
}

} // namespace gooseberrywall
