#include "edge/grantorroles.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace gooseberrywall {

GrantorRoles::GrantorRoles(GrantorRoleSettings settings, SendStoreCall store, SendRangeOrder orders,
                           std::function<Instant()> now, Logger &logger, RequestLog &requestLog)
    : roleSettings(std::move(settings))
    , store(std::move(store))
    , orders(std::move(orders))
    , now(std::move(now))
    , logger(logger)
    , requestLog(requestLog)
{
}

auto GrantorRoles::setServices(const std::vector<ServiceSpec> &specs) -> void
{
    for (const auto &spec : specs) {
        if (const auto known = this->roles.find(spec.name); known != this->roles.end()) {
            known->second->setWarmUpRate(spec.warmUpPerSecond);
            continue;
        }
        auto role =
            std::make_unique<GrantorRole>(spec, this->roleSettings, this->store, this->orders,
                                          this->now, this->logger, this->requestLog);
        role->setAnnouncedConfiguration(this->announcedConfiguration);
        for (const auto era : {this->firstEra, this->storeEra}) {
            role->onStoreEra(era);
        }
        if (this->hasResigned) {
            role->resign();
        }
        this->roles.emplace(spec.name, std::move(role));
    }
}

auto GrantorRoles::setRoutes(const std::vector<Route> &routes) -> void
{
    for (const auto &route : routes) {
        for (const auto &target : route.services) {
            if (const auto role = this->roles.find(target.service); role != this->roles.end()) {
                role->second->onRequestTime(route.timeout);
            }
        }
    }
}

auto GrantorRoles::setConfiguration(const RouteConfiguration &configuration) -> void
{
    this->setServices(configuration.services);
    this->setRoutes(configuration.routes);
}

auto GrantorRoles::onGrantors(
    const std::function<std::optional<ElectedGrantor>(const ServiceName &)> &grantorOf) -> void
{
    const auto grantedCount =
        static_cast<int>(std::count_if(this->roles.begin(), this->roles.end(),
                                       [](const auto &row) { return row.second->isLeading(); }));
    for (auto &[name, role] : this->roles) {
        role->onGrantor(grantorOf(name), grantedCount);
    }
}

auto GrantorRoles::onStoreEra(std::uint64_t era) -> void
{
    this->firstEra = this->firstEra == 0 ? era : this->firstEra;
    this->storeEra = std::max(this->storeEra, era);
    for (auto &[name, role] : this->roles) {
        role->onStoreEra(era);
    }
}

auto GrantorRoles::onEraSettled(const ServiceName &service, std::uint64_t era) -> void
{
    if (const auto found = this->roles.find(service); found != this->roles.end()) {
        found->second->onEraSettled(era);
    }
}

auto GrantorRoles::onUpstreams(const std::vector<UpstreamEntry> &entries) -> void
{
    for (auto &[name, role] : this->roles) {
        role->onUpstreams(entries);
    }
}

auto GrantorRoles::onUpstreamsListed(Instant listedAt, bool areCurrent) -> void
{
    for (auto &[name, role] : this->roles) {
        role->onUpstreamsListed(listedAt, areCurrent);
    }
}

auto GrantorRoles::listingDue() const -> std::optional<Instant>
{
    std::optional<Instant> due;
    for (const auto &[name, role] : this->roles) {
        const auto each = role->listingDue();
        due = each && due ? std::max(*each, *due) : each ? each : due;
    }
    return due;
}

auto GrantorRoles::deliver(const Address &from, const PermitMessage &message) -> void
{
    if (std::holds_alternative<DaemonHello>(message)) {
        for (auto &[name, role] : this->roles) {
            role->onMessage(from, message);
        }
        return;
    }
    const auto service = std::visit(
        [](const auto &each) -> ServiceName {
            if constexpr (requires { each.service; }) {
                return each.service;
            } else {
                return ServiceName{};
            }
        },
        message);
    const auto found = this->roles.find(service);
    if (found != this->roles.end()) {
        found->second->onMessage(from, message);
    } else if (const auto *request = std::get_if<PermitRequest>(&message)) {
        PermitVerdict verdict;
        verdict.kind = PermitVerdict::Kind::NotGrantor;
        this->datagrams.push_back(PermitDatagram{from, PermitAnswer{request->id, verdict}});
    }
}

auto GrantorRoles::onDaemonCount(const ServiceName &service, std::uint64_t count) -> void
{
    if (const auto found = this->roles.find(service); found != this->roles.end()) {
        found->second->onDaemonCount(count);
    }
}

auto GrantorRoles::onAttemptEnd(const EndedAttempt &attempt) -> void
{
    if (const auto found = this->roles.find(attempt.service); found != this->roles.end()) {
        found->second->onAttemptEnd(attempt);
    }
}

