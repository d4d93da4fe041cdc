#include "keyranges/rangerecordcodec.h"

#include "http/jsonfields.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

using nlohmann::json;

auto toJson(const RangeHolder &holder) -> json
{
    return json{
        {"id", holder.id.value}, {"life", holder.incarnation.value}, {"at", holder.address.value}};
}

auto toHolder(const json &object) -> RangeHolder
{
    return RangeHolder{UpstreamId{object.at("id").get<std::string>()},
                       Incarnation{jsonfields::numberOf<std::uint64_t>(object, "life")},
                       Address{object.at("at").get<std::string>()}};
}

auto toRow(const json &object) -> RangeRow
{
    RangeRow row;
    row.range.first = jsonfields::numberOf<KeyPosition>(object, "first");
    row.range.last = jsonfields::numberOf<KeyPosition>(object, "last");
    row.owner = toHolder(object.at("owner"));
    row.isOutdated = object.value("outdated", false);
    for (const auto &holder : object.at("earlier")) {
        row.earlierOwners.push_back(toHolder(holder));
    }
    return row;
}

} // namespace

auto encodeRangeRecord(const RangeRecord &record) -> std::string
{
    auto rows = json::array();
    for (const auto &row : record.rows) {
        auto earlierOwners = json::array();
        for (const auto &holder : row.earlierOwners) {
            earlierOwners.push_back(toJson(holder));
        }
        json object{{"first", row.range.first},
                    {"last", row.range.last},
                    {"owner", toJson(row.owner)},
                    {"earlier", std::move(earlierOwners)}};
        if (row.isOutdated) {
            object["outdated"] = true;
        }
        rows.push_back(std::move(object));
    }
    return json{{"rows", std::move(rows)}}.dump();
}

auto decodeRangeRecord(std::string_view text) -> std::optional<RangeRecord>
{
    auto record = jsonfields::decoded(text, [](const json &object) {
        RangeRecord result;
        for (const auto &row : object.at("rows")) {
            result.rows.push_back(toRow(row));
        }
        return result;
    });
    if (!record) {
        return std::nullopt;
    }
    std::sort(record->rows.begin(), record->rows.end(), [](const auto &left, const auto &right) {
        return left.range.first < right.range.first;
    });
    for (std::size_t index = 0; index < record->rows.size(); ++index) {
        const auto &range = record->rows[index].range;
        const auto overlaps = index > 0 && record->rows[index - 1].range.last >= range.first;
        if (range.first > range.last || overlaps) {
            return std::nullopt;
        }
    }
    return record;
}

} // namespace gooseberrywall
