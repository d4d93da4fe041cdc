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

/// Keeps the accepted document in force in one daemon. A few daemons of the cell watch the store
/// and forward changes along a tree. A daemon that misses a change sees the newer generation in
/// heartbeats and requests the update from a peer. The generation in force never decreases.
/// Performs no I/O itself: calls and messages go through the outbox.
class ConfigurationKeeper
{
public:
    ConfigurationKeeper(DaemonIdentity self, KeeperSettings settings, std::uint64_t randomSeed);
    ~ConfigurationKeeper();
    ConfigurationKeeper(const ConfigurationKeeper &) = delete;
    auto operator=(const ConfigurationKeeper &) -> ConfigurationKeeper & = delete;

    /// Starts due reads and requests; to be called every few milliseconds.
    auto tick(Instant now, Outbox &outbox) -> void;

    /// @returns whether this keeper made the call
    auto onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer, Outbox &outbox) -> bool;

    /// @returns whether the message was a ConfigurationUpdate or ConfigurationRequest
    auto onMessage(Instant now, const DaemonId &from, const PeerMessage &message, Outbox &outbox)
        -> bool;

    auto onMembership(Instant now, const MembershipView &view) -> void;

    /// @param generation the generation in force at `peer`, according to its heartbeat
    auto onPeerGeneration(Instant now, const DaemonId &peer, std::uint64_t generation,
                          Outbox &outbox) -> void;

    /// @returns the generation in force; zero while there is none
    [[nodiscard]] auto generation() const -> std::uint64_t;

    /// @returns whether the daemon has obtained the accepted document since it started
    [[nodiscard]] auto isInitialized() const -> bool { return this->initialized; }

    /// @returns the policies if they have changed since the last call; nothing before
    ///          isInitialized
    [[nodiscard]] auto takePolicies() -> std::optional<std::vector<ServicePolicy>>;

    [[nodiscard]] auto document() const -> const Document & { return this->currentDocument; }

    /// @returns the accepted sections that are in force
    [[nodiscard]] auto sections() const -> const std::vector<ConfigurationSection> &;

    /// @returns the alive or suspected daemons that are not known to have reached the generation
    ///          `target`
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
    /// When a peer first reported a newer generation than the one in force.
    std::optional<Instant> behindSince;
    std::optional<Instant> requestDeadline;
    /// The last generation that this daemon couldn't parse, for example because its sections have
    /// keys of a later daemon version.
    std::uint64_t rejectedGeneration = 0;
    KeeperCounters counts;
};

} // namespace gooseberrywall
