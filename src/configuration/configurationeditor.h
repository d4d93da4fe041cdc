#pragma once

#include "configuration/types/editmessages.h"
#include "protocol/outbox.h"
#include "protocol/types/daemonidentity.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrywall {

class EditTask;
struct EditContext;

/// Settings of ConfigurationEditor, set at the start of the daemon.
struct EditorSettings
{
    /// Hash of a token that has administrator rights while no administrator team has a token, so
    /// that the first section can be written. Empty: no such token.
    std::string bootstrapTokenHash;
    /// Timeout of one call to the store.
    Duration callTimeout = std::chrono::seconds{1};
    /// Timeout of a whole edit, retries included.
    Duration editTimeout = std::chrono::seconds{10};
    /// The delay before a retry doubles from the minimum to the maximum.
    Duration minimumRetryDelay = std::chrono::milliseconds{20};
    Duration maximumRetryDelay = std::chrono::seconds{1};

    auto operator==(const EditorSettings &) const -> bool = default;
};

/// Carries out the operators' edits of the document in the store. An edit writes the new text of a
/// section under a key of its own that is never overwritten. After the resulting document was found
/// valid, a compare-and-swap of the manifest accepts the new version. Concurrent edits of different
/// sections are retried until each is accepted; concurrent edits of one section conflict.
/// Performs no I/O itself: calls to the store go through the outbox.
class ConfigurationEditor
{
public:
    ConfigurationEditor(DaemonIdentity self, EditorSettings settings, std::uint64_t randomSeed);
    ~ConfigurationEditor();
    ConfigurationEditor(const ConfigurationEditor &) = delete;
    auto operator=(const ConfigurationEditor &) -> ConfigurationEditor & = delete;

    /// Starts an edit; takeResults returns its result.
    /// @returns the id that the result will have
    auto start(Instant now, EditRequest request, Outbox &outbox) -> EditId;

    /// @param call the call that `answer` belongs to
    /// @returns whether this editor made the call
    auto onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer, Outbox &outbox) -> bool;

    /// Sends due retries and ends edits that have timed out; to be called every few milliseconds.
    auto tick(Instant now, Outbox &outbox) -> void;

    /// Adds the sections that the daemon has in force, so that edits needn't read them from the
    /// store. While the store's manifest is older than `generation`, edits retry until they time
    /// out.
    auto updateCache(std::uint64_t generation, const std::vector<ConfigurationSection> &sections)
        -> void;

    /// @returns the results of the edits that ended since the last call
    [[nodiscard]] auto takeResults() -> std::vector<EditResult>;

private:
    auto collect(Outbox &outbox) -> void;

    std::unique_ptr<EditContext> context;
    std::vector<std::unique_ptr<EditTask>> tasks;
    std::vector<EditResult> results;
    EditId lastEdit;
};

} // namespace gooseberrywall
