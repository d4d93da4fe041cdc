#include "http/base64.h"

#include <algorithm>
#include <openssl/evp.h>

namespace gooseberrywall {

auto encodeBase64(std::string_view bytes) -> std::string
{
    // One byte more than the text: EVP_EncodeBlock writes a terminating zero.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                      reinterpret_cast<const unsigned char *>(bytes.data()),
                                      static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

auto decodeBase64(std::string_view text) -> std::optional<std::string>
{
    if (text.size() % 4 != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / 4 * 3, '\0');
    const auto size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                      reinterpret_cast<const unsigned char *>(text.data()),
                                      static_cast<int>(text.size()));
    const auto padding = static_cast<int>(std::count(text.begin(), text.end(), '='));
    if (size < padding || padding > 2) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(size - padding));
    return bytes;
}

} // namespace gooseberrywall
