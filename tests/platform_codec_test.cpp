#include "property.h"

#include <documents.h>
#include <wire_format.h>

#include <nlohmann/json.hpp>

using namespace mustardcourse;
using namespace mustardcourse::serving;
using namespace mustardcourse::platform_adapter;
using nlohmann::json;

namespace {

json registrationDocument()
{
    return {{"Service", "bids"},    {"Address", "10.0.0.1:80"},
            {"Zone", "riga"},       {"ConfigVersion", "v1"},
            {"MaxConcurrency", 2},  {"State", "ready"},
            {"WarmupLeftMs", 0},    {"Sequence", 4},
            {"born", 1700000000000}};
}

json configurationDocument()
{
    const json all{{"Name", "all"},
                   {"Host", "h"},
                   {"PathPrefix", "/a/"},
                   {"RouteType", "idempotent"},
                   {"TimeoutMs", 250},
                   {"TargetLatencyMs", 40},
                   {"Priority", 2},
                   {"MaxAttempts", 2},
                   {"FanoutServices", {"s1", "s2"}},
                   {"ResultCount", 5},
                   {"MinShardShare", 0.75}};
    const json split{
        {"Name", "split"},
        {"Host", "h"},
        {"PathPrefix", "/b/"},
        {"RouteType", "non_idempotent"},
        {"TimeoutMs", 900},
        {"TargetLatencyMs", 90},
        {"Priority", 1},
        {"MaxAttempts", 1},
        {"TrafficSplit", {{{"Service", "s1"}, {"Weight", 3}}, {{"Service", "s2"}, {"Weight", 1}}}}};
    return {
        {"ConfigVersion", 7},
        {"Routes", {all, split}},
        {"Services",
         {{{"Name", "s1"}, {"HealthPath", "/health"}, {"MaxConnections", 26}, {"WarmupPerS", 0.0}},
          {{"Name", "s2"}, {"HealthPath", "/health"}, {"MaxConnections", 9}, {"WarmupPerS", 4.5}}}},
        {"Limits",
         {{"MaxHeaderBytes", 100},
          {"MaxBodyBytes", 200},
          {"HeaderTimeoutMs", 300},
          {"IdleTimeoutMs", 400}}}};
}

} // namespace

TEST_CASE("readConfiguration parses the fields of a configuration")
{
    const configuration_pointer parsedConfiguration =
        readConfiguration(configurationDocument().dump());
    CHECK(parsedConfiguration->version() == configuration_version(7));
    const route *all = parsedConfiguration->match("h", "/a/x");
    REQUIRE(all != nullptr);
    CHECK(all->queriesAllShards());
    CHECK(all->isIdempotent);
    CHECK(all->shards.size() == 2);
    CHECK(all->resultCount == 5);
    CHECK(all->minimumShardShare == 0.75);
    CHECK(all->timeout == std::chrono::milliseconds(250));
    CHECK(all->latencyObjective == std::chrono::milliseconds(40));
    const route *split = parsedConfiguration->match("h", "/b/");
    REQUIRE(split != nullptr);
    CHECK_FALSE(split->isIdempotent);
    CHECK(split->services.front().weight == 3);
    CHECK(parsedConfiguration->findService(service_id("s2"))->maximumConnections == 9);
    CHECK(parsedConfiguration->findService(service_id("s2"))->coldRequestsPerSecond == 4.5);
    CHECK(parsedConfiguration->callerRequestLimits().bodyBytes == 200);
    CHECK(parsedConfiguration->callerRequestLimits().idleTimeout == std::chrono::milliseconds(400));
}

