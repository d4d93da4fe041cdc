#include "daemon/coretask.h"

#include <poll.h>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace gooseberrywall {

namespace {

constexpr int notFound = 404;
/// After a shutdown has begun, callers with open connections may send requests for this long; each
/// answer tells them to connect to another daemon.
constexpr Duration connectionLinger = std::chrono::milliseconds{1000};

/// Open requests are answered this long before the shutdown timeout.
constexpr Duration lastAnswerTime = std::chrono::milliseconds{300};

auto waitForMessages(int descriptor, Duration timeout) -> void
{
    pollfd entry{descriptor, POLLIN, 0};
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(timeout).count();
    poll(&entry, 1, static_cast<int>(std::max<std::int64_t>(0, milliseconds)));
}

} // namespace

auto processTime() -> Instant
{
    const auto time = std::chrono::steady_clock::now().time_since_epoch();
    return Instant{std::chrono::duration_cast<Duration>(time)};
}

auto wallClockTime() -> UnixMillis
{
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

CoreTask::CoreTask(Node &node, AdminPages &pages, AdminHandler<Node> &configurationPages,
                   Mailbox<CoreMessage> &mailbox, CorePorts ports, Duration shutdownTimeout)
    : node(node)
    , pages(pages)
    , configurationPages(configurationPages)
    , mailbox(mailbox)
    , ports(ports)
    , shutdownTimeout(shutdownTimeout)
{
}

auto CoreTask::run() -> void
{
    auto nextTick = processTime();
    while (true) {
        waitForMessages(this->mailbox.descriptor(), nextTick - processTime());
        for (auto &message : this->mailbox.takeAll()) {
            this->handle(processTime(), message);
        }
        const auto now = processTime();
        if (now >= nextTick) {
            nextTick = now + nodeTickInterval;
            this->node.tick(now, wallClockTime());
            this->reportReadiness();
        }
        this->flush();
        if (this->isFinished(now)) {
            return;
        }
    }
}

auto CoreTask::handle(Instant now, CoreMessage &message) -> void
{
    if (const auto *input = std::get_if<NodeInput>(&message)) {
        this->node.handle(now, *input);
    } else if (const auto *admin = std::get_if<AdminArrived>(&message)) {
        this->answerAdmin(now, admin->http);
    } else if (std::holds_alternative<ShutdownRequested>(message)) {
        this->beginShutdown(now);
    } else if (std::holds_alternative<CallersDrained>(message)) {
        this->callersDrained = true;
    }
}

auto CoreTask::answerAdmin(Instant now, const ServerRequest &request) -> void
{
    const AdminRequest adminRequest{request.exchange, request.method,       request.path,
                                    request.query,    bearerToken(request), request.body,
                                    wallClockTime()};
    if (this->configurationPages.accept(now, adminRequest)) {
        return;
    }
    const auto reply = this->pages.reply(now, request);
    const ServerReply unknownPath{
        request.exchange, notFound, {}, "{\"error\":\"unknown path; see docs/ADMIN-API.md\"}\n"};
    this->ports.admin.post(reply.value_or(unknownPath));
}

auto CoreTask::beginShutdown(Instant now) -> void
{
    if (this->shutdownSince) {
        return;
    }
    this->shutdownSince = now;
    this->ports.logger.write(LogLevel::Info, LogLine("shutdown_began").text());
    this->node.beginShutdown(now, now + this->shutdownTimeout
                                      - std::min(lastAnswerTime, this->shutdownTimeout / 4));
    this->reportReadiness();
    this->ports.callers.post(StopAccepting{});
}

auto CoreTask::isFinished(Instant now) -> bool
{
    if (!this->shutdownSince) {
        return false;
    }
    const auto elapsed = now - *this->shutdownSince;
    if (elapsed >= this->shutdownTimeout) {
        this->ports.logger.write(LogLevel::Warning, LogLine("shutdown_timed_out").text());
        return true;
    }
    if (!std::exchange(this->callersDrained, false) || elapsed < connectionLinger) {
        return false;
    }
    return this->node.isDrained(now);
}

auto CoreTask::reportReadiness() -> void
{
    const auto ready = this->node.isReady();
    if (ready == this->reportedReady) {
        return;
    }
    this->reportedReady = ready;
    this->ports.callers.post(ReadinessChanged{ready});
    this->ports.logger.write(LogLevel::Info,
                             LogLine("readiness").with("ready", ready ? "yes" : "no").text());
}

auto CoreTask::flush() -> void
{
    auto &out = this->node.outbox();
    for (auto &send : out.callerSends) {
        this->ports.callers.post(std::move(send));
    }
    for (auto &send : out.peerSends) {
        if (const auto address = this->node.addressOf(send.to)) {
            this->ports.peers.send({std::move(send.to), *address, std::move(send.message)});
        }
    }
    for (auto &reply : this->configurationPages.takeReplies(processTime())) {
        this->ports.admin.post({reply.exchange, reply.status, {}, std::move(reply.body)});
    }
    for (const auto &line : out.logLines) {
        this->ports.logger.write(LogLevel::Info, line);
    }
    this->flushStore();
    this->flushUpstreams();
    out.clear();
}

auto CoreTask::flushStore() -> void
{
    for (auto &send : this->node.outbox().storeSends) {
        const auto call = send.call;
        if (!this->ports.outbound.post(std::move(send))) {
            this->mailbox.post(NodeInput{StoreAnswered{call, StoreAnswer{}}});
        }
    }
}

auto CoreTask::flushUpstreams() -> void
{
    for (auto &send : this->node.outbox().upstreamSends) {
        const auto call = send.call;
        if (!this->ports.outbound.post(std::move(send))) {
            this->mailbox.post(NodeInput{UpstreamAnswered{call, UpstreamFailure::NotSent}});
        }
    }
}

} // namespace gooseberrywall
