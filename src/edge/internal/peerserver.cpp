#include "edge/peerserver.h"

#include <stdexcept>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr int statusNotFound = 404;
/// Connections of other daemons; further ones are closed, and their daemons turn to another peer.
constexpr std::size_t connectionLimit = 600;
/// Room for a caller's request or an upstream's answer within a message between daemons.
constexpr std::size_t headLimitBytes = std::size_t{64} * 1024;
constexpr std::size_t bodyLimitBytes = std::size_t{128} * 1024 * 1024;

auto listenerSettings(const Address &listen) -> FrontSettings
{
    FrontSettings result;
    result.listen = listen;
    result.limits = MessageLimits{headLimitBytes, bodyLimitBytes};
    result.connectionLimit = connectionLimit;
    result.idleTimeout = PeerHandler{}.idleTimeout;
    return result;
}

} // namespace

PeerServer::PeerServer(event_base *base, const Address &listen, const std::function<Instant()> &now,
                       Logger &logger, MemoryAccount *memory)
    : logger(logger)
    , listener(
          base, listenerSettings(listen), now,
          [this](ExchangeId exchange, WholeMessage request) {
              this->onRequest(exchange, std::move(request));
          },
          [this](ExchangeId exchange) { this->onDisconnect(exchange); }, memory,
          [this](MessageHead head, const UnreadRequest &request) {
              return this->answerUnread(std::move(head), request.head);
          })
{
}

auto PeerServer::serve(const std::string &path, PeerHandler handler) -> void
{
    this->handlers.insert_or_assign(path, std::move(handler));
}

auto PeerServer::start() -> void
{
    try {
        this->listener.start();
    } catch (const std::runtime_error &failure) {
        this->logger.write(LogLevel::Warning,
                           LogLine("configuration_not_served").with("why", failure.what()).text());
    }
}

auto PeerServer::onRequest(ExchangeId exchange, WholeMessage request) -> void
{
    const auto found = this->handlers.find(request.head.target);
    if (found == this->handlers.end()) {
        MessageHead head;
        head.status = statusNotFound;
        this->listener.reply(exchange, head, "");
        return;
    }
    this->open.emplace(exchange, found->first);
    this->listener.setIdleTimeout(exchange, found->second.idleTimeout);
    found->second.onRequest(exchange, std::move(request));
}

auto PeerServer::answerUnread(MessageHead head, const MessageHead &request) const -> MessageHead
{
    const auto found = this->handlers.find(request.target);
    if (found != this->handlers.end() && found->second.unreadHeaders) {
        for (auto &header : found->second.unreadHeaders(request)) {
            head.headers.push_back(std::move(header));
        }
    }
    return head;
}

auto PeerServer::reply(ExchangeId exchange, const MessageHead &head, std::string_view body) -> void
{
    this->open.erase(exchange);
    this->listener.reply(exchange, head, body);
}

auto PeerServer::onDisconnect(ExchangeId exchange) -> void
{
    const auto found = this->open.find(exchange);
    if (found == this->open.end()) {
        return;
    }
    const auto path = found->second;
    this->open.erase(found);
    this->handlers.at(path).onDisconnect(exchange);
}

} // namespace gooseberrywall