auto GrantorRoles::isQuarantined(const PermitRequest &request) const -> bool
{
    const auto found = this->roles.find(request.service);
    return found != this->roles.end()
           && found->second->isQuarantined(RequestFingerprint{request.fingerprint});
}

auto GrantorRoles::quarantinedCount() const -> std::uint64_t
{
    return std::accumulate(
        this->roles.begin(), this->roles.end(), std::uint64_t{0},
        [](std::uint64_t sum, const auto &row) { return sum + row.second->quarantinedCount(); });
}

auto GrantorRoles::onStatement(const UpstreamStatement &statement) -> void
{
    for (auto &[name, role] : this->roles) {
        role->onStatement(statement);
    }
}

auto GrantorRoles::setRetryAllowance(double ratio, double extra) -> void
{
    this->roleSettings.retries.ratio = ratio;
    this->roleSettings.retries.extra = extra;
    for (auto &[name, role] : this->roles) {
        role->setRetryAllowance(ratio, extra);
    }
}

auto GrantorRoles::setAnnouncedConfiguration(std::function<AnnouncedConfiguration()> source) -> void
{
    this->announcedConfiguration = std::move(source);
    for (auto &[name, role] : this->roles) {
        role->setAnnouncedConfiguration(this->announcedConfiguration);
    }
}

auto GrantorRoles::setCutOff(bool cutOff) -> void
{
    for (auto &[name, role] : this->roles) {
        role->setCutOff(cutOff);
    }
}

auto GrantorRoles::setUpstreamsReached(bool areReached) -> void
{
    for (auto &[name, role] : this->roles) {
        role->setUpstreamsReached(areReached);
    }
}

auto GrantorRoles::announceSoon() -> void
{
    for (auto &[name, role] : this->roles) {
        role->announceSoon();
    }
}

auto GrantorRoles::advance() -> void
{
    for (auto &[name, role] : this->roles) {
        role->advance();
    }
}

auto GrantorRoles::resign() -> void
{
    this->hasResigned = true;
    for (auto &[name, role] : this->roles) {
        role->resign();
    }
}

auto GrantorRoles::takeDatagrams() -> std::vector<PermitDatagram>
{
    auto result = std::exchange(this->datagrams, {});
    for (auto &[name, role] : this->roles) {
        for (auto &datagram : role->takeDatagrams()) {
            result.push_back(std::move(datagram));
        }
    }
    return result;
}

auto GrantorRoles::takeStatements() -> std::vector<UpstreamStatement>
{
    std::vector<UpstreamStatement> result;
    for (auto &[name, role] : this->roles) {
        for (auto &statement : role->takeStatements()) {
            result.push_back(std::move(statement));
        }
    }
    return result;
}

auto GrantorRoles::nextDue() const -> std::optional<Instant>
{
    std::optional<Instant> due;
    for (const auto &[name, role] : this->roles) {
        const auto next = role->nextDue();
        due = due ? std::min(*due, next) : next;
    }
    return due;
}

auto GrantorRoles::shardedNotServed() const -> std::vector<ServiceName>
{
    std::vector<ServiceName> result;
    for (const auto &[name, role] : this->roles) {
        if (role->isSharded() && !role->isServing()) {
            result.push_back(name);
        }
    }
    return result;
}

auto GrantorRoles::servingCount() const -> std::uint64_t
{
    return static_cast<std::uint64_t>(
        std::count_if(this->roles.begin(), this->roles.end(),
                      [](const auto &row) { return row.second->isServing(); }));
}

auto GrantorRoles::limitedUpstreamCount() const -> std::uint64_t
{
    std::uint64_t count = 0;
    for (const auto &[name, role] : this->roles) {
        count += role->limitedUpstreamCount();
    }
    return count;
}

auto GrantorRoles::coldUpstreamCount() const -> std::uint64_t
{
    std::uint64_t count = 0;
    for (const auto &[name, role] : this->roles) {
        count += role->coldUpstreamCount();
    }
    return count;
}

auto GrantorRoles::leavingUpstreamCount() const -> std::uint64_t
{
    std::uint64_t count = 0;
    for (const auto &[name, role] : this->roles) {
        count += role->leavingUpstreamCount();
    }
    return count;
}

auto GrantorRoles::pausedUpstreamCount() const -> std::uint64_t
{
    std::uint64_t count = 0;
    for (const auto &[name, role] : this->roles) {
        count += role->pausedUpstreamCount();
    }
    return count;
}

auto GrantorRoles::busiestSharePercent() const -> std::uint64_t
{
    std::uint64_t highest = 0;
    for (const auto &[name, role] : this->roles) {
        highest = std::max(highest, role->busiestSharePercent());
    }
    return highest;
}

auto GrantorRoles::movedKeys() const -> std::uint64_t
{
    std::uint64_t moved = 0;
    for (const auto &[name, role] : this->roles) {
        moved += role->movedKeys();
    }
    return moved;
}

} // namespace gooseberrywall
