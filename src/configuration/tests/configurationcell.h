#pragma once

#include "configuration/configurationeditor.h"
#include "configuration/configurationkeeper.h"
#include "stubs/platform/platformstore.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gooseberrywall {

/// A fault of one compare-and-swap.
enum class WriteFault : std::uint8_t {
    None,
    /// It takes effect, but the answer is lost.
    LostAnswer,
    /// It never arrives.
    LostWrite,
    /// The answer is lost, and it takes effect later.
    LateWrite,
};

/// Faults of messages between daemons.
struct PeerFaults
{
    int lossPercent = 0;
    int duplicatePercent = 0;
    /// Each message is delayed by a random duration up to this, so that messages overtake each
    /// other.
    Duration maximumExtraDelay{0};
};

/// Keepers and editors of several daemons that share one store, in virtual time.
class ConfigurationCell
{
public:
    explicit ConfigurationCell(std::size_t daemons, std::uint64_t seed = 1,
                               std::size_t cellSize = 30);

    auto run(Duration duration) -> void;
    /// @returns whether the condition became true within the duration
    auto runUntil(Duration duration, const std::function<bool()> &condition) -> bool;

    auto start(std::size_t daemon, EditRequest request) -> EditId;
    [[nodiscard]] auto result(std::size_t daemon, EditId id) -> std::optional<EditResult>;
    auto edit(std::size_t daemon, EditRequest request) -> EditResult;

    auto pause(std::size_t daemon) -> void { this->paused.insert(daemon); }
    auto resume(std::size_t daemon) -> void { this->paused.erase(daemon); }
    auto restart(std::size_t daemon) -> void;
    /// All calls of the daemon to the store fail until reconnectToStore.
    auto disconnectFromStore(std::size_t daemon) -> void
    {
        this->disconnectedFromStore.insert(daemon);
    }
    auto reconnectToStore(std::size_t daemon) -> void { this->disconnectedFromStore.erase(daemon); }
    /// Injects a fault into a later compare-and-swap.
    /// @param index how many compare-and-swaps come before it; zero: the next one
    auto failWrite(int index, WriteFault fault) -> void;

    [[nodiscard]] auto keeper(std::size_t daemon) -> ConfigurationKeeper &;
    [[nodiscard]] auto size() const -> std::size_t { return this->nodes.size(); }
    [[nodiscard]] auto allHaveReached(std::uint64_t generation) const -> bool;
    /// @returns how often the generation in force decreased, summed over all daemons
    [[nodiscard]] auto generationDecreases() const -> int { return this->generationDecreaseCount; }

    PlatformStore store;
    PeerFaults peerFaults;
    Duration heartbeatInterval = std::chrono::milliseconds{250};
    Duration peerDelay = std::chrono::microseconds{1500};
    Duration stepDuration = std::chrono::milliseconds{1};
    Instant now{std::chrono::seconds{100}};
    std::vector<std::string> logLines;
    bool keepLogs = true;

private:
    struct Node
    {
        DaemonIdentity self;
        std::unique_ptr<ConfigurationKeeper> keeper;
        std::unique_ptr<ConfigurationEditor> editor;
        Outbox outbox;
        std::map<EditId, EditResult> results;
        std::uint64_t lastGeneration = 0;
        std::size_t heartbeatOffset = 0;
    };
    struct PeerDelivery
    {
        std::size_t from = 0;
        std::size_t to = 0;
        PeerMessage message;
    };
    struct PendingCall
    {
        std::size_t node = 0;
        std::uint64_t incarnation = 0;
        CallId call;
        Instant deadline;
    };

    auto startDaemon(std::size_t daemon) -> void;
    auto membershipViewOf(std::size_t daemon) const -> MembershipView;
    auto advanceStep() -> void;
    auto deliverPeerMessages() -> void;
    auto deliverStoreAnswers() -> void;
    auto exchangeHeartbeats() -> void;
    auto processOutbox(std::size_t daemon) -> void;
    auto sendToPeer(std::size_t from, PeerSend send) -> void;
    auto sendToStore(std::size_t node, StoreSend send) -> void;
    auto deliverAnswer(const PendingCall &pending, const StoreAnswer &answer) -> void;
    auto takeWriteFault(const StoreRequest &request) -> WriteFault;

    std::size_t cellSize;
    std::mt19937_64 random;
    std::vector<Node> nodes;
    std::map<DaemonId, std::size_t> index;
    std::set<std::size_t> paused;
    std::set<std::size_t> disconnectedFromStore;
    std::multimap<Instant, PeerDelivery> pendingDeliveries;
    std::map<std::size_t, std::vector<PeerDelivery>> heldDeliveries;
    std::map<CallId, PendingCall> pendingCalls;
    std::map<std::size_t, std::vector<std::pair<PendingCall, StoreAnswer>>> heldAnswers;
    std::multimap<Instant, StoreRequest> lateWrites;
    std::map<int, WriteFault> writeFaults;
    int writeCount = 0;
    CallId lastCall;
    Instant nextHeartbeat{};
    int generationDecreaseCount = 0;
};

/// Tokens of the teams of writeExampleDocument.
inline constexpr auto adminToken = "admin-token-for-tests";
inline constexpr auto gasketsToken = "gaskets-token-for-tests";
inline constexpr auto playbillToken = "playbill-token-for-tests";
inline constexpr auto bootstrapToken = "bootstrap-token-for-tests";

/// @returns a [team NAME] section with the hash of a token
[[nodiscard]] auto teamText(const std::string &name, const std::string &token,
                            const std::string &otherKeys = {}) -> std::string;

/// @returns a request to set a section
[[nodiscard]] auto setRequest(const std::string &section, const std::string &text,
                              std::uint64_t expected, const std::string &token = adminToken)
    -> EditRequest;

/// @returns a request to read a section, its history or its differences
[[nodiscard]] auto readRequest(EditOperation operation, const std::string &section,
                               const std::string &token = gasketsToken) -> EditRequest;

/// @returns the manifest in the store
[[nodiscard]] auto manifestOf(const ConfigurationCell &cell) -> Manifest;

/// Writes three teams and the services fitment (of gaskets) and rate-look (of playbill).
auto writeExampleDocument(ConfigurationCell &cell) -> void;

} // namespace gooseberrywall
