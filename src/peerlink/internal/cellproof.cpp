#include "peerlink/internal/cellproof.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <stdexcept>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr std::size_t nonceBytes = 32;

auto bytesOf(std::string_view text) -> const unsigned char *
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

CellProof::CellProof(std::string secret)
    : secret(std::move(secret))
{
}

auto CellProof::makeNonce() -> std::string
{
    std::array<unsigned char, nonceBytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw std::runtime_error(
            "RAND_bytes could not make a nonce; check the machine's entropy source");
    }
    return {bytes.begin(), bytes.end()};
}

auto CellProof::sign(std::string_view nonce, std::string_view daemon) const -> std::string
{
    auto message = std::string(nonce);
    message += daemon;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    HMAC(EVP_sha256(), this->secret.data(), static_cast<int>(this->secret.size()), bytesOf(message),
         message.size(), digest.data(), &length);
    return {digest.begin(), digest.begin() + length};
}

auto CellProof::verify(std::string_view nonce, std::string_view daemon,
                       std::string_view proof) const -> bool
{
    const auto expected = this->sign(nonce, daemon);
    return proof.size() == expected.size()
           && CRYPTO_memcmp(proof.data(), expected.data(), expected.size()) == 0;
}

} // namespace gooseberrywall
