#include "streams/peersilence.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

auto PeerSilence::observe(const SendQueueState &state, Instant moment) -> bool
{
    const auto isSegmentDue =
        state.unacknowledgedSegments > 0 && !state.isLastSegmentAnswered.value_or(false);
    if (!isSegmentDue && state.unansweredProbes == 0) {
        this->last.reset();
        return false;
    }
    const auto earlier = std::exchange(this->last, Observation{state.acknowledgedBytes, moment});
    if (!earlier || state.acknowledgedBytes > earlier->acknowledgedBytes) {
        this->overdue = Duration{0};
        return false;
    }
    this->overdue += std::min(moment - earlier->moment, longestStep);
    return this->overdue >= this->limit;
}

} // namespace gooseberrywall
