#include "http/internal/httpconnection.h"

#include "http/timeval.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr std::size_t headersLimitBytes = std::size_t{16} * 1024;

auto isReportedHeader(std::string_view name) -> bool
{
    return equalHeaderNames(name.substr(0, 2), "X-") || equalHeaderNames(name, "Retry-After-Ms");
}

/// @returns whether the headers delimit the body, so that a truncated body can be detected
auto hasFraming(evkeyvalq *headers) -> bool
{
    return evhttp_find_header(headers, "Content-Length") != nullptr
           || evhttp_find_header(headers, "Transfer-Encoding") != nullptr;
}

auto toAnswer(evhttp_request *request) -> HttpAnswer
{
    auto *const headers = evhttp_request_get_input_headers(request);
    if (!hasFraming(headers)) {
        return {HttpOutcome::BadAnswer, 0, {}, {}};
    }
    HttpAnswer answer;
    answer.outcome = HttpOutcome::Answered;
    answer.status = evhttp_request_get_response_code(request);
    for (const auto *header = headers->tqh_first; header != nullptr;
         header = header->next.tqe_next) {
        if (isReportedHeader(header->key)) {
            answer.headers.push_back({header->key, header->value});
        }
    }
    auto *const body = evhttp_request_get_input_buffer(request);
    answer.body.resize(evbuffer_get_length(body));
    evbuffer_copyout(body, answer.body.data(), answer.body.size());
    return answer;
}

} // namespace

HttpConnection::HttpConnection(event_base *base, Endpoint endpoint, std::size_t answerLimitBytes,
                               Done done)
    : base(base)
    , endpoint(std::move(endpoint))
    , answerLimitBytes(answerLimitBytes)
    , done(std::move(done))
    , timer(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void *self) {
              static_cast<HttpConnection *>(self)->onTimer();
          },
          this))
{
}

HttpConnection::~HttpConnection()
{
    this->isActive = false;
}

auto HttpConnection::start(const HttpRequest &request, Duration timeout) -> void
{
    this->isActive = true;
    this->isStarting = true;
    this->hasHeaders = false;
    this->failure = HttpOutcome::NotSent;
    this->armTimer(timeout);
    auto *const newRequest = this->open() ? this->makeRequest(request) : nullptr;
    if (newRequest == nullptr) {
        this->end({});
        this->isStarting = false;
        return;
    }
    const auto type = request.method == HttpMethod::Get ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
    // Takes ownership of newRequest, also on failure.
    const auto hasFailed =
        evhttp_make_request(this->connection.get(), newRequest, type, request.target.c_str()) != 0;
    if (hasFailed && this->earlyAnswer == nullptr) {
        this->end({});
    }
    this->isStarting = false;
}

auto HttpConnection::open() -> bool
{
    if (this->connection != nullptr) {
        this->sendWithoutDelay();
        return true;
    }
    this->connection.reset(evhttp_connection_base_new(
        this->base, nullptr, this->endpoint.host.c_str(), this->endpoint.port));
    if (this->connection == nullptr) {
        return false;
    }
    evhttp_connection_set_max_headers_size(this->connection.get(), headersLimitBytes);
    evhttp_connection_set_max_body_size(this->connection.get(),
                                        static_cast<ev_ssize_t>(this->answerLimitBytes));
    return true;
}

auto HttpConnection::sendWithoutDelay() -> void
{
    // With Nagle's algorithm the last segment of a request would wait for a delayed
    // acknowledgement. The socket exists only after the connection's first request was sent.
    auto *const bufferEvent = evhttp_connection_get_bufferevent(this->connection.get());
    const auto socket = bufferevent_getfd(bufferEvent);
    const int enabled = 1;
    if (socket >= 0) {
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    }
}

