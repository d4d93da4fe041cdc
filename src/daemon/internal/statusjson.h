#pragma once

#include "node/node.h"

#include <nlohmann/json_fwd.hpp>

/// Builds the JSON of the administration pages from the state of a node.
namespace gooseberrywall::statusjson {

/// @returns the state of the cell: daemons, coordinator, upstreams, transfers, problems
[[nodiscard]] auto status(const Node &node, Instant now) -> nlohmann::json;

/// @returns all upstreams with state, grantor, stand-by and number of shards
[[nodiscard]] auto upstreams(const Table &table) -> nlohmann::json;

/// @returns one shard with its owner and the owner's grantor
[[nodiscard]] auto shard(const Table &table, const ShardEntry &entry) -> nlohmann::json;

/// @returns the counters by service, caller, event and reason, and the latencies by service
[[nodiscard]] auto counters(const CounterSnapshot &snapshot) -> nlohmann::json;

/// @returns the quarantined requests
[[nodiscard]] auto quarantine(const Table &table) -> nlohmann::json;

/// @returns the name of a state in JSON
[[nodiscard]] auto toText(MemberState state) -> std::string;
[[nodiscard]] auto toText(UpstreamState state) -> std::string;
[[nodiscard]] auto toText(ShardStage stage) -> std::string;

} // namespace gooseberrywall::statusjson
