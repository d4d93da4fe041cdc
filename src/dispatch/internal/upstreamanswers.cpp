#include "dispatch/upstreamanswers.h"

#include <utility>

namespace gooseberrywall {

auto UpstreamAnswers::onAnswered(Answer answer) -> void
{
    if (this->last && this->last->daemon != answer.daemon) {
        this->lastToAnother = std::exchange(this->last, std::nullopt);
    }
    this->last = std::move(answer);
}

auto UpstreamAnswers::lastToOther(const Address &daemon) const -> const Answer *
{
    const auto &found =
        this->last && this->last->daemon != daemon ? this->last : this->lastToAnother;
    return found ? &*found : nullptr;
}

} // namespace gooseberrywall
