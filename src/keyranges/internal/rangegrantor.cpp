#include "keyranges/rangegrantor.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr KeyPosition lastKey = std::numeric_limits<KeyPosition>::max();
/// Bits of a fence that count the orders of one grantor; the term stands above them.
constexpr unsigned sequenceBits = 20;
/// Unanswered renewals after which an upstream counts as lost.
constexpr int lostAfterFailures = 2;

/// Renewals are sent earlier by up to this share of their interval.
constexpr double renewalSpread = 0.35;

} // namespace

RangeGrantor::RangeGrantor(RangeGrantorSettings settings, std::uint64_t term)
    : settings(settings)
    , term(term)
{
    this->pieces.emplace_back().range = KeySpan{0, lastKey};
}

auto RangeGrantor::adopt(const RangeRecord &record, Instant now) -> void
{
    for (const auto &row : record.rows) {
        this->splitAt(row.range.first);
        if (row.range.last != lastKey) {
            this->splitAt(static_cast<KeyPosition>(row.range.last + 1));
        }
        for (auto &piece : this->pieces) {
            if (!row.range.contains(piece.range.first)) {
                continue;
            }
            piece.phase = row.earlier.empty() ? Phase::Held : Phase::Clearing;
            piece.holder = row.owner;
            piece.earlier = row.earlier;
            piece.wasOwned = true;
            piece.isFenceOpen = true;
            piece.holdEnd = this->lastEnd(now, this->settings.longestHoldTime);
            // The earlier grantor's grant most likely goes on; a wrong guess is rejected unrun.
            piece.confirmedUntil =
                row.earlier.empty() ? now + this->settings.renewEvery : Instant{};
            piece.renewAt = now;
            piece.settledAt = now;
        }
    }
    this->storedRecord = this->recordVersion;
    this->takenRecord = this->recordVersion;
}

auto RangeGrantor::setUpstreams(const std::vector<UpstreamEntry> &entries, Instant now) -> void
{
    this->upstreams.clear();
    for (const auto &entry : entries) {
        this->upstreams[entry.id] = entry;
    }
    this->advance(now);
}

auto RangeGrantor::move(const std::vector<RangeMove> &moves, Instant now) -> void
{
    for (const auto &move : moves) {
        const auto *target = this->entryOf(move.target);
        if (target == nullptr || target->isDraining) {
            continue;
        }
        const auto isFree =
            std::all_of(this->pieces.begin(), this->pieces.end(), [&](const Piece &piece) {
                const auto isOutside =
                    piece.range.last < move.range.first || piece.range.first > move.range.last;
                return isOutside
                       || (piece.call.value == 0
                           && (piece.phase == Phase::Vacant || piece.phase == Phase::Held
                               || piece.phase == Phase::Expiring));
            });
        if (!isFree) {
            continue;
        }
        this->splitAt(move.range.first);
        if (move.range.last != lastKey) {
            this->splitAt(static_cast<KeyPosition>(move.range.last + 1));
        }
        for (auto &piece : this->pieces) {
            const auto isSame =
                piece.phase == Phase::Held && piece.holder && piece.holder->id == move.target;
            if (move.range.contains(piece.range.first) && !isSame) {
                piece.target = move.target;
                if (piece.phase != Phase::Held) {
                    piece.neededRecord = this->markChanged();
                }
            }
        }
    }
    this->advance(now);
}

auto RangeGrantor::onOrderEnd(const RangeOrderEnd &end, Instant now) -> void
{
    auto *piece = this->pieceOf(end.call);
    if (piece == nullptr) {
        return;
    }
    piece->call = CallId{};
    if (piece->phase == Phase::Releasing || piece->phase == Phase::Clearing) {
        this->onReleaseEnd(*piece, end, now);
    } else {
        this->onGrantEnd(*piece, end, now);
    }
    // Only this span can have something to do now; the others are looked at by advance().
    this->advancePiece(*piece, now);
}

