#include "configuration/configurationkeeper.h"

#include "common/logline.h"
#include "common/mutation.h"
#include "configuration/internal/accepteddocument.h"
#include "configuration/internal/manifestreader.h"
#include "configuration/spreadtree.h"

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

auto isThere(const MemberClaim &member) -> bool
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
    auto all = this->count;
    all.storeReads = this->reader->storeReads();
    all.storeWatches = this->reader->storeWatches();
    all.storeBytes = this->reader->storeBytes();
    return all;
}

auto ConfigurationKeeper::takePolicies() -> std::optional<std::vector<ServicePolicy>>
{
    if (!this->settled || !this->policiesChanged) {
        return std::nullopt;
    }
    this->policiesChanged = false;
    return this->parsed.policies();
}

auto ConfigurationKeeper::lagging(std::uint64_t target) const -> std::vector<DaemonId>
{
    auto late = std::vector<DaemonId>{};
    for (const auto &member : this->view.members) {
        const auto own = member.id == this->self.id;
        const auto found = this->heard.find(member.id);
        const auto known = found == this->heard.end() ? 0 : found->second;
        if (isThere(member) && (own ? this->generation() : known) < target) {
            late.push_back(member.id);
        }
    }
    return late;
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
    this->settle(now, outbox);
    this->askIfBehind(now, outbox);
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
    this->settle(now, outbox);
    return true;
}

auto ConfigurationKeeper::onMembership(Instant, const MembershipView &view) -> void
{
    this->view = view;
    const auto readers = configurationReaders(view, this->settings.readers);
    const auto rank = std::find(readers.begin(), readers.end(), this->self.id);
    this->reader->setWatching(rank != readers.end(),
                              rank == readers.begin() && rank != readers.end());
    for (auto entry = this->heard.begin(); entry != this->heard.end();) {
        const auto *member = view.find(entry->first);
        const auto gone = member == nullptr || member->state == MemberState::Removed;
        entry = gone ? this->heard.erase(entry) : std::next(entry);
    }
}

auto ConfigurationKeeper::onPeerGeneration(Instant now, const DaemonId &peer,
                                           std::uint64_t generation, Outbox &) -> void
{
    // A restarted daemon starts again at zero, so this may go back.
    this->heard[peer] = generation;
    if (generation > this->generation() && !this->behindSince) {
        this->behindSince = now;
    }
}

auto ConfigurationKeeper::highestHeard() const -> std::uint64_t
{
    auto highest = std::uint64_t{0};
    for (const auto &[peer, generation] : this->heard) {
        highest = std::max(highest, generation);
    }
    return highest;
}

auto ConfigurationKeeper::settle(Instant now, Outbox &outbox) -> void
{
    if (this->settled || !this->firstTick) {
        return;
    }
    const auto fromStore = this->reader->lastSeen();
    if (fromStore && *fromStore <= this->generation()) {
        this->settled = true;
        return;
    }
    const auto waited = now - *this->firstTick >= this->settings.startupWait;
    const auto caughtUp = this->generation() > 0 && this->highestHeard() <= this->generation();
    if (waited && caughtUp) {
        this->settled = true;
        return;
    }
    if (waited && !this->askedStore) {
        this->askedStore = true;
        this->reader->readOnce(now);
    }
    const auto asking = this->requestDeadline && now < *this->requestDeadline;
    if (this->generation() == 0 && !asking) {
        if (const auto peer = this->choosePeer(false)) {
            this->ask(now, *peer, outbox);
        }
    }
}

auto ConfigurationKeeper::askIfBehind(Instant now, Outbox &outbox) -> void
{
    const auto highest = this->highestHeard();
    if (highest <= this->generation() || highest <= this->rejected) {
        this->behindSince.reset();
        return;
    }
    const auto waited =
        this->behindSince && now - *this->behindSince >= this->settings.requestDelay;
    const auto asking = this->requestDeadline && now < *this->requestDeadline;
    if (!waited || asking) {
        return;
    }
    if (const auto peer = this->choosePeer(true)) {
        this->ask(now, *peer, outbox);
    }
}

auto ConfigurationKeeper::choosePeer(bool newerOnly) -> std::optional<DaemonId>
{
    auto candidates = std::vector<DaemonId>{};
    for (const auto &member : this->view.members) {
        const auto found = this->heard.find(member.id);
        const auto newer = found != this->heard.end() && found->second > this->generation();
        if (member.id != this->self.id && isThere(member) && (newer || !newerOnly)) {
            candidates.push_back(member.id);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[this->random() % candidates.size()];
}

auto ConfigurationKeeper::ask(Instant now, const DaemonId &peer, Outbox &outbox) -> void
{
    auto have = this->accepted->versions();
    ++this->count.requestsSent;
    this->count.peerBytesSent += byteSize(have);
    this->requestDeadline = now + this->settings.requestTimeout;
    outbox.toPeer(peer, ConfigurationRequest{std::move(have)});
}

auto ConfigurationKeeper::onMessage(Instant now, const DaemonId &from, const PeerMessage &message,
                                    Outbox &outbox) -> bool
{
    if (const auto *update = std::get_if<ConfigurationUpdate>(&message)) {
        this->onUpdate(now, from, *update, outbox);
        this->settle(now, outbox);
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
    ++this->count.updatesReceived;
    auto &known = this->heard[from];
    known = std::max(known, update.generation);
    const auto mayGoBack = isMutated(Mutation::ApplyOlderDocument);
    if (update.generation <= this->generation() && !mayGoBack) {
        ++this->count.staleUpdates;
        return;
    }
    if (update.generation <= this->rejected) {
        return;
    }
    auto next = this->accepted->after(update);
    if (!next) {
        ++this->count.unfitUpdates;
        this->ask(now, from, outbox);
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
        this->rejected = next.generation;
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
        this->policiesChanged || document->policies() != this->parsed.policies();
    this->parsed = std::move(*document);
    const auto before = std::exchange(*this->accepted, std::move(next));
    this->behindSince.reset();
    outbox.log(LogLine("configuration_in_force")
                   .with("generation", static_cast<std::int64_t>(this->generation()))
                   .with("before", static_cast<std::int64_t>(before.generation))
                   .with("sections", static_cast<std::int64_t>(this->sections().size()))
                   .text());
    this->passOn(before, outbox);
}

auto ConfigurationKeeper::passOn(const AcceptedDocument &before, Outbox &outbox) -> void
{
    const auto order = spreadOrder(this->view, this->settings.readers);
    auto update = this->accepted->updateFor(before.versions());
    for (const auto &child : spreadChildren(order, this->self.id, this->settings.fanOut)) {
        const auto found = this->heard.find(child);
        const auto has = found != this->heard.end() && found->second >= this->generation();
        if (!has) {
            this->send(child, update, outbox);
        }
    }
}

auto ConfigurationKeeper::send(const DaemonId &to, ConfigurationUpdate update, Outbox &outbox)
    -> void
{
    ++this->count.updatesSent;
    this->count.peerBytesSent += byteSize(update.sections);
    outbox.toPeer(to, std::move(update));
}

} // namespace gooseberrywall
