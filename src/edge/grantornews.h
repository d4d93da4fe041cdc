#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "election/grantorelection.h"

#include <map>
#include <optional>
#include <string>

namespace gooseberrywall {

struct GrantorNewsSettings
{
    /// A grantor announces itself each second; two lost datagrams in a row are no silence.
    Duration silence = std::chrono::milliseconds{2500};
    auto operator==(const GrantorNewsSettings &) const -> bool = default;
};

/// What a daemon knows of each service's grantor, from the store's notes and from the grantors' own
/// announcements. A daemon that hears its grantors needn't watch the notes. Without input or
/// output; time is passed in.
class GrantorNews
{
public:
    explicit GrantorNews(GrantorNewsSettings settings);

    auto onAnnouncement(const ServiceName &service, const Address &grantor, std::uint64_t term,
                        Instant now) -> void;
    /// @param note what the store's copy shows; nothing where it shows none
    auto onNote(const ServiceName &service, const std::optional<ElectedGrantor> &note) -> void;

    /// @returns the newest grantor of a service: the store's, or one that was heard of lately and
    /// that the store's copy doesn't show yet
    [[nodiscard]] auto grantorOf(const ServiceName &service, Instant now) const
        -> std::optional<ElectedGrantor>;
    /// @returns whether the service's grantor hasn't announced itself lately
    [[nodiscard]] auto isSilent(const ServiceName &service, Instant now) const -> bool;

    /// @returns the text of a note
    [[nodiscard]] static auto noteText(const std::string &daemon, const Address &address,
                                       std::uint64_t life) -> std::string;
    /// @returns the address in a note's text; empty where it has none
    [[nodiscard]] static auto addressIn(const ElectedGrantor &note) -> Address;

private:
    struct Known
    {
        std::optional<ElectedGrantor> stored;
        /// The highest term that the store's copy has ever shown.
        StoreRevision seenTerm;
        std::optional<ElectedGrantor> announced;
        Instant heardAt{};
    };

    GrantorNewsSettings settings;
    std::map<ServiceName, Known> services;
};

} // namespace gooseberrywall
