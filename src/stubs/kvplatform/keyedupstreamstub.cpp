#include "stubs/kvplatform/keyedupstreamstub.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace gooseberrywall {

namespace {

using nlohmann::json;

constexpr Duration pollInterval = std::chrono::milliseconds{2};

auto frontSettings(const Address &listen) -> FrontSettings
{
    FrontSettings settings;
    settings.listen = listen;
    return settings;
}

auto keyOf(const MessageHead &head) -> int
{
    const auto *key = head.find("Shard-Key");
    return key == nullptr ? -1 : std::stoi(*key);
}

} // namespace

KeyedUpstreamStub::KeyedUpstreamStub(event_base *base, Settings settings,
                                     const std::function<Instant()> &now,
                                     std::vector<KeyedRun> &runs)
    : settings(std::move(settings))
    , now(now)
    , runs(runs)
    , listener(
          base, frontSettings(this->settings.listen), now,
          [this](ExchangeId exchange, const WholeMessage &request) {
              this->onRequest(exchange, request);
          },
          [this](ExchangeId exchange) { this->onDisconnect(exchange); })
    , timer(base, [this] { this->finishDue(); })
{
}

auto KeyedUpstreamStub::entry(bool isDraining) const -> std::string
{
    return json{{"service", this->settings.service},
                {"address", this->settings.advertisedAddress.empty()
                                ? this->settings.listen.value
                                : this->settings.advertisedAddress.value},
                {"zone", this->settings.zone},
                {"version", "v1"},
                {"capacity", this->settings.slots},
                {"phase", isDraining ? "draining" : "ready"},
                {"warmup_left_s", 0},
                {"sequence", 1},
                {"born", this->settings.incarnation}}
        .dump();
}

auto KeyedUpstreamStub::ownsKey(int key) const -> bool
{
    return this->holdEndOf(key) > this->now();
}

auto KeyedUpstreamStub::holdEndOf(int key) const -> Instant
{
    Instant end{};
    for (const auto &grant : this->grants) {
        if (grant.first <= key && key <= grant.last) {
            end = std::max(end, grant.expiresAt);
        }
    }
    return end;
}

auto KeyedUpstreamStub::keysAtWork() const -> std::set<int>
{
    std::set<int> keys;
    for (const auto &run : this->running) {
        if (this->settings.isSharded && run.endsAt > this->now() && !this->hasOutlastedHold(run)) {
            keys.insert(run.key);
        }
    }
    return keys;
}

auto KeyedUpstreamStub::hasOutlastedHold(const Running &run) const -> bool
{
    return this->settings.isSharded && run.holdEndsAt <= this->now();
}

auto KeyedUpstreamStub::onDisconnect(ExchangeId exchange) -> void
{
    this->running.remove_if([&](const Running &run) { return run.exchange == exchange; });
    this->openReleases.remove_if(
        [&](const OpenRelease &release) { return release.exchange == exchange; });
    this->answerReleases();
}

auto KeyedUpstreamStub::restart() -> void
{
    ++this->settings.incarnation;
    this->grants.clear();
    this->releases.clear();
    this->pauseEnd = Instant{};
}

auto KeyedUpstreamStub::onRequest(ExchangeId exchange, const WholeMessage &request) -> void
{
    const auto *target = request.head.find("Target-Instance");
    const auto isForThisUpstream = target == nullptr || *target == this->settings.id;
    const auto isOrder = request.head.target == "/grant" || request.head.target == "/release";
    const auto isOwner = isOrder || !this->settings.isSharded || this->ownsKey(keyOf(request.head));
    if (isForThisUpstream && isOwner && !isOrder && this->onOwnRequest) {
        this->onOwnRequest(request.head);
    }
    if (!isForThisUpstream || !isOwner) {
        this->reject(exchange, request.head, 421);
    } else if (request.head.target == "/grant") {
        this->onGrant(exchange, request);
    } else if (request.head.target == "/release") {
        this->onRelease(exchange, request);
    } else if (this->mode == KeyedUpstreamMode::Full || this->now() < this->pauseEnd
               || (this->mode == KeyedUpstreamMode::OftenFull && ++this->requestCount % 3 == 0)) {
        this->reject(exchange, request.head, 503);
    } else {
        this->runRequest(exchange, request);
    }
}

auto KeyedUpstreamStub::onGrant(ExchangeId exchange, const WholeMessage &request) -> void
{
    const auto body = json::parse(request.body);
    KeyGrant grant;
    grant.first = body.at("from").get<int>();
    grant.last = body.at("target").get<int>();
    grant.fence = body.at("fence").get<std::uint64_t>();
    grant.expiresAt = this->now()
                      + std::chrono::duration_cast<Duration>(
                          std::chrono::duration<double>(body.at("hold_s").get<double>()));
    const auto isAbove = [&](const KeyGrant &old) {
        return old.first <= grant.last && old.last >= grant.first && old.fence > grant.fence;
    };
    const auto isTooLow = std::any_of(this->grants.begin(), this->grants.end(), isAbove)
                          || std::any_of(this->releases.begin(), this->releases.end(), isAbove);
    MessageHead head;
    head.status = isTooLow ? 409 : 200;
    if (!isTooLow) {
        std::erase_if(this->grants, [&](const KeyGrant &old) {
            return old.first >= grant.first && old.last <= grant.last;
        });
        this->grants.push_back(grant);
        for (auto &run : this->running) {
            const auto isInGrant = grant.first <= run.key && run.key <= grant.last;
            run.holdEndsAt = isInGrant ? this->holdEndOf(run.key) : run.holdEndsAt;
        }
    }
    this->listener.reply(exchange, head, "");
}

