#pragma once

#include "common/types/ids.h"
#include "http/httppool.h"
#include "protocol/outbox.h"
#include "protocol/types/upstreammessages.h"

#include <functional>

struct event_base;

namespace gooseberrywall {

/// Limits of an UpstreamClient. Each kind of call has its own connections, so that no kind delays
/// another.
struct UpstreamClientSettings
{
    /// Connections per upstream for runs; should equal the upstream's slots plus the length of its
    /// queue.
    std::size_t runConnections = 8;
    /// Connections per upstream for grant orders; more than one, since a revocation occupies its
    /// connection until the shard's runs have ended.
    std::size_t grantConnections = 4;
    std::size_t cancelConnections = 2;
    std::size_t probeConnections = 1;
    /// Runs per upstream that wait for a connection at most; further ones end as NotSent.
    std::size_t waitingRunsLimit = 64;
    /// Larger answers end as BadAnswer.
    std::size_t answerLimitBytes = std::size_t{4} * 1024 * 1024;

    auto operator==(const UpstreamClientSettings &) const -> bool = default;
};

/// Makes calls to upstreams. Runs on one event base and is used from its thread only. Calls are
/// never repeated.
///
/// - UpstreamFailure::NotSent: no connection, or none free in time; nothing was sent.
/// - UpstreamFailure::NoAnswer: timeout, or the connection broke before an answer began.
/// - UpstreamFailure::BadAnswer: the answer was truncated, too large, malformed or that of another
///   attempt.
class UpstreamClient
{
public:
    using Done = std::function<void(CallId, UpstreamAnswer)>;

    /// @param base runs the connections; must outlive the client
    /// @param done called exactly once per call with its answer, never from within send()
    UpstreamClient(event_base *base, UpstreamClientSettings settings, Done done);

    auto send(const UpstreamSend &call) -> void;

    /// @returns the number of pooled connections to all upstreams
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
