#include <mustardcourse/settings/host_settings.h>
#include <mustardcourse/settings/serving_settings.h>
#include <mustardcourse/settings/team_record.h>
#include <mustardcourse/settings/team_settings.h>

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace mustardcourse;
using namespace mustardcourse::settings;

namespace {

const std::string validHost = "[host]\n"
                              "id = riga-1-a\n"
                              "data_centre = riga-1\n"
                              "[listen]\n"
                              "caller = 127.0.0.1:8101\n"
                              "peer = 127.0.0.1:8201\n"
                              "[platform]\n"
                              "store = 127.0.0.1:8001\n"
                              "host_list = 127.0.0.1:8002\n";

const std::string validServingHost = "[host]\n"
                                     "id = front-1\n"
                                     "data_centre = riga\n"
                                     "[listen]\n"
                                     "caller = 127.0.0.1:8101\n"
                                     "readiness = 127.0.0.1:8102\n"
                                     "metrics = 127.0.0.1:8103\n"
                                     "[store]\n"
                                     "address = 127.0.0.1:8001\n";

const std::string validTeam = "[service lots]\n"
                              "shards = 2\n"
                              "slots = 2\n"
                              "connections = 25\n"
                              "[shard lots/0]\n"
                              "replicas = riga-1 127.0.0.1:9101, riga-2 127.0.0.1:9102\n"
                              "[shard lots/1]\n"
                              "replicas = riga-2 127.0.0.1:9102\n";

struct invalid_text
{
    const char *name;
    std::string text;
    settings_fault fault;
    int line;
    const char *key;
};

host_settings readHost(const std::string &text)
{
    return host_settings::read(ini_document::parse("host.ini", text));
}

serving_settings readServing(const std::string &text)
{
    return serving_settings::read(ini_document::parse("host.ini", text));
}

team_settings readTeam(const std::string &text)
{
    return team_settings::read(team_id("auctions"), revision(7),
                               ini_document::parse("team.ini", text));
}

template <typename Parse>
void checkRejected(const invalid_text &testCase, Parse parse)
{
    CAPTURE(testCase.name);
    try {
        parse(testCase.text);
        FAIL_CHECK("the text was accepted");
    } catch (const settings_error &failure) {
        CHECK(failure.fault() == testCase.fault);
        CHECK(failure.location().line == testCase.line);
        CHECK(failure.location().key == testCase.key);
        CHECK(std::string(failure.what()).find(fmt::format(":{}", testCase.line))
              != std::string::npos);
    }
}

} // namespace

TEST_CASE("host settings are parsed with their units")
{
    const host_settings host = readHost(validHost
                                        + "[limits]\n"
                                          "maximum_deadline = 170ms\n"
                                          "stop_timeout = 2min\n"
                                          "\n; a comment after a blank line\n"
                                          "target_queue = 12\n"
                                          "[log]\n"
                                          "level = warning\n");
    CHECK(host.host == host_id("riga-1-a"));
    CHECK(host.callerListen == endpoint("127.0.0.1", 8101));
    CHECK(host.limits.maximumDeadline == std::chrono::milliseconds(170));
    CHECK(host.limits.stopTimeout == std::chrono::minutes(2));
    CHECK(host.limits.maximumTargetQueueLength == 12);
    CHECK(host.logLevel == log_level::Warning);
}

