#pragma once

#include <cstdint>
#include <optional>

namespace gooseberrywall {

/// A deliberate fault in the core: each disables one of its checks. Tests activate one to show that
/// the fault matrix detects it. Outside of tests none is ever active. A query costs one read of a
/// thread-local variable; the core makes at most a few queries per request or message.
enum class Mutation : std::uint8_t {
    /// The coordinator assigns a shard to the next owner though its former fence was not released.
    SkipFenceCheck,
    /// A record takes effect before the store has it.
    AdoptBeforeWrite,
    /// All attempts of a process have the same id.
    ReuseAttemptId,
    /// An older table replaces a newer one.
    ApplyOlderTable,
    /// An older document replaces a newer one.
    ApplyOlderDocument,
    /// A request is refused though an earlier attempt may have run.
    RefuseAfterSending,
};

namespace internal {

inline thread_local std::optional<Mutation> activeMutation;

} // namespace internal

/// @returns whether a test has activated this fault in this thread
[[nodiscard]] inline auto isMutated(Mutation mutation) -> bool
{
    return internal::activeMutation == mutation;
}

/// Activates a fault in this thread until the object is destroyed. For tests only.
class ScopedMutation
{
public:
    /// @param mutation std::nullopt: all checks stay active
    explicit ScopedMutation(std::optional<Mutation> mutation)
    {
        internal::activeMutation = mutation;
    }
    ~ScopedMutation() { internal::activeMutation.reset(); }
    ScopedMutation(const ScopedMutation &) = delete;
    auto operator=(const ScopedMutation &) -> ScopedMutation & = delete;
};

} // namespace gooseberrywall
