#pragma once

#include <string>
#include <string_view>

namespace gooseberrywall {

/// Hashes a team's token for the document: "SALT$HEX", the salted SHA-256 of the token.
/// Tokens must be long and random (see the operators' pages): the hash is fast to compute and
/// doesn't protect a password that can be guessed.
/// @param salt at least 8 random letters or digits, different for each token
[[nodiscard]] auto hashToken(std::string_view token, std::string_view salt) -> std::string;

/// @returns whether the token has this hash; compares in constant time
[[nodiscard]] auto tokenMatches(std::string_view token, std::string_view hash) -> bool;

/// @returns whether the text has the form of a token's hash
[[nodiscard]] auto isTokenHash(std::string_view text) -> bool;

} // namespace gooseberrywall
