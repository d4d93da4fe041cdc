#pragma once

#include "common/types/reason.h"
#include "protocol/types/peermessages.h"
#include "protocol/types/request.h"
#include "protocol/types/storemessages.h"
#include "protocol/types/upstreammessages.h"

#include <string>
#include <vector>

namespace gooseberrywall {

/// A message for another daemon. Delivery is at most once, unordered and unacknowledged.
struct PeerSend
{
    DaemonId to;
    PeerMessage message;
};

/// A call to the store; its answer comes back with the same id, StoreStatus::Ambiguous on timeout.
struct StoreSend
{
    CallId call;
    StoreRequest request;
    Duration timeout{0};
};

/// A call to an upstream; its answer or UpstreamFailure comes back with the same id.
struct UpstreamSend
{
    CallId call;
    UpstreamId upstream;
    Address address;
    UpstreamRequest request;
    Duration timeout{0};
};

/// How the request of a caller's exchange ended; sent to the caller as the reply.
struct CallerSend
{
    ExchangeId exchange;
    RequestEnd end;
};

/// Collects the messages, calls and log lines that one step of the core produces. The owner of the
/// core sends them and then clears the outbox.
class Outbox
{
public:
    auto toPeer(DaemonId to, PeerMessage message) -> void;
    /// @returns the id that the answer will carry
    auto toStore(StoreRequest request, Duration timeout) -> CallId;
    /// @returns the id that the answer will carry
    auto toUpstream(UpstreamId upstream, Address address, UpstreamRequest request, Duration timeout)
        -> CallId;
    auto toCaller(ExchangeId exchange, RequestEnd end) -> void;
    /// @param line the text of a LogLine
    auto log(std::string line) -> void;

    std::vector<PeerSend> peerSends;
    std::vector<StoreSend> storeSends;
    std::vector<UpstreamSend> upstreamSends;
    std::vector<CallerSend> callerSends;
    std::vector<std::string> logLines;

    /// Empties the lists; call ids go on counting.
    auto clear() -> void;

private:
    CallId lastCall;
};

} // namespace gooseberrywall
