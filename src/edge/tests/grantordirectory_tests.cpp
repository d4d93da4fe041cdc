#include "edge/grantordirectory.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceName service{"fitment"};
const Address announcer{"10.0.0.2:7000"};

auto grantorOfTerm(std::uint64_t term) -> ElectedGrantor
{
    return ElectedGrantor{GrantorDirectory::grantorText("d1", Address{"10.0.0.1:7000"}, 7), {term}};
}

} // namespace

SCENARIO("GrantorDirectory combines stored grantors and announcements", "[grantordirectory]")
{
    const Instant start{seconds{100}};
    GrantorDirectory directory(GrantorDirectorySettings{});
    GIVEN("a service without a stored or announced grantor")
    {
        THEN("it has no grantor and counts as silent")
        {
            CHECK_FALSE(directory.grantorOf(service, start));
            CHECK(directory.isSilent(service, start));
        }
    }
    GIVEN("an announcement before the view of the store shows the grantor")
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
        THEN("it is no longer known once it has been silent")
        {
            const auto later = start + milliseconds{2600};
            CHECK_FALSE(directory.grantorOf(service, later));
            CHECK(directory.isSilent(service, later));
        }
        WHEN("the store shows a grantor of a higher term")
        {
            directory.onStored(service, grantorOfTerm(9));
            THEN("the stored grantor is used")
            {
                CHECK(directory.grantorOf(service, start) == grantorOfTerm(9));
            }
        }
        WHEN("a grantor of a lower term announces itself late")
        {
            directory.onAnnouncement(service, Address{"10.0.0.9:7000"}, 3, start + seconds{2});
            THEN("it is ignored, and doesn't end the silence")
            {
                CHECK(GrantorDirectory::addressOf(*directory.grantorOf(service, start))
                      == announcer);
                CHECK(directory.isSilent(service, start + milliseconds{2600}));
            }
        }
    }
    GIVEN("a grantor whose key has been removed while it still announces itself")
    {
        directory.onStored(service, grantorOfTerm(5));
        directory.onAnnouncement(service, announcer, 5, start);
        directory.onStored(service, std::nullopt);
        THEN("the service has no grantor at once")
        {
            CHECK_FALSE(directory.grantorOf(service, start));
        }
    }
    GIVEN("a grantor that announces itself for one of two services")
    {
        directory.onAnnouncement(service, announcer, 5, start);
        THEN("only the other service counts as silent")
        {
            CHECK_FALSE(directory.isSilent(service, start));
            CHECK(directory.isSilent(ServiceName{"other"}, start));
        }
    }
}
