#pragma once

#include "http/clocktimer.h"
#include "http/httppool.h"
#include "protocol/types/storemessages.h"

#include <string>

namespace gooseberrywall {

/// Keeps an upstream in the VM list of the platform's stand-in; tries until it is heard.
class Registration
{
public:
    /// @param base runs the calls; must outlive this
    /// @param platform where the platform's stand-in listens
    Registration(event_base *base, Address platform);

    /// Adds the VM or replaces its entry.
    auto put(const VmEntry &vm) -> void;

    /// Removes the VM, with a single try.
    /// @param done called at the end of the try
    auto remove(const std::string &id, std::function<void()> done) -> void;

private:
    auto tryPut() -> void;

    Address platform;
    HttpPool pool;
    ClockTimer retry;
    std::string vmJson;
};

} // namespace gooseberrywall
