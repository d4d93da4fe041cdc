#pragma once

#include "configuration/internal/accepteddocument.h"
#include "configuration/types/keepertypes.h"
#include "configuration/types/manifest.h"
#include "protocol/outbox.h"

#include <map>
#include <optional>
#include <random>

namespace gooseberrywall {

/// Reads what is accepted from the store: watches the manifest, or asks now and then whether it has
/// changed, and reads the sections that changed.
class ManifestReader
{
public:
    ManifestReader(KeeperSettings settings, std::uint64_t randomSeed);

    /// @param watch wait for changes at the store; otherwise it is only asked at long intervals
    /// @param first others rely on this daemon to read changed sections at once
    auto setWatching(bool watch, bool first) -> void
    {
        this->isWatching = watch;
        this->isFirstReader = first;
    }

    /// Reads the manifest soon, whether or not it is being watched.
    auto readOnce(Instant now) -> void;

    /// @param have what the daemon has already
    auto tick(Instant now, const AcceptedDocument &current, Outbox &outbox) -> void;

    /// @returns whether the call was this reader's
    auto onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer,
                       const AcceptedDocument &current, Outbox &outbox) -> bool;

    /// @returns a document newer than the one the daemon had, once all its sections are read
    [[nodiscard]] auto takeDocument() -> std::optional<AcceptedDocument>;

    /// @returns the generation of the last manifest that the store gave; nothing before the first
    ///          answer
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
    /// @returns a random span between a half and the whole of `maximum`
    auto jittered(Duration maximum) -> Duration;
    /// @returns when to try again
    auto backOff(Instant now) -> Instant;

    KeeperSettings settings;
    std::mt19937_64 random;
    bool isWatching = false;
    bool isFirstReader = false;
    bool readRequested = false;
    /// The store's revision to watch from; nothing: read first.
    std::optional<std::uint64_t> watchRevision;
    std::optional<CallId> manifestCall;
    bool callIsWatch = false;
    Instant nextManifestRead{};
    std::optional<Instant> nextPoll;
    Instant nextSectionRead{};
    Duration retryDelay;
    std::optional<std::uint64_t> storeGeneration;
    /// A newer manifest whose sections are being read.
    std::optional<Manifest> pendingManifest;
    std::map<CallId, std::string> sectionCalls;
    std::map<std::string, ConfigurationSection> fetchedSections;
    std::optional<AcceptedDocument> completedDocument;
    std::uint64_t readCount = 0;
    std::uint64_t watchCount = 0;
    std::uint64_t bytesRead = 0;
};

} // namespace gooseberrywall
