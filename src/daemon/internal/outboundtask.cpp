#include "daemon/outboundtask.h"

#include <utility>

namespace gooseberrywall {

namespace {

constexpr std::size_t mailboxLimit = 100'000;

} // namespace

OutboundTask::OutboundTask(PlatformClientSettings platformSettings,
                           UpstreamClientSettings upstreamSettings, ToCore toCore)
    : toCore(std::move(toCore))
    , mailbox(mailboxLimit)
    , platform(this->loop.base(), std::move(platformSettings),
               [this](CallId call, StoreAnswer answer) {
                   this->toCore(NodeInput{StoreAnswered{call, std::move(answer)}});
               })
    , upstreams(this->loop.base(), upstreamSettings, [this](CallId call, UpstreamAnswer answer) {
        this->toCore(NodeInput{UpstreamAnswered{call, std::move(answer)}});
    })
{
}

OutboundTask::~OutboundTask()
{
    this->stop();
}

auto OutboundTask::start() -> void
{
    this->loop.onReadable(this->mailbox.descriptor(), [this] { this->onMessages(); });
    this->thread = std::thread([this] { this->loop.run(); });
}

auto OutboundTask::stop() -> void
{
    if (this->thread.joinable()) {
        this->loop.stop();
        this->thread.join();
    }
}

auto OutboundTask::post(OutboundMessage message) -> bool
{
    return this->mailbox.post(std::move(message));
}

auto OutboundTask::onMessages() -> void
{
    for (const auto &message : this->mailbox.takeAll()) {
        if (const auto *store = std::get_if<StoreSend>(&message)) {
            this->platform.send(*store);
        } else if (const auto *upstream = std::get_if<UpstreamSend>(&message)) {
            this->upstreams.send(*upstream);
        }
    }
}

} // namespace gooseberrywall
