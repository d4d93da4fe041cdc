#include "edge/configurationsource.h"

#include "edge/configurationlog.h"
#include "http1/messagewriter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr const char *configurationPath = "/configuration";
constexpr const char *revisionHeader = "X-Revision";
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
/// Other daemons fetch one version at a time, so their connections needn't stay open.
constexpr Duration fetchIdleTimeout = std::chrono::seconds{2};
/// Age of a configuration that was never known to be the newest.
constexpr Duration unknownAge = std::chrono::hours{1};

auto viewSettings(const ConfigurationSourceSettings &settings) -> PrefixViewSettings
{
    PrefixViewSettings result;
    result.gatherPause = settings.gatherPause;
    result.confirmInterval = settings.confirmInterval;
    return result;
}

auto prefixOf(const ConfigurationSourceSettings &settings) -> std::string
{
    return settings.prefix.empty() ? settings.key : settings.prefix;
}

auto fetchDelay(const ConfigurationSourceSettings &settings) -> Duration
{
    return Duration{static_cast<Duration::rep>(
        settings.seed % static_cast<std::uint64_t>(settings.fetchSpread.count()))};
}

auto revisionOf(const WholeMessage &answer) -> StoreRevision
{
    const auto *value = answer.head.find(revisionHeader);
    StoreRevision result;
    if (answer.head.status != statusOk || value == nullptr) {
        return result;
    }
    const auto *const end = value->data() + value->size();
    const auto parsed = std::from_chars(value->data(), end, result.value);
    return parsed.ec == std::errc{} && parsed.ptr == end ? result : StoreRevision{};
}

} // namespace

ConfigurationSource::ConfigurationSource(event_base *base, PeerServer &server,
                                         ConfigurationSourceSettings settings, SendStoreCall store,
                                         const std::function<Instant()> &now, Logger &logger,
                                         OnText onText, std::function<void()> onWork, OnKeys onKeys,
                                         PrefixView::IsArriving isStoreArriving)
    : server(server)
    , settings(std::move(settings))
    , store(std::move(store))
    , now(now)
    , logger(logger)
    , copyLog(logger, "operators")
    , onText(std::move(onText))
    , onWork(std::move(onWork))
    , onKeys(std::move(onKeys))
    , relay(ConfigurationRelaySettings{}, fetchDelay(this->settings))
    , view(
          prefixOf(this->settings), viewSettings(this->settings), this->store, now,
          [this](const PrefixView::Items &items) {
              if (this->onKeys) {
                  this->onKeys(items, this->view.revision(), false);
              }
              const auto found = items.find(this->settings.key);
              if (found != items.end()) {
                  this->adopt(found->second.value, found->second.revision, false, "store", "view");
              }
          },
          std::move(isStoreArriving))
    , pool(base, OutboundPoolSettings{}, now)
    , texts(ConfigurationTextsSettings{})
    , startedAt(now())
{
    this->server.serve(configurationPath,
                       PeerHandler{[this](ExchangeId exchange, const WholeMessage &request) {
                                       this->onAsked(exchange, request.head);
                                   },
                                   [](ExchangeId) {}, fetchIdleTimeout});
}

auto ConfigurationSource::onAnnouncement(const Address &from,
                                         const GrantorAnnouncement &announcement) -> void
{
    this->daemonCount = announcement.daemonCount;
    if (from != this->settings.listen) {
        this->relay.onAnnouncement(from, announcement, this->now());
    }
}

auto ConfigurationSource::advance(bool isGrantor, bool isDirect) -> void
{
    const auto moment = this->now();
    if (const auto arrivedAt = this->pool.lastArrivalAt(this->openFetch)) {
        this->relay.onFetchProgress(*arrivedAt);
    }
    const auto isStarting = moment - this->startedAt < this->settings.startTime;
    const auto isNeeded = this->relay.isStoreNeeded(moment)
                          || (isDirect && !this->relay.areEvacuationsConfirmed(moment));
    const auto isFollowing = isGrantor || (!isStarting && isNeeded);
    this->logMode(isFollowing, isGrantor);
    this->view.setPaused(!isFollowing);
    const auto isOtherChecking =
        isGrantor && this->relay.checkedUntil(this->settings.listen) > moment;
    this->view.setConfirmInterval(
        isOtherChecking ? this->settings.relaxedConfirmInterval
        : isGrantor     ? this->settings.confirmInterval
                        : fleetInterval(this->settings.confirmInterval, this->daemonCount));
    this->view.advance();
    this->copyLog.update(this->view, moment);
    if (!isFollowing && isStarting && this->textRevision.value == 0) {
        this->poll();
    }
    if (const auto source = this->relay.fetchSource(moment)) {
        this->fetch(*source);
    }
}

auto ConfigurationSource::onStoreAnswer(const StoreAnswer &answer, Instant sentAt) -> void
{
    if (this->outage.onAnswer(answer, sentAt, this->now())) {
        this->view.readSince(this->outage.failedAt());
    }
}

auto ConfigurationSource::nextDue() const -> std::optional<Instant>
{
    const auto moment = this->now();
    auto due = this->view.nextDue();
    const auto consider = [&](const std::optional<Instant> &next) {
        if (next) {
            due = std::min(due.value_or(*next), *next);
        }
    };
    consider(this->relay.nextDue(moment));
    if (const auto checkedUntil = this->relay.checkedUntil(this->settings.listen);
        checkedUntil > moment) {
        consider(checkedUntil);
    }
    const auto startEnd = this->startedAt + this->settings.startTime;
    if (moment < startEnd) {
        consider(startEnd);
        if (this->textRevision.value == 0 && !this->isPolling) {
            consider(this->pollDue);
        }
    }
    return due;
}

