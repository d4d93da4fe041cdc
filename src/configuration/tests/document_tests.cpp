#include "configuration/document.h"

#include "configuration/documentschema.h"
#include "configuration/manifestcodec.h"
#include "configuration/teamtoken.h"
#include "configuration/unifieddiff.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace gooseberrywall;

namespace {

const auto *const salt = "abcd1234";

auto baseSections() -> std::vector<SectionText>
{
    return {
        {{"team gaskets"},
         "[team gaskets]\ntokens = " + hashToken("one", salt) + ",\n  " + hashToken("two", salt)
             + "\ncontact = desk 4\n"},
        {{"team crew"},
         "[team crew]\nadministrator = yes\ntokens = " + hashToken("three", salt) + "\n"},
        {{"service fitment"},
         "[service fitment]\nowner = gaskets\nslots = 4\nchecks_sender = no\n"
         "grantor_authority_ms = 10000\ngrant_ttl_ms = 2000\n"},
        {{"callers shops"},
         "[callers shops]\nteam = gaskets\nmembers = shop-b, shop-a\n"
         "services = fitment\nshare = 3\n"},
    };
}

/// @returns a random valid value of a key, as text
auto randomValueFor(const KeyDescription &key) -> std::string
{
    if (key.kind == ValueKind::Boolean) {
        return *rc::gen::element<std::string>("yes", "no", "true", "false", "on", "off");
    }
    return std::to_string(*rc::gen::inRange<std::int64_t>(key.minimum, key.maximum + 1));
}

auto serviceDescription() -> const SectionDescription &
{
    for (const auto &section : documentSchema()) {
        if (section.kind == "service") {
            return section;
        }
    }
    throw std::logic_error("no service section");
}

} // namespace

SCENARIO("DocumentParser: given a valid document, then it reads it", "[document]")
{
    GIVEN("teams, a service and its callers")
    {
        auto parser = DocumentParser();
        const auto document = parser.parse(baseSections());
        REQUIRE(document);
        THEN("policies have the given values, the defaults and sorted callers")
        {
            REQUIRE(document->policies().size() == 1);
            const auto &policy = document->policies().front();
            CHECK(policy.service.value == "fitment");
            CHECK(policy.slots == 4);
            CHECK_FALSE(policy.checksSender);
            CHECK(policy.grantTimeToLive == std::chrono::seconds(2));
            CHECK(policy.queueLimit == ServicePolicy{}.queueLimit);
            CHECK(policy.callers == std::vector<CallerShare>{{{"shop-a"}, 3}, {{"shop-b"}, 3}});
        }
        THEN("teams are found by tokens, and owners by sections")
        {
            CHECK(document->teamOfToken("two")->name.value == "gaskets");
            CHECK(document->teamOfToken("three")->administrator);
            CHECK(document->teamOfToken("four") == nullptr);
            CHECK(document->teamOfToken("") == nullptr);
            CHECK(document->ownerOf({"callers shops"})->value == "gaskets");
            CHECK_FALSE(document->ownerOf({"callers none"}));
            CHECK(document->hasAdministrator());
            CHECK(document->mayOperate("one", {"fitment"}));
            CHECK(document->mayOperate("three", {"fitment"}));
            CHECK(document->mayOperate("three", {"unknown"}));
            CHECK_FALSE(document->mayOperate("one", {"unknown"}));
            CHECK_FALSE(document->mayOperate("four", {"fitment"}));
            CHECK_FALSE(document->mayOperate("", {"fitment"}));
        }
    }
}

SCENARIO("DocumentParser: given a contradictory document, then it rejects it", "[document]")
{
    struct Fault
    {
        std::size_t section;
        std::string text;
        std::string key;
        IniErrorKind kind = IniErrorKind::Contradiction;
    };
    const auto faults = std::vector<Fault>{
        {0, "[team gaskets]\ntokens = secret\n", "tokens", IniErrorKind::BadValue},
        {0, "[team gaskets]\ntokens = " + hashToken("three", salt) + "\n", "tokens"},
        {0, "[team other]\n", "", IniErrorKind::Syntax},
        {0, "[team gaskets]\n[team x]\n", "", IniErrorKind::Syntax},
        {2, "[service fitment]\n", "owner", IniErrorKind::MissingKey},
        {2, "[service fitment]\nowner = nobody\n", "owner"},
        {2, "[service fitment]\nowner = gaskets\nslots = 2\nlong_work_slots = 3\n",
         "long_work_slots"},
        {2,
         "[service fitment]\nowner = gaskets\ndefault_deadline_ms = 2000\n"
         "maximal_deadline_ms = 1000\n",
         "default_deadline_ms"},
        {2, "[service fitment]\nowner = gaskets\nchecks_sender = no\n", "grantor_authority_ms"},
        {2, "[service fitment]\nowner = gaskets\nslots = 0\n", "slots", IniErrorKind::OutOfRange},
        {3, "[callers shops]\nteam = gaskets\nmembers = a\nservices = fitmnt\n", "services"},
        {3, "[callers shops]\nteam = none\nmembers = a\nservices = fitment\n", "team"},
    };
    for (const auto &fault : faults) {
        GIVEN("the section " + fault.text)
        {
            auto sections = baseSections();
            sections[fault.section].text = fault.text;
            auto parser = DocumentParser();
            CHECK_FALSE(parser.parse(sections));
            CHECK(toString(parser.lastError().kind) == toString(fault.kind));
            CHECK(parser.lastError().key == fault.key);
            CHECK_FALSE(parser.lastError().section.empty());
            CHECK_FALSE(parser.lastError().remedy.empty());
        }
    }
    GIVEN("a caller that two sections list for one service")
    {
        auto sections = baseSections();
        sections.push_back({{"callers more"},
                            "[callers more]\nteam = gaskets\nmembers = shop-a\n"
                            "services = fitment\n"});
        auto parser = DocumentParser();
        CHECK_FALSE(parser.parse(sections));
        CHECK(parser.lastError().key == "members");
    }
}

