#include "storelink/prefixview.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

PrefixView::PrefixView(std::string prefix, PrefixViewSettings settings, SendStoreCall send,
                       std::function<Instant()> now, OnChange onChange, IsArriving isArriving)
    : prefix(std::move(prefix))
    , settings(settings)
    , send(std::move(send))
    , now(std::move(now))
    , onChange(std::move(onChange))
    , isArriving(std::move(isArriving))
    , alive(std::make_shared<bool>(true))
{
}

PrefixView::~PrefixView() = default;

auto PrefixView::advance() -> void
{
    if (this->isPaused) {
        return;
    }
    const auto isOverdue =
        this->isCalling && this->isWatching && this->now() >= this->watchDeadline();
    if (isOverdue && !this->isAnswerArriving()) {
        this->replaceWatch();
    }
    if (this->isCalling || this->now() < this->due) {
        return;
    }
    if (this->isWatching) {
        this->watch();
        return;
    }
    this->newCopy.clear();
    this->newCopyRevision = StoreRevision{};
    this->newCopyReadStartedAt = this->now();
    this->readPage("");
}

auto PrefixView::setPolling(bool polling) -> void
{
    if (this->isPolling == polling) {
        return;
    }
    this->isPolling = polling;
    // A copy that was polled may lack changes before the revision that it was read at.
    this->isWatching = false;
    this->due = std::min(this->due, this->now());
}

auto PrefixView::onStoreEra(std::uint64_t era) -> void
{
    if (this->isCopyLoaded && eraOf(this->copyRevision) < era) {
        this->readAnew();
    }
}

auto PrefixView::readSince(Instant moment) -> void
{
    const auto isReading = this->isCalling && !this->isWatching;
    const auto startedAt = isReading ? this->newCopyReadStartedAt : this->copyReadStartedAt;
    if (startedAt < moment) {
        this->readAnew();
    }
}

auto PrefixView::readAnew() -> void
{
    ++this->callNumber;
    this->isCalling = false;
    this->isWatching = false;
    this->due = this->now();
}

auto PrefixView::nextDue() const -> std::optional<Instant>
{
    if (this->isPaused) {
        return std::nullopt;
    }
    if (!this->isCalling) {
        return this->due;
    }
    if (!this->isWatching) {
        return std::nullopt;
    }
    const auto deadline = this->watchDeadline();
    return this->isAnswerArriving()
               ? std::max(deadline, this->now() + this->settings.arrivalCheckInterval)
               : deadline;
}

auto PrefixView::readPage(const std::string &after) -> void
{
    this->isReadStale = this->isPolling;
    this->call(StoreRange{this->prefix, after, this->isReadStale}, this->settings.readTimeout,
               &PrefixView::onPage);
}

auto PrefixView::onPage(const StoreAnswer &answer) -> void
{
    const auto isPageMissing = answer.hasMore && answer.items.empty();
    if (answer.kind != StoreAnswer::Kind::Ok || isPageMissing) {
        this->scheduleRetry();
        return;
    }
    this->onAnswerTime(this->now() - this->lastCallAt);
    // The pages may be read at different revisions. Watching from that of the first page brings
    // every change that a later page may have missed.
    if (this->newCopyRevision.value == 0) {
        this->newCopyRevision = answer.revision;
    }
    if (eraOf(answer.revision) != eraOf(this->newCopyRevision)) {
        this->readAnew();
        return;
    }
    for (const auto &item : answer.items) {
        this->newCopy[item.key] = item;
    }
    this->failures = 0;
    this->isWatchRepeated = false;
    if (answer.hasMore) {
        this->readPage(answer.items.back().key);
        return;
    }
    this->isWatching = !this->isPolling;
    this->due = this->now() + (this->isPolling ? this->settings.pollInterval : Duration{0});
    this->adoptPages();
}

auto PrefixView::adoptPages() -> void
{
    const auto isOlder =
        this->isReadStale && this->isCopyLoaded && this->newCopyRevision < this->copyRevision;
    const auto isChanged = !isOlder && (!this->isCopyLoaded || this->copy != this->newCopy);
    if (!isOlder) {
        this->copy = std::move(this->newCopy);
        this->copyRevision = this->newCopyRevision;
        this->copyReadStartedAt = this->newCopyReadStartedAt;
        this->isCopyLoaded = true;
    }
    if (!this->isReadStale) {
        this->copyConfirmedAt = std::max(this->copyConfirmedAt, this->newCopyReadStartedAt);
    }
    this->newCopy.clear();
    if (isChanged) {
        this->onChange(this->copy);
    }
}

