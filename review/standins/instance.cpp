#include "instance.h"

#include "http1/messagewriter.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace gooseberrywall::review {

namespace {

constexpr const char *requestIdHeader = "Request-Id";
/// The header's name with one wrong letter.
constexpr const char *spoiledRequestIdHeader = "Request-Jd";

auto idOf(const MessageHead &request) -> std::string
{
    const auto *const id = request.find(requestIdHeader);
    return id == nullptr ? "" : *id;
}

} // namespace

Instance::Instance(event_base *base, InstanceSettings settings, Record &record)
    : base(base)
    , settings(std::move(settings))
    , record(record)
    , listener(base, this->settings.listen, [this](int descriptor) { this->accept(descriptor); })
    , timer(base, [this] { this->endWork(); })
{
}

auto Instance::entry(int sequence) const -> std::string
{
    return nlohmann::json{{"service", this->settings.service},
                          {"address", this->settings.listen.value},
                          {"zone", this->settings.zone},
                          {"version", "v1"},
                          {"capacity", this->settings.slots},
                          {"phase", "ready"},
                          {"warmup_left_s", 0},
                          {"sequence", sequence},
                          {"born", 1}}
        .dump();
}

auto Instance::body(const std::string &id, const std::string &target, std::size_t bytes)
    -> std::string
{
    auto text = "answer of " + id + " to " + target + "\n";
    text.resize(std::max(text.size(), bytes), '.');
    return text;
}

auto Instance::accept(int descriptor) -> void
{
    // Ended connections are destroyed here, outside of their own events.
    this->connections.remove_if([](const auto &each) { return each->isEnded; });
    auto connection = std::make_shared<Connection>();
    const std::weak_ptr<Connection> weak(connection);
    connection->stream = std::make_unique<SocketStream>(
        this->base, descriptor,
        SocketStream::Handlers{[](bool) {},
                               [this, weak] {
                                   if (const auto locked = weak.lock()) {
                                       this->read(locked);
                                   }
                               },
                               [this, weak](bool) {
                                   if (const auto locked = weak.lock()) {
                                       locked->isEnded = true;
                                       this->work.remove_if([&](const Work &each) {
                                           return each.connection == locked;
                                       });
                                       this->startWork();
                                   }
                               }});
    this->connections.push_back(std::move(connection));
}

auto Instance::read(const std::shared_ptr<Connection> &connection) -> void
{
    while (!connection->isBusy && !connection->isEnded) {
        std::size_t taken = 0;
        const auto step = connection->reader.read(connection->stream->input(), taken);
        connection->stream->consume(taken);
        if (step != MessageReader::Step::Whole) {
            return;
        }
        connection->isBusy = true;
        this->handle(connection, connection->reader.take());
    }
}

auto Instance::handle(const std::shared_ptr<Connection> &connection, WholeMessage request) -> void
{
    if (!connection->secondAnswer.empty()) {
        this->record.write(this->settings.id + " sends a second answer as additional bytes while "
                           + idOf(request.head) + " waits on the connection");
        connection->stream->write(std::exchange(connection->secondAnswer, {}));
    }
    const auto *const target = request.head.find("Target-Instance");
    if (target != nullptr && *target != this->settings.id) {
        this->answer(connection, request.head, 421, "");
        return;
    }
    if (request.head.target == "/healthz") {
        this->answer(connection, request.head, 200, "");
        return;
    }
    const auto isShed =
        std::uniform_real_distribution<double>(0, 1)(this->random) < this->shedShare;
    if (isShed
        || static_cast<int>(this->work.size())
               >= this->settings.slots + this->settings.queueLength) {
        this->answer(connection, request.head, 503, "");
        return;
    }
    this->work.push_back(Work{connection, std::move(request), Instant{}, false});
    this->startWork();
}

auto Instance::startWork() -> void
{
    for (auto &each : this->work) {
        if (each.isRunning || this->runningCount() >= this->settings.slots) {
            continue;
        }
        each.isRunning = true;
        each.endsAt = monotonicNow() + this->settings.workTime;
        const auto id = idOf(each.request.head);
        ++this->runCounts[id];
        this->record.write(this->settings.id + " runs " + id + " " + each.request.head.method + " "
                           + each.request.head.target);
    }
    if (this->runningCount() > 0) {
        this->timer.set(monotonicNow() + std::chrono::milliseconds{2});
    }
}

auto Instance::endWork() -> void
{
    const auto now = monotonicNow();
    std::list<Work> ended;
    for (auto current = this->work.begin(); current != this->work.end();) {
        const auto next = std::next(current);
        if (current->isRunning && current->endsAt <= now) {
            ended.splice(ended.end(), this->work, current);
        }
        current = next;
    }
    for (const auto &each : ended) {
        const auto &target = each.request.head.target;
        this->answer(each.connection, each.request.head, 200,
                     body(this->settings.id, target, this->settings.answerBytes(target)));
    }
    this->startWork();
}

auto Instance::answer(const std::shared_ptr<Connection> &connection, const MessageHead &request,
                      int status, const std::string &body) -> void
{
    const auto id = idOf(request);
    MessageHead head;
    head.status = status;
    head.headers.push_back(HttpHeader{requestIdHeader, id});
    if (status == 200) {
        head.headers.push_back(HttpHeader{"Server-Signature", "sig-" + this->settings.id});
    } else {
        head.headers.push_back(HttpHeader{"Not-Executed", "1"});
    }
    head.headers.push_back(HttpHeader{"Instance-Id", this->settings.id});
    head.headers.push_back(HttpHeader{"Instance-Load", std::to_string(this->runningCount()) + ",0,"
                                                           + std::to_string(this->settings.slots)});
    this->record.write(this->settings.id + " answers " + id + " with " + std::to_string(status)
                       + ", " + std::to_string(body.size()) + " bytes");
    connection->stream->write(responseText(head, body, false, true));
    ++this->answerCount;
    const auto isFollowed = this->followed == Followed::All || status == 503;
    if (isFollowed && this->followedCount + 1 <= this->secondAnswerShare * this->answerCount) {
        ++this->followedCount;
        ++this->secondAnswerCount;
        head.headers.front().name = spoiledRequestIdHeader;
        connection->secondAnswer = responseText(head, body, false, true);
    }
    connection->isBusy = false;
    this->read(connection);
}

auto Instance::runningCount() const -> int
{
    return static_cast<int>(std::count_if(this->work.begin(), this->work.end(),
                                          [](const Work &each) { return each.isRunning; }));
}

} // namespace gooseberrywall::review
