#include "http1/messagewriter.h"

#include <algorithm>
#include <array>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr std::array connectionHeaders{
    std::string_view{"Connection"},       std::string_view{"Keep-Alive"},
    std::string_view{"Proxy-Connection"}, std::string_view{"TE"},
    std::string_view{"Trailer"},          std::string_view{"Transfer-Encoding"},
    std::string_view{"Upgrade"},          std::string_view{"Expect"},
    std::string_view{"Content-Length"}};

constexpr std::array reasonPhrases{
    std::pair{200, std::string_view{"OK"}},
    std::pair{400, std::string_view{"Bad Request"}},
    std::pair{404, std::string_view{"Not Found"}},
    std::pair{408, std::string_view{"Request Timeout"}},
    std::pair{413, std::string_view{"Content Too Large"}},
    std::pair{429, std::string_view{"Too Many Requests"}},
    std::pair{431, std::string_view{"Request Header Fields Too Large"}},
    std::pair{501, std::string_view{"Not Implemented"}},
    std::pair{502, std::string_view{"Bad Gateway"}},
    std::pair{503, std::string_view{"Service Unavailable"}},
    std::pair{504, std::string_view{"Gateway Timeout"}},
};

/// Enough for most heads.
constexpr std::size_t headReserveBytes = 512;

auto appendHeader(std::string &text, std::string_view name, std::string_view value) -> void
{
    text.append(name).append(": ").append(value).append("\r\n");
}

auto listsHeader(std::string_view list, std::string_view name) -> bool
{
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        auto option = list.substr(0, comma);
        list.remove_prefix(std::min(comma + 1, list.size()));
        option.remove_prefix(std::min(option.find_first_not_of(" \t"), option.size()));
        option = option.substr(0, option.find_last_not_of(" \t") + 1);
        if (equalHeaderNames(option, name)) {
            return true;
        }
    }
    return false;
}

} // namespace

auto isConnectionHeader(const MessageHead &head, std::string_view name) -> bool
{
    const auto isStandard =
        std::any_of(connectionHeaders.begin(), connectionHeaders.end(),
                    [&](std::string_view known) { return equalHeaderNames(known, name); });
    return isStandard
           || std::any_of(head.headers.begin(), head.headers.end(), [&](const HttpHeader &header) {
                  return equalHeaderNames(header.name, "Connection")
                         && listsHeader(header.value, name);
              });
}

auto requestHead(const MessageHead &head, std::size_t bodyBytes,
                 const std::vector<HttpHeader> &extra) -> std::string
{
    std::string text;
    text.reserve(headReserveBytes);
    text.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
    for (const auto &header : head.headers) {
        const auto isReplaced = std::any_of(extra.begin(), extra.end(), [&](const HttpHeader &own) {
            return equalHeaderNames(own.name, header.name);
        });
        if (!isReplaced && !isConnectionHeader(head, header.name)) {
            appendHeader(text, header.name, header.value);
        }
    }
    for (const auto &header : extra) {
        appendHeader(text, header.name, header.value);
    }
    const auto hadBody =
        head.find("Content-Length") != nullptr || head.find("Transfer-Encoding") != nullptr;
    if (hadBody || bodyBytes > 0) {
        appendHeader(text, "Content-Length", std::to_string(bodyBytes));
    }
    return text.append("\r\n");
}

auto requestText(const MessageHead &head, std::string_view body,
                 const std::vector<HttpHeader> &extra) -> std::string
{
    return requestHead(head, body.size(), extra).append(body);
}

auto hasResponseBody(const MessageHead &head, bool isHeadAnswer) -> bool
{
    return !isHeadAnswer && head.status != 204 && head.status != 304;
}

auto responseHead(const MessageHead &head, std::size_t bodyBytes, bool isHeadAnswer,
                  bool keepsConnection) -> std::string
{
    std::string text;
    text.reserve(headReserveBytes);
    text.append("HTTP/1.1 ").append(std::to_string(head.status)).append(" ");
    text.append(head.reason.empty() ? reasonPhrase(head.status) : head.reason).append("\r\n");
    for (const auto &header : head.headers) {
        if (!isConnectionHeader(head, header.name)) {
            appendHeader(text, header.name, header.value);
        }
    }
    if (isHeadAnswer) {
        if (const auto *length = head.find("Content-Length")) {
            appendHeader(text, "Content-Length", *length);
        }
    } else if (hasResponseBody(head, isHeadAnswer)) {
        appendHeader(text, "Content-Length", std::to_string(bodyBytes));
    }
    if (!keepsConnection) {
        appendHeader(text, "Connection", "close");
    }
    return text.append("\r\n");
}

auto responseText(const MessageHead &head, std::string_view body, bool isHeadAnswer,
                  bool keepsConnection) -> std::string
{
    auto text = responseHead(head, body.size(), isHeadAnswer, keepsConnection);
    return hasResponseBody(head, isHeadAnswer) ? text.append(body) : text;
}

auto reasonPhrase(int status) -> std::string_view
{
    const auto *const found = std::find_if(reasonPhrases.begin(), reasonPhrases.end(),
                                           [&](const auto &row) { return row.first == status; });
    return found == reasonPhrases.end() ? std::string_view{"Unknown"} : found->second;
}

} // namespace gooseberrywall
