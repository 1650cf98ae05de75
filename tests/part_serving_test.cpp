// Guards against a host that gathers parts of lookups which it must not take: of an unknown sender,
// with shards that it doesn't know, read too late, or while it stops.

#include "single_host_fixture.h"

#include <mustardcourse/serving/part_messages.h>
#include <mustardcourse/store/relay_choice.h>

#include <csignal>

using namespace mustardcourse;
using namespace mustardcourse::serving;
using namespace std::chrono_literals;

namespace {

class part_fixture : public tests::single_host_fixture
{
public:
    part_fixture()
    {
        registerTarget(local(targetPort));
        writeConfiguration(3, 0);
        settings::serving_settings settings = hostSettings();
        settings.relayListen = local(relayPort);
        startHost(settings);
        // The host has to read its own key before it knows itself as a member.
        runUntil([&] { return store.keyCount("hosts/") == 1; });
        runFor(1500ms);
    }

    [[nodiscard]] part_request makeRequest() const
    {
        caller_request callerRequest;
        callerRequest.id = request_id("id-1");
        callerRequest.forwardedHead = "GET /path-0/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id-1\r\n";
        part_request request;
        request.sender = host_id("host-1");
        request.version = configuration_version(3);
        request.routeName = route_id("all");
        request.callerRequest = std::make_shared<const caller_request>(callerRequest);
        request.shards = {service_id("s1")};
        request.shardCount = 1;
        request.maximumTargets = 2;
        request.resultCount = 5;
        request.latencyObjective = 1s;
        const time_point now = time.now();
        request.times = {now + 1s, now + 10ms, now + 250ms, now + 900ms, now + 2s, now + 3s};
        return request;
    }

    /** Sends a part; its answer is in result once it has arrived. */
    void send(const std::string &body)
    {
        result.reset();
        pool.send({.bytes = fmt::format("POST {} HTTP/1.1\r\nHost: h\r\n{}: 5\r\n"
                                        "Content-Length: {}\r\n\r\n{}",
                                        partTarget, partNumberField, body.size(), body),
                   .matchesRequest = {},
                   .onEnd = [this](http::exchange_result &&ended) { result = std::move(ended); },
                   .onInterim = [this](const http::response &) { ++interimCount; }});
    }

    part_answer answerOf(const part_request &request)
    {
        send(encodePartRequest(request, time.now()));
        runUntil([&] { return result.has_value(); });
        CHECK(result->answer.status == 200);
        CHECK(http::findHeader(result->answer.headers, partNumberField) == "5");
        return decodePartAnswer(result->answer.body, request.shards.size());
    }

    std::optional<http::exchange_result> result;
    std::size_t interimCount = 0;

private:
    http::client_pool pool{loop, time, local(relayPort), {.maximumConnections = 1}};
};

} // namespace

TEST_CASE("a host takes the parts of members whose shards it knows and declines all others")
{
    struct row
    {
        std::string name;
        void (*change)(part_request &, time_point);
        decline_reason reason;
    };
    const row rows[] = {
        {"as it should be", [](part_request &, time_point) {}, decline_reason::None},
        {"an older configuration",
         [](part_request &r, time_point) { r.version = configuration_version(2); },
         decline_reason::None},
        {"a newer configuration",
         [](part_request &r, time_point) { r.version = configuration_version(4); },
         decline_reason::OtherConfiguration},
        {"an unknown shard", [](part_request &r, time_point) { r.shards = {service_id("s9")}; },
         decline_reason::OtherConfiguration},
        {"an unknown sender", [](part_request &r, time_point) { r.sender = host_id("host-2"); },
         decline_reason::UnknownSender},
        {"a start that has passed",
         [](part_request &r, time_point now) { r.times.start = now - 1ms; }, decline_reason::Late},
    };
    part_fixture f;
    std::size_t runs = 0;
    for (const row &item : rows) {
        CAPTURE(item.name);
        part_request request = f.makeRequest();
        item.change(request, f.time.now());
        f.interimCount = 0;
        const part_answer answer = f.answerOf(request);
        const bool isTaken = item.reason == decline_reason::None;
        CHECK(answer.declineReason == item.reason);
        CHECK((answer.outcome == part_outcome::Declined) == !isTaken);
        runs += isTaken ? 1 : 0;
        CHECK(f.target.runCount() == runs);
        CHECK(f.interimCount == (isTaken ? 1 : 0));
        if (!isTaken)
            continue;
        CHECK(answer.outcome == part_outcome::Answered);
        CHECK(answer.answers.signatures.ends_with("id-1"));
        CHECK(answer.missing.empty());
    }
}

