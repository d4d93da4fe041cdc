#pragma once

#include "common/types/ids.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <memory>
#include <string>

namespace gooseberrywall {

/// What a ScriptedServer does with each request.
struct Script
{
    /// Sent unchanged as soon as the first bytes of a request arrive.
    std::string answer;
    /// Whether the connection is closed after the answer.
    bool closes = true;
};

/// A server that answers every request with the same bytes.
class ScriptedServer
{
public:
    ScriptedServer(event_base *base, Script script);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer(ScriptedServer &&) = delete;
    auto operator=(const ScriptedServer &) -> ScriptedServer & = delete;
    auto operator=(ScriptedServer &&) -> ScriptedServer & = delete;

    [[nodiscard]] auto address() const -> Address;
    [[nodiscard]] auto accepted() const -> int { return this->acceptedCount; }
    [[nodiscard]] auto requests() const -> int { return this->requestCount; }

private:
    struct Connections;

    event_base *base;
    Script script;
    evconnlistener *listener;
    std::unique_ptr<Connections> connections;
    int acceptedCount = 0;
    int requestCount = 0;
};

} // namespace gooseberrywall