SCENARIO("Document schema: given a key, then it sets its field of the policy", "[document]")
{
    rc::prop("a service section with random valid values gives exactly these values", [] {
        auto text = std::string("[service x]\nowner = gaskets\n");
        auto written = std::vector<std::pair<std::string, std::string>>{};
        for (const auto &key : serviceDescription().keys) {
            if (key.name != "owner" && *rc::gen::arbitrary<bool>()) {
                written.emplace_back(key.name, randomValueFor(key));
                text += key.name + " = " + written.back().second + "\n";
            }
        }
        auto ini = CheckedIni();
        const auto values = ini.parse(text, "", documentSchema());
        RC_ASSERT(values.has_value());
        const auto policy = policyFromSection(values->sections().front());
        auto expected = ServicePolicy{};
        for (const auto &[key, value] : written) {
            const auto number =
                value.find_first_not_of("0123456789") == std::string::npos ? std::stoll(value) : 0;
            if (key == "slots") {
                expected.slots = static_cast<int>(number);
            } else if (key == "body_limit_bytes") {
                expected.bodyLimitBytes = static_cast<std::size_t>(number);
            } else if (key == "outcome_memory_time_ms") {
                expected.outcomeMemoryTime = std::chrono::milliseconds(number);
            } else if (key == "grants_expire") {
                expected.grantsExpire = value == "yes" || value == "true" || value == "on";
            }
        }
        RC_ASSERT(policy.slots == expected.slots);
        RC_ASSERT(policy.bodyLimitBytes == expected.bodyLimitBytes);
        RC_ASSERT(policy.outcomeMemoryTime == expected.outcomeMemoryTime);
        RC_ASSERT(policy.grantsExpire == expected.grantsExpire);
    });
    GIVEN("each key by itself with a value other than its default")
    {
        auto seen = std::vector<ServicePolicy>{};
        for (const auto &key : serviceDescription().keys) {
            if (key.name == "owner") {
                continue;
            }
            const auto other =
                key.kind == ValueKind::Boolean
                    ? (key.defaultValue == "yes" ? "no" : "yes")
                    : std::to_string(key.defaultValue == std::to_string(key.maximum) ? key.minimum
                                                                                     : key.maximum);
            auto ini = CheckedIni();
            const auto values = ini.parse(
                "[service x]\nowner = t\n" + key.name + " = " + other + "\n", "", documentSchema());
            REQUIRE(values);
            const auto policy = policyFromSection(values->sections().front());
            INFO(key.name);
            auto plain = ServicePolicy{};
            plain.service = ServiceName{"x"};
            CHECK(policy != plain);
            CHECK(std::find(seen.begin(), seen.end(), policy) == seen.end());
            seen.push_back(policy);
        }
        CHECK(seen.size() == 22);
    }
}

