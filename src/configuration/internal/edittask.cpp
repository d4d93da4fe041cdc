#include "configuration/internal/edittask.h"

#include "configuration/manifestcodec.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr std::size_t maximumParallelReads = 16;

auto failed(const StoreAnswer &answer) -> bool
{
    return answer.status == StoreStatus::Unavailable || answer.status == StoreStatus::Ambiguous;
}

auto firstItem(const StoreAnswer &answer) -> const StoreItem *
{
    const auto exists = !answer.items.empty() && answer.items.front().version.value != 0;
    return exists ? &answer.items.front() : nullptr;
}

auto recordOf(const StoreAnswer &answer) -> std::optional<SectionRecord>
{
    const auto *item = firstItem(answer);
    return item == nullptr ? std::nullopt : decodeSectionRecord(item->value);
}

} // namespace

EditTask::EditTask(EditContext &context, EditId id, EditRequest request, Instant now)
    : context(context)
    , request(std::move(request))
    , deadline(now + context.settings.editTimeout)
    , retryDelay(context.settings.minimumRetryDelay)
{
    this->editResult.id = id;
    this->editResult.operation = this->request.operation;
    this->editResult.section = this->request.section;
}

auto EditTask::begin(Outbox &outbox) -> void
{
    this->sendCalls(outbox);
}

auto EditTask::tick(Instant now, Outbox &outbox) -> void
{
    if (this->isFinished()) {
        return;
    }
    if (now >= this->deadline) {
        this->finishTimedOut();
        return;
    }
    if (this->retryAt && now >= *this->retryAt) {
        this->retryAt.reset();
        this->sendCalls(outbox);
    }
}

auto EditTask::onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer, Outbox &outbox)
    -> bool
{
    const auto found = this->calls.find(call);
    if (found == this->calls.end()) {
        return false;
    }
    const auto key = found->second;
    this->calls.erase(found);
    if (!this->isFinished()) {
        this->handleAnswer(now, key, answer, outbox);
    }
    return true;
}

auto EditTask::enterPhase(Phase next, Outbox &outbox) -> void
{
    this->phase = next;
    this->sendCalls(outbox);
}

auto EditTask::sendCalls(Outbox &outbox) -> void
{
    const auto timeout = this->context.settings.callTimeout;
    switch (this->phase) {
    case Phase::ReadManifest:
        this->sendGet(manifestKey, outbox);
        return;
    case Phase::ReadTexts:
        this->readMissingTexts(outbox);
        return;
    case Phase::ReadHistory:
    case Phase::ReadOutcome:
        this->sendGet(sectionKey(this->request.section, this->versionToRead), outbox);
        return;
    case Phase::ReadConflict:
        this->sendGet(sectionKey(this->request.section, this->request.expectedVersion), outbox);
        return;
    case Phase::WriteSection: {
        auto key = sectionKey(this->request.section, this->record.version);
        auto write = StoreCompareAndSwap{key, encodeSectionRecord(this->record), StoreVersion{}};
        this->calls.emplace(outbox.toStore(std::move(write), timeout), std::move(key));
        return;
    }
    case Phase::SwapManifest: {
        auto swap = StoreCompareAndSwap{manifestKey, encodeManifest(this->manifestWithChange()),
                                        this->manifestVersion};
        this->calls.emplace(outbox.toStore(std::move(swap), timeout), manifestKey);
        return;
    }
    case Phase::Finished:
        return;
    }
}

auto EditTask::sendGet(const std::string &key, Outbox &outbox) -> void
{
    this->calls.emplace(outbox.toStore(StoreGet{key}, this->context.settings.callTimeout), key);
}

auto EditTask::readMissingTexts(Outbox &outbox) -> void
{
    for (const auto &candidate : this->manifest.entries) {
        const auto known = candidate.removed || this->useCachedText(candidate);
        if (!known && this->calls.size() < maximumParallelReads) {
            this->sendGet(sectionKey(candidate.section, candidate.version), outbox);
        }
    }
    if (this->calls.empty()) {
        this->executeOperation(outbox);
    }
}

auto EditTask::useCachedText(const ManifestEntry &entry) -> bool
{
    auto &known = this->texts[entry.section];
    if (known.version == entry.version) {
        return true;
    }
    const auto *text = this->context.cached(entry);
    if (text == nullptr) {
        return false;
    }
    known = {entry.version, *text};
    return true;
}

auto EditTask::retryLater(Instant now) -> void
{
    this->retryAt = now + this->context.jittered(this->retryDelay);
    this->retryDelay = std::min(this->retryDelay * 2, this->context.settings.maximumRetryDelay);
}

auto EditTask::handleAnswer(Instant now, const std::string &key, const StoreAnswer &answer,
                            Outbox &outbox) -> void
{
    if (this->phase == Phase::WriteSection) {
        this->onSectionWritten(now, answer, outbox);
        return;
    }
    if (this->phase == Phase::SwapManifest) {
        this->onSwapped(now, answer, outbox);
        return;
    }
    if (failed(answer)) {
        this->retryLater(now);
        return;
    }
    switch (this->phase) {
    case Phase::ReadManifest:
        this->onManifest(now, answer, outbox);
        return;
    case Phase::ReadTexts:
        this->onTexts(key, answer, outbox);
        return;
    case Phase::ReadHistory:
        this->onHistory(answer, outbox);
        return;
    case Phase::ReadConflict:
        this->finishConflict(answer);
        return;
    case Phase::ReadOutcome:
        this->onOutcome(answer, outbox);
        return;
    default:
        return;
    }
}

