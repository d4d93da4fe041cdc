#include "placement/hotkeys.h"

#include <algorithm>

namespace gooseberrywall {

HotKeys::HotKeys(std::size_t capacity)
    : capacity(std::max<std::size_t>(1, capacity))
{
}

auto HotKeys::add(const Key &key, double weight) -> void
{
    const auto known = std::find_if(this->counters.begin(), this->counters.end(),
                                    [&key](const Counter &counter) { return counter.key == key; });
    if (known != this->counters.end()) {
        known->weight += weight;
        return;
    }
    if (this->counters.size() < this->capacity) {
        this->counters.push_back({key, weight, 0.0});
        return;
    }
    const auto lightest = std::min_element(
        this->counters.begin(), this->counters.end(),
        [](const Counter &left, const Counter &right) { return left.weight < right.weight; });
    *lightest = {key, lightest->weight + weight, lightest->weight};
}

auto HotKeys::decay(double factor) -> void
{
    for (auto &counter : this->counters) {
        counter.weight *= factor;
        counter.maxOvercount *= factor;
    }
}

auto HotKeys::top() const -> std::vector<HotKey>
{
    std::vector<HotKey> keys;
    for (const auto &counter : this->counters) {
        keys.push_back({counter.key, counter.weight - counter.maxOvercount});
    }
    std::sort(keys.begin(), keys.end(), [](const HotKey &left, const HotKey &right) {
        return left.weight != right.weight ? left.weight > right.weight : left.key < right.key;
    });
    return keys;
}

} // namespace gooseberrywall
