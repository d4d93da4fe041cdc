#pragma once

#include "common/types/ids.h"
#include "http/endpoint.h"
#include "http/types/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

struct event_base;
struct evhtp;
struct evhtp_connection;
struct evhtp_request;

namespace gooseberrywall {

/// A request received by an HttpServer.
struct HttpCall
{
    /// Identifies the exchange until it is answered.
    CallId id;
    HttpMethod method = HttpMethod::Get;
    std::string path;
    /// The part of the target after the question mark.
    std::string query;
    std::string body;
    /// Returns the value of the header with a name, or a null pointer. Only valid while the handler
    /// runs.
    std::function<const char *(const char *)> header;
};

/// HTTP server of the stand-ins, on libevhtp and one event base. An exchange may be answered within
/// the handler or later.
class HttpServer
{
public:
    using Handler = std::function<void(HttpCall)>;
    using DisconnectHandler = std::function<void(CallId)>;

    /// @param base runs the server; must outlive it
    /// @param bodyLimitBytes requests with larger bodies are refused
    /// @param handler called for each request
    /// @param onDisconnect called for each exchange whose connection ends before it is answered
    HttpServer(event_base *base, std::size_t bodyLimitBytes, Handler handler,
               DisconnectHandler onDisconnect);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer(HttpServer &&) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;
    auto operator=(HttpServer &&) -> HttpServer & = delete;

    /// @param endpoint the address to bind; port 0 picks a free port
    /// @returns the bound address; no value if binding failed
    auto listen(const Endpoint &endpoint) -> std::optional<Endpoint>;

    /// Answers an exchange; without effect if it is answered already or its connection has ended.
    auto answer(CallId id, const HttpAnswer &answer) -> void;

    /// Closes the connection of an exchange; without effect if the exchange has ended.
    auto closeWithoutAnswer(CallId id) -> void;

private:
    struct Exchange
    {
        HttpServer *server;
        CallId id;
        evhtp_request *request;
        bool paused = false;
    };
    struct ServerDeleter
    {
        auto operator()(evhtp *server) const -> void;
    };

    auto accept(evhtp_connection *connection) -> void;
    auto receive(evhtp_request *request) -> void;
    auto onFinish(CallId id) -> void;
    auto takeExchange(CallId id) -> std::unique_ptr<Exchange>;

    Handler handler;
    DisconnectHandler onDisconnect;
    std::unique_ptr<evhtp, ServerDeleter> server;
    std::unordered_map<CallId, std::unique_ptr<Exchange>> exchanges;
    std::unordered_set<evhtp_connection *> connections;
    CallId lastId;
    bool listening = false;
};

/// @returns an answer with this status, a JSON body and its content type
[[nodiscard]] auto jsonHttpAnswer(int status, std::string body) -> HttpAnswer;

} // namespace gooseberrywall
