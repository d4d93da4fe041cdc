#pragma once

#include <string>
#include <string_view>

namespace gooseberrywall {

/// Proof by challenge and response that a daemon knows the cell's secret; the secret isn't sent.
class CellProof
{
public:
    explicit CellProof(std::string secret);

    /// @returns unpredictable bytes for one challenge
    [[nodiscard]] static auto makeNonce() -> std::string;
    /// @returns HMAC-SHA256 of nonce and daemon id under the secret (RFC 2104)
    [[nodiscard]] auto sign(std::string_view nonce, std::string_view daemon) const -> std::string;
    /// @returns whether `proof` is what sign() makes; compares in constant time
    [[nodiscard]] auto verify(std::string_view nonce, std::string_view daemon,
                              std::string_view proof) const -> bool;

private:
    std::string secret;
};

} // namespace gooseberrywall
