#pragma once

#include "configuration/document.h"
#include "configuration/types/keepertypes.h"
#include "membership/types/membershipview.h"
#include "protocol/outbox.h"
#include "protocol/types/daemonidentity.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace gooseberrywall {

class ManifestReader;
struct AcceptedDocument;

/// Keeps what is accepted in force in one daemon. A few daemons of the cell watch the store and
/// pass changes on along a tree; whoever misses one learns of it from heartbeats and asks. The
/// generation in force never goes back. Has no input or output of its own.
class ConfigurationKeeper
{
public:
    ConfigurationKeeper(DaemonIdentity self, KeeperSettings settings, std::uint64_t randomSeed);
    ~ConfigurationKeeper();
    ConfigurationKeeper(const ConfigurationKeeper &) = delete;
    auto operator=(const ConfigurationKeeper &) -> ConfigurationKeeper & = delete;

    /// To be called every few milliseconds.
    auto tick(Instant now, Outbox &outbox) -> void;

    /// @returns whether the call was this keeper's
    auto onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer, Outbox &outbox) -> bool;

    /// @returns whether the message was one of the configuration's
    auto onMessage(Instant now, const DaemonId &from, const PeerMessage &message, Outbox &outbox)
        -> bool;

    auto onMembership(Instant now, const MembershipView &view) -> void;

    /// @param generation what a heartbeat says that the daemon has in force
    auto onPeerGeneration(Instant now, const DaemonId &peer, std::uint64_t generation,
                          Outbox &outbox) -> void;

    /// @returns the generation in force; zero before the first
    [[nodiscard]] auto generation() const -> std::uint64_t;

    /// @returns whether the daemon has learnt what is accepted since it started
    [[nodiscard]] auto isInitialized() const -> bool { return this->initialized; }

    /// @returns the policies where they changed since the last call; nothing before isSettled
    [[nodiscard]] auto takePolicies() -> std::optional<std::vector<ServicePolicy>>;

    [[nodiscard]] auto document() const -> const Document & { return this->currentDocument; }

    /// @returns the accepted sections, for ConfigurationEditor::updateCache and for pages
    [[nodiscard]] auto sections() const -> const std::vector<ConfigurationSection> &;

    /// @returns the daemons that are alive or suspected and of which it isn't known that they have
    ///          reached a generation
    [[nodiscard]] auto laggingDaemons(std::uint64_t target) const -> std::vector<DaemonId>;

    [[nodiscard]] auto counters() const -> KeeperCounters;

private:
    auto continueInitialization(Instant now, Outbox &outbox) -> void;
    auto requestIfBehind(Instant now, Outbox &outbox) -> void;
    auto requestUpdate(Instant now, const DaemonId &peer, Outbox &outbox) -> void;
    auto choosePeer(bool newerOnly) -> std::optional<DaemonId>;
    auto highestPeerGeneration() const -> std::uint64_t;
    auto onUpdate(Instant now, const DaemonId &from, const ConfigurationUpdate &update,
                  Outbox &outbox) -> void;
    auto answerRequest(const DaemonId &to, const ConfigurationRequest &request, Outbox &outbox)
        -> void;
    auto install(AcceptedDocument next, Outbox &outbox) -> void;
    auto forwardUpdate(const AcceptedDocument &before, Outbox &outbox) -> void;
    auto send(const DaemonId &to, ConfigurationUpdate update, Outbox &outbox) -> void;

    DaemonIdentity self;
    KeeperSettings settings;
    std::mt19937_64 random;
    std::unique_ptr<ManifestReader> reader;
    std::unique_ptr<AcceptedDocument> accepted;
    Document currentDocument;
    MembershipView view;
    std::map<DaemonId, std::uint64_t> peerGenerations;
    std::optional<Instant> firstTick;
    bool initialized = false;
    bool policiesChanged = true;
    bool storeReadRequested = false;
    /// Since when a newer generation is known of.
    std::optional<Instant> behindSince;
    std::optional<Instant> requestDeadline;
    /// A generation that this daemon can't read, such as one with keys of a later version.
    std::uint64_t rejectedGeneration = 0;
    KeeperCounters counts;
};

} // namespace gooseberrywall
