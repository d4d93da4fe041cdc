#include "platformclient/internal/base64.h"

#include <openssl/evp.h>

namespace gooseberrywall {

namespace {

constexpr std::size_t bytesPerGroup = 3;
constexpr std::size_t charactersPerGroup = 4;

} // namespace

auto base64Encode(std::string_view bytes) -> std::string
{
    // One byte more than the text: EVP_EncodeBlock writes a terminating zero.
    const auto groups = (bytes.size() + bytesPerGroup - 1) / bytesPerGroup;
    std::string text(groups * charactersPerGroup + 1, '\0');
    const auto size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                      reinterpret_cast<const unsigned char *>(bytes.data()),
                                      static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

auto base64Decode(std::string_view text) -> std::optional<std::string>
{
    if (text.empty()) {
        return std::string{};
    }
    if (text.size() % charactersPerGroup != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / charactersPerGroup * bytesPerGroup, '\0');
    const auto size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                      reinterpret_cast<const unsigned char *>(text.data()),
                                      static_cast<int>(text.size()));
    if (size < 0 || static_cast<std::size_t>(size) != bytes.size()) {
        return std::nullopt;
    }
    const auto padding = text.ends_with("==") ? 2U : (text.ends_with("=") ? 1U : 0U);
    bytes.resize(bytes.size() - padding);
    return bytes;
}

} // namespace gooseberrywall
