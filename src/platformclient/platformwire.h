#pragma once

#include "http/types/httpmessage.h"
#include "protocol/types/storemessages.h"

#include <optional>
#include <string>
#include <string_view>

/// The wire format of the platform's service: JSON over HTTP, one POST per call. Nothing outside
/// this namespace depends on it. Keys are percent-encoded and values base64, so that both can hold
/// any bytes.
namespace gooseberrywall::platformwire {

/// Path to which the calls are posted.
inline constexpr std::string_view callTarget = "/v1/store";

/// HTTP statuses of the platform's service.
inline constexpr int okStatus = 200;
inline constexpr int badRequestStatus = 400;
inline constexpr int tooLargeStatus = 413;
inline constexpr int unavailableStatus = 503;

[[nodiscard]] auto encodeRequest(const StoreRequest &request) -> HttpRequest;

/// @param body the body of the posted call
/// @returns nothing if it is malformed
[[nodiscard]] auto decodeRequest(std::string_view body) -> std::optional<StoreRequest>;

/// @param answer its status must be Ok or Conflict; the others are sent as HTTP statuses
[[nodiscard]] auto encodeAnswer(const StoreAnswer &answer) -> std::string;

/// @returns nothing if the body is malformed
[[nodiscard]] auto decodeAnswer(std::string_view body) -> std::optional<StoreAnswer>;

/// @returns the VM entry in a body; nothing if it is malformed
[[nodiscard]] auto decodeVm(std::string_view body) -> std::optional<VmEntry>;
[[nodiscard]] auto encodeVm(const VmEntry &vm) -> std::string;

} // namespace gooseberrywall::platformwire
