#include "edge/componentsettings.h"

#include <algorithm>
#include <unistd.h>

namespace gooseberrywall {

namespace {

constexpr std::size_t orderAnswerLimitBytes = std::size_t{64} * 1024;

/// @returns the memory of this VM as the system reports it
auto systemMemoryBytes() -> std::size_t
{
    const auto pages = sysconf(_SC_PHYS_PAGES);
    const auto pageBytes = sysconf(_SC_PAGESIZE);
    return static_cast<std::size_t>(std::max(0L, pages)) * static_cast<std::size_t>(pageBytes);
}

} // namespace

auto memoryBudget(const EdgeSettings &settings) -> MemoryBudget
{
    return MemoryBudget::ofVm(settings.memoryBytes > 0 ? settings.memoryBytes
                                                       : systemMemoryBytes());
}

auto upstreamPoolSettings(const std::string &echoHeader) -> OutboundPoolSettings
{
    OutboundPoolSettings result;
    result.echoHeader = echoHeader;
    return result;
}

auto storePoolSettings() -> OutboundPoolSettings
{
    OutboundPoolSettings result;
    result.connectTimeout = std::chrono::milliseconds{500};
    return result;
}

auto orderPoolSettings() -> OutboundPoolSettings
{
    OutboundPoolSettings result;
    result.reusesAfterErrors = false;
    // Only the status and the headers of an answer count.
    result.limits.bodyBytes = orderAnswerLimitBytes;
    return result;
}

auto pageSettings(const Address &listen) -> FrontSettings
{
    FrontSettings result;
    result.listen = listen;
    return result;
}

auto roleSettings(const EdgeSettings &settings, std::uint64_t incarnation,
                  bool doReleasesRaiseFences) -> GrantorRoleSettings
{
    GrantorRoleSettings result;
    result.daemon = settings.id;
    result.peerAddress = settings.peerListen;
    result.incarnation = incarnation;
    result.processorCores = settings.processorCores;
    result.startsWithSystem = settings.startsWithSystem;
    result.broker.loadWeight = settings.loadWeight;
    result.retries.ratio = settings.retryRatio;
    result.retries.extra = settings.retryExtra;
    result.retries.window = settings.retryWindow;
    result.ranges.longestHoldTime = settings.longestHold;
    result.ranges.doReleasesRaiseFences = doReleasesRaiseFences;
    return result;
}

auto grantorWatchSettings(const EdgeSettings &settings) -> GrantorWatchSettings
{
    GrantorWatchSettings result;
    result.grantorPrefix = GrantorRoleSettings{}.grantorPrefix;
    result.daemon = settings.id;
    result.processorCores = settings.processorCores;
    return result;
}

auto configurationSettings(const EdgeSettings &settings, const std::string &key,
                           const std::string &prefix, std::uint64_t incarnation)
    -> ConfigurationSourceSettings
{
    ConfigurationSourceSettings result;
    result.key = key;
    result.prefix = prefix;
    result.listen = settings.peerListen;
    result.seed = incarnation;
    return result;
}

} // namespace gooseberrywall
