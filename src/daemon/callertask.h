#pragma once

#include "daemon/types/taskmessages.h"
#include "httplistener/httplistener.h"
#include "tasks/eventloop.h"
#include "tasks/mailbox.h"

#include <cstdint>
#include <functional>
#include <random>
#include <thread>

namespace gooseberrywall {

/// Runs the callers' listener: turns their calls into inputs of the core, and the ends of requests
/// into replies.
class CallerTask
{
public:
    using ToCore = std::function<bool(CoreMessage message)>;

    /// @param toCore posts to the core task; returns false if its mailbox is full
    CallerTask(HttpListenerSettings settings, ToCore toCore);
    ~CallerTask();
    CallerTask(const CallerTask &) = delete;
    auto operator=(const CallerTask &) -> CallerTask & = delete;

    /// @throws std::runtime_error if the address can't be bound
    auto start() -> void;
    auto stop() -> void;
    /// Callable from any thread.
    auto post(CallerMessage message) -> void;

private:
    auto onRequest(const ServerRequest &http) -> void;
    auto onMessages() -> void;
    auto handle(const CallerMessage &message) -> void;
    auto reportDrained() -> void;
    auto replyToHealthCheck(const ServerRequest &http) -> bool;
    auto makeRequestId() -> RequestId;

    ToCore toCore;
    EventLoop loop;
    Mailbox<CallerMessage> mailbox;
    HttpListener listener;
    std::mt19937_64 random;
    bool ready = false;
    bool isClosing = false;
    std::thread thread;
};

} // namespace gooseberrywall
