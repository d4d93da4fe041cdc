#include "faultmatrix/stepnames.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

struct PeerNames
{
    auto operator()(const Heartbeat & /*m*/) const -> std::string { return "heartbeat"; }
    auto operator()(const HeartbeatAnswer & /*m*/) const -> std::string { return "heartbeat"; }
    auto operator()(const IndirectProbe & /*m*/) const -> std::string { return "heartbeat"; }
    auto operator()(const IndirectProbeAnswer & /*m*/) const -> std::string { return "heartbeat"; }
    auto operator()(const TableRequest & /*m*/) const -> std::string { return "peer TableRequest"; }
    auto operator()(const TableUpdate & /*m*/) const -> std::string { return "peer TableUpdate"; }
    auto operator()(const ShardReleased & /*m*/) const -> std::string
    {
        return "peer ShardReleased";
    }
    auto operator()(const GrantsEnded & /*m*/) const -> std::string { return "peer GrantsEnded"; }
    auto operator()(const UpstreamHealth & /*m*/) const -> std::string { return "health"; }
    auto operator()(const LoadReport & /*m*/) const -> std::string { return "load"; }
    auto operator()(const AuthorityRequest & /*m*/) const -> std::string { return "authority"; }
    auto operator()(const AuthorityAnswer & /*m*/) const -> std::string { return "authority"; }
    auto operator()(const ForwardRequest & /*m*/) const -> std::string
    {
        return "peer ForwardRequest";
    }
    auto operator()(const ForwardEnd & /*m*/) const -> std::string { return "peer ForwardEnd"; }
    auto operator()(const ForwardCancel & /*m*/) const -> std::string
    {
        return "peer ForwardCancel";
    }
    auto operator()(const MirrorUpdate & /*m*/) const -> std::string { return "peer MirrorUpdate"; }
    auto operator()(const MirrorAnswer & /*m*/) const -> std::string { return "peer MirrorAnswer"; }
    auto operator()(const CrashSuspects & /*m*/) const -> std::string
    {
        return "peer CrashSuspects";
    }
    auto operator()(const OperatorOrder & /*m*/) const -> std::string
    {
        return "peer OperatorOrder";
    }
    auto operator()(const ConfigurationRequest & /*m*/) const -> std::string
    {
        return "peer ConfigurationRequest";
    }
    auto operator()(const ConfigurationUpdate & /*m*/) const -> std::string
    {
        return "peer ConfigurationUpdate";
    }
    auto operator()(const OutcomeQuery & /*m*/) const -> std::string { return "peer OutcomeQuery"; }
    auto operator()(const OutcomeHandover & /*m*/) const -> std::string
    {
        return "peer OutcomeHandover";
    }
    auto operator()(const OutcomeHandoverAnswer & /*m*/) const -> std::string
    {
        return "peer OutcomeHandoverAnswer";
    }
    auto operator()(const SuspectsCleared & /*m*/) const -> std::string
    {
        return "peer SuspectsCleared";
    }
};

} // namespace

auto stepName(const PeerMessage &message) -> std::string
{
    return std::visit(PeerNames{}, message);
}

auto stepName(const StoreRequest &request) -> std::string
{
    if (const auto *write = std::get_if<StoreCompareAndSwap>(&request)) {
        if (write->key.ends_with("/record")) {
            return "store write record";
        }
        return write->key.ends_with("/manifest") ? "store write manifest" : "store write section";
    }
    if (const auto *read = std::get_if<StoreGet>(&request)) {
        return read->key.ends_with("/record") ? "store read record" : "store read configuration";
    }
    if (std::holds_alternative<StoreLeaseRelease>(request)) {
        return "store release lease";
    }
    return "store-background";
}

auto stepName(const UpstreamRequest &request) -> std::string
{
    if (std::holds_alternative<RunRequest>(request)) {
        return "upstream run";
    }
    if (std::holds_alternative<CancelRun>(request)) {
        return "upstream cancel";
    }
    const auto *batch = std::get_if<GrantBatch>(&request);
    if (batch == nullptr) {
        return "probe";
    }
    const auto revokes =
        std::any_of(batch->orders.begin(), batch->orders.end(),
                    [](const GrantOrder &order) { return order.action == GrantAction::Revoke; });
    return revokes ? "upstream revoke" : "upstream grant";
}

auto isBackground(const std::string &name) -> bool
{
    return name.find(' ') == std::string::npos;
}

auto isRequestStep(const std::string &name) -> bool
{
    return name.starts_with("peer Forward") || name.starts_with("peer Mirror")
           || name == "upstream run" || name == "upstream cancel" || name == "upstream grant";
}

} // namespace gooseberrywall