SCENARIO("DocumentParser: given any text, then it parses it or reports an error", "[document]")
{
    rc::prop("no text crashes the parser, and each error has a remedy", [](std::string text) {
        auto parser = DocumentParser();
        const auto document = parser.parse({{{"service x"}, std::move(text)}});
        RC_ASSERT(document || !parser.lastError().remedy.empty());
    });
    rc::prop("a changed byte in a valid section gives a valid section or an error with its section",
             [] {
                 auto sections = baseSections();
                 auto &text = sections[*rc::gen::inRange<std::size_t>(0, sections.size())].text;
                 text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
                 auto parser = DocumentParser();
                 const auto document = parser.parse(sections);
                 const auto &error = parser.lastError();
                 RC_ASSERT(document || (!error.remedy.empty() && !error.section.empty()));
             });
    rc::prop("the split sections together are the text", [] {
        const auto lines = *rc::gen::container<std::vector<std::string>>(
            rc::gen::element<std::string>("[a b]\n", "k = v\n", "# c\n", "\n", " more\n", "[c]\n"));
        auto text = std::string{};
        for (const auto &line : lines) {
            text += line;
        }
        auto joined = std::string{};
        for (const auto &section : splitSections(text)) {
            joined += section.text;
        }
        RC_ASSERT(joined == text);
    });
    GIVEN("two sections with comments")
    {
        const auto split =
            splitSections("# of a\n[service  a]\nx = 1\n# of b\n[service b] ; here\ny = 2\n");
        THEN("a comment directly above a heading belongs to it")
        {
            REQUIRE(split.size() == 2);
            CHECK(split[0].section.value == "service a");
            CHECK(split[0].text == "# of a\n[service  a]\nx = 1\n");
            CHECK(split[1].section.value == "service b");
        }
    }
}

SCENARIO("Manifest codec: given a manifest or record, then decoding its encoding returns it",
         "[manifestcodec]")
{
    GIVEN("a manifest with large numbers and a removed section")
    {
        auto manifest = Manifest{7, {"op-1"}, {}};
        manifest = manifest.with({{"service b"}, 3, ~std::uint64_t{0}, {"t"}, false}, {"op-2"});
        manifest = manifest.with({{"service a"}, 4, 5, {"u"}, true}, {"op-3"});
        THEN("decoding returns it, sorted and with its generation")
        {
            CHECK(manifest.generation == 9);
            CHECK(manifest.entries.front().section.value == "service a");
            CHECK(decodeManifest(encodeManifest(manifest)) == manifest);
            CHECK_FALSE(decodeManifest("{}"));
            CHECK_FALSE(decodeManifest("no json"));
        }
        THEN("the same holds for a record")
        {
            const auto record =
                SectionRecord{4, {"op"}, {"team"}, 3, 1'700'000'000'000, "[x]\n\"\n"};
            CHECK(decodeSectionRecord(encodeSectionRecord(record)) == record);
            CHECK_FALSE(decodeSectionRecord("[]"));
        }
    }
}

SCENARIO("Team token: given a salted hash, then it matches only its token", "[teamtoken]")
{
    GIVEN("a token's hash")
    {
        const auto hash = hashToken("secret", salt);
        CHECK(tokenMatches("secret", hash));
        CHECK_FALSE(tokenMatches("secreT", hash));
        CHECK_FALSE(tokenMatches("", hashToken("", salt)));
        CHECK_FALSE(tokenMatches("secret", "secret"));
        CHECK(hash != hashToken("secret", "abcd1235"));
        CHECK(hash == "abcd1234$606b78e2be7e5ff1738ec4d94d2dbf3a545eed29c06e0e676c9f44adc6f26d64");
    }
}

SCENARIO("unifiedDiff: given two texts, then it shows their difference", "[unifieddiff]")
{
    CHECK(unifiedDiff("a\nb\n", "a\nb\n", "x", "y").empty());
    CHECK(unifiedDiff("", "a\n", "x", "y") == "--- x\n+++ y\n@@ -0,0 +1,1 @@\n+a\n");
    CHECK(unifiedDiff("a\n", "", "x", "y") == "--- x\n+++ y\n@@ -1,1 +0,0 @@\n-a\n");
    CHECK(unifiedDiff("1\n2\n3\n4\n5\n6\n7\n8\n9\n", "1\n2\n3\n4\nfive\n6\n7\n8\n9\n", "x", "y")
          == "--- x\n+++ y\n@@ -2,7 +2,7 @@\n 2\n 3\n 4\n-5\n+five\n 6\n 7\n 8\n");
    rc::prop("if all lines are within the context, the sides of the diff are the texts", [] {
        const auto lines = rc::gen::container<std::vector<std::string>>(
            rc::gen::element<std::string>("a\n", "b\n", "c\n"));
        auto before = std::string{};
        auto after = std::string{};
        for (const auto &line : *rc::gen::resize(3, lines)) {
            before += line;
        }
        for (const auto &line : *rc::gen::resize(3, lines)) {
            after += line;
        }
        const auto diff = unifiedDiff(before, after, "x", "y");
        if (before == after) {
            RC_ASSERT(diff.empty());
            return;
        }
        auto left = std::string{};
        auto right = std::string{};
        const auto body = diff.substr(diff.find("@@\n") + 3);
        for (std::size_t place = 0; place < body.size(); place += 3) {
            const auto line = body.substr(place + 1, 2);
            left += body[place] == '+' ? "" : line;
            right += body[place] == '-' ? "" : line;
        }
        RC_ASSERT(left == before);
        RC_ASSERT(right == after);
    });
}
