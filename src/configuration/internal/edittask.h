#pragma once

#include "configuration/document.h"
#include "configuration/internal/changecheck.h"
#include "configuration/internal/editcontext.h"
#include "configuration/types/editmessages.h"

#include <map>
#include <optional>

namespace gooseberrywall {

/// Carries out one edit: a sequence of calls to the store, by phases.
class EditTask
{
public:
    EditTask(EditContext &context, EditId id, EditRequest request, Instant now);

    auto begin(Outbox &outbox) -> void;
    /// @returns whether this edit made the call
    auto onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer, Outbox &outbox) -> bool;
    auto tick(Instant now, Outbox &outbox) -> void;

    [[nodiscard]] auto isFinished() const -> bool { return this->phase == Phase::Finished; }
    [[nodiscard]] auto result() const -> const EditResult & { return this->editResult; }
    /// @returns the team whose token was used; empty while it isn't known
    [[nodiscard]] auto team() const -> const TeamName & { return this->rights.team; }

private:
    enum class Phase : std::uint8_t {
        ReadManifest,
        ReadTexts,
        /// Reads accepted versions from the current one backwards.
        ReadHistory,
        /// Reads the version that the operator expected, to show what has changed since.
        ReadConflict,
        /// Reads accepted versions backwards to see whether an unconfirmed swap took effect.
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

    /// Unanswered calls and the store keys that they read or write.
    std::map<CallId, std::string> calls;
    std::optional<Instant> retryAt;
    Duration retryDelay;

    Manifest manifest;
    StoreVersion manifestVersion;
    /// The manifest last read is older than one that this daemon has seen.
    bool storeIsOutdated = false;
    /// The texts of the manifest's entries. They are copied here, since other edits may replace
    /// texts in the shared cache.
    std::map<SectionName, CachedSection> texts;
    Document document;
    /// The accepted versions read so far, latest first.
    std::vector<SectionRecord> history;
    /// In ReadHistory and ReadOutcome.
    std::uint64_t versionToRead = 0;

    /// The record that Set or Rollback writes.
    SectionRecord record;
    TeamName newOwner;
    bool sectionWritten = false;
    /// The manifest version that a swap with an ambiguous answer expected.
    std::optional<StoreVersion> unconfirmedSwap;
};

} // namespace gooseberrywall