auto RangeGrantor::onGrantEnd(Piece &piece, const RangeOrderEnd &end, Instant now) -> void
{
    using Kind = RangeOrderEnd::Kind;
    switch (end.kind) {
    case Kind::Accepted:
        if (piece.phase == Phase::Granting && piece.wasOwned) {
            this->moved += piece.range.size();
        }
        piece.settledAt = piece.phase == Phase::Granting ? now : piece.settledAt;
        if (piece.phase == Phase::Granting) {
            this->markChanged();
        }
        piece.phase = Phase::Held;
        piece.wasOwned = true;
        piece.failures = 0;
        piece.isFenceOpen = false;
        piece.earlier.clear();
        piece.holdEnd = std::max(piece.holdEnd, this->lastEnd(now, piece.sentHold));
        piece.confirmedUntil = piece.sentAt + piece.sentHold - this->settings.margin;
        piece.renewAt = piece.sentAt + this->renewalPause(piece);
        return;
    case Kind::OtherUpstream:
        this->vacate(piece, now);
        return;
    case Kind::FenceTooLow:
    case Kind::Rejected:
    case Kind::NotSent:
        piece.isFenceOpen = piece.isFenceOpen || end.kind == Kind::FenceTooLow;
        if (piece.phase == Phase::Granting && !piece.isFenceOpen) {
            this->vacate(piece, now);
        }
        break;
    case Kind::NoAnswer:
        piece.isFenceOpen = true;
        piece.holdEnd = std::max(piece.holdEnd, this->lastEnd(now, piece.sentHold));
        break;
    }
    ++piece.failures;
    piece.renewAt = now + this->settings.retryPause;
}

auto RangeGrantor::onReleaseEnd(Piece &piece, const RangeOrderEnd &end, Instant now) -> void
{
    using Kind = RangeOrderEnd::Kind;
    const auto isFree = end.kind == Kind::Accepted || end.kind == Kind::OtherUpstream;
    if (piece.phase == Phase::Clearing) {
        if (isFree) {
            // Grants of the earlier grantor may still be carried out; their time counts from
            // their arrival, which was before this.
            piece.holdEnd = std::min(piece.holdEnd, this->lastEnd(now, this->settings.holdTime));
            piece.isReleased = true;
        }
        piece.renewAt = isFree ? piece.holdEnd : now + this->settings.retryPause;
        return;
    }
    if (isFree) {
        piece.handover = end.handover;
        this->vacate(piece, now);
        return;
    }
    piece.phase = Phase::Expiring;
}

auto RangeGrantor::vacate(Piece &piece, Instant now) -> void
{
    piece.phase = Phase::Vacant;
    piece.holder.reset();
    piece.earlier.clear();
    piece.isFenceOpen = false;
    piece.failures = 0;
    piece.renewAt = now;
    piece.confirmedUntil = Instant{};
}

auto RangeGrantor::onRecordStored(std::uint64_t version, Instant now) -> void
{
    this->storedRecord = std::max(this->storedRecord, version);
    this->advance(now);
}

auto RangeGrantor::advance(Instant now) -> void
{
    const auto isAnyDue =
        std::any_of(this->pieces.begin(), this->pieces.end(), [&](const Piece &piece) {
            return piece.phase == Phase::Held && piece.call.value == 0
                   && this->isRenewalDue(piece, now);
        });
    if (isAnyDue) {
        this->coalesce();
    }
    for (auto &piece : this->pieces) {
        this->advancePiece(piece, now);
    }
}

