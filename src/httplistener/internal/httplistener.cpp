#include "httplistener/httplistener.h"

#include "tasks/eventloop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
// libevhtp's header must follow libevent's.
#include <evhtp/evhtp.h>
#include <sys/socket.h>

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace gooseberrywall {

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

constexpr int sweepIntervalMs = 500;
constexpr int backlog = 1024;
/// A keep-alive connection is closed after this time without a further request.
constexpr auto idleTimeout = std::chrono::seconds{60};
/// A body over its limit is read and discarded up to this size; beyond it the connection is closed.
constexpr std::uint64_t discardLimitBytes = 64ULL * 1024 * 1024;
constexpr evhtp_res headersTooLargeStatus = 431;

constexpr std::string_view malformedReply = "HTTP/1.1 400 Bad Request\r\nX-End: refused\r\n"
                                            "X-Reason: malformed_request\r\n"
                                            "Content-Length: 0\r\nConnection: close\r\n\r\n";

/// Splits "ip:port".
/// @throws std::runtime_error if the port is missing
auto splitAddress(const Address &address) -> std::pair<std::string, std::uint16_t>
{
    const auto colon = address.value.rfind(':');
    if (colon == std::string::npos) {
        throw std::runtime_error("address " + address.value + " lacks a port; write ip:port");
    }
    return {address.value.substr(0, colon),
            static_cast<std::uint16_t>(std::stoul(address.value.substr(colon + 1)))};
}

auto methodName(htp_method method) -> std::string
{
    switch (method) {
    case htp_method_GET:
        return "GET";
    case htp_method_POST:
        return "POST";
    case htp_method_PUT:
        return "PUT";
    case htp_method_DELETE:
        return "DELETE";
    case htp_method_HEAD:
        return "HEAD";
    default:
        return "OTHER";
    }
}

} // namespace

class HttpListener::Server
{
public:
    Server(EventLoop &loop, HttpListenerSettings settings, ExchangeId firstExchange,
           OnRequest onRequest, OnDisconnect onDisconnect)
        : loop(loop)
        , settings(std::move(settings))
        , lastExchange(firstExchange)
        , onRequest(std::move(onRequest))
        , onDisconnect(std::move(onDisconnect))
    {
    }

    ~Server()
    {
        if (this->htp == nullptr) {
            return;
        }
        while (!this->connections.empty()) {
            evhtp_connection_free(this->connections.begin()->first);
        }
        this->stopAccepting();
        evhtp_free(this->htp);
    }

    Server(const Server &) = delete;
    auto operator=(const Server &) -> Server & = delete;

    auto start() -> void
    {
        this->htp = evhtp_new(this->loop.base(), this);
        evhtp_enable_flag(this->htp, EVHTP_FLAG_ENABLE_NODELAY);
        evhtp_set_max_body_size(this->htp, discardLimitBytes);
        evhtp_set_gencb(this->htp, &Server::handleRequest, this);
        evhtp_set_post_accept_cb(this->htp, &Server::handleAccept, this);
        this->startTls();
        const auto [ip, port] = splitAddress(this->settings.listen);
        if (evhtp_bind_socket(this->htp, ip.c_str(), port, backlog) != 0) {
            throw std::runtime_error("can't listen on " + this->settings.listen.value
                                     + "; choose a free address of this VM");
        }
        this->isListening = true;
        this->loop.every(sweepIntervalMs, [this] { this->closeOverdueConnections(); });
    }

    auto stopAccepting() -> void
    {
        this->isClosing = true;
        if (std::exchange(this->isListening, false)) {
            evhtp_unbind_socket(this->htp);
        }
    }

    auto reply(const ServerReply &reply) -> void
    {
        const auto found = this->openRequests.find(reply.exchange);
        if (found == this->openRequests.end()) {
            return;
        }
        auto *request = found->second;
        this->openRequests.erase(found);
        auto &state = this->connections[request->conn];
        state.exchange.reset();
        state.receiveDeadline = std::chrono::steady_clock::now() + idleTimeout;
        evhtp_request_unset_hook(request, evhtp_hook_on_request_fini);
        for (const auto &header : reply.headers) {
            this->addHeader(request, header.name.c_str(), header.value.c_str());
        }
        if (this->isClosing) {
            evhtp_request_set_keepalive(request, 0);
            this->addHeader(request, "Connection", "close");
        }
        evbuffer_add(request->buffer_out, reply.body.data(), reply.body.size());
        const auto isBeingHandled = this->handledExchange == reply.exchange;
        this->handledExchange = isBeingHandled ? std::nullopt : this->handledExchange;
        evhtp_send_reply(request, static_cast<evhtp_res>(reply.status));
        if (!isBeingHandled) {
            evhtp_request_resume(request);
        }
    }

