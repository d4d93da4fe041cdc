#include "edge/grantorwatch.h"

#include "common/hash.h"
#include "storelink/erakey.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gooseberrywall {

namespace {

auto viewSettings(const GrantorWatchSettings &settings) -> PrefixViewSettings
{
    PrefixViewSettings result;
    result.gatherPause = settings.gatherPause;
    return result;
}

} // namespace

GrantorWatch::GrantorWatch(GrantorWatchSettings settings, SendStoreCall store,
                           std::function<Instant()> now, PermitClient &permits, GrantorRoles &roles,
                           Logger &logger)
    : settings(std::move(settings))
    , now(now)
    , permits(permits)
    , roles(roles)
    , logger(logger)
    , directory(GrantorDirectorySettings{})
    , startedAt(now())
    , copyLog(logger, "grantors")
    , view(this->settings.grantorPrefix, viewSettings(this->settings), std::move(store),
           std::move(now), [this](const PrefixView::Items &) { this->publish(); })
{
}

auto GrantorWatch::setServices(const std::vector<ServiceSpec> &specs) -> void
{
    this->services.clear();
    for (const auto &spec : specs) {
        this->services.push_back(spec.name);
    }
    this->publish();
}

auto GrantorWatch::onAnnouncement(const Address &from, const GrantorAnnouncement &announcement)
    -> void
{
    this->daemonCount = announcement.daemonCount;
    this->roles.onDaemonCount(announcement.service, announcement.daemonCount);
    this->directory.onAnnouncement(announcement.service, from, announcement.term, this->now());
    this->permits.setGrantor(announcement.service, from, announcement.term);
}

auto GrantorWatch::onStoreAnswer(const StoreAnswer &answer, Instant sentAt) -> void
{
    if (this->outage.onAnswer(answer, sentAt, this->now())) {
        this->view.readSince(this->outage.failedAt());
    }
}

auto GrantorWatch::advance() -> void
{
    const auto isStarting = this->now() - this->startedAt < this->settings.startTime;
    this->view.setPolling(isStarting && !this->isStandBy() && this->roles.servingCount() == 0);
    this->view.setPaused(!this->isNeeded());
    const auto mustBeConfirmed =
        this->isGrantorMissing() && (this->isStandBy() || this->roles.servingCount() > 0);
    this->view.setConfirmInterval(mustBeConfirmed ? this->settings.confirmInterval
                                                  : PrefixViewSettings{}.confirmInterval);
    this->view.advance();
    this->copyLog.update(this->view, this->now());
    this->publish();
    this->greetGrantors(this->now());
}

auto GrantorWatch::greetGrantors(Instant moment) -> void
{
    if (moment < this->helloDue) {
        return;
    }
    std::set<Address> grantors;
    for (const auto &service : this->services) {
        const auto grantor = this->storedGrantor(service);
        if (grantor && this->directory.isSilent(service, moment)) {
            grantors.insert(GrantorDirectory::addressOf(*grantor));
        }
    }
    for (const auto &grantor : grantors) {
        this->datagrams.push_back(PermitDatagram{grantor, DaemonHello{}});
    }
    if (!grantors.empty()) {
        this->helloDue = moment + this->settings.helloInterval;
    }
}

auto GrantorWatch::takeDatagrams() -> std::vector<PermitDatagram>
{
    return std::exchange(this->datagrams, {});
}

auto GrantorWatch::isStandBy() const -> bool
{
    const auto oneIn =
        std::max(this->settings.standByOneIn, this->daemonCount / this->settings.standBysWanted);
    return this->settings.processorCores >= this->settings.standByMinimumCores
           || stableHash(this->settings.daemon.value) % oneIn == 0;
}

auto GrantorWatch::isGrantorMissing() const -> bool
{
    const auto moment = this->now();
    return this->services.empty()
           || std::any_of(this->services.begin(), this->services.end(),
                          [&](const auto &each) { return this->directory.isSilent(each, moment); });
}

auto GrantorWatch::isNeeded() const -> bool
{
    return this->isStandBy() || this->roles.servingCount() > 0 || !this->view.isLoaded()
           || this->isGrantorMissing();
}

auto GrantorWatch::publish() -> void
{
    if (!this->view.isLoaded()) {
        return;
    }
    const auto moment = this->now();
    for (const auto &service : this->services) {
        this->directory.onStored(service, this->storedGrantor(service));
        this->publishEra(service);
        if (const auto grantor = this->directory.grantorOf(service, moment)) {
            this->permits.setGrantor(service, GrantorDirectory::addressOf(*grantor),
                                     grantor->term.value);
        }
    }
    this->roles.onGrantors(
        [&](const ServiceName &service) { return this->directory.grantorOf(service, moment); });
    this->logGrantors(moment);
}

auto GrantorWatch::logGrantors(Instant moment) -> void
{
    for (const auto &service : this->services) {
        const auto grantor = this->directory.grantorOf(service, moment);
        const auto term = grantor ? grantor->term.value : 0;
        const auto isSilent = this->directory.isSilent(service, moment);
        auto &last = this->loggedGrantors[service];
        const auto isNew = term > last.term;
        if (!isNew && isSilent == last.isSilent) {
            continue;
        }
        const auto *const event = isNew      ? "grantor_known"
                                  : isSilent ? "grantor_silent"
                                             : "grantor_heard";
        last = LoggedGrantor{std::max(term, last.term), isSilent};
        LogLine line(event);
        line.with("service", service.value)
            .with("term", static_cast<std::int64_t>(last.term))
            .with("address", grantor ? GrantorDirectory::addressOf(*grantor).value : "");
        this->logger.write(LogLevel::Info, line.text());
    }
}

auto GrantorWatch::publishEra(const ServiceName &service) -> void
{
    const auto found =
        this->view.items().find(lastEraKey(this->settings.grantorPrefix + service.value));
    const auto era = this->view.era();
    if (found != this->view.items().end() && found->second.value == std::to_string(era)) {
        this->roles.onEraSettled(service, era);
    }
}

auto GrantorWatch::storedGrantor(const ServiceName &service) const -> std::optional<ElectedGrantor>
{
    const auto key = eraKey(this->settings.grantorPrefix + service.value, this->view.era());
    const auto found = this->view.items().find(key);
    if (found == this->view.items().end()) {
        return std::nullopt;
    }
    return ElectedGrantor{found->second.value, found->second.created};
}

} // namespace gooseberrywall
