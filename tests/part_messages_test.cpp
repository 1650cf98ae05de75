#include "property.h"

#include <mustardcourse/serving/part_messages.h>

#include <fmt/format.h>

using namespace mustardcourse;
using namespace mustardcourse::serving;
using namespace std::chrono_literals;

namespace {

const time_point now{1h};

part_request makeRequest()
{
    caller_request callerRequest;
    callerRequest.id = request_id("id-1");
    callerRequest.fingerprint = request_fingerprint(0x1234'5678'9abc'def0);
    callerRequest.forwardedHead = "GET /all/x HTTP/1.1\r\nHost: h\r\n";
    callerRequest.body = std::string("a\0b", 3);
    part_request request;
    request.sender = host_id("host-1");
    request.version = configuration_version(7);
    request.routeName = route_id("all");
    request.callerRequest = std::make_shared<const caller_request>(callerRequest);
    request.shards = {service_id("s1"), service_id("s2"), service_id("s3")};
    request.shardCount = 9;
    request.minimumAnswers = 2;
    request.maximumTargets = 2;
    request.resultCount = 50;
    request.priority = route_priority(3);
    request.latencyObjective = 80ms;
    request.isRepeated = true;
    request.times = {now + 10ms, now + 15ms, now + 20ms, now + 60ms, now + 380ms, now + 400ms};
    return request;
}

part_answer makeAnswer()
{
    part_answer answer;
    answer.outcome = part_outcome::Answered;
    answer.missing = {{1, missing_shard_reason::Late}};
    answer.answers = {2, "a, b", std::string(32, 'x')};
    return answer;
}

} // namespace

TEST_CASE("a part of a lookup is decoded as it was encoded but for its times")
{
    const part_request sent = makeRequest();
    const time_point arrival = now + 5h;
    const part_request received = decodePartRequest(encodePartRequest(sent, now), arrival);
    CHECK(received.sender == sent.sender);
    CHECK(received.version == sent.version);
    CHECK(received.routeName == sent.routeName);
    CHECK(received.callerRequest->id == sent.callerRequest->id);
    CHECK(received.callerRequest->fingerprint == sent.callerRequest->fingerprint);
    CHECK(received.callerRequest->forwardedHead == sent.callerRequest->forwardedHead);
    CHECK(received.callerRequest->body == sent.callerRequest->body);
    CHECK(received.callerRequest->isResponseBodyExpected);
    CHECK(received.shards == sent.shards);
    CHECK(received.shardCount == sent.shardCount);
    CHECK(received.minimumAnswers == sent.minimumAnswers);
    CHECK(received.maximumTargets == sent.maximumTargets);
    CHECK(received.resultCount == sent.resultCount);
    CHECK(received.priority == sent.priority);
    CHECK(received.latencyObjective == sent.latencyObjective);
    CHECK(received.isRepeated);
    CHECK_FALSE(received.isLateRetry);
    // The hosts' clocks differ; what is left of each time is the same.
    CHECK(received.times.start - arrival == sent.times.start - now);
    CHECK(received.times.hedges - arrival == sent.times.hedges - now);
    CHECK(received.times.refusal - arrival == sent.times.refusal - now);
    CHECK(received.times.cutoff - arrival == sent.times.cutoff - now);
    CHECK(received.times.end - arrival == sent.times.end - now);
    CHECK(received.times.deadline - arrival == sent.times.deadline - now);
}

TEST_CASE("a part with numbers that make no sense is rejected")
{
    struct row
    {
        std::string name;
        void (*change)(part_request &);
    };
    const row rows[] = {
        {"no shard", [](part_request &r) { r.shards.clear(); }},
        {"more shards than the lookup", [](part_request &r) { r.shardCount = 2; }},
        {"no minimum", [](part_request &r) { r.minimumAnswers = 0; }},
        {"a minimum above the shards", [](part_request &r) { r.minimumAnswers = 4; }},
        {"no target", [](part_request &r) { r.maximumTargets = 0; }},
        {"a lookup without shards", [](part_request &r) { r.shardCount = 0; }},
        {"too many shards", [](part_request &r) { r.shardCount = 10'001; }},
        {"a deadline in a year", [](part_request &r) { r.times.deadline = now + 24h * 365; }},
        {"an end a year ago", [](part_request &r) { r.times.end = now - 24h * 365; }},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        part_request request = makeRequest();
        item.change(request);
        const std::string bytes = encodePartRequest(request, now);
        CHECK_THROWS_AS(decodePartRequest(bytes, now), malformed_part_error);
    }
}

TEST_CASE("the answer of a part accounts for each of its shards or is rejected")
{
    struct row
    {
        std::string name;
        void (*change)(part_answer &);
        bool isValid;
    };
    const row rows[] = {
        {"as it was", [](part_answer &) {}, true},
        {"a failure", [](part_answer &a) { a.outcome = part_outcome::Failed; }, true},
        {"a shard that is not told", [](part_answer &a) { a.missing.clear(); }, false},
        {"a shard told twice",
         [](part_answer &a) {
             a.missing = {{1, missing_shard_reason::Late}, {1, missing_shard_reason::Late}};
             a.answers.shardCount = 1;
         },
         false},
        {"a shard that the part does not have", [](part_answer &a) { a.missing[0].shard = 3; },
         false},
        {"a missing shard without a reason",
         [](part_answer &a) { a.missing[0].reason = missing_shard_reason::None; }, false},
        {"more answers than shards", [](part_answer &a) { a.answers.shardCount = 3; }, false},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        part_answer answer = makeAnswer();
        item.change(answer);
        const std::string bytes = encodePartAnswer(answer);
        if (!item.isValid) {
            CHECK_THROWS_AS(decodePartAnswer(bytes, 3), malformed_part_error);
            continue;
        }
        const part_answer received = decodePartAnswer(bytes, 3);
        CHECK(received.outcome == answer.outcome);
        CHECK(received.missing == answer.missing);
        CHECK(received.answers.signatures == answer.answers.signatures);
        CHECK(received.answers.records == answer.answers.records);
    }
}

TEST_CASE("a message between hosts that is cut or changed is decoded or reported but never crashes")
{
    const std::string request = encodePartRequest(makeRequest(), now);
    const std::string answer = encodePartAnswer(makeAnswer());
    const auto decodeBoth = [](const std::string &bytes) {
        try {
            decodePartRequest(bytes, now);
        } catch (const malformed_part_error &) { }
        try {
            decodePartAnswer(bytes, 3);
        } catch (const malformed_part_error &) { }
    };
    for (const std::string &whole : {request, answer}) {
        for (std::size_t size = 0; size < whole.size(); ++size)
            decodeBoth(whole.substr(0, size));
    }
    CHECK_THROWS_AS(decodePartRequest(request.substr(0, request.size() / 2), now),
                    malformed_part_error);
    CHECK_PROPERTY("any byte changed", [&](std::uint8_t value) {
        std::string bytes = *rc::gen::element(request, answer);
        const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[position] = static_cast<char>(value);
        decodeBoth(bytes);
    });
}
