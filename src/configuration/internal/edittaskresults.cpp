#include "configuration/internal/edittask.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

auto EditTask::finishTimedOut() -> void
{
    if (this->unansweredSwap || this->phase == Phase::SwapManifest) {
        this->ending.version = this->record.version;
        this->finish(EditStatus::OutcomeUnknown,
                     "the store did not say whether version " + std::to_string(this->record.version)
                         + " was accepted",
                     "Read the section's history: the change was accepted if it lists that "
                     "version; otherwise send it again.");
        return;
    }
    if (this->storeBehind) {
        this->finishLost("generation " + std::to_string(this->context.knownGeneration));
        return;
    }
    this->finish(EditStatus::Unavailable, "the store did not answer in time; nothing changed",
                 "Try again when the store answers.");
}

auto EditTask::finishAccepted() -> void
{
    this->ending.version = this->record.version;
    this->ending.generation = this->manifest.generation;
    this->ending.owner = this->newOwner;
    this->context.knownGeneration =
        std::max(this->context.knownGeneration, this->manifest.generation);
    this->finish(EditStatus::Done, "accepted", {});
}

auto EditTask::finishLost(const std::string &what) -> void
{
    this->finish(EditStatus::Unavailable, "the store lacks " + what + ", which was accepted before",
                 "Have the platform restore the store's data; the daemons go on with what they "
                 "have.");
}

auto EditTask::finish(EditStatus status, std::string message, std::string remedy) -> void
{
    this->phase = Phase::Finished;
    this->retryAt.reset();
    this->ending.status = status;
    this->ending.message = std::move(message);
    this->ending.remedy = std::move(remedy);
}

} // namespace gooseberrywall
