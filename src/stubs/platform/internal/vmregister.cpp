#include "stubs/platform/vmregister.h"

#include <utility>

namespace gooseberrywall {

auto VmRegister::put(Instant now, VmEntry vm) -> void
{
    auto id = vm.id;
    this->pending.push_back({now + this->lag, std::move(id), std::move(vm)});
}

auto VmRegister::remove(Instant now, const std::string &id) -> void
{
    this->pending.push_back({now + this->lag, id, std::nullopt});
}

auto VmRegister::visible(Instant now) -> std::vector<VmEntry>
{
    std::vector<Change> later;
    for (auto &change : this->pending) {
        if (change.visibleFrom > now) {
            later.push_back(std::move(change));
        } else if (change.vm.has_value()) {
            this->visibleVms[change.id] = std::move(*change.vm);
        } else {
            this->visibleVms.erase(change.id);
        }
    }
    this->pending = std::move(later);
    std::vector<VmEntry> entries;
    for (const auto &[id, vm] : this->visibleVms) {
        entries.push_back(vm);
    }
    return entries;
}

} // namespace gooseberrywall
