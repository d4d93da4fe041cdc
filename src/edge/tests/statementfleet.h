#pragma once

#include "edge/grantorwatch.h"
#include "edge/upstreamdirectory.h"
#include "storelink/tests/fakestore.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace gooseberrywall {

struct StatementFleetSettings
{
    std::uint64_t seed = 1;
    bool isSharded = true;
    int entryDaemons = 27;
    int upstreams = 12;
    double requestsPerSecond = 250;
    /// The store shows, some time later, that an upstream leaves, and its answers don't state it;
    /// otherwise its answers state it, and the store shows it as ready.
    bool isLeavingInStore = false;
    /// Upstreams that reject requests beyond their real number of slots name this pause.
    std::optional<Duration> pause;
};

/// A grantor, many entry daemons that send what they get permits for, and upstreams that state in
/// their answers that they leave or pause, in virtual time. Messages take one step of 10 ms.
class StatementFleet
{
public:
    explicit StatementFleet(StatementFleetSettings settings);
    ~StatementFleet();
    StatementFleet(const StatementFleet &) = delete;
    auto operator=(const StatementFleet &) -> StatementFleet & = delete;

    auto run(Duration time) -> void;
    /// Starts an upstream in the place of another one, which leaves and ends 8 s later.
    auto replace(std::size_t upstream) -> void;
    /// Lets an upstream run fewer requests at once than it states.
    auto setRealSlots(std::size_t upstream, int slots) -> void;
    auto resetCounts() -> void;

    /// @returns the share of requests since the last reset that were answered in time
    [[nodiscard]] auto servedShare() const -> double;
    /// @returns how many requests reached an upstream from an entry daemon that had got an answer
    /// 2 s before they arrived in which the upstream stated that it leaves
    [[nodiscard]] auto lateRequestCount() const -> int { return this->lateRequests; }
    /// @returns the largest number of requests that reached an upstream from one entry daemon
    /// between half a second after a rejection with a pause and the end of the pause
    [[nodiscard]] auto maxRequestsInPause() const -> int { return this->worstInPause; }
    /// @returns how many rejections named a pause
    [[nodiscard]] auto pauseCount() const -> int { return this->namedPauses; }
    /// @returns how often an upstream started a request without owning its key
    [[nodiscard]] auto wrongOwnerCount() const -> int { return this->wrongOwners; }

private:
    struct Grantor;
    struct Pause
    {
        Instant judgedFrom;
        Instant endsAt;
        int requests = 0;
    };
    struct Upstream
    {
        UpstreamEntry entry;
        int realSlots = 3;
        int running = 0;
        std::optional<Instant> leavingSince;
        bool hasEnded = false;
        /// By entry daemon.
        std::map<std::size_t, Instant> toldLeaving;
        std::map<std::size_t, std::vector<Pause>> pauses;
    };
    /// A caller's request at an entry daemon.
    struct Request
    {
        std::size_t daemon = 0;
        KeyPosition key = 0;
        Instant arrivedAt;
        Instant grantedAt;
        std::vector<UpstreamId> avoid;
    };
    struct Attempt
    {
        PermitId id;
        Address grantor;
        std::size_t upstream = 0;
        Instant endsAt;
        AttemptEnd end = AttemptEnd::Answered;
        bool isRunning = false;
        std::optional<Duration> pause = std::nullopt;
    };

    auto step() -> void;
    auto arrive() -> void;
    auto ask(std::uint64_t number) -> void;
    auto deliver() -> void;
    auto onAnswer(const Address &from, const PermitAnswer &answer) -> void;
    /// Counts a request that reaches the upstream against its statements.
    auto judge(Upstream &upstream, const Request &request) -> void;
    auto endAttempts() -> void;
    auto carryOutOrders() -> void;
    auto endUpstreams() -> void;
    auto publish() -> void;
    [[nodiscard]] auto add(std::size_t number) -> std::size_t;
    [[nodiscard]] auto indexOf(const UpstreamId &id) const -> std::size_t;

    StatementFleetSettings settings;
    FakeStore store;
    UpstreamDirectory directory{UpstreamDirectorySettings{}};
    std::unique_ptr<Grantor> grantor;
    std::deque<Upstream> upstreams;
    std::vector<std::optional<std::size_t>> owners;
    std::vector<std::pair<RangeOrder, std::function<void(RangeOrderEnd)>>> orders;
    std::vector<std::pair<Address, PermitDatagram>> datagrams;
    std::map<std::uint64_t, Request> requests;
    std::vector<Attempt> attempts;
    std::set<std::uint64_t> usedPermits;
    std::mt19937_64 random;
    std::uint64_t nextNumber = 1;
    std::optional<Instant> publishAt;
    /// Requests that arrived earlier aren't counted.
    Instant countedFrom{};
    int asked = 0;
    int served = 0;
    int lateRequests = 0;
    int worstInPause = 0;
    int namedPauses = 0;
    int wrongOwners = 0;
};

} // namespace gooseberrywall
