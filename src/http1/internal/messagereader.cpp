#include "http1/messagereader.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr std::string_view lineEnd = "\r\n";
/// Limit of a chunk's size line including extensions; longer lines are malformed.
constexpr std::size_t chunkLineLimitBytes = 256;
/// A body of unknown length that exceeds this size gets room for the largest body at once: while it
/// is copied into a larger buffer, it is held twice. Memory that isn't written to isn't taken.
constexpr std::size_t copiedBodyLimitBytes = std::size_t{1024} * 1024;
/// Larger buffers are taken from the system and returned to it, so that only their used part
/// counts.
constexpr std::size_t pooledBufferBytes = std::size_t{256} * 1024;
/// Overhead of a text that is allocated apart.
constexpr std::size_t allocationBytes = 16;
constexpr std::uint64_t lowestStatus = 100;
constexpr std::uint64_t highestStatus = 599;

auto isToken(std::string_view text) -> bool
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char letter) {
        const auto isDigit = letter >= '0' && letter <= '9';
        const auto isLetter = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z');
        return isDigit || isLetter || symbols.find(letter) != std::string_view::npos;
    });
}

auto hasControls(std::string_view text) -> bool
{
    return std::any_of(text.begin(), text.end(), [](char letter) {
        const auto byte = static_cast<unsigned char>(letter);
        return (byte < 0x20 && byte != '\t') || byte == 0x7f;
    });
}

auto trimmed(std::string_view text) -> std::string_view
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

auto parsedNumber(std::string_view text, int base) -> std::optional<std::uint64_t>
{
    std::uint64_t number = 0;
    const auto *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number, base);
    if (text.empty() || result.ec != std::errc{} || result.ptr != end) {
        return std::nullopt;
    }
    return number;
}

/// @returns whether the text contains the start of a status line: in the middle of a head it means
/// that the head was cut off and that another response follows
auto hasStatusLine(std::string_view text) -> bool
{
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t lengthBehind = 5;
    for (auto at = text.find(version); at != std::string_view::npos;
         at = text.find(version, at + 1)) {
        const auto rest = text.substr(at + version.size());
        if (rest.size() >= lengthBehind && rest[1] == ' ' && parsedNumber(rest.substr(2, 3), 10)) {
            return true;
        }
    }
    return false;
}

} // namespace

auto MessageHead::find(std::string_view name) const -> const std::string *
{
    const auto found =
        std::find_if(this->headers.begin(), this->headers.end(),
                     [&](const HttpHeader &header) { return equalHeaderNames(header.name, name); });
    return found == this->headers.end() ? nullptr : &found->value;
}

auto MessageHead::heldBytes() const -> std::size_t
{
    const auto textBytes = [](const std::string &text) {
        // Short texts are kept within the object.
        const auto isApart = text.capacity() > std::string().capacity();
        return isApart ? text.capacity() + allocationBytes : 0;
    };
    auto bytes = textBytes(this->method) + textBytes(this->target) + textBytes(this->reason)
                 + this->headers.capacity() * sizeof(HttpHeader);
    for (const auto &header : this->headers) {
        bytes += textBytes(header.name) + textBytes(header.value);
    }
    return bytes;
}

auto MessageHead::keepsConnection() const -> bool
{
    auto keeps = this->minorVersion > 0;
    for (const auto &header : this->headers) {
        if (!equalHeaderNames(header.name, "Connection")) {
            continue;
        }
        for (auto rest = std::string_view(header.value); !rest.empty();) {
            const auto comma = std::min(rest.find(','), rest.size());
            const auto option = trimmed(rest.substr(0, comma));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
            if (equalHeaderNames(option, "close")) {
                return false;
            }
            keeps = keeps || equalHeaderNames(option, "keep-alive");
        }
    }
    return keeps;
}

MessageReader::MessageReader(Kind kind, MessageLimits limits)
    : kind(kind)
    , limits(limits)
{
}

auto MessageReader::setLimits(const MessageLimits &newLimits) -> void
{
    if (!this->isMidMessage()) {
        this->limits = newLimits;
        return;
    }
    this->limits.headBytes = std::max(this->limits.headBytes, newLimits.headBytes);
    this->limits.bodyBytes = std::max(this->limits.bodyBytes, newLimits.bodyBytes);
}

auto MessageReader::read(std::string_view input, std::size_t &taken) -> Step
{
    taken = 0;
    while (this->state != State::Whole) {
        const auto previousState = this->state;
        std::size_t used = 0;
        const auto step = this->state == State::Head ? this->readHead(input.substr(taken), used)
                                                     : this->readBody(input.substr(taken), used);
        taken += used;
        if (step == Step::Malformed) {
            return step;
        }
        if (step == Step::NeedMore && used == 0 && this->state == previousState) {
            return step;
        }
    }
    return Step::Whole;
}

