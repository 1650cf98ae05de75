#include <mustardcourse/store/era_tracker.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace mustardcourse;
using namespace mustardcourse::store;

TEST_CASE("positions of two eras have no order")
{
    const store_position early(store_era(1), revision(5));
    const store_position later(store_era(1), revision(9));
    const store_position other(store_era(2), revision(7));
    CHECK(early.isBefore(later));
    CHECK_FALSE(later.isBefore(early));
    for (const store_position &position : {early, later}) {
        CHECK_FALSE(position.isSameEra(other));
        CHECK_FALSE(position.isBefore(other));
        CHECK_FALSE(other.isBefore(position));
    }
}

TEST_CASE("which responses begin a new era of the store and which are outdated")
{
    using observation = era_tracker::observation;
    struct step
    {
        /** Whether the call of this response began after all earlier responses. */
        bool isNewCall;
        std::uint64_t era;
        observation expected;
    };
    struct row
    {
        std::string name;
        std::vector<step> steps;
    };
    const row rows[] = {
        {"no era is ever reported",
         {{true, 0, observation::Current}, {true, 0, observation::Current}}},
        {"the era rises", {{true, 4, observation::Current}, {true, 5, observation::NewEra}}},
        {"a call that began before learns of it",
         {{true, 4, observation::Current},
          {false, 5, observation::NewEra},
          {false, 5, observation::Current}}},
        {"an answer of the former era arrives late",
         {{true, 4, observation::Current},
          {true, 5, observation::NewEra},
          {false, 4, observation::Outdated},
          {true, 5, observation::Current}}},
        {"two eras passed unseen and an answer from between arrives late",
         {{true, 4, observation::Current},
          {true, 6, observation::NewEra},
          {false, 5, observation::Outdated}}},
        {"one answer reported a number that was far too high",
         {{true, 4, observation::Current},
          {true, 4000000000, observation::NewEra},
          {true, 4, observation::NewEra},
          {true, 5, observation::NewEra}}},
        {"the store no longer reports its era",
         {{true, 4, observation::Current},
          {true, 0, observation::NewEra},
          {true, 0, observation::Current}}},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        era_tracker tracker;
        const auto earlyCall = tracker.beginCall();
        for (const step &item : testCase.steps) {
            CAPTURE(item.era);
            const auto call = item.isNewCall ? tracker.beginCall() : earlyCall;
            const bool isAsExpected = tracker.observe(call, store_era(item.era)) == item.expected;
            CHECK(isAsExpected);
        }
        CHECK(tracker.isKnown());
    }
}
