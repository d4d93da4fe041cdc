#include "ownership/internal/servicepolicies.h"

#include <algorithm>

namespace gooseberrywall {

auto ServicePolicies::update(const std::vector<ServicePolicy> &policies) -> void
{
    this->configured = policies;
    for (const auto &policy : policies) {
        std::erase_if(this->known, [&](const auto &old) { return old.service == policy.service; });
        this->known.push_back(policy);
    }
}

auto ServicePolicies::of(const ServiceName &service) const -> const ServicePolicy &
{
    static const ServicePolicy defaults;
    const auto entry = std::find_if(this->known.begin(), this->known.end(),
                                    [&](const auto &policy) { return policy.service == service; });
    return entry == this->known.end() ? defaults : *entry;
}

auto ServicePolicies::needsAuthority() const -> bool
{
    return std::any_of(this->known.begin(), this->known.end(), [](const auto &policy) {
        return authorityKind(policy) != AuthorityKind::Unbounded;
    });
}

} // namespace gooseberrywall
