#include "entry/recentforwarders.h"

namespace gooseberrywall {

auto RecentForwarders::onNamed(const Address &forwarder, Instant now) -> void
{
    this->namedAt[forwarder] = now;
}

auto RecentForwarders::next(Instant now) -> std::optional<Address>
{
    std::erase_if(this->namedAt, [&](const auto &row) { return now - row.second > retention; });
    if (this->namedAt.empty()) {
        return std::nullopt;
    }
    auto found = this->namedAt.upper_bound(this->lastUsed);
    if (found == this->namedAt.end()) {
        found = this->namedAt.begin();
    }
    this->lastUsed = found->first;
    return found->first;
}

} // namespace gooseberrywall
