#pragma once

#include "common/types/instant.h"
#include "protocol/types/storemessages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrywall {

/// The platform's list of VMs, in which changes become visible only after a lag.
class VmRegister
{
public:
    /// Adds a VM or replaces its entry.
    auto put(Instant now, VmEntry vm) -> void;
    auto remove(Instant now, const std::string &id) -> void;

    /// @param time the lag of later changes
    auto setLag(Duration time) -> void { this->lag = time; }

    /// @returns the visible entries, sorted by id
    [[nodiscard]] auto visible(Instant now) -> std::vector<VmEntry>;

private:
    struct Change
    {
        Instant visibleFrom;
        std::string id;
        /// The new entry; no value if the VM is removed.
        std::optional<VmEntry> vm;
    };

    Duration lag{0};
    std::vector<Change> pending;
    std::map<std::string, VmEntry> visibleVms;
};

} // namespace gooseberrywall
