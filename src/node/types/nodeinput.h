#pragma once

#include "callerapi/callerwire.h"
#include "common/types/ids.h"
#include "protocol/types/peermessages.h"
#include "protocol/types/storemessages.h"
#include "protocol/types/upstreammessages.h"

#include <variant>

namespace gooseberrywall {

/// A caller's request has arrived whole.
struct RequestReceived
{
    ExchangeId exchange;
    RunCall call;
};

/// A caller asks how an earlier request ended.
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

/// Another daemon's message has arrived.
struct PeerMessageReceived
{
    DaemonId from;
    PeerMessage message;
};

struct StoreAnswered
{
    CallId call;
    StoreAnswer answer;
};

struct UpstreamAnswered
{
    CallId call;
    UpstreamAnswer answer;
};

using NodeInput = std::variant<RequestReceived, OutcomeQueryReceived, CallerDisconnected,
                               PeerMessageReceived, StoreAnswered, UpstreamAnswered>;

} // namespace gooseberrywall
