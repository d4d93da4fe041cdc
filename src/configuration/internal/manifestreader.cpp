#include "configuration/internal/manifestreader.h"

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

} // namespace

ManifestReader::ManifestReader(KeeperSettings settings, std::uint64_t randomSeed)
    : settings(settings)
    , random(randomSeed)
    , retryDelay(this->settings.minimumRetryDelay)
{
}

auto ManifestReader::readOnce(Instant now) -> void
{
    this->readRequested = true;
    if (this->callIsWatch) {
        // Abandons the pending watch; its answer will be ignored.
        this->manifestCall.reset();
    }
    this->watchRevision.reset();
    this->nextManifestRead = std::min(this->nextManifestRead, now);
}

auto ManifestReader::tick(Instant now, const AcceptedDocument &current, Outbox &outbox) -> void
{
    if (!this->nextPoll) {
        this->nextPoll = now + this->jittered(this->settings.pollInterval);
    }
    const auto isDue = this->isWatching || this->readRequested || now >= *this->nextPoll;
    if (isDue && !this->manifestCall && now >= this->nextManifestRead) {
        this->readManifest(outbox);
    }
    this->readPendingSections(now, current, outbox);
}

auto ManifestReader::readManifest(Outbox &outbox) -> void
{
    this->callIsWatch = this->watchRevision.has_value();
    if (this->callIsWatch) {
        ++this->watchCount;
        const auto timeout = this->isWatching ? this->settings.watchTimeout : Duration{0};
        this->manifestCall = outbox.toStore(StoreWatch{manifestKey, *this->watchRevision, timeout},
                                            timeout + this->settings.callTimeout);
        return;
    }
    ++this->readCount;
    this->manifestCall = outbox.toStore(StoreGet{manifestKey}, this->settings.callTimeout);
}

auto ManifestReader::onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer,
                                   const AcceptedDocument &current, Outbox &outbox) -> bool
{
    const auto section = this->sectionCalls.find(call);
    const auto isSection = section != this->sectionCalls.end();
    if (!isSection && this->manifestCall != call) {
        return false;
    }
    for (const auto &item : answer.items) {
        this->bytesRead += item.key.size() + item.value.size();
    }
    if (isSection) {
        const auto name = section->second;
        this->sectionCalls.erase(section);
        this->onSection(now, name, answer, current);
    } else {
        this->manifestCall.reset();
        this->onManifest(now, answer, current);
    }
    this->readPendingSections(now, current, outbox);
    return true;
}

auto ManifestReader::onManifest(Instant now, const StoreAnswer &answer,
                                const AcceptedDocument &current) -> void
{
    if (failed(answer)) {
        this->watchRevision.reset();
        this->nextManifestRead = this->backOff(now);
        return;
    }
    this->retryDelay = this->settings.minimumRetryDelay;
    this->nextManifestRead = now + this->settings.watchPause;
    this->nextPoll = now + this->jittered(this->settings.pollInterval);
    this->watchRevision = answer.revision;
    if (!this->callIsWatch) {
        this->readRequested = false;
        this->storeGeneration = this->storeGeneration.value_or(0);
    }
    for (const auto &item : answer.items) {
        const auto manifest =
            item.key == manifestKey ? decodeManifest(item.value) : std::optional<Manifest>{};
        if (!manifest) {
            continue;
        }
        this->storeGeneration = manifest->generation;
        const auto newestGeneration = std::max(
            current.generation, this->pendingManifest ? this->pendingManifest->generation : 0);
        if (manifest->generation > newestGeneration) {
            const auto waitsForFirstReader =
                current.generation > 0 && !this->isFirstReader && !this->pendingManifest;
            this->nextSectionRead =
                waitsForFirstReader ? now + this->settings.sectionReadDelay : this->nextSectionRead;
            this->pendingManifest = *manifest;
        }
    }
}

auto ManifestReader::onSection(Instant now, const std::string &name, const StoreAnswer &answer,
                               const AcceptedDocument &current) -> void
{
    const auto record = failed(answer) || answer.items.empty()
                            ? std::nullopt
                            : decodeSectionRecord(answer.items.front().value);
    const auto *entry =
        this->pendingManifest ? this->pendingManifest->find(SectionName{name}) : nullptr;
    if (entry == nullptr) {
        return;
    }
    if (record) {
        this->fetchedSections[name] = {name, StoreVersion{record->version}, record->text};
    }
    if (this->findSection(*entry, current) == nullptr) {
        this->nextSectionRead = this->backOff(now);
    }
}

auto ManifestReader::readPendingSections(Instant now, const AcceptedDocument &current,
                                         Outbox &outbox) -> void
{
    if (this->pendingManifest && this->pendingManifest->generation <= current.generation) {
        this->pendingManifest.reset();
    }
    if (!this->pendingManifest) {
        this->fetchedSections.clear();
        return;
    }
    auto isIncomplete = false;
    for (const auto &entry : this->pendingManifest->entries) {
        if (entry.removed || this->findSection(entry, current) != nullptr) {
            continue;
        }
        isIncomplete = true;
        const auto &name = entry.section.value;
        const auto isRequested =
            std::any_of(this->sectionCalls.begin(), this->sectionCalls.end(),
                        [&name](const auto &call) { return call.second == name; });
        if (!isRequested && this->sectionCalls.size() < maximumParallelReads
            && now >= this->nextSectionRead) {
            ++this->readCount;
            const auto call = outbox.toStore(StoreGet{sectionKey(entry.section, entry.version)},
                                             this->settings.callTimeout);
            this->sectionCalls.emplace(call, name);
        }
    }
    if (!isIncomplete) {
        this->completeDocument(current);
    }
}

auto ManifestReader::findSection(const ManifestEntry &entry, const AcceptedDocument &current) const
    -> const ConfigurationSection *
{
    const auto *accepted = current.find(entry.section.value);
    if (accepted != nullptr && accepted->version.value == entry.version) {
        return accepted;
    }
    const auto read = this->fetchedSections.find(entry.section.value);
    const auto usable = read != this->fetchedSections.end()
                        && read->second.version.value == entry.version
                        && sectionDigest(read->second.text) == entry.digest;
    return usable ? &read->second : nullptr;
}

auto ManifestReader::completeDocument(const AcceptedDocument &current) -> void
{
    auto document = AcceptedDocument{this->pendingManifest->generation, {}};
    for (const auto &entry : this->pendingManifest->entries) {
        if (!entry.removed) {
            document.sections.push_back(*this->findSection(entry, current));
        }
    }
    this->completedDocument = std::move(document);
    this->pendingManifest.reset();
    this->fetchedSections.clear();
}

auto ManifestReader::takeDocument() -> std::optional<AcceptedDocument>
{
    return std::exchange(this->completedDocument, std::nullopt);
}

auto ManifestReader::jittered(Duration maximum) -> Duration
{
    const auto half = static_cast<std::uint64_t>(maximum.count()) / 2 + 1;
    return Duration{static_cast<std::int64_t>(half + this->random() % half)};
}

auto ManifestReader::backOff(Instant now) -> Instant
{
    const auto delay = this->jittered(this->retryDelay);
    this->retryDelay = std::min(this->retryDelay * 2, this->settings.maximumRetryDelay);
    return now + delay;
}

} // namespace gooseberrywall