TEST_CASE("invalid documents of other writers are rejected whatever is wrong with them")
{
    struct row
    {
        std::string name;
        void (*corrupt)(json &);
    };
    const row rows[] = {
        {"no service", [](json &document) { document.erase("Service"); }},
        {"service of another type", [](json &document) { document["Service"] = 5; }},
        {"no address", [](json &document) { document.erase("Address"); }},
        {"address is a name", [](json &document) { document["Address"] = "localhost:80"; }},
        {"no data centre", [](json &document) { document.erase("Zone"); }},
        {"unknown state", [](json &document) { document["State"] = "sleepy"; }},
        {"slots are a string", [](json &document) { document["MaxConcurrency"] = "2"; }},
        {"no sequence", [](json &document) { document.erase("Sequence"); }},
        {"negative sequence", [](json &document) { document["Sequence"] = -1; }},
        {"sequence beyond any whole number", [](json &document) { document["Sequence"] = 1e300; }},
        {"start beyond the exact numbers of a double",
         [](json &document) { document["born"] = 1e17; }},
        {"start is a string", [](json &document) { document["born"] = "today"; }},
        {"start is a fraction", [](json &document) { document["born"] = 1.5; }},
        {"cold time is a list", [](json &document) { document["WarmupLeftMs"] = json::array(); }},
        {"cold time longer than a year",
         [](json &document) { document["WarmupLeftMs"] = 9007199254740992; }},
        {"nested too deeply",
         [](json &document) {
             for (int depth = 0; depth < 20; ++depth)
                 document["Zone"] = json::array({document["Zone"]});
         }},
        {"not an object", [](json &document) { document = json::array(); }},
    };
    CHECK(readRegistration("i-1", registrationDocument().dump()).order.startedAt == 1700000000000);
    for (const row &item : rows) {
        CAPTURE(item.name);
        json document = registrationDocument();
        item.corrupt(document);
        CHECK_THROWS_AS(readRegistration("i-1", document.dump()), document_error);
    }
    for (const char *id : {"", "i 1", "i\r\nX-Attempt-Id: 2", "i\x7f", "i\xc3\xa4"}) {
        CAPTURE(id);
        CHECK_THROWS_AS(readRegistration(id, registrationDocument().dump()), document_error);
    }
    CHECK_THROWS_AS(readRegistration("i-1", "\xff\xfe"), document_error);
    CHECK_THROWS_AS(readConfiguration("{}"), document_error);
    CHECK_THROWS_AS(readConfiguration("{\"ConfigVersion\":1,\"Routes\":[1],\"Services\":[]}"),
                    document_error);
}

TEST_CASE("the document readers throw nothing but document_error for any input")
{
    CHECK_PROPERTY("documents", [](const std::string &bytes, std::uint16_t position) {
        for (std::string text :
             {registrationDocument().dump(), configurationDocument().dump(), bytes}) {
            if (!text.empty())
                text.replace(position % text.size(), bytes.size() % 7, bytes.substr(0, 5));
            try {
                readRegistration("i-1", text);
            } catch (const document_error &) { }
            try {
                readConfiguration(text);
            } catch (const document_error &) { }
        }
    });
}

TEST_CASE("a request is forwarded unchanged but for the expected instance and the remaining time")
{
    http::request receivedRequest;
    receivedRequest.method = "POST";
    receivedRequest.target = "/a/x?q=1";
    receivedRequest.headers = {{"Host", "h"},
                               {"X-Attempt-Id", "id1"},
                               {"X-Time-Budget-Ms", "400"},
                               {"X-Expected-Instance", "forged"},
                               {"Connection", "keep-alive"},
                               {"A", "b"}};
    receivedRequest.body = "body";
    const wire_format format;
    const auto callerRequest = format.readCallerRequest(receivedRequest);
    REQUIRE(callerRequest.has_value());
    CHECK(callerRequest->deadline == std::chrono::milliseconds(400));
    CHECK(format.formatRequest(*callerRequest, instance_id("i-1"), std::chrono::milliseconds(321))
          == "POST /a/x?q=1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\nA: b\r\n"
             "Content-Length: 4\r\nX-Time-Budget-Ms: 321\r\nX-Expected-Instance: i-1\r\n\r\nbody");
    receivedRequest.headers.erase(receivedRequest.headers.begin() + 1);
    CHECK_FALSE(format.readCallerRequest(receivedRequest).has_value());
}