auto RangeGrantor::advancePiece(Piece &piece, Instant now) -> void
{
    if (piece.call.value != 0) {
        return;
    }
    switch (piece.phase) {
    case Phase::Vacant:
        this->grantFirst(piece, now);
        return;
    case Phase::Granting:
        // The first grant was not answered: the same upstream, with a higher fence.
        if (this->hasEnded(*piece.holder)) {
            this->vacate(piece, now);
        } else if (piece.failures >= lostAfterFailures || !this->isUsable(*piece.holder)) {
            piece.phase = Phase::Expiring;
            piece.target.reset();
        } else if (now >= piece.renewAt) {
            this->renew(piece, this->holdNow(), now);
        }
        return;
    case Phase::Held:
        if (this->hasEnded(*piece.holder)) {
            this->vacate(piece, now);
            return;
        }
        if (piece.target && !piece.isFenceOpen && piece.confirmedUntil != Instant{}) {
            this->startMove(piece, now);
            return;
        }
        if (piece.failures >= lostAfterFailures && now >= piece.confirmedUntil) {
            piece.phase = Phase::Expiring;
            return;
        }
        // A grant on its way could be carried out after the release; a higher fence that the holder
        // has accepted rules that out, so a holder that is to lose the keys is renewed first.
        if (this->isRenewalDue(piece, now) && (piece.target || this->isUsable(*piece.holder))) {
            this->renew(piece, this->holdNow(), now);
        }
        return;
    case Phase::Expiring:
        if (now >= piece.holdEnd || this->hasEnded(*piece.holder)) {
            this->vacate(piece, now);
        }
        return;
    case Phase::Clearing:
        this->clearEarlier(piece, now);
        return;
    case Phase::Releasing:
        return;
    }
}

auto RangeGrantor::grantFirst(Piece &piece, Instant now) -> void
{
    const auto *target = piece.target ? this->entryOf(*piece.target) : nullptr;
    if (target == nullptr || target->isDraining) {
        piece.target.reset();
        return;
    }
    if (this->storedRecord < piece.neededRecord || now < piece.renewAt
        || now >= this->authorityEnd) {
        return;
    }
    piece.phase = Phase::Granting;
    piece.holder = RangeHolder{target->id, target->life, target->address};
    piece.target.reset();
    piece.fence = this->nextFence();
    piece.holdEnd = Instant{};
    piece.sentHold = this->holdNow();
    this->order(piece, RangeOrder::Kind::Grant, *piece.holder, now);
}

auto RangeGrantor::clearEarlier(Piece &piece, Instant now) -> void
{
    const auto before = piece.earlier.size();
    std::erase_if(piece.earlier, [&](const RangeHolder &holder) { return this->hasEnded(holder); });
    const auto hasWaited = now >= piece.holdEnd;
    if (hasWaited) {
        piece.earlier.clear();
    }
    if (piece.earlier.size() < before) {
        piece.isReleased = false;
        piece.renewAt = now;
    }
    if (piece.earlier.empty()) {
        piece.phase = Phase::Held;
        piece.renewAt = now;
        piece.holdEnd = this->lastEnd(now, this->settings.longestHoldTime);
        this->markChanged();
        return;
    }
    if (!piece.isReleased && now >= piece.renewAt && now < this->authorityEnd) {
        piece.fence = this->nextFence();
        this->order(piece, RangeOrder::Kind::Release, piece.earlier.front(), now);
    }
}

auto RangeGrantor::renew(Piece &piece, Duration hold, Instant now) -> void
{
    if (now >= this->authorityEnd) {
        return;
    }
    if (piece.isFenceOpen) {
        piece.fence = this->nextFence();
    }
    piece.sentHold = hold;
    this->order(piece, RangeOrder::Kind::Grant, *piece.holder, now);
}

auto RangeGrantor::startMove(Piece &piece, Instant now) -> void
{
    if (now >= this->authorityEnd) {
        return;
    }
    piece.phase = Phase::Releasing;
    piece.earlier = {*piece.holder};
    piece.neededRecord = this->markChanged();
    this->order(piece, RangeOrder::Kind::Release, *piece.holder, now);
}

auto RangeGrantor::order(Piece &piece, RangeOrder::Kind kind, const RangeHolder &to, Instant now)
    -> void
{
    piece.call = CallId{this->nextCall++};
    piece.sentAt = now;
    const auto isGrant = kind == RangeOrder::Kind::Grant;
    this->orders.push_back(RangeOrder{kind, piece.call, to.id, to.address, piece.range, piece.fence,
                                      isGrant ? piece.sentHold : Duration{0},
                                      isGrant ? piece.handover : std::string{}});
}

auto RangeGrantor::takeOrders() -> std::vector<RangeOrder>
{
    return std::exchange(this->orders, {});
}