auto PrefixView::watch() -> void
{
    const auto interval = this->settings.confirmInterval;
    const auto untilDue = this->copyConfirmedAt + interval - this->now();
    this->openWait = std::clamp<Duration>(untilDue, this->settings.shortestWait, interval);
    this->call(StoreWatch{this->prefix, this->copyRevision, this->openWait},
               this->openWait + this->answerGrace(), &PrefixView::onEvents);
}

auto PrefixView::watchDeadline() const -> Instant
{
    return this->lastCallAt + std::min(this->openWait, this->settings.confirmInterval)
           + this->answerGrace();
}

auto PrefixView::answerGrace() const -> Duration
{
    return std::clamp(2 * this->answerTime, this->settings.watchAnswerGrace,
                      this->settings.longestAnswerGrace);
}

auto PrefixView::onAnswerTime(Duration time) -> void
{
    this->answerTime = std::max(time, this->answerTime / 2);
}

auto PrefixView::replaceWatch() -> void
{
    ++this->callNumber;
    this->isCalling = false;
    // After the interval was shortened, the answer to an older watch may not be due yet.
    const auto isLost = this->now() >= this->lastCallAt + this->openWait + this->answerGrace();
    if (isLost) {
        this->onWatchLost();
        return;
    }
    this->due = this->now();
}

auto PrefixView::onWatchLost() -> void
{
    ++this->lostWatches;
    if (std::exchange(this->isWatchRepeated, true)) {
        this->scheduleRetry();
        return;
    }
    this->due = this->now();
}

auto PrefixView::onEvents(const StoreAnswer &answer) -> void
{
    if (answer.kind == StoreAnswer::Kind::HistoryGone) {
        this->isWatching = false;
        this->due = this->now();
        return;
    }
    if (answer.kind == StoreAnswer::Kind::Unknown) {
        this->onWatchLost();
        return;
    }
    if (answer.kind != StoreAnswer::Kind::Ok) {
        this->scheduleRetry();
        return;
    }
    this->failures = 0;
    this->isWatchRepeated = false;
    if (eraOf(answer.revision) != eraOf(this->copyRevision)) {
        this->readAnew();
        return;
    }
    // A change may have been answered at any time since the watch was sent.
    const auto isWaitOver =
        answer.items.empty() && this->now() - this->lastCallAt >= this->openWait;
    if (isWaitOver) {
        this->onAnswerTime(this->now() - this->lastCallAt - this->openWait);
    }
    this->copyConfirmedAt = std::max(
        this->copyConfirmedAt, this->lastCallAt + (isWaitOver ? this->openWait : Duration{0}));
    for (const auto &item : answer.items) {
        const auto copied = this->copy.find(item.key);
        const auto isKnown = copied != this->copy.end() && copied->second.revision >= item.revision;
        if (isKnown) {
            continue;
        }
        if (item.isRemoved) {
            this->copy.erase(item.key);
        } else {
            this->copy[item.key] = item;
        }
    }
    this->copyRevision = std::max(this->copyRevision, answer.revision);
    this->due = this->now() + (answer.items.empty() ? Duration{0} : this->settings.gatherPause);
    if (!answer.items.empty()) {
        this->onChange(this->copy);
    }
}

auto PrefixView::scheduleRetry() -> void
{
    const auto doublings = std::min(this->failures, 4);
    ++this->failures;
    // The store may have reset its history while the watch failed, so all keys are read again.
    this->isWatching = false;
    this->due = this->now()
                + std::min(this->settings.longestRetryPause,
                           this->settings.firstRetryPause * (1 << doublings));
}

auto PrefixView::call(StoreCall call, Duration timeout,
                      void (PrefixView::*onAnswer)(const StoreAnswer &)) -> void
{
    this->isCalling = true;
    this->lastCallAt = this->now();
    this->send(std::move(call), timeout,
               [this, onAnswer, number = ++this->callNumber,
                watcher = std::weak_ptr<bool>(this->alive)](const StoreAnswer &answer) {
                   if (watcher.expired() || number != this->callNumber) {
                       return;
                   }
                   this->isCalling = false;
                   (this->*onAnswer)(answer);
               });
}

} // namespace gooseberrywall
