#pragma once

#include "edge/grantorrole.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace gooseberrywall {

/// This daemon's roles in granting all services.
class GrantorRoles
{
public:
    GrantorRoles(GrantorRoleSettings settings, SendStoreCall store, SendRangeOrder orders,
                 std::function<Instant()> now, Logger &logger, RequestLog &requestLog);

    /// Adds a role for each service that has none yet.
    auto setServices(const std::vector<ServiceSpec> &specs) -> void;
    /// Takes in how long requests to the services last at most.
    auto setRoutes(const std::vector<Route> &routes) -> void;
    /// Takes in the services and routes of a configuration.
    auto setConfiguration(const RouteConfiguration &configuration) -> void;
    /// @param grantorOf returns a service's grantor; empty where it has none
    auto
    onGrantors(const std::function<std::optional<ElectedGrantor>(const ServiceName &)> &grantorOf)
        -> void;
    /// Takes in that the store is in this era.
    auto onStoreEra(std::uint64_t era) -> void;
    /// Takes in that a grantor of the service was elected in this era.
    auto onEraSettled(const ServiceName &service, std::uint64_t era) -> void;
    auto onUpstreams(const std::vector<UpstreamEntry> &entries) -> void;
    /// @param listedAt a time at which no upstream of the store was missing from onUpstreams()
    /// @param areCurrent onUpstreams() has told all that the store has shown up to now
    auto onUpstreamsListed(Instant listedAt, bool areCurrent) -> void;
    /// Passes a message to its service's role; a permit request for a service without one is
    /// answered with NotGrantor.
    auto deliver(const Address &from, const PermitMessage &message) -> void;
    /// @param count daemons that the service's grantor knows
    auto onDaemonCount(const ServiceName &service, std::uint64_t count) -> void;
    /// Takes in how an attempt of this daemon at an upstream ended.
    auto onAttemptEnd(const EndedAttempt &attempt) -> void;
    /// @returns whether the request must not run, as it is known to crash upstreams
    [[nodiscard]] auto isQuarantined(const PermitRequest &request) const -> bool;
    /// @returns how many requests are known to crash upstreams
    [[nodiscard]] auto quarantinedCount() const -> std::uint64_t;
    /// Takes in what an upstream has stated in an answer to an order.
    auto onStatement(const UpstreamStatement &statement) -> void;
    auto setRetryAllowance(double ratio, double extra) -> void;
    /// Sets what grantors announce about the operators' configuration.
    auto setAnnouncedConfiguration(std::function<AnnouncedConfiguration()> source) -> void;
    auto setCutOff(bool cutOff) -> void;
    /// @param areReached whether this VM reaches upstreams
    auto setUpstreamsReached(bool areReached) -> void;
    /// Lets all grantors announce themselves with the next advance().
    auto announceSoon() -> void;
    auto advance() -> void;
    auto resign() -> void;

    [[nodiscard]] auto takeDatagrams() -> std::vector<PermitDatagram>;
    /// @returns what upstreams have stated since the last call: that they leave, may leave, or stay
    [[nodiscard]] auto takeStatements() -> std::vector<UpstreamStatement>;
    [[nodiscard]] auto nextDue() const -> std::optional<Instant>;
    /// @returns the time after which a grantor needs a list of all upstreams; nothing where it has
    /// one, or needs none
    [[nodiscard]] auto listingDue() const -> std::optional<Instant>;
    /// @returns sharded services that this daemon doesn't grant
    [[nodiscard]] auto shardedNotServed() const -> std::vector<ServiceName>;
    /// @returns how many services this daemon grants
    [[nodiscard]] auto servingCount() const -> std::uint64_t;
    [[nodiscard]] auto movedKeys() const -> std::uint64_t;
    /// @returns how many upstreams of the services that this daemon grants name a request limit
    [[nodiscard]] auto limitedUpstreamCount() const -> std::uint64_t;
    /// @returns how many upstreams of the granted services count as cold
    [[nodiscard]] auto coldUpstreamCount() const -> std::uint64_t;
    /// @returns how many upstreams have stated in their answers that they leave, and still exist
    [[nodiscard]] auto leavingUpstreamCount() const -> std::uint64_t;
    /// @returns how many upstreams want no requests from some entry daemon for a time
    [[nodiscard]] auto pausedUpstreamCount() const -> std::uint64_t;
    /// @returns the utilisation of the busiest upstream in relation to the mean of its service, in
    /// percent, of the granted service where this is the highest; zero where there is little load
    [[nodiscard]] auto busiestSharePercent() const -> std::uint64_t;
    [[nodiscard]] auto settings() const -> const GrantorRoleSettings &
    {
        return this->roleSettings;
    }

private:
    GrantorRoleSettings roleSettings;
    SendStoreCall store;
    SendRangeOrder orders;
    std::function<Instant()> now;
    Logger &logger;
    RequestLog &requestLog;
    std::function<AnnouncedConfiguration()> announcedConfiguration;
    std::map<ServiceName, std::unique_ptr<GrantorRole>> roles;
    std::vector<PermitDatagram> datagrams;
    bool hasResigned = false;
    /// The first and the last era of the store that this daemon has heard of; zero before.
    std::uint64_t firstEra = 0;
    std::uint64_t storeEra = 0;
};

} // namespace gooseberrywall
