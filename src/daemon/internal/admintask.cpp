#include "daemon/admintask.h"

#include <utility>

namespace gooseberrywall {

namespace {

constexpr std::size_t mailboxLimit = 10'000;
constexpr int unavailable = 503;

} // namespace

AdminTask::AdminTask(HttpListenerSettings settings, ToCore toCore)
    : toCore(std::move(toCore))
    , mailbox(mailboxLimit)
    , listener(
          this->loop, std::move(settings), ExchangeId{0},
          [this](ServerRequest http) {
              const auto exchange = http.exchange;
              if (!this->toCore(AdminArrived{std::move(http)})) {
                  this->listener.reply({exchange, unavailable, {}, "the daemon is overloaded\n"});
              }
          },
          [](ExchangeId /*exchange*/) {})
{
}

AdminTask::~AdminTask()
{
    this->stop();
}

auto AdminTask::start() -> void
{
    this->listener.start();
    this->loop.onReadable(this->mailbox.descriptor(), [this] {
        for (const auto &reply : this->mailbox.takeAll()) {
            this->listener.reply(reply);
        }
    });
    this->thread = std::thread([this] { this->loop.run(); });
}

auto AdminTask::stop() -> void
{
    if (this->thread.joinable()) {
        this->loop.stop();
        this->thread.join();
    }
}

auto AdminTask::post(ServerReply reply) -> void
{
    this->mailbox.post(std::move(reply));
}

} // namespace gooseberrywall
