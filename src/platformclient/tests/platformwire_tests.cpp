#include "platformclient/platformwire.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace gooseberrywall;

namespace {

auto anyText() -> std::string
{
    return *rc::gen::arbitrary<std::string>();
}

auto anyNumber() -> std::uint64_t
{
    return *rc::gen::arbitrary<std::uint64_t>();
}

auto anyDuration() -> Duration
{
    return Duration{*rc::gen::arbitrary<std::int32_t>()};
}

auto anyRequest() -> StoreRequest
{
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
        return StoreGet{anyText()};
    case 1:
        return StoreCompareAndSwap{anyText(), anyText(), {anyNumber()}};
    case 2:
        return StoreList{anyText()};
    case 3:
        return StoreLease{anyText(), anyText(), anyDuration()};
    case 4:
        return StoreLeaseRelease{anyText(), anyText()};
    case 5:
        return StoreWatch{anyText(), anyNumber(), anyDuration()};
    default:
        return StoreVmList{};
    }
}

auto anyVm() -> VmEntry
{
    const auto role = *rc::gen::arbitrary<bool>() ? VmRole::Daemon : VmRole::Upstream;
    const auto state = *rc::gen::arbitrary<bool>() ? VmState::Live : VmState::Leaving;
    return {anyText(), role, state, {anyText()}, {anyText()}, {anyText()}};
}

auto anyAnswer() -> StoreAnswer
{
    StoreAnswer answer;
    answer.status = *rc::gen::arbitrary<bool>() ? StoreStatus::Ok : StoreStatus::Conflict;
    answer.revision = anyNumber();
    answer.leaseHolder = anyText();
    for (auto count = *rc::gen::inRange(0, 4); count > 0; --count) {
        answer.items.push_back({anyText(), anyText(), {anyNumber()}});
        answer.vms.push_back(anyVm());
    }
    return answer;
}

} // namespace

SCENARIO("platformwire decodes what it encoded", "[platformwire]")
{
    CHECK(rc::check("requests", [] {
        const auto request = anyRequest();
        RC_ASSERT(platformwire::decodeRequest(platformwire::encodeRequest(request).body)
                  == request);
    }));
    CHECK(rc::check("answers", [] {
        const auto answer = anyAnswer();
        RC_ASSERT(platformwire::decodeAnswer(platformwire::encodeAnswer(answer)) == answer);
    }));
    CHECK(rc::check("VMs", [] {
        const auto vm = anyVm();
        RC_ASSERT(platformwire::decodeVm(platformwire::encodeVm(vm)) == vm);
    }));
}

SCENARIO("platformwire refuses malformed bodies", "[platformwire]")
{
    const auto whole =
        platformwire::encodeAnswer({StoreStatus::Ok, {{"key", "value", {1}}}, {{}}, 7, "holder"});
    REQUIRE(platformwire::decodeAnswer(whole).has_value());
    for (std::size_t size = 0; size < whole.size(); ++size) {
        INFO(size);
        CHECK_FALSE(platformwire::decodeAnswer(whole.substr(0, size)).has_value());
    }
    for (const auto *body :
         {"[]", "7", "null", R"({"call":"get"})", R"({"call":"get","key":5})",
          R"({"call":"get","key":"%zz"})", R"({"call":"fly","key":"a"})",
          R"({"call":"compare_and_swap","key":"a","value":"%","expected":0})",
          R"({"call":"compare_and_swap","key":"a","value":"eHg=","expected":-1})"}) {
        INFO(body);
        CHECK_FALSE(platformwire::decodeRequest(body).has_value());
    }
}
