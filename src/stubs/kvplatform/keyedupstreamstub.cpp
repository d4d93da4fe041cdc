#include "stubs/kvplatform/keyedupstreamstub.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace gooseberrywall {

namespace {

using nlohmann::json;

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
          [this](ExchangeId exchange) {
              this->running.remove_if([&](const Running &run) { return run.exchange == exchange; });
          })
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
    return std::any_of(this->grants.begin(), this->grants.end(), [&](const KeyGrant &grant) {
        return grant.first <= key && key <= grant.last && grant.expiresAt > this->now();
    });
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
        this->reject(exchange, 421);
    } else if (request.head.target == "/grant") {
        this->onGrant(exchange, request);
    } else if (request.head.target == "/release") {
        this->onRelease(exchange, request);
    } else if (this->mode == KeyedUpstreamMode::Full || this->now() < this->pauseEnd
               || (this->mode == KeyedUpstreamMode::OftenFull && ++this->requestCount % 3 == 0)) {
        this->reject(exchange, 503);
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
    MessageHead head;
    head.status = 200;
    head.headers = {HttpHeader{"Handover", "h-" + this->settings.id}};
    this->listener.reply(exchange, head, "");
}

auto KeyedUpstreamStub::runRequest(ExchangeId exchange, const WholeMessage &request) -> void
{
    const auto *id = request.head.find("Request-Id");
    this->runs.push_back(KeyedRun{id == nullptr ? "" : *id, this->settings.id, request.head.target,
                                  request.body, keyOf(request.head), this->now()});
    this->running.push_back(Running{exchange, request, this->now() + this->settings.serviceTime});
    this->peakRunning = std::max(this->peakRunning, static_cast<int>(this->running.size()));
    this->timer.set(monotonicNow() + this->settings.serviceTime);
}

auto KeyedUpstreamStub::finishDue() -> void
{
    constexpr Duration pollInterval = std::chrono::milliseconds{2};
    std::list<Running> ended;
    for (auto current = this->running.begin(); current != this->running.end();) {
        const auto next = std::next(current);
        if (current->endsAt <= this->now()) {
            ended.splice(ended.end(), this->running, current);
        }
        current = next;
    }
    if (this->mode != KeyedUpstreamMode::AnswersLost) {
        for (const auto &run : ended) {
            this->answer(run);
        }
    }
    if (!this->running.empty()) {
        this->timer.set(monotonicNow() + pollInterval);
    }
}

auto KeyedUpstreamStub::answer(const Running &run) -> void
{
    MessageHead head;
    head.status = this->mode == KeyedUpstreamMode::Failing ? 500 : 200;
    if (const auto *id = run.request.head.find("Request-Id")) {
        head.headers.push_back(HttpHeader{"Request-Id", *id});
    }
    head.headers.push_back(HttpHeader{"Server-Signature", this->signature()});
    head.headers.push_back(HttpHeader{"Instance-Load", std::to_string(this->running.size()) + ",0,"
                                                           + std::to_string(this->settings.slots)});
    head.headers.insert(head.headers.end(), this->extraHeaders.begin(), this->extraHeaders.end());
    this->listener.reply(run.exchange, head,
                         "answer of " + this->settings.id + " to " + run.request.head.target);
}

auto KeyedUpstreamStub::reject(ExchangeId exchange, int status) -> void
{
    MessageHead head;
    head.status = status;
    head.headers = {HttpHeader{"Not-Executed", "1"}};
    if (status == 503 && this->now() < this->pauseEnd) {
        const std::chrono::duration<double> pause = this->pauseEnd - this->now();
        head.headers.push_back(HttpHeader{"Retry-After", std::to_string(pause.count())});
    }
    head.headers.insert(head.headers.end(), this->extraHeaders.begin(), this->extraHeaders.end());
    this->listener.reply(exchange, head, "");
}

} // namespace gooseberrywall
