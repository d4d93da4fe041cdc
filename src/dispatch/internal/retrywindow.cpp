#include "dispatch/retrywindow.h"

#include <algorithm>

namespace gooseberrywall {

RetryWindow::RetryWindow(RetryWindowSettings settings)
    : settings(settings)
{
}

auto RetryWindow::setAllowance(double ratio, double extra) -> void
{
    this->settings.ratio = ratio;
    this->settings.extra = extra;
}

auto RetryWindow::onRequest(Instant now) -> void
{
    ++this->sliceAt(now).requests;
}

auto RetryWindow::tryTake(Instant now) -> bool
{
    auto &current = this->sliceAt(now);
    const auto index = current.index;
    double requests = 0;
    double retries = 0;
    for (const auto &slice : this->slices) {
        if (slice.index >= 0 && index - slice.index <= static_cast<std::int64_t>(sliceCount)) {
            requests += slice.requests;
            retries += slice.retries;
        }
    }
    const auto extra = this->settings.extra * this->earnedShare(now);
    const auto allowed = (this->settings.ratio * requests + extra) * this->settings.usableShare;
    if (retries + 1 > allowed) {
        return false;
    }
    ++current.retries;
    return true;
}

auto RetryWindow::earnedShare(Instant now) const -> double
{
    const auto from = std::max(this->authority.from, now - this->settings.window);
    const auto until = std::min(this->authority.until, now);
    if (until <= from) {
        return 0;
    }
    return std::chrono::duration<double>(until - from)
           / std::chrono::duration<double>(this->settings.window);
}

auto RetryWindow::sliceAt(Instant now) -> Slice &
{
    const auto index = this->sliceIndexAt(now);
    auto &slice = this->slices[static_cast<std::size_t>(index) % this->slices.size()];
    if (slice.index != index) {
        slice = Slice{index, 0, 0};
    }
    return slice;
}

auto RetryWindow::sliceIndexAt(Instant now) const -> std::int64_t
{
    return now.time_since_epoch().count()
           / (this->settings.window.count() / static_cast<std::int64_t>(sliceCount));
}

} // namespace gooseberrywall
