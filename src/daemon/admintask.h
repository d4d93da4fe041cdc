#pragma once

#include "daemon/types/taskmessages.h"
#include "httplistener/httplistener.h"
#include "tasks/eventloop.h"
#include "tasks/mailbox.h"

#include <functional>
#include <thread>

namespace gooseberrywall {

/// Runs the administration listener: passes its requests to the core and sends the core's replies.
class AdminTask
{
public:
    using ToCore = std::function<bool(CoreMessage message)>;

    /// @param toCore posts to the core task; returns false if its mailbox is full
    AdminTask(HttpListenerSettings settings, ToCore toCore);
    ~AdminTask();
    AdminTask(const AdminTask &) = delete;
    auto operator=(const AdminTask &) -> AdminTask & = delete;

    /// @throws std::runtime_error if the address can't be bound
    auto start() -> void;
    auto stop() -> void;
    /// Callable from any thread.
    auto post(ServerReply reply) -> void;

private:
    ToCore toCore;
    EventLoop loop;
    Mailbox<ServerReply> mailbox;
    HttpListener listener;
    std::thread thread;
};

} // namespace gooseberrywall
