#include "edge/grantordirectory.h"

#include <algorithm>

namespace gooseberrywall {

GrantorDirectory::GrantorDirectory(GrantorDirectorySettings settings)
    : settings(settings)
{
}

auto GrantorDirectory::onAnnouncement(const ServiceName &service, const Address &grantor,
                                      std::uint64_t term, Instant now) -> void
{
    auto &known = this->services[service];
    const auto isOlder = known.announced && term < known.announced->term.value;
    if (isOlder) {
        return;
    }
    // An announcement carries neither daemon id nor incarnation.
    known.announced = ElectedGrantor{grantorText("", grantor, 0), StoreRevision{term}};
    known.heardAt = now;
}

auto GrantorDirectory::onStored(const ServiceName &service,
                                const std::optional<ElectedGrantor> &grantor) -> void
{
    auto &known = this->services[service];
    known.stored = grantor;
    if (grantor) {
        known.highestStoredTerm = std::max(known.highestStoredTerm, grantor->term);
    }
}

auto GrantorDirectory::grantorOf(const ServiceName &service, Instant now) const
    -> std::optional<ElectedGrantor>
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return std::nullopt;
    }
    const auto &known = found->second;
    // A term that the store no longer shows has ended, even if its grantor still announces it.
    if (!this->isSilent(service, now) && known.announced->term > known.highestStoredTerm) {
        return known.announced;
    }
    return known.stored;
}

auto GrantorDirectory::isSilent(const ServiceName &service, Instant now) const -> bool
{
    const auto found = this->services.find(service);
    return found == this->services.end() || !found->second.announced
           || now - found->second.heardAt > this->settings.silenceTimeout;
}

auto GrantorDirectory::grantorText(const std::string &daemon, const Address &address,
                                   std::uint64_t incarnation) -> std::string
{
    return daemon + " " + address.value + " " + std::to_string(incarnation);
}

auto GrantorDirectory::addressOf(const ElectedGrantor &grantor) -> Address
{
    const auto first = grantor.identity.find(' ');
    const auto second = grantor.identity.find(' ', first + 1);
    return first == std::string::npos
               ? Address{}
               : Address{grantor.identity.substr(first + 1, second - first - 1)};
}

} // namespace gooseberrywall
