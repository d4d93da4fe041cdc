#include "keyranges/rangegrantor.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

/// While anything is in transition, it is looked at this often.
constexpr Duration tick = std::chrono::milliseconds{50};
/// Without authority no owner can be given; for how long isn't known.
constexpr Duration outagePause = std::chrono::seconds{2};
/// Renewals that fall due together are sent together.
constexpr Duration leastPause = std::chrono::milliseconds{20};

} // namespace

auto RangeGrantor::takeRecord(std::uint64_t &version) -> std::optional<RangeRecord>
{
    if (this->takenRecord == this->recordVersion) {
        return std::nullopt;
    }
    this->takenRecord = this->recordVersion;
    version = this->recordVersion;
    RangeRecord record;
    for (const auto &piece : this->pieces) {
        RangeRow row{piece.range, {}, piece.earlier};
        if (piece.holder) {
            row.owner = *piece.holder;
        }
        if (piece.target) {
            if (const auto *entry = this->entryOf(*piece.target)) {
                const auto isHolderListed =
                    !piece.holder
                    || std::find(row.earlier.begin(), row.earlier.end(), *piece.holder)
                           != row.earlier.end();
                if (!isHolderListed) {
                    row.earlier.push_back(*piece.holder);
                }
                row.owner = RangeHolder{entry->id, entry->life, entry->address};
            }
        }
        if (row.owner.id.empty()) {
            continue;
        }
        const auto isSame = !record.rows.empty() && record.rows.back().owner == row.owner
                            && record.rows.back().earlier == row.earlier
                            && record.rows.back().range.last + 1 == row.range.first;
        if (isSame) {
            record.rows.back().range.last = row.range.last;
        } else {
            record.rows.push_back(std::move(row));
        }
    }
    return record;
}

auto RangeGrantor::isRecordUrgent() const -> bool
{
    return std::any_of(this->pieces.begin(), this->pieces.end(), [&](const Piece &piece) {
        const auto isMoving = piece.phase == Phase::Vacant || piece.phase == Phase::Releasing;
        return isMoving && piece.target && piece.neededRecord > this->storedRecord;
    });
}

auto RangeGrantor::owners(Instant now) const -> std::vector<OwnedSpan>
{
    std::vector<OwnedSpan> spans;
    for (const auto &piece : this->pieces) {
        OwnedSpan span{piece.range, std::nullopt, Instant{}};
        if (piece.phase == Phase::Held && now < piece.confirmedUntil
            && this->isUsable(*piece.holder)) {
            span.owner = piece.holder->id;
        } else if (piece.phase == Phase::Expiring) {
            span.readyAt = piece.holdEnd;
        } else if (now >= this->authorityEnd) {
            span.readyAt = this->authorityEnd + outagePause;
        }
        const auto isSame = !spans.empty() && spans.back().owner == span.owner
                            && spans.back().readyAt == span.readyAt
                            && spans.back().span.last + 1 == span.span.first;
        if (isSame) {
            spans.back().span.last = span.span.last;
        } else {
            spans.push_back(span);
        }
    }
    return spans;
}

auto RangeGrantor::views() const -> std::vector<RangeView>
{
    std::vector<RangeView> result;
    for (const auto &piece : this->pieces) {
        RangeView view{piece.range, std::nullopt, false, piece.settledAt};
        if (piece.target) {
            view.owner = piece.target;
        } else if (piece.holder && piece.phase != Phase::Expiring
                   && (piece.phase != Phase::Held || this->isUsable(*piece.holder))) {
            view.owner = piece.holder->id;
        }
        view.isSettled = piece.call.value == 0 && piece.phase == Phase::Held && !piece.target
                         && !piece.isFenceOpen;
        result.push_back(view);
    }
    return result;
}

auto RangeGrantor::nextDue(Instant now) const -> Instant
{
    auto due = now + this->settings.renewEvery;
    for (const auto &piece : this->pieces) {
        if (piece.call.value != 0) {
            continue;
        }
        if (piece.phase == Phase::Held && this->isUsable(*piece.holder)) {
            due = std::min(due, std::max(piece.renewAt, now + leastPause));
        } else {
            due = std::min(due, now + tick);
        }
    }
    return due;
}

} // namespace gooseberrywall
