#include "crowd/types/crowdrequest.h"

#include <sstream>

namespace gooseberrywall {

namespace {

/// Blocks are at least this long, so that a send call isn't limited to a small chunk.
constexpr std::size_t blockBytes = std::size_t{64} * 1024;

auto headText(const std::string &target, const std::string &id, const std::string &framing,
              bool keepsConnection) -> std::string
{
    return "PUT " + target + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
           + "\r\nDeadline-Ms: 10000\r\n" + framing + "\r\n"
           + (keepsConnection ? "" : "Connection: close\r\n") + "\r\n";
}

} // namespace

auto CrowdRequest::textAt(std::size_t offset) const -> std::string_view
{
    if (offset < this->head.size()) {
        return std::string_view(this->head).substr(offset);
    }
    const auto bodyOffset = offset - this->head.size();
    if (bodyOffset < this->encodedBodyBytes) {
        return std::string_view(this->block)
            .substr(bodyOffset % this->block.size(), this->encodedBodyBytes - bodyOffset);
    }
    return std::string_view(this->tail).substr(bodyOffset - this->encodedBodyBytes);
}

auto announcedRequest(const std::string &target, const std::string &id, std::size_t announcedBytes,
                      std::size_t bodyBytes, bool keepsConnection) -> CrowdRequest
{
    return {
        headText(target, id, "Content-Length: " + std::to_string(announcedBytes), keepsConnection),
        std::string(blockBytes, 'x'), bodyBytes, ""};
}

auto chunkedRequest(const std::string &target, const std::string &id, std::size_t bodyBytes,
                    std::size_t chunkBytes) -> CrowdRequest
{
    std::ostringstream chunk;
    chunk << std::hex << chunkBytes << "\r\n" << std::string(chunkBytes, 'x') << "\r\n";
    const auto chunkText = chunk.str();
    std::string block;
    while (block.size() < blockBytes) {
        block += chunkText;
    }
    return {headText(target, id, "Transfer-Encoding: chunked", true), block,
            bodyBytes / chunkBytes * chunkText.size(), "0\r\n\r\n"};
}

} // namespace gooseberrywall
