#pragma once

#include "common/types/ids.h"

#include <cstddef>
#include <vector>

namespace gooseberrywall {

/// A key with its weight in a stream.
struct HotKey
{
    Key key;
    /// Lower bound of the key's weight.
    double weight = 0.0;
    auto operator==(const HotKey &) const -> bool = default;
};

/// Finds the heaviest keys of a stream in bounded memory with the space-saving algorithm.
class HotKeys
{
public:
    /// @param capacity number of counters, at least one; a key with more than 1/capacity of the
    ///        total weight always has a counter
    explicit HotKeys(std::size_t capacity);

    auto add(const Key &key, double weight) -> void;

    /// Multiplies all weights by a factor, so that old work counts less.
    auto decay(double factor) -> void;

    /// @returns the counted keys, heaviest first
    [[nodiscard]] auto top() const -> std::vector<HotKey>;

private:
    struct Counter
    {
        Key key;
        double weight = 0.0;
        /// Part of the weight that may belong to keys that used this counter earlier.
        double maxOvercount = 0.0;
    };

    std::size_t capacity;
    std::vector<Counter> counters;
};

} // namespace gooseberrywall
