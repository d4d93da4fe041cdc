#include "keyranges/rangegrantor.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

/// Low bits of a fence, which count the fences of one term; the higher bits are the term.
constexpr unsigned sequenceBits = 20;
/// Fences fit into signed integers of 64 bits.
constexpr unsigned termBits = 63 - sequenceBits;

} // namespace

auto RangeGrantor::setStoreRevision(std::uint64_t revision) -> void
{
    this->storeRevision = std::max(this->storeRevision, revision);
}

auto RangeGrantor::hasFence() const -> bool
{
    // Beyond 2^20 fences, the sequence runs on into the term. A successor's term is above all known
    // revisions of the store, so its fences are above these as long as the sum isn't.
    const auto termReached = this->term + ((this->sequence + 1) >> sequenceBits);
    return termReached <= std::max(this->term, this->storeRevision) && termReached >> termBits == 0;
}

auto RangeGrantor::nextFence() -> std::uint64_t
{
    ++this->sequence;
    return (this->term << sequenceBits) + this->sequence;
}

} // namespace gooseberrywall
