#pragma once

#include "http/clocktimer.h"
#include "http/httppool.h"
#include "protocol/types/storemessages.h"

#include <string>

namespace gooseberrywall {

/// Registers an upstream in the VM list of the platform's stand-in and retries until that succeeds.
class Registration
{
public:
    /// @param base runs the calls; must outlive this
    /// @param platform the address of the platform's stand-in
    Registration(event_base *base, Address platform);

    /// Adds the VM or replaces its entry.
    auto put(const VmEntry &vm) -> void;

    /// Removes the VM, without retries.
    /// @param done called when the call has ended, whether it succeeded or not
    auto remove(const std::string &id, std::function<void()> done) -> void;

private:
    auto tryPut() -> void;

    Address platform;
    HttpPool pool;
    ClockTimer retry;
    std::string vmJson;
};

} // namespace gooseberrywall
