#pragma once

#include "common/types/ids.h"

#include <event2/event.h>
#include <functional>
#include <memory>
#include <string>

namespace gooseberrywall::review {

/// A TCP proxy in front of the store or a server. In front of the store it can lose the answers to
/// waiting watches: the bytes of the answer are dropped, and the connection stays open and returns
/// nothing further. In front of a server it can refuse new connections and reset open ones.
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
    /// From now on new connections are refused; open ones live on.
    auto refuseNew() -> void;
    /// Resets the connections whose last request had a head that matches.
    auto resetIf(const std::function<bool(const std::string &head)> &matches) -> void;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace gooseberrywall::review
