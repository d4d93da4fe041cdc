#pragma once

#include "logging/logger.h"
#include "storelink/prefixview.h"

#include <cstdint>
#include <string>

namespace gooseberrywall {

/// Logs each lost answer to the watch of a copy of the store, and when the store has confirmed the
/// copy again.
class CopyLog
{
public:
    /// @param copy names the copy in the log
    CopyLog(Logger &logger, std::string copy);

    auto update(const PrefixView &view, Instant now) -> void;
    /// Takes in that a new view has replaced the last one.
    auto onNewView() -> void;

private:
    auto write(const char *event, const PrefixView &view, Instant now) -> void;

    Logger &logger;
    std::string copy;
    std::uint64_t loggedLosses = 0;
    /// When the last lost answer was noticed; Instant{} once the copy is confirmed again.
    Instant lostAt{};
};

} // namespace gooseberrywall
