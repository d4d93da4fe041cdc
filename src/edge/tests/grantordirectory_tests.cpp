#include "edge/grantordirectory.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceName service{"fitment"};
const Address announcer{"10.0.0.2:7000"};

auto grantorOfTerm(std::uint64_t term) -> GrantorNote
{
    return GrantorNote{GrantorDirectory::grantorText("d1", Address{"10.0.0.1:7000"}, 7), {term}};
}

} // namespace

SCENARIO("GrantorDirectory joins the store's notes and announcements", "[grantordirectory]")
{
    const Instant start{seconds{100}};
    GrantorDirectory directory(GrantorDirectorySettings{});
    GIVEN("a service of which nothing is known")
    {
        THEN("it has no grantor and counts as silent")
        {
            CHECK_FALSE(directory.grantorOf(service, start));
            CHECK(directory.isSilent(service, start));
        }
    }
    GIVEN("an announcement before the store's copy shows the note")
    {
        directory.onStored(service, std::nullopt);
        directory.onAnnouncement(service, announcer, 5, start);
        THEN("its sender is the grantor, so that nobody else claims the place")
        {
            const auto grantor = directory.grantorOf(service, start);
            REQUIRE(grantor);
            CHECK(GrantorDirectory::addressOf(*grantor) == announcer);
            CHECK(grantor->term.value == 5);
            CHECK_FALSE(directory.isSilent(service, start));
        }
        THEN("silence ends it")
        {
            const auto later = start + milliseconds{2600};
            CHECK_FALSE(directory.grantorOf(service, later));
            CHECK(directory.isSilent(service, later));
        }
        WHEN("the store shows a note of a higher term")
        {
            directory.onStored(service, grantorOfTerm(9));
            THEN("the store's word holds")
            {
                CHECK(directory.grantorOf(service, start) == grantorOfTerm(9));
            }
        }
        WHEN("an earlier grantor announces itself late")
        {
            directory.onAnnouncement(service, Address{"10.0.0.9:7000"}, 3, start + seconds{2});
            THEN("it is ignored, and doesn't break the silence")
            {
                CHECK(GrantorDirectory::addressOf(*directory.grantorOf(service, start))
                      == announcer);
                CHECK(directory.isSilent(service, start + milliseconds{2600}));
            }
        }
    }
    GIVEN("a note that the store has removed while its grantor still announces itself")
    {
        directory.onStored(service, grantorOfTerm(5));
        directory.onAnnouncement(service, announcer, 5, start);
        directory.onStored(service, std::nullopt);
        THEN("the place is free at once")
        {
            CHECK_FALSE(directory.grantorOf(service, start));
        }
    }
    GIVEN("one of two services silent")
    {
        directory.onAnnouncement(service, announcer, 5, start);
        THEN("silence is found, and of that one only")
        {
            CHECK_FALSE(directory.isSilent(service, start));
            CHECK(directory.isSilent(ServiceName{"other"}, start));
        }
    }
}
