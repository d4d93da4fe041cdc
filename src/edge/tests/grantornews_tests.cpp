#include "edge/grantornews.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceName service{"fitment"};
const Address announcer{"10.0.0.2:7000"};

auto noteOfTerm(std::uint64_t term) -> ElectedGrantor
{
    return ElectedGrantor{GrantorNews::noteText("d1", Address{"10.0.0.1:7000"}, 7), {term}};
}

} // namespace

SCENARIO("GrantorNews joins the store's notes and announcements", "[grantornews]")
{
    const Instant start{seconds{100}};
    GrantorNews news(GrantorNewsSettings{});
    GIVEN("a service of which nothing is known")
    {
        THEN("it has no grantor and counts as silent")
        {
            CHECK_FALSE(news.grantorOf(service, start));
            CHECK(news.isSilent(service, start));
        }
    }
    GIVEN("an announcement before the store's copy shows the note")
    {
        news.onNote(service, std::nullopt);
        news.onAnnouncement(service, announcer, 5, start);
        THEN("its sender is the grantor, so that nobody else claims the place")
        {
            const auto grantor = news.grantorOf(service, start);
            REQUIRE(grantor);
            CHECK(GrantorNews::addressIn(*grantor) == announcer);
            CHECK(grantor->term.value == 5);
            CHECK_FALSE(news.isSilent(service, start));
        }
        THEN("silence ends it")
        {
            const auto later = start + milliseconds{2600};
            CHECK_FALSE(news.grantorOf(service, later));
            CHECK(news.isSilent(service, later));
        }
        WHEN("the store shows a note of a higher term")
        {
            news.onNote(service, noteOfTerm(9));
            THEN("the store's word holds")
            {
                CHECK(news.grantorOf(service, start) == noteOfTerm(9));
            }
        }
        WHEN("an earlier grantor announces itself late")
        {
            news.onAnnouncement(service, Address{"10.0.0.9:7000"}, 3, start + seconds{2});
            THEN("it is ignored, and doesn't break the silence")
            {
                CHECK(GrantorNews::addressIn(*news.grantorOf(service, start)) == announcer);
                CHECK(news.isSilent(service, start + milliseconds{2600}));
            }
        }
    }
    GIVEN("a note that the store has removed while its grantor still announces itself")
    {
        news.onNote(service, noteOfTerm(5));
        news.onAnnouncement(service, announcer, 5, start);
        news.onNote(service, std::nullopt);
        THEN("the place is free at once")
        {
            CHECK_FALSE(news.grantorOf(service, start));
        }
    }
    GIVEN("one of two services silent")
    {
        news.onAnnouncement(service, announcer, 5, start);
        THEN("silence is found, and of that one only")
        {
            CHECK_FALSE(news.isSilent(service, start));
            CHECK(news.isSilent(ServiceName{"other"}, start));
        }
    }
}
