#include "stubs/httpserver/httpserver.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <evhtp.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace gooseberrywall {

namespace {

/// Maximum number of connections that wait to be accepted.
constexpr int backlog = 1024;

auto bodyOf(evhtp_request_t *request) -> std::string
{
    std::string body(evbuffer_get_length(request->buffer_in), '\0');
    evbuffer_copyout(request->buffer_in, body.data(), body.size());
    return body;
}

auto queryOf(const evhtp_request_t *request) -> std::string
{
    const auto *const query = request->uri->query_raw;
    return query != nullptr ? reinterpret_cast<const char *>(query) : "";
}

/// Skips leading spaces, since libevhtp returns the value of an empty header as a single space.
auto headerOf(evhtp_request_t *request, const char *name) -> const char *
{
    const auto *value = evhtp_header_find(request->headers_in, name);
    while (value != nullptr && *value == ' ') {
        ++value;
    }
    return value;
}

/// Converts a callback to the type of libevhtp's hooks, a function without parameters.
template<typename Function>
auto asHook(Function *function) -> evhtp_hook
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
}

auto boundPort(evutil_socket_t socket) -> std::uint16_t
{
    sockaddr_in6 address{};
    socklen_t size = sizeof(address);
    if (getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        return 0;
    }
    // The port has the same offset in the address structures of IPv4 and IPv6.
    return ntohs(address.sin6_port);
}

} // namespace

auto HttpServer::ServerDeleter::operator()(evhtp *server) const -> void
{
    evhtp_free(server);
}

HttpServer::HttpServer(event_base *base, std::size_t bodyLimitBytes, Handler handler,
                       DisconnectHandler onDisconnect)
    : handler(std::move(handler))
    , onDisconnect(std::move(onDisconnect))
    , server(evhtp_new(base, nullptr))
{
    evhtp_set_max_body_size(this->server.get(), bodyLimitBytes);
    evhtp_enable_flag(this->server.get(), EVHTP_FLAG_ENABLE_NODELAY);
    const auto received = +[](evhtp_request_t *request, void *self) {
        static_cast<HttpServer *>(self)->receive(request);
    };
    evhtp_set_gencb(this->server.get(), received, this);
    const auto accepted = +[](evhtp_connection_t *connection, void *self) -> evhtp_res {
        static_cast<HttpServer *>(self)->accept(connection);
        return EVHTP_RES_OK;
    };
    evhtp_set_post_accept_cb(this->server.get(), accepted, this);
}

auto HttpServer::accept(evhtp_connection *connection) -> void
{
    this->connections.insert(connection);
    const auto ended = +[](evhtp_connection_t *closed, void *self) -> evhtp_res {
        static_cast<HttpServer *>(self)->connections.erase(closed);
        return EVHTP_RES_OK;
    };
    evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini, asHook(ended), this);
}

HttpServer::~HttpServer()
{
    for (const auto &[id, exchange] : this->exchanges) {
        evhtp_request_unset_hook(exchange->request, evhtp_hook_on_request_fini);
    }
    for (auto *const connection : std::exchange(this->connections, {})) {
        evhtp_connection_unset_hook(connection, evhtp_hook_on_connection_fini);
        evhtp_connection_free(connection);
    }
    if (this->listening) {
        evhtp_unbind_socket(this->server.get());
    }
}

auto HttpServer::listen(const Endpoint &endpoint) -> std::optional<Endpoint>
{
    const auto isIpv6 = endpoint.host.find(':') != std::string::npos;
    const auto host = (isIpv6 ? "ipv6:" : "ipv4:") + endpoint.host;
    if (evhtp_bind_socket(this->server.get(), host.c_str(), endpoint.port, backlog) != 0) {
        return std::nullopt;
    }
    this->listening = true;
    return Endpoint{endpoint.host, boundPort(evconnlistener_get_fd(this->server->server))};
}

auto HttpServer::receive(evhtp_request *request) -> void
{
    this->lastId = this->lastId.next();
    const auto id = this->lastId;
    auto owned = std::make_unique<Exchange>(Exchange{this, id, request});
    const auto finished = +[](evhtp_request_t *, void *argument) -> evhtp_res {
        const auto *const exchange = static_cast<Exchange *>(argument);
        exchange->server->onFinish(exchange->id);
        return EVHTP_RES_OK;
    };
    evhtp_request_set_hook(request, evhtp_hook_on_request_fini, asHook(finished), owned.get());
    this->exchanges.emplace(id, std::move(owned));
    const auto isPost = evhtp_request_get_method(request) == htp_method_POST;
    this->handler({id, isPost ? HttpMethod::Post : HttpMethod::Get, request->uri->path->full,
                   queryOf(request), bodyOf(request),
                   [request](const char *name) { return headerOf(request, name); }});
    const auto exchange = this->exchanges.find(id);
    if (exchange != this->exchanges.end()) {
        exchange->second->paused = true;
        evhtp_request_pause(request);
    }
}

auto HttpServer::takeExchange(CallId id) -> std::unique_ptr<Exchange>
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) {
        return nullptr;
    }
    auto exchange = std::move(found->second);
    this->exchanges.erase(found);
    evhtp_request_unset_hook(exchange->request, evhtp_hook_on_request_fini);
    return exchange;
}

auto HttpServer::answer(CallId id, const HttpAnswer &answer) -> void
{
    const auto exchange = this->takeExchange(id);
    if (exchange == nullptr) {
        return;
    }
    auto *const request = exchange->request;
    for (const auto &header : answer.headers) {
        evhtp_headers_add_header(request->headers_out,
                                 evhtp_header_new(header.name.c_str(), header.value.c_str(), 1, 1));
    }
    evbuffer_add(request->buffer_out, answer.body.data(), answer.body.size());
    evhtp_send_reply(request, static_cast<evhtp_res>(answer.status));
    if (exchange->paused) {
        evhtp_request_resume(request);
    }
}

auto HttpServer::closeWithoutAnswer(CallId id) -> void
{
    const auto exchange = this->takeExchange(id);
    if (exchange == nullptr) {
        return;
    }
    auto *const buffers = evhtp_request_get_bev(exchange->request);
    shutdown(bufferevent_getfd(buffers), SHUT_RDWR);
    if (exchange->paused) {
        evhtp_request_resume(exchange->request);
    }
}

auto HttpServer::onFinish(CallId id) -> void
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) {
        return;
    }
    const auto exchange = std::move(found->second);
    this->exchanges.erase(found);
    this->onDisconnect(id);
}

auto jsonHttpAnswer(int status, std::string body) -> HttpAnswer
{
    return {HttpOutcome::Answered, status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace gooseberrywall
