#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "election/grantorelection.h"

#include <map>
#include <optional>
#include <string>

namespace gooseberrywall {

struct GrantorDirectorySettings
{
    /// A grantor that hasn't announced itself for this long is silent. Grantors do so each second;
    /// two lost datagrams in a row are tolerated.
    Duration silenceTimeout = std::chrono::milliseconds{2500};
    auto operator==(const GrantorDirectorySettings &) const -> bool = default;
};

/// Knows each service's grantor, from the grantors' keys in the store and from the grantors' own
/// announcements. A daemon that receives these needn't watch the keys. Does no I/O; the time is
/// passed in.
class GrantorDirectory
{
public:
    explicit GrantorDirectory(GrantorDirectorySettings settings);

    /// @param grantor the announcement's sender
    /// @param term ignored where it is lower than that of the last announcement
    auto onAnnouncement(const ServiceName &service, const Address &grantor, std::uint64_t term,
                        Instant now) -> void;
    /// @param grantor as this daemon's view of the store shows it; empty where it shows none
    auto onStored(const ServiceName &service, const std::optional<ElectedGrantor> &grantor) -> void;

    /// @returns the newest grantor of a service: the stored one, or one that has announced itself
    /// recently and that the view of the store doesn't show yet
    [[nodiscard]] auto grantorOf(const ServiceName &service, Instant now) const
        -> std::optional<ElectedGrantor>;
    /// @returns whether no grantor of the service has announced itself recently
    [[nodiscard]] auto isSilent(const ServiceName &service, Instant now) const -> bool;

    /// @returns the value that a grantor stores under its service's key
    [[nodiscard]] static auto grantorText(const std::string &daemon, const Address &address,
                                          std::uint64_t incarnation) -> std::string;
    /// @returns the address in the grantor's stored text; empty where it has none
    [[nodiscard]] static auto addressOf(const ElectedGrantor &grantor) -> Address;

private:
    struct Known
    {
        std::optional<ElectedGrantor> stored;
        /// The highest term that the view of the store has shown.
        StoreRevision highestStoredTerm;
        std::optional<ElectedGrantor> announced;
        Instant heardAt{};
    };

    GrantorDirectorySettings settings;
    std::map<ServiceName, Known> services;
};

} // namespace gooseberrywall