auto KeyedUpstreamStub::onRelease(ExchangeId exchange, const WholeMessage &request) -> void
{
    const auto body = json::parse(request.body);
    const auto first = body.at("from").get<int>();
    const auto last = body.at("target").get<int>();
    if (this->settings.doReleasesRaiseFences) {
        this->releases.push_back(
            KeyGrant{first, last, body.at("fence").get<std::uint64_t>(), Instant{}});
    }
    const auto holdsAny =
        std::any_of(this->grants.begin(), this->grants.end(), [&](const KeyGrant &grant) {
            return grant.first <= last && grant.last >= first && grant.expiresAt > this->now();
        });
    std::vector<KeyGrant> kept;
    for (const auto &grant : this->grants) {
        auto lower = grant;
        lower.last = std::min(grant.last, first - 1);
        auto upper = grant;
        upper.first = std::max(grant.first, last + 1);
        for (const auto &part : {lower, upper}) {
            if (part.first <= part.last) {
                kept.push_back(part);
            }
        }
    }
    this->grants = std::move(kept);
    const auto lastRequest = holdsAny ? this->startedCount : 0;
    this->openReleases.push_back(OpenRelease{exchange, first, last, lastRequest});
    this->answerReleases();
}

auto KeyedUpstreamStub::answerReleases() -> void
{
    const auto isWaiting = [this](const OpenRelease &release) {
        return std::any_of(this->running.begin(), this->running.end(), [&](const Running &run) {
            return run.number <= release.lastRequest && release.first <= run.key
                   && run.key <= release.last;
        });
    };
    MessageHead head;
    head.status = 200;
    head.headers = {HttpHeader{"Handover", "h-" + this->settings.id}};
    std::vector<ExchangeId> answered;
    for (const auto &release : this->openReleases) {
        if (!isWaiting(release)) {
            answered.push_back(release.exchange);
        }
    }
    this->openReleases.remove_if([&](const OpenRelease &each) { return !isWaiting(each); });
    for (const auto &exchange : answered) {
        this->listener.reply(exchange, head, "");
    }
}

auto KeyedUpstreamStub::runRequest(ExchangeId exchange, const WholeMessage &request) -> void
{
    const auto *id = request.head.find("Request-Id");
    this->runs.push_back(KeyedRun{id == nullptr ? "" : *id, this->settings.id, request.head.target,
                                  request.body, keyOf(request.head), this->now()});
    const auto key = keyOf(request.head);
    this->running.push_back(Running{exchange, request, this->now() + this->settings.serviceTime,
                                    ++this->startedCount, key, this->holdEndOf(key)});
    this->peakRunning = std::max(this->peakRunning, static_cast<int>(this->running.size()));
    this->timer.set(monotonicNow() + std::min(this->settings.serviceTime, pollInterval));
}

auto KeyedUpstreamStub::finishDue() -> void
{
    std::list<Running> ended;
    for (auto current = this->running.begin(); current != this->running.end();) {
        const auto next = std::next(current);
        if (current->endsAt <= this->now() || this->hasOutlastedHold(*current)) {
            ended.splice(ended.end(), this->running, current);
        }
        current = next;
    }
    if (this->mode != KeyedUpstreamMode::AnswersLost) {
        for (const auto &run : ended) {
            this->answer(run);
        }
    }
    this->answerReleases();
    if (!this->running.empty()) {
        this->timer.set(monotonicNow() + pollInterval);
    }
}

auto KeyedUpstreamStub::answer(const Running &run) -> void
{
    MessageHead head;
    const auto isComplete = run.endsAt <= this->now();
    head.status = this->mode == KeyedUpstreamMode::Failing || !isComplete ? 500 : 200;
    if (const auto *id = run.request.head.find("Request-Id")) {
        head.headers.push_back(HttpHeader{"Request-Id", *id});
        if (!isComplete) {
            this->endedByHold.insert(*id);
        }
    }
    head.headers.push_back(HttpHeader{"Server-Signature", this->signature()});
    head.headers.push_back(HttpHeader{"Instance-Load", std::to_string(this->running.size()) + ",0,"
                                                           + std::to_string(this->settings.slots)});
    head.headers.insert(head.headers.end(), this->extraHeaders.begin(), this->extraHeaders.end());
    this->listener.reply(run.exchange, head,
                         "answer of " + this->settings.id + " to " + run.request.head.target);
}

auto KeyedUpstreamStub::reject(ExchangeId exchange, const MessageHead &request, int status) -> void
{
    MessageHead head;
    head.status = status;
    head.headers = {HttpHeader{"Not-Executed", "1"}};
    if (const auto *id = request.find("Request-Id")) {
        head.headers.push_back(HttpHeader{"Request-Id", *id});
    }
    if (status == 503 && this->now() < this->pauseEnd) {
        const std::chrono::duration<double> pause = this->pauseEnd - this->now();
        head.headers.push_back(HttpHeader{"Retry-After", std::to_string(pause.count())});
    }
    head.headers.insert(head.headers.end(), this->extraHeaders.begin(), this->extraHeaders.end());
    this->listener.reply(exchange, head, "");
}

auto keysGivenOnAtWork(const std::vector<std::unique_ptr<KeyedUpstreamStub>> &upstreams)
    -> std::set<int>
{
    std::set<int> result;
    for (const auto &worker : upstreams) {
        for (const auto key : worker->keysAtWork()) {
            const auto isOwnedByOther =
                std::any_of(upstreams.begin(), upstreams.end(),
                            [&](const auto &each) { return each != worker && each->ownsKey(key); });
            if (isOwnedByOther) {
                result.insert(key);
            }
        }
    }
    return result;
}

} // namespace gooseberrywall
