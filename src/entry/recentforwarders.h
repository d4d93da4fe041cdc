#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <map>
#include <optional>

namespace gooseberrywall {

/// The daemons that grantors have lately named as forwarders: while no grantor answers, they are
/// used in turn. Does no I/O; the time is passed in.
class RecentForwarders
{
public:
    auto onNamed(const Address &forwarder, Instant now) -> void;
    /// Takes in that a request to it wasn't sent on.
    auto onFailed(const Address &forwarder) -> void { this->namedAt.erase(forwarder); }
    /// @returns the next one in turn; empty where none was named lately
    [[nodiscard]] auto next(Instant now) -> std::optional<Address>;

private:
    static constexpr Duration retention = std::chrono::seconds{5};

    std::map<Address, Instant> namedAt;
    Address lastUsed;
};

} // namespace gooseberrywall
