#pragma once

#include "common/types/ids.h"

#include <cstddef>
#include <vector>

namespace gooseberrywall {

/// A key with its share of the work.
struct HotKey
{
    Key key;
    /// Weight that is certainly the key's own.
    double weight = 0.0;
    auto operator==(const HotKey &) const -> bool = default;
};

/// Finds the heaviest keys of a stream in bounded memory (the space-saving algorithm).
class HotKeys
{
public:
    /// @param capacity keys that are counted at once; a key with more than 1/capacity of the
    ///        weight is never missed
    explicit HotKeys(std::size_t capacity);

    auto add(const Key &key, double weight) -> void;

    /// Multiplies all weights, so that old work counts less.
    auto decay(double factor) -> void;

    /// @returns the counted keys, heaviest first
    [[nodiscard]] auto top() const -> std::vector<HotKey>;

private:
    struct Counter
    {
        Key key;
        double weight = 0.0;
        /// Weight that may be of keys that had the counter before.
        double maxOvercount = 0.0;
    };

    std::size_t capacity;
    std::vector<Counter> counters;
};

} // namespace gooseberrywall
