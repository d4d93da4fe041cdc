#pragma once

#include "protocol/types/servicepolicy.h"

namespace gooseberrywall {

/// What a grantor needs before it orders an upstream of a service.
enum class AuthorityKind : std::uint8_t {
    /// Nothing: the upstream itself refuses a replaced grantor.
    Unbounded,
    /// An answer of the coordinator that is younger than the policy's grantorAuthority.
    Bounded,
    /// An answer of the coordinator that was asked for after the upstream's clock was read. Then
    /// no grant can outlast the reading by more than its time to live, whatever the grantor's own
    /// clock did meanwhile.
    RoundTrip,
};

[[nodiscard]] inline auto authorityKind(const ServicePolicy &policy) -> AuthorityKind
{
    if (policy.grantorAuthority > Duration{0}) {
        return AuthorityKind::Bounded;
    }
    return policy.checksSender ? AuthorityKind::Unbounded : AuthorityKind::RoundTrip;
}

/// The policies of the services; those of removed services are kept, since their grants may last.
class ServicePolicies
{
public:
    auto update(const std::vector<ServicePolicy> &policies) -> void;

    /// @returns the service's policy; the defaults where it was never configured
    [[nodiscard]] auto of(const ServiceName &service) const -> const ServicePolicy &;

    /// @returns the services that are configured now
    [[nodiscard]] auto configured() const -> const std::vector<ServicePolicy> &
    {
        return this->configuredPolicies;
    }

    /// @returns whether any service needs answers of the coordinator
    [[nodiscard]] auto needsAuthority() const -> bool;

private:
    std::vector<ServicePolicy> configuredPolicies;
    std::vector<ServicePolicy> knownPolicies;
};

} // namespace gooseberrywall
