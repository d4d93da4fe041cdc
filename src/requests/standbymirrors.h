#pragma once

#include "ownership/table.h"
#include "protocol/outbox.h"
#include "protocol/types/daemonidentity.h"
#include "requests/outcomememory.h"

#include <map>
#include <optional>

namespace gooseberrywall {

/// Stand-by side of the mirrors: holds and acknowledges copies of other grantors' outcome memories,
/// and hands a copy over when this daemon becomes the grantor itself.
class StandbyMirrors
{
public:
    explicit StandbyMirrors(DaemonIdentity self);

    /// Applies a message if it is the next one of its mirror or starts a snapshot. Acknowledges
    /// messages that are applied, and repeated ones.
    auto onUpdate(const OutcomeTime &time, const DaemonId &from, const MirrorUpdate &message,
                  Outbox &out) -> void;

    /// Drops stale copies: those for whose upstream the record names another stand-by or a later
    /// term, or that it doesn't list.
    auto onTable(const TablePointer &table) -> void;

    /// Removes the copy of an upstream for which this daemon has become the grantor.
    /// @param previousTerm the previous grantor's term in the previous version of the record
    /// @returns the memory, if the copy is complete and of that term
    [[nodiscard]] auto take(const UpstreamId &upstream, Term previousTerm)
        -> std::optional<OutcomeMemory>;

    [[nodiscard]] auto size() const -> std::size_t { return this->copies.size(); }

private:
    struct Copy
    {
        DaemonId grantor;
        Term term;
        std::uint64_t sequence = 0;
        bool complete = false;
        OutcomeMemory memory;
    };

    [[nodiscard]] auto isStandbyFor(const DaemonId &from, const MirrorUpdate &message) const
        -> bool;
    static auto apply(const OutcomeTime &time, const MirrorUpdate &message, Copy &copy) -> void;

    DaemonIdentity self;
    TablePointer table;
    std::map<UpstreamId, Copy> copies;
};

} // namespace gooseberrywall
