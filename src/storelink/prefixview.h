#pragma once

#include "storelink/types/storecalls.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace gooseberrywall {

struct PrefixViewSettings
{
    /// See PrefixView::setConfirmInterval().
    Duration confirmInterval = std::chrono::seconds{29};
    Duration readTimeout = std::chrono::milliseconds{1000};
    /// Pause after a failed call: doubled with each further failure, up to the longest.
    Duration firstRetryPause = std::chrono::milliseconds{250};
    Duration longestRetryPause = std::chrono::seconds{2};
    /// Pause between the changes that a watch reports and the next watch, so that one answer brings
    /// all changes that come close together.
    Duration gatherPause = std::chrono::milliseconds{60};
    /// A watch counts as lost this long after its answer was due, and later where the store is
    /// slow: after twice the time that its answers take, up to the longest.
    Duration watchAnswerGrace = std::chrono::milliseconds{400};
    Duration longestAnswerGrace = std::chrono::milliseconds{1500};
    /// While an answer arrives, an overdue watch is looked at again after this time.
    Duration arrivalCheckInterval = std::chrono::milliseconds{100};
    /// Shortest wait of a watch.
    Duration shortestWait = std::chrono::milliseconds{10};
    /// Time between two reads while polling.
    Duration pollInterval = std::chrono::milliseconds{500};
    auto operator==(const PrefixViewSettings &) const -> bool = default;
};

/// @param daemonCount daemons that may have a copy confirmed at the same time
/// @returns the interval for each of them: in large fleets it grows with the number of daemons, so
///          that their calls together don't
[[nodiscard]] constexpr auto fleetInterval(Duration interval, std::uint64_t daemonCount) -> Duration
{
    constexpr std::uint64_t daemonsWithoutDelay = 40;
    const auto factor = std::max<std::uint64_t>(1, daemonCount / daemonsWithoutDelay);
    return interval * static_cast<std::int64_t>(factor);
}

/// Keeps a copy of all keys of the store that begin with a prefix: reads them once, then watches
/// for changes. The copy is confirmed by answers to its own reads and watches only: that the store
/// answers other calls doesn't show that a waiting watch will be answered. Does no input or output
/// itself: calls go through `send`, and advance() starts them when they are due.
class PrefixView
{
public:
    using Items = std::map<std::string, StoreItem>;
    /// Called after each change of the copy, with the whole copy.
    using OnChange = std::function<void(const Items &items)>;
    using IsArriving = std::function<bool()>;

    /// @param send sends calls to the store
    /// @param now reads the clock
    /// @param onChange called whenever the copy has changed
    /// @param isArriving tells whether an answer of the store is arriving: a large one over a slow
    ///        link isn't taken for lost. Without it, answers are expected to be small.
    PrefixView(std::string prefix, PrefixViewSettings settings, SendStoreCall send,
               std::function<Instant()> now, OnChange onChange, IsArriving isArriving = {});
    ~PrefixView();
    PrefixView(const PrefixView &) = delete;
    auto operator=(const PrefixView &) -> PrefixView & = delete;

