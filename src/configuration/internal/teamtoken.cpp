#include "configuration/teamtoken.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace gooseberrywall {

namespace {

constexpr std::size_t minimumSaltBytes = 8;
constexpr std::size_t maximumSaltBytes = 32;
constexpr std::size_t hashDigits = std::size_t{2} * SHA256_DIGEST_LENGTH;

auto toHex(const std::array<unsigned char, SHA256_DIGEST_LENGTH> &bytes) -> std::string
{
    constexpr std::string_view digits = "0123456789abcdef";
    auto hex = std::string{};
    for (const auto byte : bytes) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 0x0fU];
    }
    return hex;
}

auto isHexDigit(char letter) -> bool
{
    return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
}

} // namespace

auto hashToken(std::string_view token, std::string_view salt) -> std::string
{
    const auto salted = std::string(salt) + '$' + std::string(token);
    auto digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>{};
    SHA256(reinterpret_cast<const unsigned char *>(salted.data()), salted.size(), digest.data());
    return std::string(salt) + '$' + toHex(digest);
}

auto tokenMatches(std::string_view token, std::string_view hash) -> bool
{
    if (token.empty() || !isTokenHash(hash)) {
        return false;
    }
    const auto own = hashToken(token, hash.substr(0, hash.find('$')));
    return own.size() == hash.size() && CRYPTO_memcmp(own.data(), hash.data(), hash.size()) == 0;
}

auto isTokenHash(std::string_view text) -> bool
{
    const auto separator = text.find('$');
    if (separator == std::string_view::npos || separator < minimumSaltBytes
        || separator > maximumSaltBytes) {
        return false;
    }
    const auto salt = text.substr(0, separator);
    const auto hex = text.substr(separator + 1);
    const auto isSaltLetter = [](char letter) {
        return std::isalnum(static_cast<unsigned char>(letter)) != 0;
    };
    return std::all_of(salt.begin(), salt.end(), isSaltLetter) && hex.size() == hashDigits
           && std::all_of(hex.begin(), hex.end(), isHexDigit);
}

} // namespace gooseberrywall
