#pragma once

#include "protocol/types/servicepolicy.h"

namespace gooseberrywall {

/// What a grantor needs from the coordinator before it may order an upstream of a service.
enum class AuthorityKind : std::uint8_t {
    /// Nothing: the upstream itself refuses a replaced grantor.
    Unbounded,
    /// An answer of the coordinator to a request that was sent less than the policy's
    /// grantorAuthority ago.
    Bounded,
    /// An answer of the coordinator to a request that was sent after the upstream's clock was read.
    /// Grants then end at most one time to live after the reading, whatever the grantor's own clock
    /// did in the meantime.
    RoundTrip,
};

[[nodiscard]] inline auto authorityKind(const ServicePolicy &policy) -> AuthorityKind
{
    if (policy.grantorAuthority > Duration{0}) {
        return AuthorityKind::Bounded;
    }
    return policy.checksSender ? AuthorityKind::Unbounded : AuthorityKind::RoundTrip;
}

/// The policies of the services. Those of removed services are kept, since grants of them may still
/// be in force.
class ServicePolicies
{
public:
    auto update(const std::vector<ServicePolicy> &policies) -> void;

    /// @returns the service's policy; the defaults if it was never configured
    [[nodiscard]] auto of(const ServiceName &service) const -> const ServicePolicy &;

    /// @returns the policies of the services that are configured now
    [[nodiscard]] auto configured() const -> const std::vector<ServicePolicy> &
    {
        return this->configuredPolicies;
    }

    /// @returns whether a service, configured now or earlier, needs authority from the coordinator
    [[nodiscard]] auto needsAuthority() const -> bool;

private:
    std::vector<ServicePolicy> configuredPolicies;
    std::vector<ServicePolicy> knownPolicies;
};

} // namespace gooseberrywall