    /// Starts the next call if it is due.
    auto advance() -> void;
    /// While paused, no call is started, so the copy gets out of date. The answer to a call that is
    /// already open is still applied.
    auto setPaused(bool paused) -> void { this->isPaused = paused; }
    /// While polling, the keys are read from time to time instead of watched, and the copy may be
    /// seconds old; this costs the store far less.
    auto setPolling(bool polling) -> void;
    /// Sets how often an answer to a watch has to confirm the copy. A watch waits no longer than
    /// that; one that is open for longer is sent again, as its answer may be lost.
    auto setConfirmInterval(Duration interval) -> void
    {
        this->settings.confirmInterval = interval;
    }
    /// Takes in that the store is in this era: a copy of an earlier one is read anew, as the store
    /// has lost a part of what the copy has.
    auto onStoreEra(std::uint64_t era) -> void;
    /// Reads all keys anew, unless a read that began at `moment` or later is complete or under way.
    /// A watch that waits on a dead connection is dropped with that.
    auto readSince(Instant moment) -> void;
    /// @returns when to call advance() next; nothing while paused or while a read is open
    [[nodiscard]] auto nextDue() const -> std::optional<Instant>;
    [[nodiscard]] auto items() const -> const Items & { return this->copy; }
    /// @returns the era of the store in which the copy was read
    [[nodiscard]] auto era() const -> std::uint64_t { return eraOf(this->copyRevision); }
    /// @returns the store has shown the copy with all changes up to this revision
    [[nodiscard]] auto revision() const -> StoreRevision { return this->copyRevision; }
    /// @returns when the last complete read of all keys began; Instant{} before the first
    [[nodiscard]] auto readStartedAt() const -> Instant { return this->copyReadStartedAt; }
    /// @returns when the call began that is open, or the last one where none is
    [[nodiscard]] auto callStartedAt() const -> Instant { return this->lastCallAt; }
    /// @returns whether all keys have been read at least once
    [[nodiscard]] auto isLoaded() const -> bool { return this->isCopyLoaded; }
    /// @returns whether the last call failed
    [[nodiscard]] auto isFailing() const -> bool { return this->failures > 0; }
    /// @returns a time up to which the copy has all changes; Instant{} where none is known. Reads
    ///          that may be stale confirm nothing.
    [[nodiscard]] auto confirmedAt() const -> Instant { return this->copyConfirmedAt; }
    /// @returns how many watches weren't answered in time
    [[nodiscard]] auto lostWatchCount() const -> std::uint64_t { return this->lostWatches; }

private:
    auto readPage(const std::string &after) -> void;
    /// Takes over the pages that were read, unless the copy is newer.
    auto adoptPages() -> void;
    auto onPage(const StoreAnswer &answer) -> void;
    auto watch() -> void;
    auto onEvents(const StoreAnswer &answer) -> void;
    /// @returns how long after it was due the answer to a watch may come
    [[nodiscard]] auto answerGrace() const -> Duration;
    /// Takes in how long the store took for an answer.
    auto onAnswerTime(Duration time) -> void;
    [[nodiscard]] auto isAnswerArriving() const -> bool
    {
        return this->isArriving && this->isArriving();
    }
    /// @returns when the open watch is to be replaced if it hasn't been answered
    [[nodiscard]] auto watchDeadline() const -> Instant;
    /// Drops the open watch, and sends another one.
    auto replaceWatch() -> void;
    /// Sends a lost watch again; after the second one in a row, all keys are read.
    auto onWatchLost() -> void;
    /// Drops the call that is open, and reads all keys at once.
    auto readAnew() -> void;
    auto scheduleRetry() -> void;
    auto call(StoreCall call, Duration timeout, void (PrefixView::*onAnswer)(const StoreAnswer &))
        -> void;

    std::string prefix;
    PrefixViewSettings settings;
    SendStoreCall send;
    std::function<Instant()> now;
    OnChange onChange;
    IsArriving isArriving;
    /// Expires with the view, so that answers that arrive later are dropped.
    std::shared_ptr<bool> alive;
    Items copy;
    /// Filled page by page; replaces `copy` after the last page.
    Items newCopy;
    /// The copy has all changes up to this revision; the next watch starts from it.
    StoreRevision copyRevision;
    /// Of the store when the first page was read.
    StoreRevision newCopyRevision;
    Instant copyReadStartedAt{};
    Instant newCopyReadStartedAt{};
    Instant copyConfirmedAt{};
    Instant lastCallAt{};
    /// How long the store may keep the open watch waiting.
    Duration openWait{0};
    /// How long the store has taken for recent answers at most.
    Duration answerTime{0};
    bool isCopyLoaded = false;
    bool isWatching = false;
    bool isCalling = false;
    bool isPaused = false;
    bool isPolling = false;
    /// The read under way may bring a copy that is seconds old.
    bool isReadStale = false;
    /// Number of the open call; answers to earlier ones are dropped.
    std::uint64_t callNumber = 0;
    /// Failed calls in a row.
    int failures = 0;
    /// The watch before was lost.
    bool isWatchRepeated = false;
    std::uint64_t lostWatches = 0;
    /// When the next call is to be started.
    Instant due{};
};

} // namespace gooseberrywall
