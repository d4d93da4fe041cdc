#include "loadtool/types/callend.h"

#include <array>

namespace gooseberrywall {

auto toString(CallEndKind kind) -> std::string_view
{
    constexpr std::array<std::string_view, callEndKinds> names{
        "answer", "wrong_answer", "refused", "unknown", "not_sent", "no_answer"};
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace gooseberrywall
