#pragma once

#include "common/types/instant.h"
#include "http/endpoint.h"
#include "http/types/httpmessage.h"

#include <cstddef>
#include <event2/event.h>
#include <event2/http.h>
#include <functional>
#include <memory>

namespace gooseberrywall {

/// A keep-alive connection that is opened on demand and carries one exchange at a time.
class HttpConnection
{
public:
    using Done = std::function<void(HttpConnection &, HttpAnswer)>;

    /// @param base runs the connection; must outlive it
    /// @param answerLimitBytes larger answers end as BadAnswer
    /// @param done called at the end of each exchange, but never from within start()
    HttpConnection(event_base *base, Endpoint endpoint, std::size_t answerLimitBytes, Done done);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection(HttpConnection &&) = delete;
    auto operator=(const HttpConnection &) -> HttpConnection & = delete;
    auto operator=(HttpConnection &&) -> HttpConnection & = delete;

    /// Sends a request; there must be no open exchange.
    /// @param timeout time until the complete answer
    auto start(const HttpRequest &request, Duration timeout) -> void;

    /// Closes the connection; there must be no open exchange. The next exchange reopens it.
    auto close() -> void { this->connection.reset(); }

private:
    struct ConnectionDeleter
    {
        auto operator()(evhttp_connection *connection) const -> void
        {
            evhttp_connection_free(connection);
        }
    };
    struct EventDeleter
    {
        auto operator()(event *timer) const -> void { event_free(timer); }
    };

    auto onAnswer(evhttp_request *request) -> void;
    auto onError(evhttp_request_error error) -> void;
    auto onTimer() -> void;
    auto open() -> bool;
    auto makeRequest(const HttpRequest &request) -> evhttp_request *;
    [[nodiscard]] auto isConnected() const -> bool;
    auto sendWithoutDelay() -> void;
    /// Ends the exchange. Within start() the end is deferred to the timer, so that `done` isn't
    /// called from there.
    auto end(HttpAnswer answer) -> void;
    auto armTimer(Duration timeout) -> void;

    event_base *base;
    Endpoint endpoint;
    std::size_t answerLimitBytes;
    Done done;
    std::unique_ptr<evhttp_connection, ConnectionDeleter> connection;
    std::unique_ptr<event, EventDeleter> timer;
    /// The result of an exchange that is reported by the timer: it ended within start(), or its
    /// connection has to be closed first.
    std::unique_ptr<HttpAnswer> earlyAnswer;
    /// More bytes came with the answer; the connection must not be used again.
    bool hasExtraBytes = false;
    HttpOutcome failure = HttpOutcome::NotSent;
    bool isActive = false;
    bool isStarting = false;
    bool hasHeaders = false;
};

} // namespace gooseberrywall
