#include "ownership/internal/servicepolicies.h"

#include <algorithm>

namespace gooseberrywall {

auto ServicePolicies::update(const std::vector<ServicePolicy> &policies) -> void
{
    this->configuredPolicies = policies;
    for (const auto &policy : policies) {
        std::erase_if(this->knownPolicies,
                      [&](const auto &old) { return old.service == policy.service; });
        this->knownPolicies.push_back(policy);
    }
}

auto ServicePolicies::of(const ServiceName &service) const -> const ServicePolicy &
{
    static const ServicePolicy defaults;
    const auto entry = std::find_if(this->knownPolicies.begin(), this->knownPolicies.end(),
                                    [&](const auto &policy) { return policy.service == service; });
    return entry == this->knownPolicies.end() ? defaults : *entry;
}

auto ServicePolicies::needsAuthority() const -> bool
{
    return std::any_of(
        this->knownPolicies.begin(), this->knownPolicies.end(),
        [](const auto &policy) { return authorityKind(policy) != AuthorityKind::Unbounded; });
}

} // namespace gooseberrywall
