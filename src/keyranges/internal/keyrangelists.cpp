#include "keyranges/internal/keyrangelists.h"

#include <algorithm>

namespace gooseberrywall {

auto joined(std::vector<KeyRange> ranges) -> std::vector<KeyRange>
{
    std::sort(ranges.begin(), ranges.end());
    std::vector<KeyRange> result;
    for (const auto &range : ranges) {
        const auto isNext = result.empty() || std::uint32_t{result.back().last} + 1 < range.first;
        if (isNext) {
            result.push_back(range);
        } else {
            result.back().last = std::max(result.back().last, range.last);
        }
    }
    return result;
}

auto without(const std::vector<KeyRange> &ranges, const std::vector<KeyRange> &removed)
    -> std::vector<KeyRange>
{
    std::vector<KeyRange> result;
    auto next = removed.begin();
    for (const auto &range : ranges) {
        // Wider than a key, as it may pass the last one.
        std::uint32_t first = range.first;
        while (next != removed.end() && next->last < first) {
            ++next;
        }
        for (auto each = next; each != removed.end() && each->first <= range.last; ++each) {
            if (each->first > first) {
                result.push_back(KeyRange{static_cast<KeyPosition>(first),
                                          static_cast<KeyPosition>(each->first - 1)});
            }
            first = std::max(first, std::uint32_t{each->last} + 1);
        }
        if (first <= range.last) {
            result.push_back(KeyRange{static_cast<KeyPosition>(first), range.last});
        }
    }
    return result;
}

auto overlapsAny(const std::vector<KeyRange> &ranges, KeyRange range) -> bool
{
    const auto found =
        std::lower_bound(ranges.begin(), ranges.end(), range.first,
                         [](const KeyRange &each, KeyPosition first) { return each.last < first; });
    return found != ranges.end() && found->first <= range.last;
}

} // namespace gooseberrywall
