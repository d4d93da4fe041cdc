#pragma once

#include "http/clocktimer.h"
#include "http1/messagereader.h"
#include "streams/socketstream.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gooseberrywall::review {

/// A client that sends one request on a connection of its own and takes the answer at a limited
/// rate, as over a slow link.
class SlowReader
{
public:
    struct Result
    {
        /// Empty where the connection ended without a complete answer.
        std::optional<WholeMessage> answer;
        std::size_t receivedBytes = 0;
    };

    /// @param bytesPerSecond the rate at which the answer is taken
    /// @param done called once
    SlowReader(event_base *base, const Address &daemon, const std::string &request,
               std::size_t bytesPerSecond, std::function<void(const Result &)> done);

private:
    auto onInput() -> void;
    auto end(Result result) -> void;

    std::size_t bytesPerSecond;
    std::function<void(const Result &)> done;
    MessageReader reader;
    std::size_t receivedBytes = 0;
    bool isEnded = false;
    ClockTimer timer;
    std::unique_ptr<SocketStream> stream;
};

} // namespace gooseberrywall::review
