#pragma once

#include "edge/evacuations.h"
#include "edge/wireadapter.h"
#include "storelink/prefixview.h"

#include <utility>

namespace gooseberrywall {

/// @param items the operators' keys
/// @param revision the store revision up to which they are known
/// @param evacuations logs the keys that can't be read
/// @returns the failure domains that the operators' keys evacuate
template<WireAdapter Wire>
[[nodiscard]] auto readEvacuations(const Wire &wire, const PrefixView::Items &items,
                                   StoreRevision revision, Evacuations &evacuations)
    -> EvacuatedDomains
{
    EvacuatedDomains result;
    result.revision = revision.value;
    for (const auto &[key, item] : items) {
        if (!wire.isEvacuationKey(key)) {
            continue;
        }
        if (auto domain = wire.evacuatedDomain(item)) {
            result.domains.insert(std::move(*domain));
        } else {
            evacuations.onUnreadableKey(key, item.revision.value);
        }
    }
    return result;
}

} // namespace gooseberrywall
