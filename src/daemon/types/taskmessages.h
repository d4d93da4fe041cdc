#pragma once

#include "httplistener/types/servermessages.h"
#include "node/types/nodeinput.h"
#include "protocol/outbox.h"

#include <variant>

namespace gooseberrywall {

/// A request of an operator or a metrics collector; the reply goes to the administration task.
struct AdminArrived
{
    ServerRequest http;
};

/// The process was asked to shut down gracefully.
struct ShutdownRequested
{
};

/// All callers' requests are answered, and all replies are sent.
struct CallersDrained
{
};

/// What the core task receives.
using CoreMessage = std::variant<NodeInput, AdminArrived, ShutdownRequested, CallersDrained>;

/// What the outbound task receives.
using OutboundMessage = std::variant<StoreSend, UpstreamSend>;

/// Tells the caller task to accept no further connections and to post CallersDrained when all
/// requests are answered.
struct StopAccepting
{
};

/// Tells the caller task how to answer the readiness checks of load balancers.
struct ReadinessChanged
{
    bool ready = false;
};

/// What the caller task receives.
using CallerMessage = std::variant<ServerReply, CallerSend, ReadinessChanged, StopAccepting>;

} // namespace gooseberrywall