TEST_CASE("invalid host settings are rejected with the error position")
{
    const invalid_text testCases[] = {
        {"unknown key", validHost + "[limits]\nqueue = 1\n", settings_fault::UnknownKey, 11,
         "queue"},
        {"unknown section", validHost + "[limit]\n", settings_fault::UnknownSection, 10, ""},
        {"duplicate section", validHost + "[host]\n", settings_fault::DuplicateSection, 10, ""},
        {"duplicate key", validHost + "[log]\nlevel = info\nlevel = info\n",
         settings_fault::DuplicateKey, 12, "level"},
        {"no unit", validHost + "[limits]\nstop_grace = 200\n", settings_fault::BadUnit, 11,
         "stop_grace"},
        {"unknown unit", validHost + "[limits]\nstop_grace = 2 days\n", settings_fault::BadUnit, 11,
         "stop_grace"},
        {"out of range", validHost + "[limits]\ntarget_queue = 0\n", settings_fault::OutOfRange, 11,
         "target_queue"},
        {"duration overflow", validHost + "[limits]\nstop_grace = 99999999999h\n",
         settings_fault::OutOfRange, 11, "stop_grace"},
        {"not a number", validHost + "[limits]\ntarget_queue = many\n", settings_fault::BadValue,
         11, "target_queue"},
        {"negative", validHost + "[limits]\ntarget_queue = -1\n", settings_fault::BadValue, 11,
         "target_queue"},
        {"not a choice", validHost + "[log]\nlevel = loud\n", settings_fault::BadValue, 11,
         "level"},
        {"syntax", validHost + "what is this\n", settings_fault::Syntax, 10, ""},
        {"unclosed heading", validHost + "[limits\n", settings_fault::Syntax, 10, ""},
        {"key before section", "id = a\n", settings_fault::Syntax, 1, "id"},
        {"missing section", "[host]\nid = a\ndata_centre = b\n", settings_fault::MissingSection, 0,
         ""},
        {"missing key", "[host]\nid = a\n", settings_fault::MissingKey, 1, "data_centre"},
        {"bad address", "[host]\nid = a\ndata_centre = b\n[listen]\ncaller = localhost:1\n",
         settings_fault::BadValue, 5, "caller"},
        {"line too long", "[host]\nid = " + std::string(5000, 'x') + "\n",
         settings_fault::LineTooLong, 2, ""},
    };
    for (const invalid_text &testCase : testCases)
        checkRejected(testCase, readHost);
}

TEST_CASE("the link rate of a host is read and has a default")
{
    CHECK(readServing(validServingHost).linkRate == data_rate::megabitsPerSecond(1000));
    CHECK(readServing(validServingHost + "[network]\nlink_mbit_per_s = 20.0\n").linkRate
          == data_rate::megabitsPerSecond(20));
}

TEST_CASE("the memory of a host is read and has a default and bounds")
{
    const auto withMemory = [](const std::string &value) {
        std::string text = validServingHost;
        return text.replace(text.find('\n') + 1, 0, "memory_mb = " + value + "\n");
    };
    CHECK(readServing(validServingHost).memory == megabytes(160));
    CHECK(readServing(withMemory("260")).memory == megabytes(260));
    const invalid_text testCases[] = {
        {"none", withMemory("0"), settings_fault::OutOfRange, 2, "memory_mb"},
        {"more than a terabyte", withMemory("1048577"), settings_fault::OutOfRange, 2, "memory_mb"},
        {"not a number", withMemory("much"), settings_fault::BadValue, 2, "memory_mb"},
    };
    for (const invalid_text &testCase : testCases)
        checkRejected(testCase, readServing);
}

TEST_CASE("invalid network settings are rejected with the error position")
{
    const invalid_text testCases[] = {
        {"no rate", validServingHost + "[network]\nlink_mbit_per_s = 0\n",
         settings_fault::OutOfRange, 11, "link_mbit_per_s"},
        {"negative", validServingHost + "[network]\nlink_mbit_per_s = -1\n",
         settings_fault::OutOfRange, 11, "link_mbit_per_s"},
        {"not a number", validServingHost + "[network]\nlink_mbit_per_s = fast\n",
         settings_fault::BadValue, 11, "link_mbit_per_s"},
        {"not finite", validServingHost + "[network]\nlink_mbit_per_s = inf\n",
         settings_fault::OutOfRange, 11, "link_mbit_per_s"},
        {"unknown key", validServingHost + "[network]\nrate = 20\n", settings_fault::UnknownKey, 11,
         "rate"},
    };
    for (const invalid_text &testCase : testCases)
        checkRejected(testCase, readServing);
}

