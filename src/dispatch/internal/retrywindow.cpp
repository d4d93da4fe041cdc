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

auto RetryWindow::take(Instant now) -> bool
{
    auto &current = this->sliceAt(now);
    const auto index = current.index;
    double requests = 0;
    double repeats = 0;
    for (const auto &slice : this->slices) {
        if (slice.index >= 0 && index - slice.index <= static_cast<std::int64_t>(sliceCount)) {
            requests += slice.requests;
            repeats += slice.repeats;
        }
    }
    const auto allowed =
        (this->settings.ratio * requests + this->settings.extra) * this->settings.usedShare;
    if (repeats + 1 > allowed) {
        return false;
    }
    ++current.repeats;
    return true;
}

auto RetryWindow::sliceAt(Instant now) -> Slice &
{
    const auto index = this->indexAt(now);
    auto &slice = this->slices[static_cast<std::size_t>(index) % this->slices.size()];
    if (slice.index != index) {
        slice = Slice{index, 0, 0};
    }
    return slice;
}

auto RetryWindow::indexAt(Instant now) const -> std::int64_t
{
    return now.time_since_epoch().count()
           / (this->settings.window.count() / static_cast<std::int64_t>(sliceCount));
}

} // namespace gooseberrywall
