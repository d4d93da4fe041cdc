#pragma once

#include "edge/copylog.h"
#include "edge/evacuations.h"
#include "edge/upstreamdirectory.h"
#include "edge/upstreamentrylog.h"
#include "edge/wireadapter.h"
#include "entry/directchoice.h"
#include "keyranges/rangerecordcodec.h"
#include "storelink/prefixview.h"
#include "storelink/storeabsence.h"
#include "storelink/storeoutage.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gooseberrywall {

struct UpstreamWatchSettings
{
    /// How often upstreams renew their entries, which expire after three times this; zero: unknown.
    Duration heartbeat{0};
    /// For how long an upstream that has left may get requests.
    Duration drainTime{std::chrono::seconds{2}};
    auto operator==(const UpstreamWatchSettings &) const -> bool = default;
};

/// Watches the upstreams' entries in the store while this daemon needs them, and reads the key
/// owners for requests that are sent without a grantor.
template<WireAdapter Wire>
class UpstreamWatch
{
public:
    using OnEntries = std::function<void(const std::vector<UpstreamEntry> &entries)>;

    /// @param now reads the clock
    /// @param evacuations marks the entries
    /// @param direct receives entries and owners
    /// @param onEntries called after each change of the entries
    UpstreamWatch(const Wire &wire, UpstreamWatchSettings settings, SendStoreCall store,
                  std::function<Instant()> now, Logger &logger, Evacuations &evacuations,
                  DirectChoice &direct, OnEntries onEntries)
        : wire(wire)
        , store(std::move(store))
        , now(std::move(now))
        , log(logger)
        , copyLog(logger, "upstreams")
        , evacuations(evacuations)
        , direct(direct)
        , onEntries(std::move(onEntries))
        , directory(directorySettings(settings))
        , useAfterLastStay(directorySettings(settings).useAfterLastStay)
        , absence(shortestExpiry(settings.heartbeat))
    {
    }

    /// Takes in the answer to any call to the store. Where the store answers again after a failure,
    /// the entries are read anew at once.
    /// @param sentAt when the call was sent
    auto onStoreAnswer(const StoreAnswer &answer, Instant sentAt) -> void
    {
        this->absence.onAnswer(answer, sentAt, this->now());
        if (!isFailure(answer.kind)) {
            this->reachedAt = std::max(this->reachedAt, sentAt);
        }
        if (this->outage.onAnswer(answer, sentAt, this->now()) && this->view) {
            this->view->readSince(this->outage.failedAt());
        }
    }

    /// Takes in that the store has answered another daemon at this time.
    auto onStoreReachedByOther(Instant at) -> void
    {
        this->absence.onReachedByOther(at);
        this->reachedAt = std::max(this->reachedAt, at);
    }

    /// Takes in that the store is in this era.
    auto onStoreEra(std::uint64_t era) -> void
    {
        if (this->view) {
            this->view->onStoreEra(era);
        }
    }

    /// Takes in which upstreams have stated that they are about to stop, or have answered.
    auto onStatements(const std::vector<UpstreamStatement> &statements) -> void
    {
        auto hasLeaving = false;
        auto hasHint = false;
        for (const auto &each : statements) {
            if (each.leaveHint == LeaveHint::Stays) {
                this->direct.onStays(each.upstream, this->now());
            }
            hasLeaving =
                (each.isLeaving
                 && this->directory.setLeaving(each.upstream, each.incarnation, this->now()))
                || hasLeaving;
            hasHint = this->directory.onLeaveHint(UpstreamProcess{each.upstream, each.incarnation},
                                                  each.leaveHint, each.askedAt, this->now())
                      || hasHint;
        }
        if (hasLeaving || hasHint) {
            this->publish(hasLeaving ? "statement" : "answer");
        }
    }

    /// Publishes the entries anew after a change of the evacuated failure domains.
    auto onEvacuations() -> void
    {
        if (this->view && !this->entries().empty()) {
            this->publish("evacuation");
            return;
        }
        // Those published last are in use again until the next watch has listed the entries.
        if (!this->lastEntries.empty()) {
            this->evacuations.mark(this->lastEntries);
            this->direct.setUpstreams(this->lastEntries, this->now());
            this->onEntries(this->lastEntries);
        }
    }

