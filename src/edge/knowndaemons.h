#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywall {

struct KnownDaemonsSettings
{
    /// New daemons are stored together with those that follow within this time.
    Duration storePause = std::chrono::milliseconds{1500};
    /// A daemon that hasn't sent anything for this long is dropped; it says hello again if it
    /// lives.
    Duration retention = std::chrono::seconds{120};
    auto operator==(const KnownDaemonsSettings &) const -> bool = default;
};

/// The daemons to which a grantor announces itself. They are stored as one text, so that the next
/// grantor can announce itself at once. Does no I/O; the time is passed in.
class KnownDaemons
{
public:
    explicit KnownDaemons(KnownDaemonsSettings settings);

    /// @returns whether the daemon is new
    auto onHeard(const Address &daemon, Instant now) -> bool;
    /// Adds the daemons that an earlier grantor has stored.
    /// @param text as takeText() returned it; anything else adds no daemon
    auto adopt(std::string_view text, Instant now) -> void;
    /// Drops daemons that haven't been heard for long.
    auto advance(Instant now) -> void;

    /// @returns the text to store where no daemon is known
    [[nodiscard]] static auto emptyText() -> std::string;
    /// @returns the text to store, if it has changed and storing it is due; nothing otherwise
    [[nodiscard]] auto takeText(Instant now) -> std::optional<std::string>;
    /// Makes takeText() return the text again after a failed write.
    auto retryText(Instant now) -> void;
    [[nodiscard]] auto addresses() const -> std::vector<Address>;
    [[nodiscard]] auto count() const -> std::size_t { return this->heardAt.size(); }

private:
    KnownDaemonsSettings settings;
    std::map<Address, Instant> heardAt;
    /// When the changed text is to be stored; empty where the stored one is up to date.
    std::optional<Instant> storeDue;
};

} // namespace gooseberrywall
