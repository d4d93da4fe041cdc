#include "dispatch/retrywindow.h"

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
    const auto allowed =
        (this->settings.ratio * requests + this->settings.extra) * this->settings.usableShare;
    if (retries + 1 > allowed) {
        return false;
    }
    ++current.retries;
    return true;
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