    [[nodiscard]] auto openExchanges() const -> std::size_t { return this->openRequests.size(); }

    [[nodiscard]] auto hasUnsentOutput() const -> bool
    {
        for (const auto &[connection, state] : this->connections) {
            auto *output = bufferevent_get_output(connection->bev);
            if (evbuffer_get_length(output) > 0) {
                return true;
            }
        }
        return false;
    }

    HttpListenerCounters counts;

private:
    struct ConnectionState
    {
        /// Signals the client's close while the connection is paused for its reply.
        event *closeEvent = nullptr;
        std::optional<ExchangeId> exchange;
        /// The connection is closed at this time unless a complete request has arrived; empty while
        /// a request is being answered.
        std::optional<SteadyTime> receiveDeadline;
        std::size_t headerBytes = 0;
        /// Status with which the request is refused once it has been read; zero: not refused.
        evhtp_res refusalStatus = 0;
    };

    auto startTls() -> void
    {
        if (this->settings.tls.certificateFile.empty()) {
            return;
        }
        this->certificateFile = this->settings.tls.certificateFile;
        this->keyFile = this->settings.tls.keyFile;
        auto config = evhtp_ssl_cfg_t{};
        config.pemfile = this->certificateFile.data();
        config.privfile = this->keyFile.data();
        config.ssl_opts = SSL_OP_NO_SSLv3 | SSL_OP_NO_TLSv1 | SSL_OP_NO_TLSv1_1;
        if (evhtp_ssl_init(this->htp, &config) != 0) {
            throw std::runtime_error("can't load the certificate " + this->certificateFile
                                     + "; check both PEM files of the TLS settings");
        }
        // `config` is local; libevhtp needs it only to create the TLS context.
        this->htp->ssl_cfg = nullptr;
    }

    static auto addHeader(evhtp_request_t *request, const char *name, const char *value) -> void
    {
        evhtp_headers_add_header(request->headers_out, evhtp_header_new(name, value, 1, 1));
    }

    static auto handleAccept(evhtp_connection_t *connection, void *argument) -> evhtp_res
    {
        auto *self = static_cast<Server *>(argument);
        if (self->connections.size() >= static_cast<std::size_t>(self->settings.connectionLimit)) {
            ++self->counts.connectionsRefused;
            return EVHTP_RES_ERROR;
        }
        auto &state = self->connections[connection];
        state.closeEvent = event_new(self->loop.base(), connection->sock, EV_CLOSED | EV_PERSIST,
                                     &Server::handleClose, connection);
        event_add(state.closeEvent, nullptr);
        state.receiveDeadline = self->receiveDeadline();
        self->setHooks(connection);
        return EVHTP_RES_OK;
    }

    auto setHooks(evhtp_connection_t *connection) -> void
    {
        // libevhtp takes hooks of all signatures through one function type.
        const auto set = [this, connection](evhtp_hook_type type, auto function) {
            auto *erased = reinterpret_cast<void *>(function);
            evhtp_connection_set_hook(connection, type, reinterpret_cast<evhtp_hook>(erased), this);
        };
        set(evhtp_hook_on_headers_start, &Server::handleHeadersStart);
        set(evhtp_hook_on_header, &Server::handleHeader);
        set(evhtp_hook_on_headers, &Server::handleHeaders);
        set(evhtp_hook_on_read, &Server::handleBody);
        set(evhtp_hook_on_connection_fini, &Server::handleConnectionEnd);
    }

    static auto handleHeadersStart(evhtp_request_t *request, void *argument) -> evhtp_res
    {
        auto &state = static_cast<Server *>(argument)->connections[request->conn];
        state.receiveDeadline = static_cast<Server *>(argument)->receiveDeadline();
        state.headerBytes = 0;
        return EVHTP_RES_OK;
    }

