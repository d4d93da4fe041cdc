#pragma once

#include "http1/types/messagehead.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrywall {

struct ConfigurationTextsSettings
{
    /// Texts before the current one that are kept, as daemons that are behind may have them.
    std::size_t earlierTexts = 3;
    /// The earlier texts take no more than this together.
    std::size_t earlierBytes = std::size_t{2} * 1024 * 1024;
    /// Longer texts of other daemons aren't read.
    std::size_t textLimitBytes = std::size_t{16} * 1024 * 1024;
    auto operator==(const ConfigurationTextsSettings &) const -> bool = default;
};

/// The text of the operators' configuration, in the form in which daemons send it to each other: as
/// a Zstandard frame, which holds little more than the difference where the receiver has an earlier
/// text. Builds that don't ask for a frame get the text as it is.
class ConfigurationTexts
{
public:
    explicit ConfigurationTexts(ConfigurationTextsSettings settings);

    /// Replaces the current text, which stays as an earlier one.
    auto set(const std::string &text) -> void;
    [[nodiscard]] auto current() const -> const std::string & { return this->entry.text; }

    /// @returns the headers with which this daemon asks another one for its text
    [[nodiscard]] auto requestHeaders() const -> std::vector<HttpHeader>;
    /// @param request of another daemon, with its requestHeaders()
    /// @returns the answer with the current text, without a status
    [[nodiscard]] auto answer(const MessageHead &request) -> WholeMessage;
    /// @param message the answer of another daemon
    /// @returns its text; empty if it can't be read, also where it refers to a text that this
    ///          daemon doesn't have any more
    [[nodiscard]] auto read(const WholeMessage &message) const -> std::optional<std::string>;

private:
    /// A text and what identifies it, as revisions of the store don't: where the store has lost a
    /// newer version, daemons keep that one's text at a later revision.
    struct Entry
    {
        std::string text;
        std::string digest;
        auto operator==(const Entry &) const -> bool = default;
    };

    [[nodiscard]] static auto entryOf(const std::string &text) -> Entry;
    /// @returns the text with this digest; nullptr if this daemon doesn't have it
    [[nodiscard]] auto find(const std::string &digest) const -> const std::string *;

    ConfigurationTextsSettings settings;
    Entry entry;
    /// The latest first.
    std::deque<Entry> earlier;
    /// Frames of the current text by the digest of their base; empty: without one.
    std::map<std::string, std::string> frames;
};

} // namespace gooseberrywall
