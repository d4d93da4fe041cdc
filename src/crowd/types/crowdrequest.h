#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace gooseberrywall {

/// The text of a request with a large body, which isn't held as a whole: the encoded body consists
/// of repetitions of one block.
struct CrowdRequest
{
    std::string head;
    /// Not empty if `encodedBodyBytes` isn't zero.
    std::string block;
    /// Length of the body as it is sent, with the overhead of chunks; the last block may be cut.
    std::size_t encodedBodyBytes = 0;
    /// What follows the body, such as the last chunk.
    std::string tail;

    /// @returns the length of the whole text
    [[nodiscard]] auto size() const -> std::size_t
    {
        return this->head.size() + this->encodedBodyBytes + this->tail.size();
    }
    /// @param offset position in the whole text, below size()
    /// @returns the text from there to the next boundary of a part or block
    [[nodiscard]] auto textAt(std::size_t offset) const -> std::string_view;
    auto operator==(const CrowdRequest &) const -> bool = default;
};

/// @param announcedBytes the Content-Length
/// @param bodyBytes the length of the text's body, which may be shorter than announced
/// @param keepsConnection if false, the server is asked to close the connection after its answer
/// @returns a PUT request whose body is announced
[[nodiscard]] auto announcedRequest(const std::string &target, const std::string &id,
                                    std::size_t announcedBytes, std::size_t bodyBytes,
                                    bool keepsConnection) -> CrowdRequest;

/// @param bodyBytes the length of the decoded body; rounded down to whole chunks
/// @returns a PUT request whose body is sent in chunks of the same size
[[nodiscard]] auto chunkedRequest(const std::string &target, const std::string &id,
                                  std::size_t bodyBytes, std::size_t chunkBytes) -> CrowdRequest;

} // namespace gooseberrywall
