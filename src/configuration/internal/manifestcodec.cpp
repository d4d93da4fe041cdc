#include "configuration/manifestcodec.h"

#include "common/hash.h"

#include <nlohmann/json.hpp>

namespace gooseberrywall {

namespace {

using Json = nlohmann::json;

auto encodeEntry(const ManifestEntry &entry) -> Json
{
    return Json::array({entry.section.value, entry.version, entry.digest, entry.owner.value,
                        entry.removed ? 1 : 0});
}

auto decodeEntry(const Json &json) -> ManifestEntry
{
    return {SectionName{json.at(0).get<std::string>()}, json.at(1).get<std::uint64_t>(),
            json.at(2).get<std::uint64_t>(), TeamName{json.at(3).get<std::string>()},
            json.at(4).get<int>() != 0};
}

} // namespace

auto encodeManifest(const Manifest &manifest) -> std::string
{
    auto entries = Json::array();
    for (const auto &entry : manifest.entries) {
        entries.push_back(encodeEntry(entry));
    }
    const auto json = Json{{"generation", manifest.generation},
                           {"operation", manifest.operation.value},
                           {"sections", std::move(entries)}};
    return json.dump();
}

auto decodeManifest(std::string_view text) -> std::optional<Manifest>
{
    try {
        const auto json = Json::parse(text);
        auto manifest = Manifest{};
        manifest.generation = json.at("generation").get<std::uint64_t>();
        manifest.operation = OperationId{json.at("operation").get<std::string>()};
        for (const auto &entry : json.at("sections")) {
            manifest.entries.push_back(decodeEntry(entry));
        }
        return manifest;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

auto encodeSectionRecord(const SectionRecord &record) -> std::string
{
    const auto json = Json{{"version", record.version},      {"operation", record.operation.value},
                           {"team", record.team.value},      {"previous", record.previous},
                           {"written_at", record.writtenAt}, {"text", record.text}};
    return json.dump();
}

auto decodeSectionRecord(std::string_view text) -> std::optional<SectionRecord>
{
    try {
        const auto json = Json::parse(text);
        return SectionRecord{json.at("version").get<std::uint64_t>(),
                             OperationId{json.at("operation").get<std::string>()},
                             TeamName{json.at("team").get<std::string>()},
                             json.at("previous").get<std::uint64_t>(),
                             json.at("written_at").get<UnixMillis>(),
                             json.at("text").get<std::string>()};
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

auto sectionDigest(std::string_view text) -> std::uint64_t
{
    return stableHash(text);
}

} // namespace gooseberrywall