auto RangeGrantor::splitAt(KeyPosition first) -> void
{
    const auto found =
        std::find_if(this->pieces.begin(), this->pieces.end(),
                     [&](const Piece &piece) { return piece.range.contains(first); });
    if (found == this->pieces.end() || found->range.first == first) {
        return;
    }
    auto upper = *found;
    upper.range.first = first;
    found->range.last = static_cast<KeyPosition>(first - 1);
    this->pieces.insert(std::next(found), std::move(upper));
}

auto RangeGrantor::coalesce() -> void
{
    std::vector<Piece> merged;
    for (auto &piece : this->pieces) {
        const auto isIdle = piece.phase == Phase::Held && piece.call.value == 0 && !piece.target
                            && piece.confirmedUntil != Instant{};
        auto *last = merged.empty() ? nullptr : &merged.back();
        const auto isLastIdle = last != nullptr && last->phase == Phase::Held
                                && last->call.value == 0 && !last->target
                                && last->confirmedUntil != Instant{};
        if (!isIdle || !isLastIdle || last->holder != piece.holder) {
            merged.push_back(std::move(piece));
            continue;
        }
        last->isFenceOpen = last->isFenceOpen || piece.isFenceOpen || last->fence != piece.fence;
        last->fence = std::max(last->fence, piece.fence);
        last->range.last = piece.range.last;
        last->holdEnd = std::max(last->holdEnd, piece.holdEnd);
        last->confirmedUntil = std::min(last->confirmedUntil, piece.confirmedUntil);
        last->renewAt = std::min(last->renewAt, piece.renewAt);
        last->settledAt = std::max(last->settledAt, piece.settledAt);
        last->failures = std::max(last->failures, piece.failures);
        if (last->handover != piece.handover) {
            last->handover.clear();
        }
    }
    this->pieces = std::move(merged);
}

auto RangeGrantor::markChanged() -> std::uint64_t
{
    if (this->recordVersion == this->takenRecord) {
        ++this->recordVersion;
    }
    return this->recordVersion;
}

auto RangeGrantor::pieceOf(CallId call) -> Piece *
{
    const auto found = std::find_if(this->pieces.begin(), this->pieces.end(),
                                    [&](const Piece &piece) { return piece.call == call; });
    return found == this->pieces.end() ? nullptr : &*found;
}

auto RangeGrantor::entryOf(const UpstreamId &id) const -> const UpstreamEntry *
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

auto RangeGrantor::hasEnded(const RangeHolder &holder) const -> bool
{
    const auto *entry = this->entryOf(holder.id);
    return entry != nullptr && entry->life != holder.life;
}

auto RangeGrantor::isUsable(const RangeHolder &holder) const -> bool
{
    const auto *entry = this->entryOf(holder.id);
    return entry != nullptr && !entry->isDraining && entry->life == holder.life;
}

auto RangeGrantor::lastEnd(Instant now, Duration hold) const -> Instant
{
    const auto slack = static_cast<double>(hold.count()) * this->settings.clockSlack;
    return now + hold + Duration{static_cast<std::int64_t>(slack)} + this->settings.margin;
}

auto RangeGrantor::holdNow() const -> Duration
{
    return this->prolonging ? this->settings.longestHoldTime : this->settings.holdTime;
}

auto RangeGrantor::isRenewalDue(const Piece &piece, Instant now) const -> bool
{
    const auto isTooShort =
        this->prolonging && piece.sentHold < this->settings.longestHoldTime && piece.failures == 0;
    return now >= piece.renewAt || isTooShort;
}

auto RangeGrantor::renewalPause(const Piece &piece) const -> Duration
{
    // Spans fall due at different times, so that renewals don't come in bursts.
    constexpr std::uint32_t scatter = 2654435761U;
    const auto share = static_cast<double>((piece.range.first * scatter) >> 16U) / 65536.0;
    const auto factor = 1 - renewalSpread * share;
    return Duration{
        static_cast<std::int64_t>(static_cast<double>(this->settings.renewEvery.count()) * factor)};
}

auto RangeGrantor::nextFence() -> std::uint64_t
{
    ++this->sequence;
    return (this->term << sequenceBits) + this->sequence;
}

} // namespace gooseberrywall
