#pragma once

#include "common/types/ids.h"

#include <vector>

namespace gooseberrywall {

/// A listening socket that accepts no connection and whose backlog is full. The kernel drops
/// further connection attempts, like a partitioned network.
class FullServer
{
public:
    FullServer();
    ~FullServer();
    FullServer(const FullServer &) = delete;
    FullServer(FullServer &&) = delete;
    auto operator=(const FullServer &) -> FullServer & = delete;
    auto operator=(FullServer &&) -> FullServer & = delete;

    [[nodiscard]] auto address() const -> Address;

private:
    auto fill() -> void;

    int listener;
    std::vector<int> fillers;
};

} // namespace gooseberrywall