    /// @returns the entries in use now; none while they aren't watched
    [[nodiscard]] auto entries() const -> std::vector<UpstreamEntry>
    {
        return this->isOutdated ? std::vector<UpstreamEntry>{} : this->directory.entries();
    }

    /// @returns how many of the entries in use now are evacuated
    [[nodiscard]] auto evacuatedCount() const -> std::uint64_t
    {
        return this->view ? static_cast<std::uint64_t>(
                   std::count_if(this->lastEntries.begin(), this->lastEntries.end(),
                                 [](const auto &entry) { return entry.isEvacuated; }))
                          : 0;
    }

    /// @returns which process has the address as this upstream; empty where that isn't known
    [[nodiscard]] auto incarnationOf(const UpstreamId &upstream, const Address &address) const
        -> std::optional<Incarnation>
    {
        return this->isOutdated ? std::nullopt : this->directory.incarnationOf(upstream, address);
    }

    /// @param count daemons of the fleet: the more there are, the less often those that are no
    ///        grantors have their entries confirmed
    auto setDaemonCount(std::uint64_t count) -> void { this->daemonCount = count; }

    /// Starts or stops watching as needed, and publishes what has changed.
    /// @param isGrantor this daemon grants a service: changes are needed at once
    /// @param isDirect requests are sent without a grantor: changes are needed, but may be batched
    auto advance(bool isGrantor, bool isDirect) -> void
    {
        const auto isNeeded = isGrantor || isDirect;
        if (isNeeded && (!this->view || isGrantor != this->isForGrantor)) {
            this->isForGrantor = isGrantor;
            this->viewStartedAt = this->now();
            auto settings = PrefixViewSettings{};
            settings.gatherPause = isGrantor ? grantorGatherPause : directGatherPause;
            settings.longestRetryPause = longestRetryPause;
            settings.confirmInterval =
                isGrantor ? confirmInterval : fleetInterval(confirmInterval, this->daemonCount);
            this->confirmationLimit = settings.confirmInterval + confirmationGrace;
            this->endView();
            this->view = std::make_unique<PrefixView>(
                this->wire.upstreamPrefix(), settings, this->store, this->now,
                [this](const PrefixView::Items &items) { this->onItems(items); });
        } else if (!isNeeded && this->view) {
            this->endView();
            this->isOutdated = true;
            this->direct.setTrusted(false);
        }
        if (this->view) {
            this->view->advance();
            this->copyLog.update(*this->view, this->now());
            if (this->view->readStartedAt() > this->takenInReadAt) {
                this->onItems(this->view->items());
            }
            if (this->directory.confirm(this->view->confirmedAt())) {
                this->publish("confirmation");
            }
            this->direct.setOutdated(this->outdatedEntries());
            // While the store doesn't answer, it can't have published a change to anybody, so the
            // entries known before are as good as any.
            const auto isOverdue = this->now() - this->viewStartedAt > readTimeout;
            if (this->view->isLoaded() || isOverdue) {
                this->direct.setTrusted(true);
            }
        }
        if (const auto due = this->directoryDue(); due && *due <= this->now()) {
            this->directory.advance(this->now());
            this->publish("time");
        }
    }

    /// Reads all entries anew once it is `moment`, unless they have been read since.
    auto listAnewAfter(Instant moment) -> void
    {
        if (this->view && this->viewStartedAt < moment && this->now() >= moment) {
            this->endView();
        }
    }

    /// @returns when the store has last confirmed the entries; Instant{} while they aren't watched
    [[nodiscard]] auto confirmedAt() const -> Instant
    {
        return this->view ? this->view->confirmedAt() : Instant{};
    }
    /// @returns whether the entries are watched, and the store has confirmed them so lately that an
    ///          upstream that has left since may still get requests
    [[nodiscard]] auto isCurrent() const -> bool
    {
        return this->view && !this->isOutdated
               && this->now() - this->directory.confirmedUpTo() < this->useAfterLastStay;
    }
    [[nodiscard]] auto lostWatchCount() const -> std::uint64_t
    {
        return this->endedViewLosses + (this->view ? this->view->lostWatchCount() : 0);
    }

