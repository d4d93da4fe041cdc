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
    /// A grantor announces itself each second; two lost datagrams in a row are no silence.
    Duration silenceTimeout = std::chrono::milliseconds{2500};
    auto operator==(const GrantorDirectorySettings &) const -> bool = default;
};

/// What a daemon knows of each service's grantor, from the store's notes and from the grantors' own
/// announcements. A daemon that hears its grantors needn't watch the notes. Without input or
/// output; time is passed in.
class GrantorDirectory
{
public:
    explicit GrantorDirectory(GrantorDirectorySettings settings);

    auto onAnnouncement(const ServiceName &service, const Address &grantor, std::uint64_t term,
                        Instant now) -> void;
    /// @param note what the store's copy shows; nothing where it shows none
    auto onStored(const ServiceName &service, const std::optional<GrantorNote> &grantor) -> void;

    /// @returns the newest grantor of a service: the store's, or one that was heard of lately and
    /// that the store's copy doesn't show yet
    [[nodiscard]] auto grantorOf(const ServiceName &service, Instant now) const
        -> std::optional<GrantorNote>;
    /// @returns whether the service's grantor hasn't announced itself lately
    [[nodiscard]] auto isSilent(const ServiceName &service, Instant now) const -> bool;

    /// @returns the text of a note
    [[nodiscard]] static auto grantorText(const std::string &daemon, const Address &address,
                                          std::uint64_t incarnation) -> std::string;
    /// @returns the address in a note's text; empty where it has none
    [[nodiscard]] static auto addressOf(const GrantorNote &grantor) -> Address;

private:
    struct Known
    {
        std::optional<GrantorNote> stored;
        /// The highest term that the store's copy has ever shown.
        StoreRevision highestStoredTerm;
        std::optional<GrantorNote> announced;
        Instant heardAt{};
    };

    GrantorDirectorySettings settings;
    std::map<ServiceName, Known> services;
};

} // namespace gooseberrywall
