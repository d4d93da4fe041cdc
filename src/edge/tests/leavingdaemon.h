#pragma once

#include "edge/configurationrelay.h"
#include "edge/grantorwatch.h"
#include "edge/tests/leavingcell.h"
#include "edge/tests/textwire.h"

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// A daemon of the cell: what of EdgeDaemon takes part in the choice of upstreams.
struct LeavingCell::Daemon
{
    /// A grantor that the store has not answered for this long is cut off where the store answers
    /// the grantor of another service.
    static constexpr Duration cutOffLag = ConfigurationRelaySettings{}.cutOffLag;
    /// What other grantors announce of the store is up to this old.
    static constexpr Duration otherGrantorLag = std::chrono::milliseconds{500};
    static constexpr Duration heartbeat = std::chrono::milliseconds{870};
    static constexpr Duration directWatchTime = std::chrono::seconds{3};

    struct Running
    {
        UpstreamId upstream;
        /// Empty for a request that was sent without a permit.
        std::optional<PermitId> permit;
        Instant endsAt;
    };

    FakeStore &fakeStore;
    /// Expires with the daemon, so that answers that arrive later are dropped.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    TextWire wire;
    Logger logger{"error", 1};
    RequestLog log{this->logger, 0};
    std::uint64_t storeEra = 0;
    std::optional<Instant> directSentAt;
    PermitClient permits;
    UpstreamStatements statements{UpstreamStatementSettings{}};
    DirectChoice direct;
    GrantorRoles roles;
    GrantorWatch grantors;
    Evacuations evacuations{this->logger};
    UpstreamWatch<TextWire> upstreams;
    std::vector<UpstreamEntry> entries;
    std::vector<Running> running;
    /// The store refuses this daemon's calls until then.
    Instant refusedUntil{};
    /// How it does so; empty: it executes them all the same.
    std::optional<StoreRefusal> refusal;
    /// The store has last answered then.
    Instant reachedAt{};
    Instant nextRequestAt{};

    Daemon(const GrantorRoleSettings &settings, FakeStore &fakeStore, const SendStoreCall &store,
           const std::function<Instant()> &now)
        : fakeStore(fakeStore)
        , permits(settings.peerAddress, settings.incarnation, PermitClientSettings{})
        , direct(settings.incarnation, this->statements)
        , roles(
              settings, this->senderOf(store, now),
              [](const RangeOrder &, const std::function<void(RangeOrderEnd)> &) {}, now,
              this->logger, this->log)
        , grantors(watchSettings(settings), this->senderOf(store, now), now, this->permits,
                   this->roles, this->logger)
        , upstreams(this->wire, UpstreamWatchSettings{heartbeat}, this->senderOf(store, now), now,
                    this->logger, this->evacuations, this->direct,
                    [this](const std::vector<UpstreamEntry> &entries) {
                        this->entries = entries;
                        this->roles.onUpstreams(entries);
                    })
    {
        ServiceSpec spec;
        spec.name = TextWire::service();
        this->roles.setServices({spec});
        this->grantors.setServices({spec});
    }

    static auto watchSettings(const GrantorRoleSettings &settings) -> GrantorWatchSettings
    {
        GrantorWatchSettings result;
        result.grantorPrefix = settings.grantorPrefix;
        result.daemon = settings.daemon;
        result.processorCores = settings.processorCores;
        return result;
    }

    auto senderOf(const SendStoreCall &store, const std::function<Instant()> &now) -> SendStoreCall
    {
        return [this, store, now](StoreCall call, Duration timeout,
                                  std::function<void(StoreAnswer)> done) {
            const auto end = [this, sentAt = now(), done = std::move(done),
                              watcher = std::weak_ptr<bool>(this->alive)](StoreAnswer answer) {
                if (!watcher.expired()) {
                    this->onStoreAnswer(answer, sentAt);
                    done(answer);
                }
            };
            const auto deadline = now() + timeout;
            if (now() < this->refusedUntil && this->refusal) {
                this->loseCall(deadline, end);
                return;
            }
            store(std::move(call), timeout,
                  [this, now, deadline, end,
                   watcher = std::weak_ptr<bool>(this->alive)](StoreAnswer answer) {
                      if (watcher.expired()) {
                          return;
                      }
                      const auto isRefused = now() < this->refusedUntil;
                      if (isRefused && this->refusal
                          && this->refusal->kind == RefusalKind::Silent) {
                          this->loseCall(deadline, end);
                          return;
                      }
                      if (isRefused) {
                          answer = StoreAnswer{};
                          answer.kind = StoreAnswer::Kind::Refused;
                      }
                      end(answer);
                  });
        };
    }

    /// Ends a call whose answer doesn't arrive.
    auto loseCall(Instant deadline, const std::function<void(StoreAnswer)> &end) -> void
    {
        const auto isSilent = this->refusal->kind == RefusalKind::Silent;
        this->fakeStore.loseCall(isSilent ? deadline - this->fakeStore.now() : stepTime, end);
    }

    auto onStoreAnswer(const StoreAnswer &answer, Instant sentAt) -> void
    {
        this->onStoreEra(answer.era.value_or(0));
        this->reachedAt = isFailure(answer.kind) ? this->reachedAt : this->fakeStore.now();
        this->upstreams.onStoreAnswer(answer, sentAt);
        this->grantors.onStoreAnswer(answer, sentAt);
    }

    auto onStoreEra(std::uint64_t era) -> void
    {
        if (era <= this->storeEra) {
            return;
        }
        this->storeEra = era;
        this->grantors.onStoreEra(era);
        this->upstreams.onStoreEra(era);
        this->roles.onStoreEra(era);
    }

    auto advance(Instant now) -> void
    {
        this->grantors.advance();
        const auto isOtherGrantorReaching = this->refusal && this->refusal->isOtherGrantorReaching;
        if (isOtherGrantorReaching) {
            this->upstreams.onStoreReachedByOther(now - otherGrantorLag);
        }
        this->roles.setCutOff(isOtherGrantorReaching && now - this->reachedAt >= cutOffLag);
        this->roles.advance();
        this->upstreams.onStatements(this->roles.takeStatements());
        const auto isRecent = [now](const std::optional<Instant> &last) {
            return last && now - *last < directWatchTime;
        };
        this->upstreams.advance(this->roles.servingCount() > 0,
                                isRecent(this->permits.lastNoGrantorAt())
                                    || isRecent(this->directSentAt));
        this->roles.onUpstreamsListed(this->upstreams.listedAt(), this->upstreams.isCurrent());
        this->permits.advance(now);
    }
};

} // namespace gooseberrywall
