#pragma once

#include "common/types/instant.h"
#include "http1/types/messagehead.h"
#include "stubs/kvplatform/keyedupstreamstub.h"
#include "stubs/kvplatform/kvstorestub.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gooseberrywall {

/// Makes upstreams leave and pause, and checks that requests keep away from them as soon as a
/// daemon knows of it.
class UpstreamLives
{
public:
    /// How an upstream tells that it leaves.
    enum class Leave : std::uint8_t {
        /// Its entry in the store becomes draining.
        Entry,
        /// Its answers say so.
        Answers,
        Both,
        /// Its entry is removed.
        Removed,
    };
    static constexpr std::size_t allLeaves = 4;

    /// Names the daemon to which the caller has sent a request, and when.
    struct Origin
    {
        std::size_t daemon = 0;
        Instant sentAt{};
    };
    using OriginOf = std::function<std::optional<Origin>(const std::string &request)>;

    UpstreamLives(std::vector<std::unique_ptr<KeyedUpstreamStub>> &upstreams, KvStoreStub &store,
                  OriginOf originOf, std::uint64_t seed);

    /// Begins a leave or a pause of an upstream that does neither, unless others of its service
    /// would be too few.
    /// @param isStoreStable the store has had no fault for the contact time
    /// @returns what has begun; empty where nothing has
    auto begin(bool isStoreStable, Instant now) -> std::string;
    /// Ends the processes of upstreams that have left; each starts again at once.
    auto advance(Instant now) -> void;
    /// Lets all upstreams serve again, those that leave as new processes.
    auto clear(Instant now) -> void;

    /// Writes all entries anew, as upstreams do once the store has come back from an older copy.
    auto writeEntries() -> void;

    /// Takes in that a caller has got an answer from a daemon.
    auto onAnswer(std::size_t daemon, const MessageHead &answer, Instant now) -> void;
    /// Takes in that a daemon was killed, stopped or frozen, or that one runs on.
    auto onDaemonFault(std::size_t daemon, Instant now) -> void;
    auto onStoreFault(Instant now) -> void { this->storeFaultAt = now; }

    [[nodiscard]] auto violations() const -> const std::vector<std::string> &
    {
        return this->violationTexts;
    }

private:
    struct Life
    {
        bool isLeaving = false;
        /// The entry in the store is draining, or removed.
        bool isEntryDraining = false;
        bool isEntryRemoved = false;
        bool isPausing = false;
        /// When the leave or the pause ends.
        Instant endsAt{};
        /// When the store acknowledged the leave; empty where it didn't, or not while it was
        /// stable.
        std::optional<Instant> acknowledgedAt;
        /// When a daemon first passed on an answer that states the leave.
        std::map<std::size_t, Instant> passedOnAt;
        /// When a daemon was first rejected in this pause, and the requests that came from it later
        /// than the reaction time after that.
        std::map<std::size_t, Instant> rejectedAt;
        std::map<std::size_t, int> requestsInPause;
    };

    auto leave(std::size_t upstream, Leave kind, bool isStoreStable, Instant now) -> void;
    auto startAnew(std::size_t upstream) -> void;
    auto writeEntry(std::size_t upstream) -> void;
    auto onRequest(std::size_t upstream, const std::string &request) -> void;
    auto checkLeave(std::size_t upstream, const std::string &request, const Origin &origin) -> void;
    auto checkPause(std::size_t upstream, const std::string &request, const Origin &origin) -> void;
    [[nodiscard]] auto isInTouch(std::size_t daemon, Instant now) const -> bool;

    std::vector<std::unique_ptr<KeyedUpstreamStub>> &upstreams;
    KvStoreStub &store;
    OriginOf originOf;
    std::mt19937_64 random;
    std::vector<Life> lives;
    std::map<std::size_t, Instant> daemonFaultAt;
    Instant storeFaultAt{};
    std::vector<std::string> violationTexts;
};

} // namespace gooseberrywall