auto MessageReader::readHead(std::string_view input, std::size_t &taken) -> Step
{
    // RFC 9112 asks servers to ignore empty lines before a request line.
    std::size_t start = 0;
    while (this->kind == Kind::Request && input.substr(start, 2) == lineEnd) {
        start += 2;
    }
    const auto text = input.substr(start);
    this->hasBegun = !text.empty();
    const auto end = text.find("\r\n\r\n");
    if (end == std::string_view::npos) {
        taken = start;
        return text.size() > this->limits.headBytes ? this->fail(431) : Step::NeedMore;
    }
    if (end > this->limits.headBytes) {
        return this->fail(431);
    }
    if (!this->parseHead(text.substr(0, end + 2))) {
        return this->fail(400);
    }
    taken = start + end + 4;
    this->headBytes = this->message.head.heldBytes();
    if (this->kind == Kind::Response && this->message.head.status / 100 == 1) {
        this->message.head = {};
        this->interimBytes += taken;
        return this->interimBytes > this->limits.headBytes ? this->fail(431) : Step::NeedMore;
    }
    if (!this->chooseFraming()) {
        return Step::Malformed;
    }
    return Step::NeedMore;
}

auto MessageReader::parseHead(std::string_view text) -> bool
{
    auto isFirst = true;
    while (!text.empty()) {
        const auto end = text.find(lineEnd);
        const auto line = text.substr(0, end);
        text.remove_prefix(end + 2);
        const auto isMerged = this->kind == Kind::Response
                              && hasStatusLine(line.substr(std::min<std::size_t>(1, line.size())));
        if (hasControls(line) || isMerged) {
            return false;
        }
        if (isFirst) {
            isFirst = false;
            if (!this->parseStartLine(line)) {
                return false;
            }
            continue;
        }
        const auto colon = line.find(':');
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
            return false;
        }
        this->message.head.headers.push_back(HttpHeader{
            std::string(line.substr(0, colon)), std::string(trimmed(line.substr(colon + 1)))});
    }
    return !isFirst;
}

auto MessageReader::parseStartLine(std::string_view line) -> bool
{
    auto &head = this->message.head;
    const auto first = line.find(' ');
    if (first == std::string_view::npos) {
        return false;
    }
    if (this->kind == Kind::Response) {
        const auto version = line.substr(0, first);
        const auto code = parsedNumber(line.substr(first + 1, 3), 10);
        const auto isStatus = code && *code >= lowestStatus && *code <= highestStatus;
        if ((version != "HTTP/1.1" && version != "HTTP/1.0") || !isStatus
            || (line.size() > first + 4 && line[first + 4] != ' ')) {
            return false;
        }
        head.minorVersion = version.back() - '0';
        head.status = static_cast<int>(*code);
        head.reason = line.size() > first + 5 ? std::string(line.substr(first + 5)) : "";
        return true;
    }
    const auto last = line.rfind(' ');
    const auto version = line.substr(last + 1);
    if (last <= first + 1 || (version != "HTTP/1.1" && version != "HTTP/1.0")) {
        return false;
    }
    head.method = line.substr(0, first);
    head.target = line.substr(first + 1, last - first - 1);
    head.minorVersion = version.back() - '0';
    return isToken(head.method) && head.target.find(' ') == std::string::npos;
}

auto MessageReader::chooseFraming() -> bool
{
    const auto &head = this->message.head;
    std::optional<std::uint64_t> length;
    auto isChunked = false;
    for (const auto &header : head.headers) {
        if (equalHeaderNames(header.name, "Transfer-Encoding")) {
            if (isChunked || !equalHeaderNames(header.value, "chunked")) {
                this->fail(501);
                return false;
            }
            isChunked = true;
        }
        if (equalHeaderNames(header.name, "Content-Length")) {
            const auto number = parsedNumber(header.value, 10);
            if (!number || (length && *length != *number)) {
                this->fail(400);
                return false;
            }
            length = number;
        }
    }
    if (isChunked && length) {
        this->fail(400);
        return false;
    }
    if (length && *length > this->limits.bodyBytes) {
        this->fail(413);
        return false;
    }
    const auto isBodyless = this->kind == Kind::Response
                            && (this->expectsNoBody || head.status == 204 || head.status == 304);
    if (isBodyless) {
        this->state = State::Whole;
    } else if (isChunked) {
        this->state = State::ChunkSize;
    } else if (length) {
        this->remaining = *length;
        this->announced = static_cast<std::size_t>(*length);
        this->state = *length == 0 ? State::Whole : State::Length;
    } else {
        this->state = this->kind == Kind::Request ? State::Whole : State::UntilClose;
    }
    return true;
}

