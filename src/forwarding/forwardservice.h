#pragma once

#include "entry/upstreamstatements.h"
#include "forwarding/stallwatch.h"
#include "forwarding/types/forwardmessages.h"
#include "streams/outboundpool.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywall {

struct ForwardSettings
{
    /// Requests forwarded at once; further ones are refused.
    std::size_t forwardLimit = 24;
    auto operator==(const ForwardSettings &) const -> bool = default;
};

/// Counts since the start.
struct ForwardCounters
{
    /// Requests that were sent to an upstream.
    std::uint64_t sent = 0;
    std::uint64_t refused = 0;
    std::uint64_t malformed = 0;
    /// Requests whose entry daemon left before their answer.
    std::uint64_t abandoned = 0;
    auto operator==(const ForwardCounters &) const -> bool = default;
};

/// The forwarder's side of a hop: sends the requests of other daemons to upstreams, each once at
/// most, and passes on the answers. Never sends a request to another daemon, and never repeats one.
class ForwardService
{
public:
    /// Answers a request of a daemon.
    using Reply =
        std::function<void(ExchangeId exchange, const MessageHead &head, std::string_view body)>;
    using ReadStatement =
        std::function<AnswerStatement(const MessageHead &answer, bool isRepeatable)>;

    /// @param upstreams sends to upstreams; must outlive the service
    /// @param statements what upstreams have stated to this daemon; binds the service, which adds
    ///        what the answers state
    /// @param readStatement reads what an upstream's answer states
    /// @param now reads a clock that goes on while the VM is suspended
    /// @param onWork called after each end of an attempt
    ForwardService(ForwardSettings settings, OutboundPool &upstreams,
                   UpstreamStatements &statements, ReadStatement readStatement,
                   std::function<Instant()> now, Reply reply, std::function<void()> onWork);
    ~ForwardService();
    ForwardService(const ForwardService &) = delete;
    auto operator=(const ForwardService &) -> ForwardService & = delete;

    /// Takes a request for the path forwardPath.
    auto onRequest(ExchangeId exchange, WholeMessage message) -> void;
    /// Aborts an attempt whose entry daemon's connection has ended.
    auto onDisconnect(ExchangeId exchange) -> void;
    /// Takes in that the process waits for events, until `due` at the latest: requests that it
    /// reads much later may have waited in its sockets, so their time may be over.
    auto onWait(Instant moment, Instant due) -> void { this->stalls.onWait(moment, due); }
    /// From now on refuses new requests; those in progress continue.
    auto refuseNew() -> void { this->isStopping = true; }

    /// @returns the number of requests in progress
    [[nodiscard]] auto openCount() const -> std::size_t { return this->attempts.size(); }
    [[nodiscard]] auto counters() const -> const ForwardCounters & { return this->counts; }

private:
    struct Attempt
    {
        OutboundId outbound;
        std::string hopId;
        bool isRepeatable = false;
        /// Without what is known only at its end.
        AttemptStatement statement;
    };

    /// @returns the answer to a request that isn't to be sent; empty where it is
    [[nodiscard]] auto refusalOf(const ForwardRequest &request, Instant moment)
        -> std::optional<ForwardAnswer>;
    auto send(ExchangeId exchange, std::string hopId, ForwardRequest request, Instant moment)
        -> void;
    auto onAttemptEnd(ExchangeId exchange, OutboundResult result) -> void;
    auto replyWith(ExchangeId exchange, const ForwardAnswer &answer, const std::string &hopId)
        -> void;

    ForwardSettings settings;
    OutboundPool &upstreams;
    UpstreamStatements &statements;
    ReadStatement readStatement;
    std::function<Instant()> now;
    Reply reply;
    std::function<void()> onWork;
    StallWatch stalls;
    std::map<ExchangeId, Attempt> attempts;
    bool isStopping = false;
    ForwardCounters counts;
};

} // namespace gooseberrywall
