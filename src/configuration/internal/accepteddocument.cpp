#include "configuration/internal/accepteddocument.h"

#include "common/hash.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

auto nameLess(const ConfigurationSection &section, const std::string &name) -> bool
{
    return section.name < name;
}

auto replace(std::vector<ConfigurationSection> &sections, const ConfigurationSection &changed)
    -> void
{
    const auto place = std::lower_bound(sections.begin(), sections.end(), changed.name, nameLess);
    const auto exists = place != sections.end() && place->name == changed.name;
    if (changed.text.empty()) {
        if (exists) {
            sections.erase(place);
        }
        return;
    }
    if (exists) {
        *place = changed;
        return;
    }
    sections.insert(place, changed);
}

auto findIn(const std::vector<ConfigurationSection> &sections, const std::string &name)
    -> const ConfigurationSection *
{
    for (const auto &section : sections) {
        if (section.name == name) {
            return &section;
        }
    }
    return nullptr;
}

} // namespace

auto AcceptedDocument::find(const std::string &name) const -> const ConfigurationSection *
{
    const auto place =
        std::lower_bound(this->sections.begin(), this->sections.end(), name, nameLess);
    const auto exists = place != this->sections.end() && place->name == name;
    return exists ? &*place : nullptr;
}

auto AcceptedDocument::digest() const -> std::uint64_t
{
    auto text = std::string{};
    for (const auto &section : this->sections) {
        text += section.name + '\n' + std::to_string(section.version.value) + '\n';
    }
    return stableHash(text);
}

auto AcceptedDocument::after(const ConfigurationUpdate &update) const
    -> std::optional<AcceptedDocument>
{
    auto next = AcceptedDocument{update.generation, {}};
    if (!update.isFull) {
        next.sections = this->sections;
    }
    for (const auto &section : update.sections) {
        replace(next.sections, section);
    }
    const auto hasNoDigest = update.isFull && update.digest == 0;
    if (!hasNoDigest && next.digest() != update.digest) {
        return std::nullopt;
    }
    return next;
}

auto AcceptedDocument::updateFor(const std::vector<ConfigurationSection> &receiverVersions) const
    -> ConfigurationUpdate
{
    auto update =
        ConfigurationUpdate{this->generation, receiverVersions.empty(), {}, this->digest()};
    for (const auto &section : this->sections) {
        const auto *other = findIn(receiverVersions, section.name);
        if (other == nullptr || other->version != section.version) {
            update.sections.push_back(section);
        }
    }
    for (const auto &other : receiverVersions) {
        if (this->find(other.name) == nullptr) {
            update.sections.push_back({other.name, other.version, {}});
        }
    }
    return update;
}

auto AcceptedDocument::versions() const -> std::vector<ConfigurationSection>
{
    auto list = std::vector<ConfigurationSection>{};
    for (const auto &section : this->sections) {
        list.push_back({section.name, section.version, {}});
    }
    return list;
}

auto byteSize(const std::vector<ConfigurationSection> &sections) -> std::uint64_t
{
    auto bytes = std::uint64_t{0};
    for (const auto &section : sections) {
        bytes += section.name.size() + sizeof(section.version) + section.text.size();
    }
    return bytes;
}

} // namespace gooseberrywall
