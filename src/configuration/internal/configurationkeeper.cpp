#include "configuration/configurationkeeper.h"

#include "common/logline.h"
#include "common/mutation.h"
#include "configuration/configurationtree.h"
#include "configuration/internal/accepteddocument.h"
#include "configuration/internal/manifestreader.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

auto toTexts(const std::vector<ConfigurationSection> &sections) -> std::vector<SectionText>
{
    auto texts = std::vector<SectionText>{};
    for (const auto &section : sections) {
        texts.push_back({SectionName{section.name}, section.text});
    }
    return texts;
}

auto isAliveOrSuspect(const MemberClaim &member) -> bool
{
    return member.state == MemberState::Alive || member.state == MemberState::Suspect;
}

} // namespace

ConfigurationKeeper::ConfigurationKeeper(DaemonIdentity self, KeeperSettings settings,
                                         std::uint64_t randomSeed)
    : self(std::move(self))
    , settings(settings)
    , random(randomSeed)
    , reader(std::make_unique<ManifestReader>(this->settings, this->random()))
    , accepted(std::make_unique<AcceptedDocument>())
{
}

ConfigurationKeeper::~ConfigurationKeeper() = default;

auto ConfigurationKeeper::generation() const -> std::uint64_t
{
    return this->accepted->generation;
}

auto ConfigurationKeeper::sections() const -> const std::vector<ConfigurationSection> &
{
    return this->accepted->sections;
}

auto ConfigurationKeeper::counters() const -> KeeperCounters
{
    auto totals = this->counts;
    totals.storeReads = this->reader->storeReads();
    totals.storeWatches = this->reader->storeWatches();
    totals.storeBytes = this->reader->storeBytes();
    return totals;
}

auto ConfigurationKeeper::takePolicies() -> std::optional<std::vector<ServicePolicy>>
{
    if (!this->initialized || !this->policiesChanged) {
        return std::nullopt;
    }
    this->policiesChanged = false;
    return this->currentDocument.policies();
}

auto ConfigurationKeeper::laggingDaemons(std::uint64_t target) const -> std::vector<DaemonId>
{
    auto lagging = std::vector<DaemonId>{};
    for (const auto &member : this->view.members) {
        const auto isSelf = member.id == this->self.id;
        const auto found = this->peerGenerations.find(member.id);
        const auto peerGeneration = found == this->peerGenerations.end() ? 0 : found->second;
        if (isAliveOrSuspect(member) && (isSelf ? this->generation() : peerGeneration) < target) {
            lagging.push_back(member.id);
        }
    }
    return lagging;
}

auto ConfigurationKeeper::tick(Instant now, Outbox &outbox) -> void
{
    if (!this->firstTick) {
        this->firstTick = now;
    }
    this->reader->tick(now, *this->accepted, outbox);
    if (auto document = this->reader->takeDocument()) {
        this->install(std::move(*document), outbox);
    }
    this->continueInitialization(now, outbox);
    this->requestIfBehind(now, outbox);
}

auto ConfigurationKeeper::onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer,
                                        Outbox &outbox) -> bool
{
    if (!this->reader->onStoreAnswer(now, call, answer, *this->accepted, outbox)) {
        return false;
    }
    if (auto document = this->reader->takeDocument()) {
        this->install(std::move(*document), outbox);
    }
    this->continueInitialization(now, outbox);
    return true;
}

auto ConfigurationKeeper::onMembership(Instant, const MembershipView &view) -> void
{
    this->view = view;
    const auto readers = configurationReaders(view, this->settings.readerCount);
    const auto rank = std::find(readers.begin(), readers.end(), this->self.id);
    this->reader->setWatching(rank != readers.end(),
                              rank == readers.begin() && rank != readers.end());
    for (auto entry = this->peerGenerations.begin(); entry != this->peerGenerations.end();) {
        const auto *member = view.find(entry->first);
        const auto gone = member == nullptr || member->state == MemberState::Removed;
        entry = gone ? this->peerGenerations.erase(entry) : std::next(entry);
    }
}

auto ConfigurationKeeper::onPeerGeneration(Instant now, const DaemonId &peer,
                                           std::uint64_t generation, Outbox &) -> void
{
    // May decrease: a restarted daemon reports zero again.
    this->peerGenerations[peer] = generation;
    if (generation > this->generation() && !this->behindSince) {
        this->behindSince = now;
    }
}

auto ConfigurationKeeper::highestPeerGeneration() const -> std::uint64_t
{
    auto highest = std::uint64_t{0};
    for (const auto &[peer, generation] : this->peerGenerations) {
        highest = std::max(highest, generation);
    }
    return highest;
}

auto ConfigurationKeeper::continueInitialization(Instant now, Outbox &outbox) -> void
{
    if (this->initialized || !this->firstTick) {
        return;
    }
    const auto storeGeneration = this->reader->lastStoreGeneration();
    if (storeGeneration && *storeGeneration <= this->generation()) {
        this->initialized = true;
        return;
    }
    const auto waited = now - *this->firstTick >= this->settings.peerStartupTimeout;
    const auto isCurrent =
        this->generation() > 0 && this->highestPeerGeneration() <= this->generation();
    if (waited && isCurrent) {
        this->initialized = true;
        return;
    }
    if (waited && !this->storeReadRequested) {
        this->storeReadRequested = true;
        this->reader->readOnce(now);
    }
    const auto requestPending = this->requestDeadline && now < *this->requestDeadline;
    if (this->generation() == 0 && !requestPending) {
        if (const auto peer = this->choosePeer(false)) {
            this->requestUpdate(now, *peer, outbox);
        }
    }
}