TEST_CASE("a message that is not a part is rejected and the host serves on")
{
    const std::string bodies[] = {"", "x", std::string(64, '\xff'), std::string(4096, '\0')};
    part_fixture f;
    for (const std::string &body : bodies) {
        f.send(body);
        f.runUntil([&] { return f.result.has_value(); });
        CHECK(f.result->answer.status == 400);
    }
    CHECK(f.answerOf(f.makeRequest()).outcome == part_outcome::Answered);
}

TEST_CASE("a host that stops ends the parts that it has taken and takes no further one")
{
    part_fixture f;
    f.target.setWorkTime(400ms);
    f.send(encodePartRequest(f.makeRequest(), f.time.now()));
    f.runUntil([&] { return f.interimCount == 1; });
    std::raise(SIGTERM);
    f.runUntil([&] { return f.result.has_value(); });
    CHECK(decodePartAnswer(f.result->answer.body, 1).outcome == part_outcome::Answered);
    CHECK(f.target.runCount() == 1);
    const part_answer declined = f.answerOf(f.makeRequest());
    CHECK(declined.outcome == part_outcome::Declined);
    CHECK(declined.declineReason == decline_reason::NotServing);
    CHECK(f.target.runCount() == 1);
}

TEST_CASE("a gatherer sends a shard to a second target only once its sender must know of it")
{
    part_fixture f;
    standins::platform_target second{
        f.loop, f.time, f.local(f.freePort), {.instance = "i-1", .service = "s1"}};
    f.store.put("servers/i-1", second.registration("riga", "ready", 1));
    f.runFor(1500ms);
    for (standins::platform_target *target : {&f.target, &second})
        target->setWorkTime(800ms);
    part_request request = f.makeRequest();
    const time_point hedges = f.time.now() + 600ms;
    request.times.hedges = hedges;
    f.send(encodePartRequest(request, f.time.now()));
    const auto runs = [&] { return f.target.runCount() + second.runCount(); };
    f.runUntil([&] { return runs() == 1; });
    while (f.time.now() < hedges - 20ms) {
        CHECK(runs() == 1);
        f.runFor(10ms);
    }
    f.runUntil([&] { return runs() == 2; }, 500ms);
    f.runUntil([&] { return f.result.has_value(); });
    CHECK(decodePartAnswer(f.result->answer.body, 1).outcome == part_outcome::Answered);
}

TEST_CASE("a part whose sender has left is cancelled at the targets")
{
    part_fixture f;
    f.target.setWorkTime(1500ms);
    {
        const tests::blocking_connection connection(f.relayPort);
        const std::string body = encodePartRequest(f.makeRequest(), f.time.now());
        connection.send(fmt::format("POST {} HTTP/1.1\r\nHost: h\r\n{}: 5\r\n"
                                    "Content-Length: {}\r\n\r\n{}",
                                    partTarget, partNumberField, body.size(), body));
        f.runUntil([&] { return f.target.runCount() == 1; });
        CHECK(f.target.connectionCount() == 1);
    }
    // A target may work on a request for half a second after its caller has left.
    f.runFor(500ms);
    CHECK(f.target.connectionCount() == 0);
}
