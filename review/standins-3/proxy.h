#pragma once

#include "common/types/ids.h"

#include <event2/event.h>
#include <memory>
#include <string>

namespace gooseberrywall::review {

/// A TCP proxy in front of the store that can lose the answers to waiting watches: the bytes of the
/// answer are dropped, and the connection stays open and returns nothing further.
class Proxy
{
public:
    Proxy(event_base *base, const Address &listen, const Address &target);
    ~Proxy();
    Proxy(const Proxy &) = delete;
    auto operator=(const Proxy &) -> Proxy & = delete;

    /// @param prefix loses answers to watches of keys with this prefix, as it is written in the
    ///        request; empty: none
    auto loseAnswersToWatches(std::string prefix) -> void;
    /// @returns how many answers were lost
    [[nodiscard]] auto lostAnswers() const -> int;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace gooseberrywall::review