auto MessageReader::readBody(std::string_view input, std::size_t &taken) -> Step
{
    auto &body = this->message.body;
    switch (this->state) {
    case State::Length:
    case State::ChunkData: {
        taken = static_cast<std::size_t>(std::min<std::uint64_t>(input.size(), this->remaining));
        this->appendToBody(input.substr(0, taken));
        this->remaining -= taken;
        if (this->remaining == 0) {
            this->state = this->state == State::Length ? State::Whole : State::ChunkEnd;
        }
        return Step::NeedMore;
    }
    case State::UntilClose:
        taken = input.size();
        this->appendToBody(input);
        return body.size() > this->limits.bodyBytes ? this->fail(413) : Step::NeedMore;
    case State::ChunkSize:
    case State::ChunkEnd:
    case State::Trailers: {
        std::string_view line;
        const auto step = this->readLine(input, taken, line);
        if (step != Step::Whole) {
            return step;
        }
        if (this->state == State::ChunkEnd) {
            this->state = State::ChunkSize;
            return line.empty() ? Step::NeedMore : this->fail(400);
        }
        if (this->state == State::ChunkSize) {
            return this->readChunkSize(line) ? Step::NeedMore : Step::Malformed;
        }
        this->trailerBytes += line.size();
        if (line.empty()) {
            this->state = State::Whole;
        }
        return this->trailerBytes > this->limits.headBytes ? this->fail(431) : Step::NeedMore;
    }
    case State::Head:
    case State::Whole:
        break;
    }
    return Step::NeedMore;
}

auto MessageReader::readLine(std::string_view input, std::size_t &taken, std::string_view &line)
    -> Step
{
    const auto end = input.find(lineEnd);
    const auto limit =
        this->state == State::Trailers ? this->limits.headBytes : chunkLineLimitBytes;
    if (end == std::string_view::npos) {
        return input.size() > limit ? this->fail(400) : Step::NeedMore;
    }
    line = input.substr(0, end);
    taken = end + lineEnd.size();
    return hasControls(line) ? this->fail(400) : Step::Whole;
}

auto MessageReader::readChunkSize(std::string_view line) -> bool
{
    const auto size = parsedNumber(trimmed(line.substr(0, line.find(';'))), 16);
    if (!size) {
        this->fail(400);
        return false;
    }
    if (*size
        > this->limits.bodyBytes - std::min(this->limits.bodyBytes, this->message.body.size())) {
        this->fail(413);
        return false;
    }
    this->remaining = *size;
    this->state = *size == 0 ? State::Trailers : State::ChunkData;
    return true;
}

auto MessageReader::appendToBody(std::string_view bytes) -> void
{
    auto &body = this->message.body;
    const auto needed = body.size() + bytes.size();
    if (needed > body.capacity()) {
        const auto isLarge = needed > copiedBodyLimitBytes;
        const auto grown = isLarge ? this->limits.bodyBytes : 2 * body.capacity();
        body.reserve(std::max({needed, this->announced, this->announced > 0 ? 0 : grown}));
    }
    body.append(bytes);
}

auto MessageReader::heldBytes() const -> std::size_t
{
    const auto &body = this->message.body;
    const auto bodyBytes =
        body.capacity() <= pooledBufferBytes ? body.capacity() : std::size_t{body.size()};
    return bodyBytes + this->headBytes;
}

auto MessageReader::endOfInput() -> bool
{
    if (this->state != State::UntilClose) {
        return false;
    }
    this->state = State::Whole;
    return true;
}

auto MessageReader::take() -> WholeMessage
{
    auto whole = std::move(this->message);
    this->reset();
    return whole;
}

auto MessageReader::isMidMessage() const -> bool
{
    return this->state != State::Head || this->hasBegun;
}

auto MessageReader::awaitsContinue() const -> bool
{
    if (this->state == State::Head || this->state == State::Whole || !this->message.body.empty()) {
        return false;
    }
    const auto *expectation = this->message.head.find("Expect");
    return expectation != nullptr && equalHeaderNames(*expectation, "100-continue");
}

auto MessageReader::fail(int status) -> Step
{
    this->errorStatus = status;
    return Step::Malformed;
}

auto MessageReader::reset() -> void
{
    // An assignment would keep the buffer of the body.
    static_cast<void>(std::exchange(this->message, WholeMessage{}));
    this->state = State::Head;
    this->remaining = 0;
    this->announced = 0;
    this->headBytes = 0;
    this->trailerBytes = 0;
    this->interimBytes = 0;
    this->expectsNoBody = false;
    this->hasBegun = false;
}

} // namespace gooseberrywall
