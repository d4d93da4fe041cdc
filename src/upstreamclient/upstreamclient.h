#pragma once

#include "common/types/ids.h"
#include "http/httppool.h"
#include "protocol/outbox.h"
#include "protocol/types/upstreammessages.h"

#include <functional>

struct event_base;

namespace gooseberrywall {

/// Bounds of an UpstreamClient. Each kind of call has connections of its own, so that none waits
/// behind another kind.
struct UpstreamClientSettings
{
    /// Connections per upstream for runs; should be the upstream's slots and its own queue.
    std::size_t runConnections = 8;
    /// Connections per upstream for orders; more than one, since a revocation holds its own until
    /// the shard's runs have ended.
    std::size_t grantConnections = 4;
    std::size_t cancelConnections = 2;
    std::size_t probeConnections = 1;
    /// Runs per upstream that wait for a connection; more end as NotSent.
    std::size_t waitingRunsLimit = 64;
    /// Larger answers end as BadAnswer.
    std::size_t answerLimitBytes = std::size_t{4} * 1024 * 1024;

    auto operator==(const UpstreamClientSettings &) const -> bool = default;
};

/// Makes calls to upstreams. Lives on one event base and is used from its thread only. Nothing is
/// ever sent twice.
///
/// - UpstreamFailure::NotSent: no connection, or none free in time; nothing was sent.
/// - UpstreamFailure::NoAnswer: timeout, or the connection broke before an answer began.
/// - UpstreamFailure::BadAnswer: cut short, too large, malformed, or of another attempt.
class UpstreamClient
{
public:
    using Done = std::function<void(CallId, UpstreamAnswer)>;

    /// @param base runs the connections; must outlive the client
    /// @param done receives each answer, exactly once a call and never from within send()
    UpstreamClient(event_base *base, UpstreamClientSettings settings, Done done);

    /// Starts a call.
    auto send(const UpstreamSend &call) -> void;

    /// @returns how many connections exist to all upstreams
    [[nodiscard]] auto connectionCount() const -> std::size_t;

private:
    auto poolOf(const UpstreamRequest &request) -> HttpPool &;

    Done done;
    HttpPool runs;
    HttpPool grants;
    HttpPool cancels;
    HttpPool probes;
};

} // namespace gooseberrywall
