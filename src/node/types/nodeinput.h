#pragma once

#include "callerapi/callerwire.h"
#include "common/types/ids.h"
#include "protocol/types/peermessages.h"
#include "protocol/types/storemessages.h"
#include "protocol/types/upstreammessages.h"

#include <variant>

namespace gooseberrywall {

/// A caller's request was received completely.
struct RequestReceived
{
    ExchangeId exchange;
    RunCall call;
};

/// A caller queried the outcome of an earlier request.
struct OutcomeQueryReceived
{
    ExchangeId exchange;
    OutcomeCall call;
};

/// A caller closed its connection before the reply.
struct CallerDisconnected
{
    ExchangeId exchange;
};

/// A message of another daemon was received.
struct PeerMessageReceived
{
    DaemonId from;
    PeerMessage message;
};

/// A call to the store has ended.
struct StoreAnswered
{
    CallId call;
    StoreAnswer answer;
};

/// A call to an upstream has ended.
struct UpstreamAnswered
{
    CallId call;
    UpstreamAnswer answer;
};

using NodeInput = std::variant<RequestReceived, OutcomeQueryReceived, CallerDisconnected,
                               PeerMessageReceived, StoreAnswered, UpstreamAnswered>;

} // namespace gooseberrywall