    static auto handleHeader(evhtp_request_t *request, evhtp_header_t *header, void *argument)
        -> evhtp_res
    {
        auto *self = static_cast<Server *>(argument);
        auto &state = self->connections[request->conn];
        state.headerBytes += header->klen + header->vlen;
        if (state.headerBytes <= self->settings.headerLimitBytes) {
            return EVHTP_RES_OK;
        }
        state.refusalStatus = headersTooLargeStatus;
        // Freed at once, so that a request with endless headers doesn't use up memory.
        evhtp_kv_rm_and_free(request->headers_in, header);
        return EVHTP_RES_OK;
    }

    static auto handleHeaders(evhtp_request_t *request, evhtp_headers_t * /*headers*/,
                              void *argument) -> evhtp_res
    {
        auto *self = static_cast<Server *>(argument);
        if (evhtp_request_content_len(request) > self->settings.bodyLimitBytes) {
            self->connections[request->conn].refusalStatus = EVHTP_RES_ENTOOLARGE;
        }
        return EVHTP_RES_OK;
    }

    /// Discards the rest of a body that is over the limit, so that it uses no memory and the client
    /// still reads a reply.
    static auto handleBody(evhtp_request_t *request, evbuffer *piece, void *argument) -> evhtp_res
    {
        auto *self = static_cast<Server *>(argument);
        auto &state = self->connections[request->conn];
        const auto length = evbuffer_get_length(piece);
        if (evbuffer_get_length(request->buffer_in) + length > self->settings.bodyLimitBytes) {
            state.refusalStatus = EVHTP_RES_ENTOOLARGE;
        }
        if (state.refusalStatus != 0) {
            evbuffer_drain(piece, length);
            evbuffer_drain(request->buffer_in, evbuffer_get_length(request->buffer_in));
        }
        return EVHTP_RES_OK;
    }

    /// Refuses a request that exceeds the limits, without a call of onRequest.
    auto refuse(evhtp_request_t *request, evhtp_res status) -> void
    {
        const auto isBodyTooLarge = status == EVHTP_RES_ENTOOLARGE;
        ++(isBodyTooLarge ? this->counts.bodyTooLarge : this->counts.headersTooLarge);
        this->addHeader(request, "X-End", "refused");
        this->addHeader(request, "X-Reason",
                        isBodyTooLarge ? "body_too_large" : "malformed_request");
        this->addHeader(request, "Connection", "close");
        evhtp_request_set_keepalive(request, 0);
        evhtp_send_reply(request, status);
    }

    static auto handleRequest(evhtp_request_t *request, void *argument) -> void
    {
        auto *self = static_cast<Server *>(argument);
        ++self->counts.requests;
        auto &state = self->connections[request->conn];
        state.receiveDeadline.reset();
        if (const auto refusalStatus = std::exchange(state.refusalStatus, evhtp_res{0});
            refusalStatus != 0) {
            self->refuse(request, refusalStatus);
            return;
        }
        self->lastExchange = self->lastExchange.next();
        state.exchange = self->lastExchange;
        self->openRequests[self->lastExchange] = request;
        self->handledExchange = self->lastExchange;
        self->onRequest(toServerRequest(self->lastExchange, request));
        const auto isAnswered = !std::exchange(self->handledExchange, std::nullopt).has_value();
        if (!isAnswered) {
            evhtp_request_pause(request);
        }
    }

    static auto toServerRequest(ExchangeId exchange, evhtp_request_t *source) -> ServerRequest
    {
        ServerRequest request;
        request.exchange = exchange;
        request.method = methodName(source->method);
        if (source->uri != nullptr && source->uri->path != nullptr
            && source->uri->path->full != nullptr) {
            request.path = source->uri->path->full;
        }
        if (source->uri != nullptr && source->uri->query_raw != nullptr) {
            request.query = reinterpret_cast<const char *>(source->uri->query_raw);
        }
        evhtp_header_t *header = nullptr;
        TAILQ_FOREACH(header, source->headers_in, next)
        {
            request.headers.push_back(
                {std::string(header->key, header->klen), std::string(header->val, header->vlen)});
        }
        const auto length = evbuffer_get_length(source->buffer_in);
        request.body.resize(length);
        evbuffer_copyout(source->buffer_in, request.body.data(), length);
        return request;
    }

