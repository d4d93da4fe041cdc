#include "memory/memoryaccount.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace gooseberrywall;

namespace {

constexpr std::size_t megabyte = 1'000'000;

} // namespace

SCENARIO("MemoryAccount counts what its holders have", "[memory]")
{
    // Guards against an account that drifts: bytes counted twice would refuse callers for ever,
    // bytes that are forgotten would end the process.
    MemoryAccount account(MemoryBudget{100, 10});
    MemoryAccount::Charge first(&account);
    first.set(30);
    {
        MemoryAccount::Charge second(&account);
        second.set(50);
        second.set(20);
        CHECK(account.heldBytes() == 50);
        MemoryAccount::Charge moved(std::move(second));
        CHECK(account.heldBytes() == 50);
        moved = std::move(first);
        CHECK(account.heldBytes() == 30);
        first = std::move(moved);
        CHECK(account.heldBytes() == 30);
    }
    CHECK(account.heldBytes() == 30);
    first.set(101);
    CHECK(account.isOver());
    first.set(0);
    CHECK(account.heldBytes() == 0);
    MemoryAccount::Charge uncounted;
    uncounted.set(1000);
    CHECK(account.heldBytes() == 0);
}

SCENARIO("MemoryAccount asks for memory where the budget is exceeded", "[memory]")
{
    // Guards against answers that are dropped although callers that don't take theirs hold memory.
    MemoryAccount account(MemoryBudget{100, 10});
    MemoryAccount::Charge idle(&account);
    MemoryAccount::Charge busy(&account);
    auto calls = 0;
    account.setRelief([&] {
        ++calls;
        idle.set(0);
        // As where closing a connection ends a request.
        CHECK(account.relieve() == !account.isOver());
    });
    idle.set(60);
    busy.set(30);
    CHECK(account.relieve());
    CHECK(calls == 0);
    busy.set(60);
    CHECK(account.relieve());
    CHECK(calls == 1);
    busy.set(101);
    CHECK_FALSE(account.relieve());
    CHECK(calls == 2);
}

SCENARIO("MemoryAccount keeps room for small requests while large ones fill the rest", "[memory]")
{
    // Load: a crowd of large bodies beside ordinary callers.
    const auto budget = MemoryBudget::ofVm(112 * megabyte);
    MemoryAccount account(budget);
    GIVEN("the smallest VM of a deployment, and nothing held")
    {
        THEN("the largest request that operators allow fits, and twice that doesn't")
        {
            constexpr std::size_t largestBody = 67'108'864;
            CHECK(account.hasRoomFor(largestBody));
            CHECK_FALSE(account.hasRoomFor(2 * largestBody));
            CHECK(account.canEverHold(largestBody));
            CHECK_FALSE(account.canEverHold(2 * largestBody));
        }
        THEN("a quarter of the VM's memory is left to the process itself")
        {
            CHECK(budget.totalBytes < 84 * megabyte);
        }
    }
    GIVEN("as many bodies of 8 MB as fit")
    {
        std::vector<MemoryAccount::Charge> bodies;
        while (account.hasRoomFor(8 * megabyte)) {
            bodies.emplace_back(&account);
            bodies.back().set(8 * megabyte);
        }
        THEN("a large request is refused, and hundreds of small ones still fit")
        {
            CHECK(account.missingFor(8 * megabyte) > 0);
            CHECK(account.missingFor(8 * megabyte) <= 8 * megabyte);
            CHECK(account.hasRoomFor(MemoryAccount::smallMessageBytes));
            CHECK(budget.totalBytes - account.heldBytes()
                  >= 100 * MemoryAccount::smallMessageBytes);
        }
    }
}
