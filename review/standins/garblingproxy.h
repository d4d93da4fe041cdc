#pragma once

#include "common/types/ids.h"
#include "record.h"
#include "streams/socketlistener.h"
#include "streams/socketstream.h"

#include <list>
#include <memory>
#include <string>

namespace gooseberrywall::review {

/// A proxy in front of an instance that sends additional bytes after some complete answers to
/// grants: they come late, where the next answer on the connection is expected.
class GarblingProxy
{
public:
    GarblingProxy(event_base *base, const Address &listen, Address instance, Record &record);

    /// @param newShare of all answers of the instance, at most
    auto setShare(double newShare) -> void;
    [[nodiscard]] auto additions() const -> int { return this->totalAdditions; }

private:
    struct Pair
    {
        std::unique_ptr<SocketStream> caller;
        std::unique_ptr<SocketStream> instance;
        bool isGrant = false;
        bool isFollowed = false;
        bool isEnded = false;
    };

    auto accept(int descriptor) -> void;
    auto passCall(Pair &pair) -> void;
    auto passAnswer(Pair &pair) -> void;
    [[nodiscard]] auto handlers(const std::weak_ptr<Pair> &weak, bool isCaller)
        -> SocketStream::Handlers;

    event_base *base;
    Address instance;
    Record &record;
    double share = 0;
    /// Since the share was set last.
    int answers = 0;
    int additionsOfShare = 0;
    int totalAdditions = 0;
    std::list<std::shared_ptr<Pair>> pairs;
    SocketListener listener;
};

} // namespace gooseberrywall::review
