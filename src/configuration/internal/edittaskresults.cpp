#include "configuration/internal/edittask.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

auto EditTask::finishTimedOut() -> void
{
    if (this->unconfirmedSwap || this->phase == Phase::SwapManifest) {
        this->editResult.version = this->record.version;
        this->finish(EditStatus::OutcomeUnknown,
                     "the store did not confirm whether version "
                         + std::to_string(this->record.version) + " was accepted",
                     "Read the section's history: the change was accepted if it lists that "
                     "version; otherwise send it again.");
        return;
    }
    if (this->storeIsOutdated) {
        this->finishStoreDataLost("generation " + std::to_string(this->context.knownGeneration));
        return;
    }
    this->finish(EditStatus::Unavailable, "the store did not answer in time; nothing changed",
                 "Try again when the store answers.");
}

auto EditTask::finishAccepted() -> void
{
    this->editResult.version = this->record.version;
    this->editResult.generation = this->manifest.generation;
    this->editResult.owner = this->newOwner;
    this->context.knownGeneration =
        std::max(this->context.knownGeneration, this->manifest.generation);
    this->finish(EditStatus::Done, "accepted", {});
}

auto EditTask::finishStoreDataLost(const std::string &missingData) -> void
{
    this->finish(EditStatus::Unavailable,
                 "the store lacks " + missingData + ", which was accepted before",
                 "Have the platform restore the store's data; until then the daemons keep the "
                 "configuration in force.");
}

auto EditTask::finish(EditStatus status, std::string message, std::string remedy) -> void
{
    this->phase = Phase::Finished;
    this->retryAt.reset();
    this->editResult.status = status;
    this->editResult.message = std::move(message);
    this->editResult.remedy = std::move(remedy);
}

} // namespace gooseberrywall
