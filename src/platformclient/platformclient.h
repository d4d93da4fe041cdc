#pragma once

#include "common/types/ids.h"
#include "http/httppool.h"
#include "protocol/outbox.h"
#include "protocol/types/storemessages.h"

#include <functional>

struct event_base;

namespace gooseberrywall {

/// Address and limits of a PlatformClient.
struct PlatformClientSettings
{
    /// Address of the platform's service.
    Address address;
    /// Connections for calls, and the same number for watches, which occupy theirs while they wait.
    std::size_t connections = 4;
    /// Larger answers end as StoreStatus::Ambiguous.
    std::size_t answerLimitBytes = std::size_t{16} * 1024 * 1024;

    auto operator==(const PlatformClientSettings &) const -> bool = default;
};

/// Makes calls to the platform's service. Runs on one event base and is used from its thread only.
///
/// A call that wasn't sent or was refused with status 400, 413 or 503 ends as
/// StoreStatus::Unavailable and had no effect. After a timeout, a broken connection or an answer
/// that can't be read, it ends as StoreStatus::Ambiguous.
class PlatformClient
{
public:
    using Done = std::function<void(CallId, StoreAnswer)>;

    /// @param base runs the connections; must outlive the client
    /// @param done called exactly once per call with its answer, never from within send()
    PlatformClient(event_base *base, PlatformClientSettings settings, Done done);

    /// Starts a call. A watch waits for its own timeout plus that of the call.
    auto send(const StoreSend &call) -> void;

private:
    PlatformClientSettings settings;
    Done done;
    HttpPool calls;
    HttpPool watches;
};

} // namespace gooseberrywall
