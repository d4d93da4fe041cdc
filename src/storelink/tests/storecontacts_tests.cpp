#include "storelink/storecontacts.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a daemon that hasn't run for a while and takes its own silence for a lost store.
SCENARIO("StoreContacts: only calls without an answer show that the store isn't reached",
         "[storelink]")
{
    const Instant start{seconds{100}};
    StoreContacts contacts;
    contacts.onSent(start);
    contacts.onEnd(true, start);
    GIVEN("no further call for seconds")
    {
        CHECK(contacts.contact(start + seconds{5}) == StoreContact{start, false});
    }
    GIVEN("a call that waits for its answer")
    {
        const auto sentAt = start + milliseconds{400};
        contacts.onSent(sentAt);
        CHECK_FALSE(contacts.contact(sentAt + milliseconds{100}).isUnanswered);
        CHECK(contacts.contact(sentAt + milliseconds{250}).isUnanswered);
        contacts.onEnd(true, sentAt);
        CHECK(contacts.contact(sentAt + seconds{1}) == StoreContact{sentAt, false});
    }
    GIVEN("a call that has failed")
    {
        const auto sentAt = start + milliseconds{400};
        contacts.onSent(sentAt);
        contacts.onEnd(false, sentAt);
        CHECK(contacts.contact(sentAt + milliseconds{5}) == StoreContact{start, true});
        contacts.onSent(sentAt + milliseconds{300});
        contacts.onEnd(true, sentAt + milliseconds{300});
        CHECK_FALSE(contacts.contact(sentAt + milliseconds{310}).isUnanswered);
    }
    GIVEN("a call that fails after a later one was answered")
    {
        contacts.onSent(start + milliseconds{100});
        contacts.onSent(start + milliseconds{200});
        contacts.onEnd(true, start + milliseconds{200});
        contacts.onEnd(false, start + milliseconds{100});
        CHECK(contacts.contact(start + seconds{3})
              == StoreContact{start + milliseconds{200}, false});
    }
}
