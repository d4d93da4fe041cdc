#include "storelink/prefixview.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

PrefixView::PrefixView(std::string prefix, PrefixViewSettings settings, SendStoreCall send,
                       std::function<Instant()> now, OnChange onChange)
    : prefix(std::move(prefix))
    , settings(settings)
    , send(std::move(send))
    , now(std::move(now))
    , onChange(std::move(onChange))
    , alive(std::make_shared<bool>(true))
{
}

PrefixView::~PrefixView() = default;

auto PrefixView::advance() -> void
{
    if (this->isCalling || this->isPaused || this->now() < this->due) {
        return;
    }
    if (this->isWatching) {
        this->watch();
        return;
    }
    this->reading.clear();
    this->readingFrom = StoreRevision{};
    this->readPage("");
}

auto PrefixView::nextDue() const -> std::optional<Instant>
{
    return this->isCalling || this->isPaused ? std::nullopt : std::optional(this->due);
}

auto PrefixView::readPage(const std::string &after) -> void
{
    this->call(StoreRange{this->prefix, after}, this->settings.readTimeout, &PrefixView::onPage);
}

auto PrefixView::onPage(const StoreAnswer &answer) -> void
{
    if (answer.kind != StoreAnswer::Kind::Ok) {
        this->fail();
        return;
    }
    // Pages aren't a snapshot: watching starts from the first page's revision.
    if (this->readingFrom.value == 0) {
        this->readingFrom = answer.revision;
    }
    for (const auto &item : answer.items) {
        this->reading[item.key] = item;
    }
    this->failures = 0;
    if (answer.hasMore && !answer.items.empty()) {
        this->readPage(answer.items.back().key);
        return;
    }
    const auto isChanged = !this->loaded || this->copy != this->reading;
    this->copy = std::move(this->reading);
    this->reading.clear();
    this->position = this->readingFrom;
    this->loaded = true;
    this->isWatching = true;
    this->due = this->now();
    if (isChanged) {
        this->onChange(this->copy);
    }
}

auto PrefixView::watch() -> void
{
    const auto wait = this->settings.watchWait;
    this->call(StoreWatch{this->prefix, this->position, wait}, wait + this->settings.watchSlack,
               &PrefixView::onEvents);
}

auto PrefixView::onEvents(const StoreAnswer &answer) -> void
{
    if (answer.kind == StoreAnswer::Kind::HistoryGone) {
        this->isWatching = false;
        this->due = this->now();
        return;
    }
    if (answer.kind != StoreAnswer::Kind::Ok) {
        this->fail();
        return;
    }
    this->failures = 0;
    for (const auto &item : answer.items) {
        const auto known = this->copy.find(item.key);
        const auto isOld = known != this->copy.end() && known->second.revision >= item.revision;
        if (isOld) {
            continue;
        }
        if (item.isRemoved) {
            this->copy.erase(item.key);
        } else {
            this->copy[item.key] = item;
        }
    }
    this->position = std::max(this->position, answer.revision);
    this->due = this->now() + (answer.items.empty() ? Duration{0} : this->settings.gatherPause);
    if (!answer.items.empty()) {
        this->onChange(this->copy);
    }
}

auto PrefixView::fail() -> void
{
    const auto doublings = std::min(this->failures, 4);
    ++this->failures;
    // A watch that failed may have missed a reset of the store's history: read again.
    this->isWatching = false;
    this->due =
        this->now()
        + std::min(this->settings.longestPause, this->settings.firstPause * (1 << doublings));
}

auto PrefixView::call(StoreCall call, Duration timeout,
                      void (PrefixView::*done)(const StoreAnswer &)) -> void
{
    this->isCalling = true;
    this->send(std::move(call), timeout,
               [this, done, watcher = std::weak_ptr<bool>(this->alive)](const StoreAnswer &answer) {
                   if (watcher.expired()) {
                       return;
                   }
                   this->isCalling = false;
                   (this->*done)(answer);
               });
}

} // namespace gooseberrywall
