#include "daemon/callertask.h"

#include "callerapi/callerwire.h"

#include <utility>

namespace gooseberrywall {

namespace {

constexpr std::size_t mailboxLimit = 100'000;
constexpr int drainCheckIntervalMs = 20;
constexpr int ok = 200;
constexpr int unavailable = 503;

} // namespace

CallerTask::CallerTask(HttpListenerSettings settings, ToCore toCore)
    : toCore(std::move(toCore))
    , mailbox(mailboxLimit)
    , listener(
          this->loop, std::move(settings), ExchangeId{0},
          [this](const ServerRequest &http) { this->onRequest(http); },
          [this](ExchangeId exchange) { this->toCore(NodeInput{CallerDisconnected{exchange}}); })
    , random(std::random_device{}())
{
}

CallerTask::~CallerTask()
{
    this->stop();
}

auto CallerTask::start() -> void
{
    this->listener.start();
    this->loop.onReadable(this->mailbox.descriptor(), [this] { this->onMessages(); });
    this->loop.every(drainCheckIntervalMs, [this] { this->reportDrained(); });
    this->thread = std::thread([this] { this->loop.run(); });
}

auto CallerTask::stop() -> void
{
    if (this->thread.joinable()) {
        this->loop.stop();
        this->thread.join();
    }
}

auto CallerTask::post(CallerMessage message) -> void
{
    this->mailbox.post(std::move(message));
}

auto CallerTask::onRequest(const ServerRequest &http) -> void
{
    if (this->replyToHealthCheck(http)) {
        return;
    }
    auto call = readCallerCall(http, this->makeRequestId());
    if (const auto *malformed = std::get_if<MalformedCall>(&call)) {
        this->listener.reply(toServerReply(http.exchange, *malformed));
        return;
    }
    auto posted = false;
    if (auto *run = std::get_if<RunCall>(&call)) {
        posted = this->toCore(NodeInput{RequestReceived{http.exchange, std::move(*run)}});
    } else if (auto *outcome = std::get_if<OutcomeCall>(&call)) {
        posted = this->toCore(NodeInput{OutcomeQueryReceived{http.exchange, std::move(*outcome)}});
    }
    if (!posted) {
        this->listener.reply(toServerReply(http.exchange, RequestEnd::refused(Reason::QueueFull)));
    }
}

auto CallerTask::replyToHealthCheck(const ServerRequest &http) -> bool
{
    if (http.path == "/healthz") {
        this->listener.reply({http.exchange, ok, {}, "ok\n"});
        return true;
    }
    if (http.path == "/readyz") {
        this->listener.reply({http.exchange,
                              this->ready ? ok : unavailable,
                              {},
                              this->ready ? "ready\n" : "not ready\n"});
        return true;
    }
    return false;
}

auto CallerTask::onMessages() -> void
{
    for (const auto &message : this->mailbox.takeAll()) {
        this->handle(message);
    }
}

auto CallerTask::handle(const CallerMessage &message) -> void
{
    if (const auto *end = std::get_if<CallerSend>(&message)) {
        this->listener.reply(toServerReply(end->exchange, end->end));
    } else if (const auto *reply = std::get_if<ServerReply>(&message)) {
        this->listener.reply(*reply);
    } else if (const auto *readiness = std::get_if<ReadinessChanged>(&message)) {
        this->ready = readiness->ready;
    } else if (std::holds_alternative<StopAccepting>(message)) {
        this->isClosing = true;
        this->listener.stopAccepting();
    }
}

auto CallerTask::reportDrained() -> void
{
    if (this->isClosing && this->listener.openExchanges() == 0
        && !this->listener.hasUnsentOutput()) {
        this->toCore(CallersDrained{});
    }
}

auto CallerTask::makeRequestId() -> RequestId
{
    return {"auto-" + std::to_string(this->random())};
}

} // namespace gooseberrywall