auto HttpConnection::makeRequest(const HttpRequest &request) -> evhttp_request *
{
    auto *const newRequest = evhttp_request_new(
        [](evhttp_request *answered, void *self) {
            static_cast<HttpConnection *>(self)->onAnswer(answered);
        },
        this);
    if (newRequest == nullptr) {
        return nullptr;
    }
    evhttp_request_set_error_cb(newRequest, [](evhttp_request_error error, void *self) {
        static_cast<HttpConnection *>(self)->onError(error);
    });
    evhttp_request_set_header_cb(newRequest, [](evhttp_request *answered, void *) {
        static_cast<HttpConnection *>(answered->cb_arg)->hasHeaders = true;
        return 0;
    });
    auto *const headers = evhttp_request_get_output_headers(newRequest);
    evhttp_add_header(headers, "Host", this->endpoint.host.c_str());
    for (const auto &header : request.headers) {
        if (evhttp_add_header(headers, header.name.c_str(), header.value.c_str()) != 0) {
            evhttp_request_free(newRequest);
            return nullptr;
        }
    }
    evbuffer_add(evhttp_request_get_output_buffer(newRequest), request.body.data(),
                 request.body.size());
    return newRequest;
}

auto HttpConnection::onAnswer(evhttp_request *request) -> void
{
    if (!this->isActive) {
        return;
    }
    // A null request follows onError(); a request without a status means that the connection was
    // refused.
    if (request == nullptr) {
        this->end({this->failure, 0, {}, {}});
        return;
    }
    const auto hasStatus = evhttp_request_get_response_code(request) != 0;
    if (!hasStatus && !this->hasHeaders) {
        this->end({HttpOutcome::NotSent, 0, {}, {}});
        return;
    }
    auto *const bufferEvent = evhttp_connection_get_bufferevent(this->connection.get());
    if (evbuffer_get_length(bufferevent_get_input(bufferEvent)) > 0) {
        // Bytes after the answer would be taken for the next one. The connection can't be freed
        // from within this callback, so the exchange ends with the next event.
        this->hasExtraBytes = true;
        this->earlyAnswer = std::make_unique<HttpAnswer>(toAnswer(request));
        this->armTimer(Duration{0});
        return;
    }
    this->end(toAnswer(request));
}

auto HttpConnection::onError(evhttp_request_error error) -> void
{
    const auto isBad =
        this->hasHeaders || error == EVREQ_HTTP_INVALID_HEADER || error == EVREQ_HTTP_DATA_TOO_LONG;
    this->failure = isBad ? HttpOutcome::BadAnswer : HttpOutcome::NoAnswer;
}

auto HttpConnection::onTimer() -> void
{
    if (this->earlyAnswer != nullptr) {
        if (std::exchange(this->hasExtraBytes, false)) {
            this->connection.reset();
        }
        const auto answer = std::exchange(this->earlyAnswer, nullptr);
        this->end(std::move(*answer));
        return;
    }
    const auto wasSent = this->isConnected();
    // Closed, so that a late answer isn't taken for the answer to the next request.
    this->connection.reset();
    this->end({wasSent ? HttpOutcome::NoAnswer : HttpOutcome::NotSent, 0, {}, {}});
}

auto HttpConnection::isConnected() const -> bool
{
    auto *const bufferEvent = evhttp_connection_get_bufferevent(this->connection.get());
    const auto socket = bufferevent_getfd(bufferEvent);
    sockaddr_storage peer{};
    socklen_t size = sizeof(peer);
    return socket >= 0 && getpeername(socket, reinterpret_cast<sockaddr *>(&peer), &size) == 0;
}

auto HttpConnection::end(HttpAnswer answer) -> void
{
    if (this->isStarting) {
        this->earlyAnswer = std::make_unique<HttpAnswer>(std::move(answer));
        this->armTimer(Duration{0});
        return;
    }
    event_del(this->timer.get());
    this->isActive = false;
    this->done(*this, std::move(answer));
}

auto HttpConnection::armTimer(Duration timeout) -> void
{
    const auto delay = toTimeval(timeout);
    event_add(this->timer.get(), &delay);
}

} // namespace gooseberrywall