TEST_CASE("the outcome of an attempt follows from the status and header of the response")
{
    struct row
    {
        std::string name;
        int status;
        http::header_fields headers;
        attempt_outcome expected;
    };
    const http::header_field stamp{"X-Server-Stamp", "s"};
    const http::header_field notRun{"X-Not-Executed", "1"};
    const row rows[] = {
        {"a success", 200, {stamp}, attempt_outcome::Answered},
        {"a success without a stamp", 200, {}, attempt_outcome::Lost},
        {"a rejection that did not run", 503, {notRun}, attempt_outcome::NotRun},
        {"a rejection that may have run", 503, {}, attempt_outcome::Failed},
        {"expired in the queue", 503, {notRun}, attempt_outcome::NotRun},
        {"another instance", 421, {}, attempt_outcome::NotRun},
        {"a failure", 500, {stamp}, attempt_outcome::Failed},
        {"a request that ran and timed out", 504, {stamp}, attempt_outcome::Failed},
    };
    const wire_format format;
    for (const row &item : rows) {
        CAPTURE(item.name);
        http::response response;
        response.status = item.status;
        response.headers = item.headers;
        CHECK(format.readAnswer(std::move(response)).outcome == item.expected);
    }
}

TEST_CASE("a target's refusal requests a pause of bounded length")
{
    struct row
    {
        std::string name;
        int status;
        std::string retryAfter;
        std::optional<duration> pause;
        bool isInvalid;
    };
    const row rows[] = {
        {"whole seconds", 503, "2", std::chrono::seconds(2), false},
        {"a fraction", 503, "0.25", std::chrono::milliseconds(250), false},
        {"none", 503, "0", duration::zero(), false},
        {"another status", 429, "2", std::nullopt, false},
        {"a negative number", 503, "-1", std::nullopt, true},
        {"a date", 503, "Fri, 04 Dec 2026 08:00:00 GMT", std::nullopt, true},
        {"not a number", 503, "nan", std::nullopt, true},
        {"infinite", 503, "inf", std::nullopt, true},
        {"huge", 503, "1e18", std::chrono::minutes(5), true},
        {"too large for a number", 503, "1e999", std::nullopt, true},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        http::response response;
        response.status = item.status;
        response.headers = {{"X-Not-Executed", "1"}, {"Retry-After", item.retryAfter}};
        const target_answer answer = wire_format().readAnswer(std::move(response));
        CHECK((answer.requestedPause == item.pause));
        CHECK(answer.invalidPause.empty() != item.isInvalid);
        CHECK_FALSE(answer.isTargetLeaving);
    }
}

TEST_CASE("a target names a limit in answers of any status")
{
    struct row
    {
        std::string name;
        int status;
        std::optional<std::string> text;
        std::optional<double> limit;
        bool isInvalid;
    };
    const row rows[] = {
        {"none", 200, std::nullopt, std::nullopt, false},
        {"whole number", 200, "30", 30, false},
        {"a fraction", 503, "24.6", 24.6, false},
        {"zero", 200, "0", 0, false},
        {"a failure", 500, "2.5", 2.5, false},
        {"a negative number", 200, "-1", std::nullopt, true},
        {"not a number", 200, "nan", std::nullopt, true},
        {"infinite", 200, "inf", std::nullopt, true},
        {"a unit", 200, "30/s", std::nullopt, true},
        {"empty", 200, "", std::nullopt, true},
        {"too large for a number", 200, "1e999", std::nullopt, true},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        http::response response;
        response.status = item.status;
        response.headers = {{"X-Server-Stamp", "s"}};
        if (item.text)
            response.headers.push_back({"Server-Limit", *item.text});
        const target_answer answer = wire_format().readAnswer(std::move(response));
        CHECK((answer.namedLimit == item.limit));
        CHECK(answer.invalidLimit.has_value() == item.isInvalid);
    }
}

TEST_CASE("a merged answer lists the stamps of its answers and the number of missing shards")
{
    const wire_format format;
    target_answer first;
    first.signature = "p1";
    first.response.body = std::string(16, 'a') + std::string(16, 'c');
    target_answer second;
    second.signature = "p2";
    second.response.body = std::string(16, 'b') + "rest";
    const http::reply reply = format.mergeAnswers({&first, &second}, 3, 2);
    CHECK(reply.status == 200);
    CHECK(http::findHeader(reply.headers, "X-Part-Stamps") == "p1, p2");
    CHECK(http::findHeader(reply.headers, "X-Missing-Parts") == "3");
    CHECK(reply.body == std::string(16, 'c') + std::string(16, 'b'));
}
