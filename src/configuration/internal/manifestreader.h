#pragma once

#include "configuration/internal/accepteddocument.h"
#include "configuration/types/keepertypes.h"
#include "configuration/types/manifest.h"
#include "protocol/outbox.h"

#include <map>
#include <optional>
#include <random>

namespace gooseberrywall {

/// Reads the accepted document from the store: watches the manifest or polls it at long intervals,
/// and reads the sections that have changed.
class ManifestReader
{
public:
    ManifestReader(KeeperSettings settings, std::uint64_t randomSeed);

    /// @param watch whether to watch the manifest; otherwise it is polled at long intervals
    /// @param first whether to read changed sections at once; the other readers wait for an update
    ///        from the first one
    auto setWatching(bool watch, bool first) -> void
    {
        this->isWatching = watch;
        this->isFirstReader = first;
    }

    /// Reads the manifest at the next tick; a pending watch is abandoned.
    auto readOnce(Instant now) -> void;

    /// @param current the document in force
    auto tick(Instant now, const AcceptedDocument &current, Outbox &outbox) -> void;

    /// @returns whether this reader made the call
    auto onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer,
                       const AcceptedDocument &current, Outbox &outbox) -> bool;

    /// @returns a newer document than the one in force, once all its sections have been read
    [[nodiscard]] auto takeDocument() -> std::optional<AcceptedDocument>;

    /// @returns the generation of the manifest last read; zero if the store had none, nothing
    ///          before the first answer
    [[nodiscard]] auto lastStoreGeneration() const -> std::optional<std::uint64_t>
    {
        return this->storeGeneration;
    }

    [[nodiscard]] auto storeReads() const -> std::uint64_t { return this->readCount; }
    [[nodiscard]] auto storeWatches() const -> std::uint64_t { return this->watchCount; }
    [[nodiscard]] auto storeBytes() const -> std::uint64_t { return this->bytesRead; }

private:
    auto readManifest(Outbox &outbox) -> void;
    auto onManifest(Instant now, const StoreAnswer &answer, const AcceptedDocument &current)
        -> void;
    auto onSection(Instant now, const std::string &name, const StoreAnswer &answer,
                   const AcceptedDocument &current) -> void;
    auto readPendingSections(Instant now, const AcceptedDocument &current, Outbox &outbox) -> void;
    auto completeDocument(const AcceptedDocument &current) -> void;
    auto findSection(const ManifestEntry &entry, const AcceptedDocument &current) const
        -> const ConfigurationSection *;
    /// @returns a random duration between half of `maximum` and `maximum`
    auto jittered(Duration maximum) -> Duration;
    /// Doubles the retry delay.
    /// @returns when to try again
    auto backOff(Instant now) -> Instant;

    KeeperSettings settings;
    std::mt19937_64 random;
    bool isWatching = false;
    bool isFirstReader = false;
    bool readRequested = false;
    /// The store revision from which to watch; empty: the manifest must be read first.
    std::optional<std::uint64_t> watchRevision;
    std::optional<CallId> manifestCall;
    bool callIsWatch = false;
    Instant nextManifestRead{};
    std::optional<Instant> nextPoll;
    Instant nextSectionRead{};
    Duration retryDelay;
    std::optional<std::uint64_t> storeGeneration;
    /// A manifest newer than the document in force, whose sections are being read.
    std::optional<Manifest> pendingManifest;
    std::map<CallId, std::string> sectionCalls;
    std::map<std::string, ConfigurationSection> fetchedSections;
    std::optional<AcceptedDocument> completedDocument;
    std::uint64_t readCount = 0;
    std::uint64_t watchCount = 0;
    std::uint64_t bytesRead = 0;
};

} // namespace gooseberrywall
