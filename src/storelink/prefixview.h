#pragma once

#include "storelink/types/storecalls.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace gooseberrywall {

struct PrefixViewSettings
{
    /// Longest wait of one watch.
    Duration watchWait = std::chrono::seconds{29};
    Duration readTimeout = std::chrono::milliseconds{1500};
    /// Pause before a call that follows a failed one.
    Duration firstRetryPause = std::chrono::milliseconds{250};
    Duration longestRetryPause = std::chrono::seconds{2};
    /// Pause between a watch's answer and the next watch: changes that come together are read
    /// together.
    Duration gatherPause = std::chrono::milliseconds{60};
    /// A watch whose answer is overdue by this much is given up.
    Duration watchAnswerGrace = std::chrono::seconds{2};
    auto operator==(const PrefixViewSettings &) const -> bool = default;
};

/// Keeps a copy of all keys that begin with a prefix, by one read and a series of watches. Without
/// input or output of its own; calls go through `send`, time is passed in by advance().
class PrefixView
{
public:
    using Items = std::map<std::string, StoreItem>;
    /// Called after each change of the copy.
    using OnChange = std::function<void(const Items &items)>;

    /// @param now reads the clock
    PrefixView(std::string prefix, PrefixViewSettings settings, SendStoreCall send,
               std::function<Instant()> now, OnChange onChange);
    ~PrefixView();
    PrefixView(const PrefixView &) = delete;
    auto operator=(const PrefixView &) -> PrefixView & = delete;

    auto advance() -> void;
    /// While paused, no call is begun, and the copy stays as it is; one under way is still used.
    auto setPaused(bool paused) -> void { this->isPaused = paused; }
    /// @returns when advance() should be called next; nothing while paused or a call is under way
    [[nodiscard]] auto nextDue() const -> std::optional<Instant>;
    [[nodiscard]] auto items() const -> const Items & { return this->copy; }
    /// @returns whether the copy has been read at least once
    [[nodiscard]] auto isLoaded() const -> bool { return this->isCopyLoaded; }
    /// @returns whether the last call has failed
    [[nodiscard]] auto isFailing() const -> bool { return this->failures > 0; }

private:
    auto readPage(const std::string &after) -> void;
    auto onPage(const StoreAnswer &answer) -> void;
    auto watch() -> void;
    auto onEvents(const StoreAnswer &answer) -> void;
    auto scheduleRetry() -> void;
    auto call(StoreCall call, Duration timeout, void (PrefixView::*onAnswer)(const StoreAnswer &))
        -> void;

    std::string prefix;
    PrefixViewSettings settings;
    SendStoreCall send;
    std::function<Instant()> now;
    OnChange onChange;
    /// Expires with the view, so that late answers find it gone.
    std::shared_ptr<bool> alive;
    Items copy;
    Items newCopy;
    StoreRevision copyRevision;
    StoreRevision newCopyRevision;
    bool isCopyLoaded = false;
    bool isWatching = false;
    bool isCalling = false;
    bool isPaused = false;
    int failures = 0;
    Instant due{};
};

} // namespace gooseberrywall
