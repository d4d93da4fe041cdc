#include "loadtool/zipfkeys.h"

#include <algorithm>
#include <cmath>

namespace gooseberrywall {

ZipfKeys::ZipfKeys(std::uint32_t count, double exponent)
{
    auto sum = 0.0;
    this->cumulative.reserve(count);
    for (std::uint32_t rank = 1; rank <= std::max(1U, count); ++rank) {
        sum += std::pow(rank, -exponent);
        this->cumulative.push_back(sum);
    }
}

auto ZipfKeys::keyAt(double uniform) const -> std::uint32_t
{
    const auto wanted = uniform * this->cumulative.back();
    const auto found =
        std::upper_bound(this->cumulative.begin(), this->cumulative.end() - 1, wanted);
    return static_cast<std::uint32_t>(found - this->cumulative.begin());
}

} // namespace gooseberrywall