TEST_CASE("a settings subtree of a team is parsed into shard maps")
{
    const team_settings team = readTeam(validTeam + "[data_centre jelgava]\nstate = out\n");
    const auto &map = *team.services.at(service_id("lots")).map;
    CHECK(map.shardCount() == 2);
    CHECK(map.settingsRevision() == revision(7));
    CHECK(map.at(shard_index(0)).replicas.size() == 2);
    CHECK(map.targets().size() == 2);
    CHECK(map.capacity().connections == 25);
    CHECK(team.dataCentresOut.contains(data_centre_id("jelgava")));
}

TEST_CASE("invalid settings subtrees are rejected with the error position")
{
    const invalid_text testCases[] = {
        {"missing shard", "[service a]\nshards = 1\nslots = 1\nconnections = 1\n",
         settings_fault::MissingSection, 1, ""},
        {"shard index out of range",
         validTeam + "[shard lots/2]\nreplicas = riga-1 127.0.0.1:9101\n",
         settings_fault::UnknownSection, 9, ""},
        {"shard without service", validTeam + "[shard bids/0]\nreplicas = riga-1 127.0.0.1:9101\n",
         settings_fault::UnknownSection, 9, ""},
        {"duplicate replica",
         "[service a]\nshards = 1\nslots = 1\nconnections = 1\n[shard a/0]\n"
         "replicas = x 127.0.0.1:1, y 127.0.0.1:1\n",
         settings_fault::Inconsistent, 6, "replicas"},
        {"replica without data centre",
         "[service a]\nshards = 1\nslots = 1\nconnections = 1\n"
         "[shard a/0]\nreplicas = 127.0.0.1:1\n",
         settings_fault::BadValue, 6, "replicas"},
        {"empty element",
         "[service a]\nshards = 1\nslots = 1\nconnections = 1\n[shard a/0]\n"
         "replicas = x 127.0.0.1:1,,\n",
         settings_fault::BadValue, 6, "replicas"},
        {"slots above connections", "[service a]\nshards = 1\nslots = 3\nconnections = 2\n",
         settings_fault::Inconsistent, 4, "connections"},
        {"unknown state", validTeam + "[data_centre x]\nstate = away\n", settings_fault::BadValue,
         10, "state"},
    };
    for (const invalid_text &testCase : testCases)
        checkRejected(testCase, readTeam);
}

TEST_CASE("changing the state of a data centre leaves other settings unchanged")
{
    struct test_case
    {
        const char *name;
        std::string before;
        std::string after;
    };
    const test_case testCases[] = {
        {"new section", "; note\n" + validTeam,
         "; note\n" + validTeam + "[data_centre riga-1]\nstate = out\n"},
        {"section without key", "[data_centre riga-1]\n" + validTeam,
         "[data_centre riga-1]\nstate = out\n" + validTeam},
        {"state in", "[data_centre riga-1]\nstate = in\n" + validTeam,
         "[data_centre riga-1]\nstate = out\n" + validTeam},
        {"empty text", "", "[data_centre riga-1]\nstate = out\n"},
    };
    for (const test_case &testCase : testCases) {
        CAPTURE(testCase.name);
        CHECK(withDataCentreState(testCase.before, data_centre_id("riga-1"), true)
              == testCase.after);
    }
}

TEST_CASE("a team record keeps its latest audit entries through serialization")
{
    team_record record;
    record.team = team_id("auctions");
    for (int change = 1; change <= 150; ++change)
        record = record.after({{}, fmt::format("change-{}", change), "ilze", {}, "why"},
                              fmt::format("text {}", change));
    const auto parsed = team_record::parse(record.toText());
    REQUIRE(parsed);
    CHECK(parsed->settingsRevision == revision(150));
    CHECK(parsed->text == "text 150");
    CHECK(parsed->audit.size() == team_record::maximumAuditEntries);
    CHECK(parsed->audit.back().settingsRevision == revision(150));
    CHECK(parsed->findChange("change-150") != nullptr);
    CHECK(parsed->findChange("change-50") == nullptr);
    CHECK_FALSE(team_record::parse("{").has_value());
}
