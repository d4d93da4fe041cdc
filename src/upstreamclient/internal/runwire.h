#pragma once

#include "upstreamclient/upstreamwire.h"

/// Encodes and decodes runs. Runs use headers instead of JSON, since they are by far the most
/// frequent calls.
namespace gooseberrywall::upstreamwire {

[[nodiscard]] auto encodeRun(const RunRequest &run) -> HttpRequest;
[[nodiscard]] auto decodeRun(const HeaderLookup &headers, std::string body)
    -> std::optional<RunRequest>;
[[nodiscard]] auto encodeRunAnswer(const RunAnswer &answer) -> HttpAnswer;
[[nodiscard]] auto decodeRunAnswer(HttpAnswer answer) -> std::optional<RunAnswer>;

} // namespace gooseberrywall::upstreamwire
