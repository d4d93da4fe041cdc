#pragma once

#include "daemon/types/taskmessages.h"
#include "platformclient/platformclient.h"
#include "tasks/eventloop.h"
#include "tasks/mailbox.h"
#include "upstreamclient/upstreamclient.h"

#include <functional>
#include <thread>

namespace gooseberrywall {

/// Runs the connections to the platform's service and to the upstreams.
class OutboundTask
{
public:
    using ToCore = std::function<bool(CoreMessage message)>;

    OutboundTask(PlatformClientSettings platformSettings, UpstreamClientSettings upstreamSettings,
                 ToCore toCore);
    ~OutboundTask();
    OutboundTask(const OutboundTask &) = delete;
    auto operator=(const OutboundTask &) -> OutboundTask & = delete;

    auto start() -> void;
    auto stop() -> void;
    /// Callable from any thread.
    /// @returns false if the mailbox is full
    auto post(OutboundMessage message) -> bool;

private:
    auto onMessages() -> void;

    ToCore toCore;
    EventLoop loop;
    Mailbox<OutboundMessage> mailbox;
    PlatformClient platform;
    UpstreamClient upstreams;
    std::thread thread;
};

} // namespace gooseberrywall
