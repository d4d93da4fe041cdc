#pragma once

#include "admin/adminhandler.h"
#include "daemon/adminpages.h"
#include "daemon/admintask.h"
#include "daemon/callertask.h"
#include "daemon/outboundtask.h"
#include "daemon/types/taskmessages.h"
#include "logging/logger.h"
#include "node/node.h"
#include "peerlink/peerlink.h"
#include "tasks/mailbox.h"

#include <optional>

namespace gooseberrywall {

/// The tasks that send what the core produces.
struct CorePorts
{
    CallerTask &callers;
    AdminTask &admin;
    OutboundTask &outbound;
    PeerLink &peers;
    Logger &logger;
};

/// Runs the node: passes it time and messages and sends what it produces, until a graceful shutdown
/// has ended.
class CoreTask
{
public:
    /// @param mailbox receives the messages of the other tasks
    /// @param shutdownTimeout a graceful shutdown that takes longer is cut short
    CoreTask(Node &node, AdminPages &pages, AdminHandler<Node> &configurationPages,
             Mailbox<CoreMessage> &mailbox, CorePorts ports, Duration shutdownTimeout);

    /// Runs on the calling thread until the shutdown has ended.
    auto run() -> void;

private:
    auto handle(Instant now, CoreMessage &message) -> void;
    auto answerAdmin(Instant now, const ServerRequest &request) -> void;
    auto beginShutdown(Instant now) -> void;
    auto flush() -> void;
    auto flushStore() -> void;
    auto flushUpstreams() -> void;
    auto reportReadiness() -> void;
    [[nodiscard]] auto isFinished(Instant now) -> bool;

    Node &node;
    AdminPages &pages;
    AdminHandler<Node> &configurationPages;
    Mailbox<CoreMessage> &mailbox;
    CorePorts ports;
    Duration shutdownTimeout;
    std::optional<Instant> shutdownSince;
    bool callersDrained = false;
    bool reportedReady = false;
};

/// @returns the process's monotonic time
[[nodiscard]] auto processTime() -> Instant;

/// @returns milliseconds since the Unix epoch
[[nodiscard]] auto wallClockTime() -> UnixMillis;

} // namespace gooseberrywall
