#include "edge/grantornews.h"

#include <algorithm>

namespace gooseberrywall {

GrantorNews::GrantorNews(GrantorNewsSettings settings)
    : settings(settings)
{
}

auto GrantorNews::onAnnouncement(const ServiceName &service, const Address &grantor,
                                 std::uint64_t term, Instant now) -> void
{
    auto &known = this->services[service];
    const auto isOlder = known.announced && term < known.announced->term.value;
    if (isOlder) {
        return;
    }
    // Who announces itself is known by its address only.
    known.announced = ElectedGrantor{noteText("", grantor, 0), StoreRevision{term}};
    known.heardAt = now;
}

auto GrantorNews::onNote(const ServiceName &service, const std::optional<ElectedGrantor> &note)
    -> void
{
    auto &known = this->services[service];
    known.stored = note;
    if (note) {
        known.seenTerm = std::max(known.seenTerm, note->term);
    }
}

auto GrantorNews::grantorOf(const ServiceName &service, Instant now) const
    -> std::optional<ElectedGrantor>
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return std::nullopt;
    }
    const auto &known = found->second;
    // A term that the store has shown and shows no more has ended, whoever still announces it.
    if (!this->isSilent(service, now) && known.announced->term > known.seenTerm) {
        return known.announced;
    }
    return known.stored;
}

auto GrantorNews::isSilent(const ServiceName &service, Instant now) const -> bool
{
    const auto found = this->services.find(service);
    return found == this->services.end() || !found->second.announced
           || now - found->second.heardAt > this->settings.silence;
}

auto GrantorNews::noteText(const std::string &daemon, const Address &address, std::uint64_t life)
    -> std::string
{
    return daemon + " " + address.value + " " + std::to_string(life);
}

auto GrantorNews::addressIn(const ElectedGrantor &note) -> Address
{
    const auto first = note.identity.find(' ');
    const auto second = note.identity.find(' ', first + 1);
    return first == std::string::npos
               ? Address{}
               : Address{note.identity.substr(first + 1, second - first - 1)};
}

} // namespace gooseberrywall
