// Guards against calls that fail while the store serves but count as an outage, and against outages
// that are overlooked.

#include <mustardcourse/store/outage_tracker.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace mustardcourse;
using namespace mustardcourse::store;
using namespace std::chrono_literals;

namespace {

enum class call_end { Failure, OtherFailure, Response };

struct call_event
{
    duration at;
    call_end end;
};

} // namespace

TEST_CASE("calls that fail are an outage if no call is answered for the minimum time")
{
    struct row
    {
        std::string name;
        std::vector<call_event> events;
        duration askedAt;
        bool isPossible;
        bool isCertain;
    };
    using enum call_end;
    const row rows[] = {
        {"a watch waits", {}, 3s, false, false},
        {"a watch is cut soon after a response", {{500ms, Failure}}, 600ms, false, false},
        {"a watch is cut after a long wait", {{2500ms, Failure}}, 2600ms, true, false},
        {"the call after a cut watch is answered",
         {{2500ms, Failure}, {2600ms, Response}},
         5s,
         false,
         false},
        {"watches are cut again and again",
         {{900ms, Failure}, {1s, Response}, {1900ms, Failure}, {2s, Response}, {2900ms, Failure}},
         2950ms,
         false,
         false},
        {"calls fail for just less than the minimum",
         {{0ms, Failure}, {100ms, Failure}, {900ms, Failure}},
         999ms,
         false,
         false},
        {"calls fail for the minimum",
         {{0ms, Failure}, {100ms, Failure}, {900ms, Failure}},
         1s,
         true,
         true},
        {"a response between failures",
         {{0ms, Failure}, {600ms, Response}, {700ms, Failure}},
         1500ms,
         false,
         false},
        {"another call fails while a watch waits", {{1s, OtherFailure}}, 3s, true, false},
        {"another call fails again and again",
         {{1s, OtherFailure}, {2s, OtherFailure}, {3s, OtherFailure}},
         4s,
         true,
         false},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        const time_point begin;
        outage_tracker outages(1s, begin);
        for (const call_event &event : testCase.events) {
            switch (event.end) {
            case Failure:
                outages.recordFailure(begin + event.at);
                break;
            case OtherFailure:
                outages.recordOtherFailure();
                break;
            case Response:
                outages.recordResponse(begin + event.at);
                break;
            }
        }
        CHECK(outages.isPossible(begin + testCase.askedAt) == testCase.isPossible);
        CHECK(outages.isCertain(begin + testCase.askedAt) == testCase.isCertain);
    }
}
