#include "edge/configurationrelay.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace gooseberrywall {

ConfigurationRelay::ConfigurationRelay(ConfigurationRelaySettings settings, Duration delay)
    : settings(settings)
    , delay(delay)
{
}

auto ConfigurationRelay::onAnnouncement(const Address &from,
                                        const GrantorAnnouncement &announcement, Instant now)
    -> void
{
    const StoreRevision revision{announcement.configurationRevision};
    std::erase_if(this->sources, [&](const auto &row) {
        return now - row.second.heardAt > this->settings.silenceTimeout;
    });
    if (revision.value == 0) {
        return;
    }
    auto &source = this->sources[from];
    source.failures = source.revision == revision ? source.failures : 0;
    source.revision = revision;
    source.heardAt = now;
    const auto confirmedAt = now - std::max(Duration{0}, announcement.configurationAge);
    source.confirmedAt = confirmedAt;
    if (!this->confirmed || this->confirmed->at <= confirmedAt) {
        this->confirmed = ConfigurationConfirmation{from, revision, confirmedAt};
    }
    if (announcement.evacuated.revision != 0) {
        this->evacuationsConfirmedAt =
            std::max(this->evacuationsConfirmedAt.value_or(confirmedAt), confirmedAt);
    }
    if (this->isNewer(revision) && !this->newerKnownSince) {
        this->newerKnownSince = now;
        this->fetchDue = now + this->delay;
    }
}

auto ConfigurationRelay::isNewer(StoreRevision revision) const -> bool
{
    return this->isOwnStale ? revision != this->ownRevision : revision > this->ownRevision;
}

auto ConfigurationRelay::onAdopted(StoreRevision revision, bool isStale) -> void
{
    this->ownRevision = this->isOwnStale ? revision : std::max(this->ownRevision, revision);
    this->isOwnStale = isStale;
    this->isFetching = false;
    this->hasPartialFetchFailed = false;
    const auto isNewerKnown =
        std::any_of(this->sources.begin(), this->sources.end(),
                    [&](const auto &row) { return this->isNewer(row.second.revision); });
    if (!isNewerKnown) {
        this->newerKnownSince.reset();
    }
}

auto ConfigurationRelay::onFetchStarted(Instant now) -> void
{
    this->isFetching = true;
    this->fetchStartedAt = now;
    this->fetchDue = now + this->settings.retryPause;
}

auto ConfigurationRelay::onFetchProgress(Instant at) -> void
{
    if (!this->hasPartialFetchFailed) {
        this->fetchProgressAt = at;
    }
}

auto ConfigurationRelay::onFetchFailed(const Address &from, Instant now) -> void
{
    this->isFetching = false;
    this->fetchDue = now + this->settings.retryPause;
    // Without a newer configuration, the text has come from elsewhere meanwhile.
    if (this->newerKnownSince && this->fetchProgressAt >= this->fetchStartedAt) {
        this->hasPartialFetchFailed = true;
        this->fetchProgressAt = Instant{};
    }
    if (const auto found = this->sources.find(from); found != this->sources.end()) {
        ++found->second.failures;
    }
}

auto ConfigurationRelay::fetchSource(Instant now) const -> std::optional<Address>
{
    if (this->isFetching || !this->newerKnownSince || now < this->fetchDue) {
        return std::nullopt;
    }
    // A grantor that can't be reached must not keep the daemon from an older version than its own,
    // so failures go before revisions. The delay spreads daemons over equal sources.
    const auto rank = [](const Source &source) {
        return std::pair(-source.failures, source.revision);
    };
    std::vector<Address> best;
    auto bestRank = std::pair(std::numeric_limits<int>::min(), StoreRevision{});
    for (const auto &[address, source] : this->sources) {
        if (!this->isNewer(source.revision)) {
            continue;
        }
        if (rank(source) > bestRank) {
            bestRank = rank(source);
            best.clear();
        }
        if (rank(source) == bestRank) {
            best.push_back(address);
        }
    }
    return best.empty()
               ? std::nullopt
               : std::optional(best[static_cast<std::size_t>(this->delay.count()) % best.size()]);
}

auto ConfigurationRelay::newerSince(Instant now) const -> std::optional<Instant>
{
    const auto isAnnounced =
        std::any_of(this->sources.begin(), this->sources.end(), [&](const auto &row) {
            return this->isNewer(row.second.revision)
                   && now - row.second.heardAt <= this->settings.silenceTimeout;
        });
    return isAnnounced ? this->newerKnownSince : std::nullopt;
}

auto ConfigurationRelay::fetchLimitDue() const -> Instant
{
    return std::max(this->newerKnownSince.value_or(Instant{}), this->fetchProgressAt)
           + this->settings.fetchTimeLimit;
}

auto ConfigurationRelay::isStoreNeeded(Instant now) const -> bool
{
    const auto isConfirmed =
        this->confirmed && now - this->confirmed->at < this->settings.confirmationTimeout;
    const auto isFetchFailing = this->newerKnownSince && now >= this->fetchLimitDue();
    return !isConfirmed || isFetchFailing;
}

auto ConfigurationRelay::isCutOff(const StoreContact &own, Instant now) const -> bool
{
    return own.isUnanswered && this->confirmed && now - own.lastAt >= this->settings.cutOffLag
           && this->confirmed->at - own.lastAt >= this->settings.cutOffLag;
}

auto ConfigurationRelay::checkedAt(const Address &own) const -> Instant
{
    Instant result{};
    for (const auto &[address, source] : this->sources) {
        if (address < own && source.revision == this->ownRevision) {
            result = std::max(result, source.confirmedAt);
        }
    }
    return result;
}

auto ConfigurationRelay::nextDue(Instant now) const -> std::optional<Instant>
{
    std::optional<Instant> due;
    const auto consider = [&](Instant moment) {
        if (moment > now) {
            due = std::min(due.value_or(moment), moment);
        }
    };
    if (this->confirmed) {
        consider(this->confirmed->at + this->settings.confirmationTimeout);
    }
    if (this->newerKnownSince) {
        consider(this->fetchDue);
        consider(this->fetchLimitDue());
    }
    return due;
}

} // namespace gooseberrywall
