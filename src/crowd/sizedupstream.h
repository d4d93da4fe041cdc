#pragma once

#include "streams/frontlistener.h"

#include <cstddef>
#include <functional>
#include <string>

struct event_base;

namespace gooseberrywall {

/// Stand-in for an upstream that takes bodies of any size, doesn't keep them, and answers with 200
/// at once. Answers to targets that begin with the prefix for large answers have a large body.
class SizedUpstream
{
public:
    struct Settings
    {
        std::string id;
        std::string service;
        Address listen;
        int slots = 16;
        std::string largeAnswerPrefix;
        std::size_t largeAnswerBytes = 0;
        auto operator==(const Settings &) const -> bool = default;
    };

    /// @param now the time of the test
    SizedUpstream(event_base *base, Settings settings, const std::function<Instant()> &now);

    auto start() -> void { this->listener.start(); }
    /// From now on refuses new connections; open ones continue.
    auto stopAccepting() -> void { this->listener.stopAccepting(); }
    /// @returns the JSON with which the upstream registers in the store
    [[nodiscard]] auto entry() const -> std::string;
    [[nodiscard]] auto storeKey() const -> std::string { return "servers/" + this->settings.id; }
    /// @returns the body of the answer to a small request
    /// @param receivedBytes the length of the request's body
    [[nodiscard]] static auto answerText(std::size_t receivedBytes) -> std::string;

private:
    auto onRequest(ExchangeId exchange, const WholeMessage &request) -> void;

    Settings settings;
    FrontListener listener;
};

} // namespace gooseberrywall
