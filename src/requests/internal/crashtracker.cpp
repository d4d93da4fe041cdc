#include "requests/crashtracker.h"

namespace gooseberrywall {

namespace {

constexpr std::size_t maximalSuspects = 4096;
constexpr int defaultThreshold = 2;

} // namespace

CrashTracker::CrashTracker(Duration suspectRetention)
    : suspectRetention(suspectRetention)
{
}

auto CrashTracker::identityOf(const QuarantinedRequest &request) -> Identity
{
    return {request.service, request.key, request.id};
}

auto CrashTracker::setThreshold(const ServiceName &service, int crashes) -> void
{
    this->thresholds.insert_or_assign(service, crashes);
}

auto CrashTracker::thresholdOf(const ServiceName &service) const -> int
{
    const auto threshold = this->thresholds.find(service);
    return threshold == this->thresholds.end() ? defaultThreshold : threshold->second;
}

auto CrashTracker::onCrash(Instant now, const CrashSuspects &crash) -> void
{
    for (const auto &request : crash.suspects) {
        const auto identity = identityOf(request);
        if (!this->suspects.contains(identity) && this->suspects.size() >= maximalSuspects) {
            continue;
        }
        auto &suspect = this->suspects[identity];
        suspect.lastCrashAt = now;
        suspect.crashes.insert({crash.upstream, crash.incarnation});
    }
}

auto CrashTracker::onTable(const TablePointer &table) -> void
{
    std::set<Identity> listed;
    for (const auto &request : table->record().quarantine) {
        listed.insert(identityOf(request));
    }
    for (const auto &identity : this->quarantined) {
        if (!listed.contains(identity)) {
            this->suspects.erase(identity);
        }
    }
    this->quarantined = std::move(listed);
}

auto CrashTracker::onCompleted(const QuarantinedRequest &request) -> bool
{
    return !this->suspects.empty() && this->suspects.erase(identityOf(request)) > 0;
}

auto CrashTracker::onCleared(const SuspectsCleared &message) -> void
{
    for (const auto &request : message.requests) {
        this->suspects.erase(identityOf(request));
    }
}

auto CrashTracker::suspicionOf(const QuarantinedRequest &request) const -> Suspicion
{
    if (this->suspects.empty() && this->quarantined.empty()) {
        return Suspicion::None;
    }
    const auto identity = identityOf(request);
    if (this->quarantined.contains(identity)) {
        return Suspicion::Quarantined;
    }
    const auto suspect = this->suspects.find(identity);
    if (suspect == this->suspects.end()) {
        return Suspicion::None;
    }
    const auto crashes = static_cast<int>(suspect->second.crashes.size());
    return crashes >= this->thresholdOf(request.service) ? Suspicion::Quarantined
                                                         : Suspicion::Suspect;
}

auto CrashTracker::expire(Instant now) -> void
{
    std::erase_if(this->suspects, [&](const auto &entry) {
        return now - entry.second.lastCrashAt >= this->suspectRetention;
    });
}

} // namespace gooseberrywall