    /// @returns a time at which no entry was missing from those published; Instant{} before all
    /// have been read
    [[nodiscard]] auto listedAt() const -> Instant { return this->allListedAt; }

    /// Reads the owners of a service's keys, at most some seconds old. An upstream that doesn't own
    /// a key rejects its requests without running them.
    /// @param recordKey store key of the service's range record
    auto readOwners(const ServiceName &service, const std::string &recordKey, Duration timeout)
        -> void
    {
        // A large record may arrive for longer than the time between two reads.
        if (!this->openOwnerReads.insert(recordKey).second) {
            return;
        }
        this->store(StoreGet{recordKey, true}, timeout,
                    [this, service, recordKey](const StoreAnswer &answer) {
                        this->openOwnerReads.erase(recordKey);
                        this->onOwners(service, answer);
                    });
    }

    [[nodiscard]] auto nextDue() const -> std::optional<Instant>
    {
        auto due = this->directoryDue();
        const auto next = this->view ? this->view->nextDue() : std::nullopt;
        if (next && (!due || *next < *due)) {
            due = next;
        }
        return due;
    }

private:
    /// Entries known before are trusted again where the store hasn't answered for this long; a slow
    /// store answers sooner.
    static constexpr Duration readTimeout = std::chrono::milliseconds{300};
    /// Longest pause after a failed read; another call that is answered ends it.
    static constexpr Duration longestRetryPause = std::chrono::milliseconds{500};
    /// How often the store has to confirm the entries: with the time after which a watch counts as
    /// lost, below the time after which a leaving upstream may get no request.
    static constexpr Duration confirmInterval = std::chrono::milliseconds{1200};
    /// While a grantor reaches the store, it announces so at intervals that are shorter than this.
    static constexpr Duration reachedNewsAge = std::chrono::milliseconds{1200};
    /// A confirmation is overdue this long after its interval.
    static constexpr Duration confirmationGrace = std::chrono::milliseconds{400};
    /// A grantor batches changes that follow another within this time; far below the time after
    /// which a leaving upstream may get no request.
    static constexpr Duration grantorGatherPause = std::chrono::milliseconds{300};
    /// Changes are batched for this long where this daemon is no grantor; also below half of that
    /// time.
    static constexpr Duration directGatherPause = std::chrono::milliseconds{600};

    /// Requests to an upstream that may have left stop this long before the end of its drain time,
    /// as they are on their way for a while.
    static constexpr Duration drainMargin = std::chrono::milliseconds{400};

    [[nodiscard]] static auto directorySettings(const UpstreamWatchSettings &settings)
        -> UpstreamDirectorySettings
    {
        UpstreamDirectorySettings result;
        result.useAfterLastStay = std::max(Duration{0}, settings.drainTime - drainMargin);
        return result;
    }

    /// @returns the shortest absence of the store in which an entry can expire that is up to one
    ///          heartbeat old when it begins; a quarter of one is for heartbeats that come late
    [[nodiscard]] static auto shortestExpiry(Duration heartbeat) -> Duration
    {
        return heartbeat * 7 / 4;
    }

    /// @returns up to when the entries are known, where the store has been reached although it
    ///          hasn't confirmed them when this was due; empty otherwise. In an outage that all
    ///          daemons see, no leave is acknowledged, and entries stay in use.
    [[nodiscard]] auto outdatedEntries() const -> std::optional<OutdatedEntries>
    {
        const auto confirmed = this->directory.confirmedUpTo();
        const auto isLoaded = this->view->isLoaded();
        const auto due =
            isLoaded ? confirmed + this->confirmationLimit : this->viewStartedAt + readTimeout;
        const auto isStoreThere = !isLoaded && this->now() - this->reachedAt < reachedNewsAge;
        return isStoreThere || this->reachedAt >= due
                   ? std::optional(OutdatedEntries{confirmed, this->useAfterLastStay})
                   : std::nullopt;
    }

