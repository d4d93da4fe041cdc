#pragma once

#include "configuration/document.h"
#include "configuration/internal/changecheck.h"
#include "configuration/internal/editcontext.h"
#include "configuration/types/editmessages.h"

#include <map>
#include <optional>

namespace gooseberrywall {

/// One edit on its way through the store.
class EditTask
{
public:
    EditTask(EditContext &context, EditId id, EditRequest request, Instant now);

    auto begin(Outbox &outbox) -> void;
    /// @returns whether the call was this edit's
    auto onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer, Outbox &outbox) -> bool;
    auto tick(Instant now, Outbox &outbox) -> void;

    [[nodiscard]] auto isFinished() const -> bool { return this->phase == Phase::Finished; }
    [[nodiscard]] auto result() const -> const EditResult & { return this->editResult; }
    /// @returns whose token was used; empty where that isn't known
    [[nodiscard]] auto team() const -> const TeamName & { return this->rights.team; }

private:
    enum class Phase : std::uint8_t {
        ReadManifest,
        ReadTexts,
        /// Reads accepted versions backwards, from the present one.
        ReadHistory,
        /// Reads the version that the operator saw, to show what changed since.
        ReadConflict,
        /// Reads backwards to see whether an earlier swap had taken effect.
        ReadOutcome,
        WriteSection,
        SwapManifest,
        Finished,
    };

    auto enterPhase(Phase next, Outbox &outbox) -> void;
    auto sendCalls(Outbox &outbox) -> void;
    auto sendGet(const std::string &key, Outbox &outbox) -> void;
    auto useCachedText(const ManifestEntry &entry) -> bool;
    auto readMissingTexts(Outbox &outbox) -> void;
    auto retryLater(Instant now) -> void;

    auto handleAnswer(Instant now, const std::string &key, const StoreAnswer &answer,
                      Outbox &outbox) -> void;
    auto finishTimedOut() -> void;
    auto onManifest(Instant now, const StoreAnswer &answer, Outbox &outbox) -> void;
    auto onTexts(const std::string &key, const StoreAnswer &answer, Outbox &outbox) -> void;
    auto onHistory(const StoreAnswer &answer, Outbox &outbox) -> void;
    auto onOutcome(const StoreAnswer &answer, Outbox &outbox) -> void;
    auto finishConflict(const StoreAnswer &answer) -> void;
    auto onSectionWritten(Instant now, const StoreAnswer &answer, Outbox &outbox) -> void;
    auto onSwapped(Instant now, const StoreAnswer &answer, Outbox &outbox) -> void;

    auto isAccepted() -> bool;
    auto executeOperation(Outbox &outbox) -> void;
    auto authenticate() -> bool;
    [[nodiscard]] auto mayRead(const SectionName &section) const -> bool;
    auto answerRead(Outbox &outbox) -> void;
    auto answerDocument() -> void;
    auto answerFromHistory(Outbox &outbox) -> void;
    auto answerDiff() -> void;
    auto proposeChange(Outbox &outbox) -> void;
    auto writeChange(Outbox &outbox) -> void;
    auto manifestWithChange() const -> Manifest;

    [[nodiscard]] auto wantsMoreHistory() const -> bool;
    [[nodiscard]] auto findInHistory(std::uint64_t version) const -> const SectionRecord *;
    [[nodiscard]] auto sectionTexts() const -> std::vector<SectionText>;
    [[nodiscard]] auto currentText() const -> std::string;
    [[nodiscard]] auto currentEntry() const -> const ManifestEntry *;
    [[nodiscard]] auto sectionExists() const -> bool;
    [[nodiscard]] auto currentVersion() const -> std::uint64_t;
    [[nodiscard]] auto hasExpectedVersion() const -> bool;

    auto finishAccepted() -> void;
    auto finishStoreDataLost(const std::string &missingData) -> void;
    auto finish(EditStatus status, std::string message, std::string remedy) -> void;

    EditContext &context;
    EditRequest request;
    Instant deadline;
    Phase phase = Phase::ReadManifest;
    EditResult editResult;
    EditorRights rights;

    /// Calls that are unanswered, with the keys that they read or write.
    std::map<CallId, std::string> calls;
    std::optional<Instant> retryAt;
    Duration retryDelay;

    Manifest manifest;
    StoreVersion manifestVersion;
    /// The store's manifest was older than one that this daemon has seen.
    bool storeIsOutdated = false;
    /// The texts of the manifest's entries; kept here, since edits share one cache.
    std::map<SectionName, CachedSection> texts;
    Document document;
    /// Accepted versions, latest first, as far as they were read.
    std::vector<SectionRecord> history;
    /// The next version to read in ReadHistory and ReadOutcome.
    std::uint64_t versionToRead = 0;

    /// What Set or Rollback writes.
    SectionRecord record;
    TeamName newOwner;
    bool sectionWritten = false;
    /// The manifest's version of a swap whose answer never came.
    std::optional<StoreVersion> unconfirmedSwap;
};

} // namespace gooseberrywall
