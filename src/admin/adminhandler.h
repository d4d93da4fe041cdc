#pragma once

#include "admin/configapi.h"
#include "configuration/configurationkeeper.h"

#include <concepts>
#include <map>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// What AdminHandler requires of a daemon's core to read and edit the document.
template<typename Core>
concept ConfigurationCore = requires(Core core, Instant now, EditRequest request)
{
    {
        core.startEdit(now, std::move(request))
        } -> std::same_as<EditId>;
    {
        core.takeEditResults()
        } -> std::same_as<std::vector<EditResult>>;
    {
        std::as_const(core).configuration()
        } -> std::same_as<const ConfigurationKeeper &>;
};

/// Answers requests to the configuration part of the administration interface. Edits and waits end
/// later, so each reply carries the id of its exchange. Performs no I/O itself.
template<ConfigurationCore Core>
class AdminHandler
{
public:
    /// @param core must outlive the handler
    explicit AdminHandler(Core &core)
        : core(core)
    {
    }

    /// @returns whether the request concerns the configuration; then takeReplies returns its reply
    auto accept(Instant now, const AdminRequest &request) -> bool
    {
        auto call = readConfigRequest(request);
        if (!call) {
            return false;
        }
        if (auto *edit = std::get_if<EditRequest>(&*call)) {
            this->pendingEdits[this->core.startEdit(now, std::move(*edit))] = request.exchange;
        } else if (const auto *wait = std::get_if<WaitRequest>(&*call)) {
            this->pendingWaits.push_back({request.exchange, wait->generation, now + wait->timeout});
        } else {
            this->readyReplies.push_back(std::get<AdminReply>(*call));
        }
        return true;
    }

    /// Ends waits that are over or have timed out; to be called every few milliseconds.
    /// @returns the replies that have become ready since the last call
    [[nodiscard]] auto takeReplies(Instant now) -> std::vector<AdminReply>
    {
        for (const auto &result : this->core.takeEditResults()) {
            const auto found = this->pendingEdits.find(result.id);
            if (found != this->pendingEdits.end()) {
                this->readyReplies.push_back(editReply(found->second, result));
                this->pendingEdits.erase(found);
            }
        }
        this->finishWaits(now);
        return std::exchange(this->readyReplies, {});
    }

private:
    struct PendingWait
    {
        ExchangeId exchange;
        std::uint64_t generation = 0;
        Instant deadline;
    };

    auto finishWaits(Instant now) -> void
    {
        auto remaining = std::vector<PendingWait>{};
        for (const auto &wait : this->pendingWaits) {
            const auto laggingDaemons =
                std::as_const(this->core).configuration().laggingDaemons(wait.generation);
            if (!laggingDaemons.empty() && now < wait.deadline) {
                remaining.push_back(wait);
                continue;
            }
            this->readyReplies.push_back(waitReply(wait.exchange, wait.generation, laggingDaemons));
        }
        this->pendingWaits = std::move(remaining);
    }

    Core &core;
    std::map<EditId, ExchangeId> pendingEdits;
    std::vector<PendingWait> pendingWaits;
    std::vector<AdminReply> readyReplies;
};

} // namespace gooseberrywall
