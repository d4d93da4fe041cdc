#include "edge/evacuations.h"

#include "storelink/types/storecalls.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

/// Unreadable keys that are remembered as logged.
constexpr std::size_t maxLoggedKeys = 256;

auto isIn(const FailureDomain &domain)
{
    return [&domain](const UpstreamEntry &entry) { return entry.domain == domain; };
}

} // namespace

Evacuations::Evacuations(Logger &logger)
    : logger(logger)
{
}

auto Evacuations::update(const EvacuatedDomains &newSet, bool isStale,
                         const std::vector<UpstreamEntry> &entries, Instant now) -> bool
{
    const auto isFirst = this->current.revision == 0;
    const auto isFresher = this->isCurrentStale && !isStale;
    const auto isStaler = isStale && !this->isCurrentStale && !isFirst;
    if (newSet.revision == 0 || isStaler
        || (newSet.revision <= this->current.revision && !isFresher)) {
        return false;
    }
    // What this daemon learns soon after its start may have been evacuated for long.
    const auto since = isFirst || this->isCurrentStale ? now - evacuatedOwnerTime : now;
    const auto former = std::exchange(this->current, newSet);
    this->isCurrentStale = isStale;
    for (const auto &domain : newSet.domains) {
        if (!former.domains.contains(domain)) {
            this->startedAt[domain] = since;
            this->endedAt.erase(domain);
            this->logChange("evacuation_started", domain, entries);
        }
    }
    for (const auto &domain : former.domains) {
        if (!newSet.domains.contains(domain)) {
            this->startedAt.erase(domain);
            this->endedAt[domain] = now;
            this->loggedUnknown.erase(domain);
            this->logChange("evacuation_ended", domain, entries);
        }
    }
    return former.domains != newSet.domains;
}

auto Evacuations::logChange(const char *event, const FailureDomain &domain,
                            const std::vector<UpstreamEntry> &entries) -> void
{
    const StoreRevision revision{this->current.revision};
    LogLine line(event);
    line.with("failure_domain", domain.value)
        .with("revision", static_cast<std::int64_t>(numberOf(revision)))
        .with("era", static_cast<std::int64_t>(eraOf(revision)));
    if (!entries.empty()) {
        line.with("upstreams", static_cast<std::int64_t>(
                                   std::count_if(entries.begin(), entries.end(), isIn(domain))));
    }
    this->logger.write(LogLevel::Warning, line.text());
}

auto Evacuations::onUnreadableKey(const std::string &key, std::uint64_t revision) -> void
{
    if (this->loggedUnreadable.size() >= maxLoggedKeys) {
        this->loggedUnreadable.clear();
    }
    auto &logged = this->loggedUnreadable[key];
    if (logged == revision) {
        return;
    }
    logged = revision;
    this->logger.write(
        LogLevel::Error,
        LogLine("evacuation_unreadable")
            .with("key", key)
            .with("revision", static_cast<std::int64_t>(numberOf(StoreRevision{revision})))
            .with("effect", "none")
            .text());
}

auto Evacuations::mark(std::vector<UpstreamEntry> &entries) -> void
{
    for (auto &entry : entries) {
        const auto started = this->startedAt.find(entry.domain);
        const auto ended = this->endedAt.find(entry.domain);
        entry.isEvacuated = started != this->startedAt.end();
        entry.evacuatedAt = entry.isEvacuated ? started->second : Instant{};
        entry.evacuationEndedAt = ended != this->endedAt.end() ? ended->second : Instant{};
    }
    if (entries.empty()) {
        return;
    }
    for (const auto &domain : this->current.domains) {
        const auto isKnown = std::any_of(entries.begin(), entries.end(), isIn(domain));
        if (isKnown || !this->loggedUnknown.insert(domain).second) {
            continue;
        }
        this->logger.write(LogLevel::Warning, LogLine("evacuation_unknown_domain")
                                                  .with("failure_domain", domain.value)
                                                  .with("why", "no upstream is registered there")
                                                  .with("effect", "none")
                                                  .text());
    }
}

} // namespace gooseberrywall
