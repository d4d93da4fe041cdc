#pragma once

#include "forwarding/types/forwardmessages.h"
#include "http1/messagereader.h"

#include <stdexcept>
#include <string>

namespace gooseberrywall {

/// libevent's timers use a clock that advances in steps (CLOCK_MONOTONIC_COARSE), so they may fire
/// this much early.
constexpr Duration timerStep = std::chrono::milliseconds{10};

/// @returns a request without a body for an upstream
inline auto sampleRequest(const Address &upstream, const std::string &id = "r1") -> ForwardRequest
{
    ForwardRequest request;
    request.address = upstream;
    request.upstream = UpstreamId{"u1"};
    request.incarnation = Incarnation{7};
    request.remaining = std::chrono::seconds{2};
    request.echoedId = id;
    request.text = "GET /" + id + " HTTP/1.1\r\nHost: h\r\n\r\n";
    return request;
}

/// @returns the message that the text has
inline auto wholeMessage(MessageReader::Kind kind, const std::string &text) -> WholeMessage
{
    MessageReader reader(kind, MessageLimits{});
    std::size_t taken = 0;
    if (reader.read(text, taken) != MessageReader::Step::Whole && !reader.endOfInput()) {
        throw std::runtime_error("not a whole message");
    }
    return reader.take();
}

} // namespace gooseberrywall