auto ConfigurationKeeper::requestIfBehind(Instant now, Outbox &outbox) -> void
{
    const auto highest = this->highestPeerGeneration();
    if (highest <= this->generation() || highest <= this->rejectedGeneration) {
        this->behindSince.reset();
        return;
    }
    const auto waited =
        this->behindSince && now - *this->behindSince >= this->settings.requestDelay;
    const auto requestPending = this->requestDeadline && now < *this->requestDeadline;
    if (!waited || requestPending) {
        return;
    }
    if (const auto peer = this->choosePeer(true)) {
        this->requestUpdate(now, *peer, outbox);
    }
}

auto ConfigurationKeeper::choosePeer(bool newerOnly) -> std::optional<DaemonId>
{
    auto candidates = std::vector<DaemonId>{};
    for (const auto &member : this->view.members) {
        const auto found = this->peerGenerations.find(member.id);
        const auto newer =
            found != this->peerGenerations.end() && found->second > this->generation();
        if (member.id != this->self.id && isAliveOrSuspect(member) && (newer || !newerOnly)) {
            candidates.push_back(member.id);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[this->random() % candidates.size()];
}

auto ConfigurationKeeper::requestUpdate(Instant now, const DaemonId &peer, Outbox &outbox) -> void
{
    auto versions = this->accepted->versions();
    ++this->counts.requestsSent;
    this->counts.peerBytesSent += byteSize(versions);
    this->requestDeadline = now + this->settings.requestTimeout;
    outbox.toPeer(peer, ConfigurationRequest{std::move(versions)});
}

auto ConfigurationKeeper::onMessage(Instant now, const DaemonId &from, const PeerMessage &message,
                                    Outbox &outbox) -> bool
{
    if (const auto *update = std::get_if<ConfigurationUpdate>(&message)) {
        this->onUpdate(now, from, *update, outbox);
        this->continueInitialization(now, outbox);
        return true;
    }
    if (const auto *request = std::get_if<ConfigurationRequest>(&message)) {
        this->answerRequest(from, *request, outbox);
        return true;
    }
    return false;
}

auto ConfigurationKeeper::onUpdate(Instant now, const DaemonId &from,
                                   const ConfigurationUpdate &update, Outbox &outbox) -> void
{
    ++this->counts.updatesReceived;
    auto &peerGeneration = this->peerGenerations[from];
    peerGeneration = std::max(peerGeneration, update.generation);
    const auto mayGoBack = isMutated(Mutation::ApplyOlderDocument);
    if (update.generation <= this->generation() && !mayGoBack) {
        ++this->counts.staleUpdates;
        return;
    }
    if (update.generation <= this->rejectedGeneration) {
        return;
    }
    auto next = this->accepted->after(update);
    if (!next) {
        ++this->counts.mismatchedUpdates;
        this->requestUpdate(now, from, outbox);
        return;
    }
    this->requestDeadline.reset();
    this->install(std::move(*next), outbox);
}

auto ConfigurationKeeper::answerRequest(const DaemonId &to, const ConfigurationRequest &request,
                                        Outbox &outbox) -> void
{
    if (this->generation() > 0) {
        this->send(to, this->accepted->updateFor(request.knownSections), outbox);
    }
}

auto ConfigurationKeeper::install(AcceptedDocument next, Outbox &outbox) -> void
{
    if (next.generation <= this->generation() && !isMutated(Mutation::ApplyOlderDocument)) {
        return;
    }
    auto parser = DocumentParser();
    auto document = parser.parse(toTexts(next.sections));
    if (!document) {
        this->rejectedGeneration = next.generation;
        outbox.log(LogLine("configuration_not_readable")
                       .with("generation", static_cast<std::int64_t>(next.generation))
                       .with("section", parser.lastError().section)
                       .with("key", parser.lastError().key)
                       .with("fault", toString(parser.lastError().kind))
                       .with("remedy", "upgrade this daemon")
                       .text());
        return;
    }
    this->policiesChanged =
        this->policiesChanged || document->policies() != this->currentDocument.policies();
    this->currentDocument = std::move(*document);
    const auto before = std::exchange(*this->accepted, std::move(next));
    this->behindSince.reset();
    outbox.log(LogLine("configuration_in_force")
                   .with("generation", static_cast<std::int64_t>(this->generation()))
                   .with("before", static_cast<std::int64_t>(before.generation))
                   .with("sections", static_cast<std::int64_t>(this->sections().size()))
                   .text());
    this->forwardUpdate(before, outbox);
}

auto ConfigurationKeeper::forwardUpdate(const AcceptedDocument &before, Outbox &outbox) -> void
{
    const auto order = configurationTreeOrder(this->view, this->settings.readerCount);
    auto update = this->accepted->updateFor(before.versions());
    for (const auto &child :
         configurationTreeChildren(order, this->self.id, this->settings.fanOut)) {
        const auto found = this->peerGenerations.find(child);
        const auto isUpToDate =
            found != this->peerGenerations.end() && found->second >= this->generation();
        if (!isUpToDate) {
            this->send(child, update, outbox);
        }
    }
}

auto ConfigurationKeeper::send(const DaemonId &to, ConfigurationUpdate update, Outbox &outbox)
    -> void
{
    ++this->counts.updatesSent;
    this->counts.peerBytesSent += byteSize(update.sections);
    outbox.toPeer(to, std::move(update));
}

} // namespace gooseberrywall
