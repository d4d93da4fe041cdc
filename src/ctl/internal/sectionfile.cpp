#include "ctl/sectionfile.h"

#include "configuration/document.h"

#include <algorithm>
#include <charconv>

namespace gooseberrywall {

namespace {

constexpr std::string_view versionPrefix = "# version ";

auto takeLine(std::string_view &text) -> std::string_view
{
    const auto end = std::min(text.find('\n'), text.size() - 1);
    const auto line = text.substr(0, end + 1);
    text.remove_prefix(end + 1);
    return line;
}

auto versionOf(std::string_view line) -> std::optional<std::uint64_t>
{
    if (!line.starts_with(versionPrefix)) {
        return std::nullopt;
    }
    auto version = std::uint64_t{0};
    const auto digits = line.substr(versionPrefix.size());
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), version);
    return result.ec == std::errc{} ? std::optional(version) : std::nullopt;
}

auto isBlank(std::string_view text) -> bool
{
    return text.find_first_not_of(" \t\r\n") == std::string_view::npos;
}

auto keyOf(std::string_view line) -> std::string_view
{
    const auto end = line.find_first_of("=:");
    if (end == std::string_view::npos) {
        return {};
    }
    const auto last = line.find_last_not_of(" \t", end == 0 ? 0 : end - 1);
    return line.substr(0, last + 1);
}

auto isContinuation(std::string_view line) -> bool
{
    return !isBlank(line) && (line.front() == ' ' || line.front() == '\t');
}

auto toFileSection(const SectionText &section) -> FileSection
{
    auto read = FileSection{section.section, 0, {}};
    auto rest = std::string_view(section.text);
    while (!rest.empty()) {
        const auto line = takeLine(rest);
        if (const auto version = versionOf(line)) {
            read.version = *version;
            continue;
        }
        read.text += line;
    }
    // Blank lines between sections of a file belong to none of them.
    while (read.text.ends_with("\n\n")) {
        read.text.pop_back();
    }
    return read;
}

} // namespace

auto readSectionFile(std::string_view text) -> std::optional<std::vector<FileSection>>
{
    auto sections = std::vector<FileSection>{};
    for (const auto &section : splitSections(text)) {
        if (!section.section.empty()) {
            sections.push_back(toFileSection(section));
            continue;
        }
        auto rest = std::string_view(section.text);
        while (!rest.empty()) {
            const auto line = takeLine(rest);
            if (!isBlank(line) && line.front() != '#' && line.front() != ';') {
                return std::nullopt;
            }
        }
    }
    return sections;
}

auto writeSection(std::uint64_t version, const std::string &text) -> std::string
{
    const auto end = text.ends_with('\n') ? "" : "\n";
    return std::string(versionPrefix) + std::to_string(version) + "\n" + text + end;
}

auto withKey(std::string_view text, const std::string &key, const std::string &value) -> std::string
{
    const auto keyLine = value.empty() ? std::string{} : key + " = " + value + "\n";
    auto changed = std::string{};
    auto isReplaced = false;
    auto isReplacing = false;
    while (!text.empty()) {
        const auto line = takeLine(text);
        if (isReplacing && isContinuation(line)) {
            continue;
        }
        isReplacing = !isReplaced && keyOf(line) == key;
        if (isReplacing) {
            changed += keyLine;
            isReplaced = true;
            continue;
        }
        changed += line;
    }
    if (!changed.empty() && !changed.ends_with('\n')) {
        changed += '\n';
    }
    return isReplaced ? changed : changed + keyLine;
}

} // namespace gooseberrywall
