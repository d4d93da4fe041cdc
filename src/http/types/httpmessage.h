#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// A header; names are compared without regard to case.
struct HttpHeader
{
    std::string name;
    std::string value;
    auto operator==(const HttpHeader &) const -> bool = default;
};

enum class HttpMethod : std::uint8_t { Get, Post };

/// A request to send.
struct HttpRequest
{
    HttpMethod method = HttpMethod::Post;
    /// Path and query, percent-encoded.
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;
    auto operator==(const HttpRequest &) const -> bool = default;
};

/// How an exchange ended.
enum class HttpOutcome : std::uint8_t {
    /// A complete answer arrived.
    Answered,
    /// Nothing was sent: no connection could be made, or none was free in time.
    NotSent,
    /// The request was sent at least in part, but no complete answer arrived before the timeout, or
    /// none began before the connection broke.
    NoAnswer,
    /// The answer was truncated, too large or malformed.
    BadAnswer,
};

/// The result of an exchange; without an answer only `outcome` is set.
struct HttpAnswer
{
    HttpOutcome outcome = HttpOutcome::NotSent;
    int status = 0;
    /// The headers whose names start with "X-" or equal "Retry-After-Ms".
    std::vector<HttpHeader> headers;
    std::string body;

    auto operator==(const HttpAnswer &) const -> bool = default;

    /// @returns the value of a header; nullptr if it is missing
    [[nodiscard]] auto header(std::string_view name) const -> const std::string *;
};

/// @returns whether two header names are the same, without regard to case
[[nodiscard]] auto equalHeaderNames(std::string_view left, std::string_view right) -> bool;

} // namespace gooseberrywall