auto EditTask::onManifest(Instant now, const StoreAnswer &answer, Outbox &outbox) -> void
{
    const auto *item = firstItem(answer);
    const auto decoded = item == nullptr ? Manifest{} : decodeManifest(item->value);
    if (!decoded) {
        this->finishStoreDataLost("the manifest");
        return;
    }
    this->storeIsOutdated = decoded->generation < this->context.knownGeneration;
    if (this->storeIsOutdated) {
        this->retryLater(now);
        return;
    }
    this->manifest = *decoded;
    this->manifestVersion = item == nullptr ? StoreVersion{} : item->version;
    this->context.knownGeneration = decoded->generation;
    if (this->sectionWritten && this->isAccepted()) {
        this->finishAccepted();
        return;
    }
    if (this->unconfirmedSwap && this->currentVersion() > this->record.version) {
        this->versionToRead = this->currentVersion();
        this->enterPhase(Phase::ReadOutcome, outbox);
        return;
    }
    if (this->unconfirmedSwap && *this->unconfirmedSwap != this->manifestVersion) {
        // The manifest has changed since, so the swap can't take effect any more.
        this->unconfirmedSwap.reset();
    }
    this->enterPhase(Phase::ReadTexts, outbox);
}

auto EditTask::isAccepted() -> bool
{
    return this->currentVersion() == this->record.version;
}

auto EditTask::onTexts(const std::string &key, const StoreAnswer &answer, Outbox &outbox) -> void
{
    for (const auto &candidate : this->manifest.entries) {
        if (sectionKey(candidate.section, candidate.version) != key) {
            continue;
        }
        const auto read = recordOf(answer);
        if (!read || sectionDigest(read->text) != candidate.digest) {
            this->finishStoreDataLost(key);
            return;
        }
        this->texts[candidate.section] = {candidate.version, read->text};
        this->context.cache[candidate.section] = {candidate.version, read->text};
    }
    if (this->calls.empty()) {
        this->readMissingTexts(outbox);
    }
}

auto EditTask::onHistory(const StoreAnswer &answer, Outbox &outbox) -> void
{
    auto read = recordOf(answer);
    if (!read) {
        this->finishStoreDataLost("version " + std::to_string(this->versionToRead));
        return;
    }
    this->versionToRead = read->previous;
    this->history.push_back(std::move(*read));
    if (this->wantsMoreHistory()) {
        this->sendCalls(outbox);
        return;
    }
    this->answerFromHistory(outbox);
}

auto EditTask::onOutcome(const StoreAnswer &answer, Outbox &outbox) -> void
{
    const auto read = recordOf(answer);
    if (!read) {
        this->finishStoreDataLost("version " + std::to_string(this->versionToRead));
        return;
    }
    if (read->previous == this->record.version) {
        this->finishAccepted();
        return;
    }
    if (read->previous > this->record.version) {
        this->versionToRead = read->previous;
        this->sendCalls(outbox);
        return;
    }
    this->unconfirmedSwap.reset();
    this->enterPhase(Phase::ReadTexts, outbox);
}

auto EditTask::onSectionWritten(Instant now, const StoreAnswer &answer, Outbox &outbox) -> void
{
    if (failed(answer)) {
        this->retryLater(now);
        return;
    }
    const auto stored = recordOf(answer);
    const auto isOwnWrite = stored && stored->operation == this->record.operation;
    if (answer.status == StoreStatus::Ok || isOwnWrite) {
        this->sectionWritten = true;
        this->enterPhase(Phase::SwapManifest, outbox);
        return;
    }
    ++this->record.version;
    this->sendCalls(outbox);
}

auto EditTask::onSwapped(Instant now, const StoreAnswer &answer, Outbox &outbox) -> void
{
    if (answer.status == StoreStatus::Ok) {
        this->manifest = this->manifestWithChange();
        this->finishAccepted();
        return;
    }
    if (answer.status == StoreStatus::Ambiguous) {
        this->unconfirmedSwap = this->manifestVersion;
    }
    this->phase = Phase::ReadManifest;
    if (answer.status == StoreStatus::Conflict) {
        this->sendCalls(outbox);
        return;
    }
    this->retryLater(now);
}

auto EditTask::manifestWithChange() const -> Manifest
{
    return this->manifest.with({this->request.section, this->record.version,
                                sectionDigest(this->record.text), this->newOwner,
                                this->record.text.empty()},
                               this->record.operation);
}

auto EditTask::currentEntry() const -> const ManifestEntry *
{
    return this->manifest.find(this->request.section);
}

auto EditTask::sectionExists() const -> bool
{
    const auto *current = this->currentEntry();
    return current != nullptr && !current->removed;
}

auto EditTask::currentVersion() const -> std::uint64_t
{
    const auto *current = this->currentEntry();
    return current == nullptr ? 0 : current->version;
}

auto EditTask::sectionTexts() const -> std::vector<SectionText>
{
    auto sections = std::vector<SectionText>{};
    for (const auto &candidate : this->manifest.entries) {
        if (!candidate.removed) {
            sections.push_back({candidate.section, this->texts.at(candidate.section).text});
        }
    }
    return sections;
}

auto EditTask::currentText() const -> std::string
{
    return this->sectionExists() ? this->texts.at(this->request.section).text : std::string{};
}

} // namespace gooseberrywall
