#include "inidocument/checkedini.h"

#include "inidocument/internal/iniscanner.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

auto makeError(IniErrorKind kind, int line, const RawSection &section, std::string key,
               std::string message, std::string remedy) -> IniError
{
    const auto heading = section.name.empty() ? section.kind : section.kind + " " + section.name;
    return {kind, {}, line, heading, std::move(key), std::move(message), std::move(remedy)};
}

auto keyNames(const SectionDescription &description) -> std::string
{
    auto names = std::string{};
    for (const auto &key : description.keys) {
        names += (names.empty() ? "" : ", ") + key.name;
    }
    return names;
}

auto headingList(const std::vector<SectionDescription> &descriptions) -> std::string
{
    auto names = std::string{};
    for (const auto &description : descriptions) {
        names += names.empty() ? "[" : ", [";
        names += description.kind;
        names += description.count == SectionCount::Named ? " NAME]" : "]";
    }
    return names;
}

/// Checks the entries of one section and stops at the first error.
class SectionCheck
{
public:
    SectionCheck(const RawSection &raw, const SectionDescription &description)
        : raw(raw)
        , description(description)
    {
    }

    auto run() -> std::optional<IniSection>
    {
        for (const auto &entry : this->raw.entries) {
            if (!this->checkKey(entry)) {
                return std::nullopt;
            }
        }
        auto entries = std::vector<IniEntry>{};
        for (const auto &key : this->description.keys) {
            auto entry = this->makeEntry(key);
            if (!entry) {
                return std::nullopt;
            }
            entries.push_back(std::move(*entry));
        }
        return IniSection(this->raw.kind, this->raw.name, this->raw.line, std::move(entries));
    }

    [[nodiscard]] auto lastError() const -> const IniError & { return this->error; }

private:
    auto checkKey(const RawEntry &entry) -> bool
    {
        const auto *key = this->description.find(entry.key);
        if (key == nullptr) {
            this->fail(IniErrorKind::UnknownKey, entry, "the section has no such key",
                       "Remove it or use one of: " + keyNames(this->description) + ".");
            return false;
        }
        if (entry.continued && key->kind != ValueKind::List) {
            this->fail(IniErrorKind::Syntax, entry,
                       "the value continues in an indented line, but is not a list",
                       "Start each key at the beginning of its line; only lists may continue.");
            return false;
        }
        const auto sameKey = [&entry](const RawEntry &other) { return other.key == entry.key; };
        if (std::count_if(this->raw.entries.begin(), this->raw.entries.end(), sameKey) > 1) {
            this->fail(IniErrorKind::DuplicateKey, entry, "the key occurs twice in the section",
                       "Remove one of the two.");
            return false;
        }
        return true;
    }

    auto makeEntry(const KeyDescription &key) -> std::optional<IniEntry>
    {
        const auto sameKey = [&key](const RawEntry &entry) { return entry.key == key.name; };
        const auto found =
            std::find_if(this->raw.entries.begin(), this->raw.entries.end(), sameKey);
        const auto isMissing = found == this->raw.entries.end();
        if (isMissing && !key.defaultValue) {
            this->error = makeError(IniErrorKind::MissingKey, this->raw.line, this->raw, key.name,
                                    "the key is missing and has no default",
                                    "Add '" + key.name + " = ...' to the section.");
            return std::nullopt;
        }
        auto checked = checkValue(key, isMissing ? *key.defaultValue : found->value);
        if (auto *value = std::get_if<IniValue>(&checked)) {
            return IniEntry{key.name, std::move(*value), isMissing ? 0 : found->line};
        }
        const auto &fault = std::get<IniError>(checked);
        this->error = makeError(fault.kind, isMissing ? this->raw.line : found->line, this->raw,
                                key.name, fault.message, fault.remedy);
        return std::nullopt;
    }

    auto fail(IniErrorKind kind, const RawEntry &entry, std::string message, std::string remedy)
        -> void
    {
        this->error = makeError(kind, entry.line, this->raw, entry.key, std::move(message),
                                std::move(remedy));
    }

    const RawSection &raw;
    const SectionDescription &description;
    IniError error;
};

auto findDescription(const std::vector<SectionDescription> &descriptions, const std::string &kind)
    -> const SectionDescription *
{
    for (const auto &description : descriptions) {
        if (description.kind == kind) {
            return &description;
        }
    }
    return nullptr;
}

auto checkHeading(const RawSection &raw, const std::vector<SectionDescription> &descriptions)
    -> std::optional<IniError>
{
    const auto *description = findDescription(descriptions, raw.kind);
    const auto isNamed = !raw.name.empty();
    if (description != nullptr && (description->count == SectionCount::Named) == isNamed) {
        return std::nullopt;
    }
    return makeError(IniErrorKind::UnknownSection, raw.line, raw, {},
                     "the heading is none of the allowed ones",
                     "Use one of: " + headingList(descriptions) + ".");
}

auto checkHeadings(const std::vector<RawSection> &sections,
                   const std::vector<SectionDescription> &descriptions) -> std::optional<IniError>
{
    auto seen = std::vector<std::pair<std::string, std::string>>{};
    for (const auto &raw : sections) {
        if (auto error = checkHeading(raw, descriptions)) {
            return error;
        }
        if (std::find(seen.begin(), seen.end(), std::pair(raw.kind, raw.name)) != seen.end()) {
            return makeError(IniErrorKind::DuplicateSection, raw.line, raw, {},
                             "the section occurs twice in the document", "Merge the two.");
        }
        seen.emplace_back(raw.kind, raw.name);
    }
    return std::nullopt;
}

} // namespace

auto CheckedIni::parse(std::string_view text, const std::string &fileName,
                       const std::vector<SectionDescription> &descriptions)
    -> std::optional<IniValues>
{
    this->error = {};
    const auto refuse = [this, &fileName](IniError reason) {
        this->error = std::move(reason);
        this->error.file = fileName;
        return std::nullopt;
    };
    auto scanner = IniScanner();
    auto raw = scanner.scan(text);
    if (!raw) {
        return refuse(scanner.lastError());
    }
    if (auto fault = checkHeadings(*raw, descriptions)) {
        return refuse(std::move(*fault));
    }
    for (const auto &description : descriptions) {
        const auto sameKind = [&description](const RawSection &section) {
            return section.kind == description.kind;
        };
        if (std::any_of(raw->begin(), raw->end(), sameKind)) {
            continue;
        }
        if (description.count == SectionCount::One) {
            return refuse(makeError(IniErrorKind::MissingSection, 0, {description.kind, {}, 0, {}},
                                    {}, "the section is missing",
                                    "Add '[" + description.kind + "]' with its keys."));
        }
        if (description.count == SectionCount::Optional) {
            raw->push_back({description.kind, {}, 0, {}});
        }
    }
    auto sections = std::vector<IniSection>{};
    for (const auto &section : *raw) {
        auto check = SectionCheck(section, *findDescription(descriptions, section.kind));
        auto checked = check.run();
        if (!checked) {
            return refuse(check.lastError());
        }
        sections.push_back(std::move(*checked));
    }
    return IniValues(std::move(sections));
}

} // namespace gooseberrywall