auto ConfigurationSource::age() const -> Duration
{
    // Several grantors tell the same news, as datagrams may be lost.
    const auto confirmedAt =
        std::max(this->view.confirmedAt(), this->relay.checkedAt(this->settings.listen));
    return confirmedAt == Instant{} ? unknownAge : Duration{this->now() - confirmedAt};
}

auto ConfigurationSource::takeConfirmation() -> bool
{
    const auto confirmedAt = this->view.confirmedAt();
    if (confirmedAt - this->takenConfirmation < this->settings.announceInterval) {
        return false;
    }
    this->takenConfirmation = confirmedAt;
    return true;
}

auto ConfigurationSource::lastConfirmedAt() const -> Instant
{
    const auto &confirmation = this->relay.confirmation();
    return std::max(this->view.confirmedAt(), confirmation ? confirmation->at : Instant{});
}

auto ConfigurationSource::isNewer(StoreRevision revision) const -> bool
{
    return this->isTextStale ? revision != this->textRevision : revision > this->textRevision;
}

auto ConfigurationSource::adopt(const std::string &newText, StoreRevision revision, bool isStale,
                                std::string_view from, std::string_view by) -> void
{
    if (!this->isNewer(revision)) {
        if (revision < this->textRevision) {
            this->logger.write(
                LogLevel::Info,
                LogLine("configuration_older")
                    .with("revision", static_cast<std::int64_t>(revision.value))
                    .with("known", static_cast<std::int64_t>(this->textRevision.value))
                    .text());
        }
        return;
    }
    logReceivedConfiguration(this->logger, revision, from, by, newText.size());
    this->textRevision = revision;
    this->isTextStale = isStale;
    this->relay.onAdopted(revision, isStale);
    // A store that comes back from an older copy may show an older version at a newer revision.
    const auto startedAt = this->now();
    const auto isNewest = this->onText(newText, revision);
    logConfigurationTime(this->logger, revision, this->now() - startedAt);
    if (isNewest || this->texts.current().empty()) {
        this->texts.set(newText);
    }
}

auto ConfigurationSource::poll() -> void
{
    if (this->isPolling || this->now() < this->pollDue) {
        return;
    }
    this->isPolling = true;
    this->store(StoreRange{prefixOf(this->settings), "", true}, this->settings.fetchTimeout,
                [this](const StoreAnswer &answer) {
                    this->isPolling = false;
                    this->pollDue = this->now() + this->settings.pollInterval;
                    this->onPolled(answer);
                });
}

auto ConfigurationSource::onPolled(const StoreAnswer &answer) -> void
{
    if (answer.kind != StoreAnswer::Kind::Ok) {
        return;
    }
    PrefixView::Items items;
    for (const auto &item : answer.items) {
        items.emplace(item.key, item);
    }
    // Where there are more pages, the view reads them all.
    if (this->onKeys && !answer.hasMore) {
        this->onKeys(items, answer.revision, true);
    }
    if (const auto found = items.find(this->settings.key); found != items.end()) {
        this->adopt(found->second.value, found->second.revision, true, "store", "stale_read");
    }
}

auto ConfigurationSource::fetch(const Address &from) -> void
{
    OutboundRequest request;
    request.address = from;
    request.timeout = this->settings.fetchTimeout;
    request.arrival = this->settings.fetchArrival;
    MessageHead head;
    head.method = "GET";
    head.target = configurationPath;
    head.headers = this->texts.requestHeaders();
    head.headers.push_back(HttpHeader{"Host", from.value});
    request.text = requestText(head, "", {});
    this->relay.onFetchStarted(this->now());
    this->fetchStartedAt = this->now();
    this->openFetch =
        this->pool.send(std::move(request), [this, from](const OutboundResult &result) {
            this->onFetched(from, result);
            this->onWork();
        });
}

auto ConfigurationSource::onFetched(const Address &from, const OutboundResult &result) -> void
{
    const auto isAnswered = result.end == OutboundResult::End::Answered;
    const auto revision = isAnswered ? revisionOf(result.answer) : StoreRevision{};
    // Any other revision counts as newer than one that may be stale, but a failure has none.
    const auto isNewer = revision.value != 0 && this->isNewer(revision);
    const auto text = isNewer ? this->texts.read(result.answer) : std::nullopt;
    if (!text) {
        this->relay.onFetchFailed(from, this->now());
        logFailedFetch(this->logger, from, result, this->now() - this->fetchStartedAt);
        return;
    }
    ++this->fetches;
    logFetchedConfiguration(this->logger, from, result, this->now() - this->fetchStartedAt);
    this->adopt(*text, revision, false, from.value, "fetch");
}

auto ConfigurationSource::onAsked(ExchangeId exchange, const MessageHead &request) -> void
{
    MessageHead head;
    if (request.method != "GET") {
        head.status = statusNotFound;
        this->server.reply(exchange, head, "");
        return;
    }
    if (this->textRevision.value == 0) {
        head.status = statusUnavailable;
        this->server.reply(exchange, head, "");
        return;
    }
    auto answer = this->texts.answer(request);
    answer.head.status = statusOk;
    answer.head.headers.push_back(
        HttpHeader{revisionHeader, std::to_string(this->textRevision.value)});
    this->server.reply(exchange, answer.head, answer.body);
}

auto ConfigurationSource::logMode(bool isFollowing, bool isGrantor) -> void
{
    if (isFollowing == this->isFollowingStore) {
        return;
    }
    this->isFollowingStore = isFollowing;
    const auto *const why = isGrantor ? "grantor" : isFollowing ? "no confirmation" : "confirmed";
    logConfigurationMode(this->logger, isFollowing, why, this->textRevision,
                         this->relay.confirmation(), this->now());
}

} // namespace gooseberrywall