    /// Sends status 400 before libevhtp closes the connection of a malformed request, which it does
    /// without an answer. Not possible with TLS, since this writes to the socket directly.
    auto reportMalformed(evhtp_connection_t *connection) -> void
    {
        const auto error = htparser_get_error(connection->parser);
        if (error == htparse_error_none || error == htparse_error_user) {
            return;
        }
        ++this->counts.malformed;
        if (connection->ssl == nullptr) {
            [[maybe_unused]] const auto sent =
                send(connection->sock, malformedReply.data(), malformedReply.size(),
                     MSG_DONTWAIT | MSG_NOSIGNAL);
        }
    }

    static auto handleConnectionEnd(evhtp_connection_t *connection, void *argument) -> evhtp_res
    {
        auto *self = static_cast<Server *>(argument);
        const auto found = self->connections.find(connection);
        if (found == self->connections.end()) {
            return EVHTP_RES_OK;
        }
        self->reportMalformed(connection);
        event_free(found->second.closeEvent);
        const auto exchange = found->second.exchange;
        self->connections.erase(found);
        if (exchange) {
            self->openRequests.erase(*exchange);
            self->onDisconnect(*exchange);
        }
        return EVHTP_RES_OK;
    }

    static auto handleClose(evutil_socket_t /*socket*/, short /*events*/, void *argument) -> void
    {
        auto *connection = static_cast<evhtp_connection_t *>(argument);
        auto *self = static_cast<Server *>(connection->htp->arg);
        const auto found = self->connections.find(connection);
        // Without an open exchange libevhtp detects the close by itself.
        if (found == self->connections.end() || !found->second.exchange) {
            return;
        }
        evhtp_connection_free(connection);
    }

    [[nodiscard]] auto receiveDeadline() const -> SteadyTime
    {
        return std::chrono::steady_clock::now()
               + std::chrono::milliseconds{this->settings.receiveTimeoutMs};
    }

    auto closeOverdueConnections() -> void
    {
        const auto now = std::chrono::steady_clock::now();
        std::vector<evhtp_connection_t *> overdue;
        for (const auto &[connection, state] : this->connections) {
            if (state.receiveDeadline && *state.receiveDeadline < now) {
                overdue.push_back(connection);
            }
        }
        for (auto *connection : overdue) {
            ++this->counts.slowSenders;
            evhtp_connection_free(connection);
        }
    }

    EventLoop &loop;
    HttpListenerSettings settings;
    ExchangeId lastExchange;
    OnRequest onRequest;
    OnDisconnect onDisconnect;
    evhtp_t *htp = nullptr;
    /// The exchange that onRequest is being called for; if it is answered from within onRequest,
    /// its request isn't paused.
    std::optional<ExchangeId> handledExchange;
    bool isListening = false;
    bool isClosing = false;
    std::string certificateFile;
    std::string keyFile;
    std::unordered_map<ExchangeId, evhtp_request_t *> openRequests;
    std::unordered_map<evhtp_connection_t *, ConnectionState> connections;
};

HttpListener::HttpListener(EventLoop &loop, HttpListenerSettings settings, ExchangeId firstExchange,
                           OnRequest onRequest, OnDisconnect onDisconnect)
    : server(std::make_unique<Server>(loop, std::move(settings), firstExchange,
                                      std::move(onRequest), std::move(onDisconnect)))
{
}

HttpListener::~HttpListener() = default;

auto HttpListener::start() -> void
{
    this->server->start();
}

auto HttpListener::stopAccepting() -> void
{
    this->server->stopAccepting();
}

auto HttpListener::reply(const ServerReply &reply) -> void
{
    this->server->reply(reply);
}

auto HttpListener::openExchanges() const -> std::size_t
{
    return this->server->openExchanges();
}

auto HttpListener::hasUnsentOutput() const -> bool
{
    return this->server->hasUnsentOutput();
}

auto HttpListener::counters() const -> HttpListenerCounters
{
    return this->server->counts;
}

} // namespace gooseberrywall
