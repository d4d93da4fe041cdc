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

/// Settings of the editor, from the daemon's own start settings.
struct EditorSettings
{
    /// Hash of a token that counts as an administrator's while no team is an administrator, so
    /// that the first section can be written. Empty: there is none.
    std::string bootstrapTokenHash;
    /// How long one call to the store may take.
    Duration callTimeout = std::chrono::seconds{1};
    /// How long an edit may take in all.
    Duration editTimeout = std::chrono::seconds{10};
    Duration minimumRetryDelay = std::chrono::milliseconds{20};
    Duration maximumRetryDelay = std::chrono::seconds{1};

    auto operator==(const EditorSettings &) const -> bool = default;
};

/// Carries out the operators' edits against the store. A section's text is written first, under a
/// key of its own that is never overwritten; it is accepted by a compare-and-swap of the manifest,
/// after the whole document that results was found valid. Edits of different sections retry past
/// each other; edits of one section conflict. Has no input or output of its own.
class ConfigurationEditor
{
public:
    ConfigurationEditor(DaemonIdentity self, EditorSettings settings, std::uint64_t randomSeed);
    ~ConfigurationEditor();
    ConfigurationEditor(const ConfigurationEditor &) = delete;
    auto operator=(const ConfigurationEditor &) -> ConfigurationEditor & = delete;

    /// Starts an edit; its result comes by takeResults.
    auto start(Instant now, EditRequest request, Outbox &outbox) -> EditId;

    /// @returns whether the call was this editor's
    auto onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer, Outbox &outbox) -> bool;

    /// Retries and gives up; to be called every few milliseconds.
    auto tick(Instant now, Outbox &outbox) -> void;

    /// Tells what the daemon already has, which then needn't be read from the store; a store that
    /// is behind `generation` takes no edits.
    auto updateCache(std::uint64_t generation, const std::vector<ConfigurationSection> &sections)
        -> void;

    /// @returns the edits that ended since the last call
    [[nodiscard]] auto takeResults() -> std::vector<EditResult>;

private:
    auto collect(Outbox &outbox) -> void;

    std::unique_ptr<EditContext> context;
    std::vector<std::unique_ptr<EditTask>> tasks;
    std::vector<EditResult> results;
    EditId lastEdit;
};

} // namespace gooseberrywall