    /// @returns when the directory changes by itself. Entries that are kept without being watched
    ///          aren't looked at: a daemon's work would grow with the number of upstreams.
    [[nodiscard]] auto directoryDue() const -> std::optional<Instant>
    {
        return this->view ? this->directory.nextDue() : std::nullopt;
    }

    auto endView() -> void
    {
        this->endedViewLosses = this->lostWatchCount();
        this->view.reset();
        this->copyLog.onNewView();
    }

    auto onItems(const PrefixView::Items &items) -> void
    {
        std::vector<UpstreamEntry> entries;
        for (const auto &[key, item] : items) {
            if (auto entry = this->wire.upstreamEntry(item)) {
                entries.push_back(std::move(*entry));
            }
        }
        const auto listedAt = this->view->readStartedAt();
        if (std::exchange(this->isOutdated, false)) {
            this->directory.forget();
        }
        this->directory.update(entries,
                               UpstreamReading{listedAt, this->absence.failedAt(),
                                               this->absence.backAt(), this->view->confirmedAt()},
                               this->now());
        const auto isRead = std::exchange(this->takenInReadAt, listedAt) != listedAt;
        this->publish(isRead ? "list" : "watch");
        this->allListedAt = this->viewStartedAt;
    }

    /// @param cause what has brought the change, as it is logged
    auto publish(std::string_view cause) -> void
    {
        auto entries = this->directory.entries();
        this->evacuations.mark(entries);
        UpstreamEntryOrigin origin;
        origin.cause = cause;
        if (this->view) {
            origin.revision = this->view->revision();
            origin.sinceCall = this->now() - this->view->callStartedAt();
            origin.sinceRead = this->now() - this->view->readStartedAt();
        }
        origin.sinceFailure = this->now() - this->outage.failedAt();
        this->log.update(entries, origin);
        this->direct.setUpstreams(entries, this->now());
        this->lastEntries = entries;
        this->onEntries(entries);
    }

    auto onOwners(const ServiceName &service, const StoreAnswer &answer) -> void
    {
        const auto record =
            answer.items.empty() ? std::nullopt : decodeRangeRecord(answer.items.front().value);
        if (!record) {
            return;
        }
        std::vector<DirectOwner> owners;
        for (const auto &row : record->rows) {
            owners.push_back(
                DirectOwner{row.range, row.owner.id, row.owner.address, row.owner.incarnation});
        }
        this->direct.setOwners(service, owners);
    }

    const Wire &wire;
    SendStoreCall store;
    std::function<Instant()> now;
    UpstreamEntryLog log;
    CopyLog copyLog;
    Evacuations &evacuations;
    DirectChoice &direct;
    OnEntries onEntries;
    UpstreamDirectory directory;
    /// The directory has the entries of an earlier view, which missed the changes since it ended.
    /// Until they have been read anew, they may be used without a grantor, and answers tell of
    /// upstreams that have left since.
    bool isOutdated = false;
    std::uint64_t daemonCount = 0;
    /// Keys of the records that are being read.
    std::set<std::string> openOwnerReads;
    /// As last published.
    std::vector<UpstreamEntry> lastEntries;
    std::unique_ptr<PrefixView> view;
    /// Lost watches of earlier views.
    std::uint64_t endedViewLosses = 0;
    bool isForGrantor = false;
    Instant viewStartedAt{};
    /// Entries that the store hasn't confirmed for this long are overdue.
    Duration confirmationLimit{0};
    Instant allListedAt{};
    StoreOutage outage;
    /// The store has last answered then, this daemon or another one.
    Instant reachedAt{};
    /// An upstream that may have left is used for this long after it was last known to stay.
    Duration useAfterLastStay;
    /// In which entries of live upstreams may have expired.
    StoreAbsence absence;
    /// Begin of the read whose entries the directory has.
    Instant takenInReadAt{};
};

} // namespace gooseberrywall
