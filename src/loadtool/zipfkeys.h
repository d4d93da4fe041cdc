#pragma once

#include <cstdint>
#include <vector>

namespace gooseberrywall {

/// Chooses keys by a Zipf distribution: the probability of the n-th most popular key is
/// proportional to 1 / n^exponent.
class ZipfKeys
{
public:
    /// @param count number of keys, at least one
    /// @param exponent zero: all keys are equally popular
    ZipfKeys(std::uint32_t count, double exponent);

    /// @param uniform uniform random number from 0 to below 1
    /// @returns the number of the key, 0 for the most popular one
    [[nodiscard]] auto keyAt(double uniform) const -> std::uint32_t;

private:
    std::vector<double> cumulative;
};

} // namespace gooseberrywall
