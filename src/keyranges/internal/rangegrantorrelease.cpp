#include "keyranges/internal/keyrangelists.h"
#include "keyranges/rangegrantor.h"

#include <algorithm>
#include <iterator>
#include <utility>

// How a RangeGrantor finds owners for outdated ranges without waiting until all earlier grants have
// run out.
namespace gooseberrywall {

auto RangeGrantor::advanceReleaseRound(Instant now) -> void
{
    auto ranges = this->uncertainRanges();
    if (!this->settings.doReleasesRaiseFences || ranges.empty() || now >= this->authorityEnd) {
        return;
    }
    if (this->releaseRoundTerm != this->term) {
        if (!this->hasFence()) {
            return;
        }
        this->startReleaseRound();
    }
    for (const auto &[id, entry] : this->upstreams) {
        this->releaseRound.addUpstream(RangeHolder{id, entry.incarnation, entry.address});
    }
    this->releaseRound.setRanges(std::move(ranges));
    if (this->areAllUpstreamsListed) {
        this->endReleasedRanges(now);
    }
    auto releases = this->releaseRound.takeOrders(this->nextCallId, now);
    this->orders.insert(this->orders.end(), std::make_move_iterator(releases.begin()),
                        std::make_move_iterator(releases.end()));
}

auto RangeGrantor::endReleasedRanges(Instant now) -> void
{
    const auto unreleased = this->releaseRound.unreleased(now);
    for (auto &state : this->rangeStates) {
        if (state.phase != Phase::Outdated || overlapsAny(unreleased, state.range)) {
            continue;
        }
        if (!state.holder || !this->isUsable(*state.holder)) {
            this->endOutdated(state, now);
            continue;
        }
        // The likely owner may hold an earlier grant until `latestHoldEnd`, which therefore stays.
        state.phase = Phase::Held;
        state.needsNewFence = true;
        state.confirmedUntil = now + this->settings.renewalInterval;
        state.nextOrderAt = now;
        this->markRecordChanged();
    }
    this->releaseRound.setRanges(this->uncertainRanges());
}

auto RangeGrantor::startReleaseRound() -> void
{
    // Answers under an earlier term don't bar grants of a grantor that has led since.
    this->releaseRoundTerm = this->term;
    this->releaseRound.start(this->nextFence());
    for (const auto &holder : this->recordedHolders) {
        this->releaseRound.addUpstream(holder);
    }
}

auto RangeGrantor::uncertainRanges() const -> std::vector<UncertainRange>
{
    std::vector<UncertainRange> result;
    for (const auto &state : this->rangeStates) {
        if (state.phase != Phase::Outdated) {
            continue;
        }
        const auto mayKeep = state.holder && this->isUsable(*state.holder);
        result.push_back(
            UncertainRange{state.range, mayKeep ? std::optional(state.holder->id) : std::nullopt});
    }
    return result;
}

auto RangeGrantor::releaseRoundStatus() const -> ReleaseRoundStatus
{
    ReleaseRoundStatus status;
    if (this->releaseRoundTerm != this->term) {
        return status;
    }
    for (const auto &state : this->rangeStates) {
        status.outdatedKeys += state.phase == Phase::Outdated ? state.range.size() : 0;
    }
    status.isActive = status.outdatedKeys > 0;
    status.upstreams = this->releaseRound.upstreamCount();
    status.orders = this->releaseRound.orderCount();
    status.silent = this->releaseRound.silentUpstreams();
    return status;
}

} // namespace gooseberrywall
