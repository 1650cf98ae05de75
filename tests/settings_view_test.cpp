#include "daemon/settings_view.h"

#include <doctest/doctest.h>

using namespace mustardcourse;
using namespace mustardcourse::daemon;

namespace {

settings::team_record record(const char *team, std::uint64_t number, const char *text)
{
    settings::team_record result;
    result.team = team_id(team);
    result.settingsRevision = revision(number);
    result.text = text;
    return result;
}

} // namespace

TEST_CASE("the revision of the settings in force never decreases")
{
    const system_clock clock;
    const logger log(clock, "test", log_level::Error);
    settings_view view(log);
    struct row
    {
        const char *name;
        std::uint64_t offeredRevision;
        const char *text;
        bool isApplied;
        std::uint64_t expectedRevision;
    };
    const row rows[] = {
        {"first", 2, "[data_centre riga-1]\nstate = out\n", true, 2},
        {"older", 1, "", false, 2},
        {"the same again", 2, "", false, 2},
        {"newer but unreadable", 3, "nonsense", false, 2},
        {"newer", 4, "[data_centre riga-1]\nstate = in\n", true, 4},
        {"the first again", 2, "[data_centre riga-1]\nstate = out\n", false, 4},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        CHECK(view.applyIfNewer(record("auctions", item.offeredRevision, item.text))
              == item.isApplied);
        CHECK(view.revisionOf(team_id("auctions")) == revision(item.expectedRevision));
    }
    CHECK(view.dataCentresOut(team_id("auctions")).empty());
}

TEST_CASE("the team operations takes a data centre out for every team")
{
    const system_clock clock;
    const logger log(clock, "test", log_level::Error);
    settings_view view(log);
    view.applyIfNewer(record("auctions", 1, "[data_centre riga-1]\nstate = out\n"));
    view.applyIfNewer(record("operations", 1, "[data_centre jelgava]\nstate = out\n"));
    const data_centre_id riga("riga-1");
    const data_centre_id jelgava("jelgava");
    CHECK(view.dataCentresOut(team_id("auctions")) == std::set<data_centre_id>{jelgava, riga});
    CHECK(view.dataCentresOut(team_id("signals")) == std::set<data_centre_id>{jelgava});
    CHECK(view.isOutForAllTeams(jelgava));
    CHECK_FALSE(view.isOutForAllTeams(riga));
}
