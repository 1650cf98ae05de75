// Guards against a part of a lookup that is lost, gathered twice or answered with the answer of
// another one, whatever the host does that it is sent to.

#include "loop_fixture.h"
#include "raw_responses.h"
#include "scripted_peer.h"

#include <mustardcourse/http/caller_server.h>
#include <mustardcourse/serving/part_dispatcher.h>

#include <fmt/format.h>

using namespace mustardcourse;
using namespace mustardcourse::serving;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t firstPort = 20911;
const data_centre_id riga("riga");

enum class behaviour {
    Answers,
    Declines,
    /** Reads the part and sends nothing. */
    Silent,
    /** Acknowledges and sends nothing further. */
    SilentAfterAcknowledgement,
    ClosesFirst,
    ClosesAfterAcknowledgement,
    /** Answers so late that the part has gone elsewhere. */
    AnswersLate,
    /** Sends the answer to another part before its own. */
    AnswersAnother,
    /** Sends a second copy of the answer to the part before, then its own. */
    RepeatsAnswer,
    SendsGarbage,
    /** Sends the head of its answer and closes the connection. */
    BreaksOff,
    /** Rejects the request, as a host of another release does. */
    Rejects,
    NotListening,
};

/** A host that gathers parts, as far as the one under test sees it. */
class stub_gatherer
{
public:
    stub_gatherer(net::loop &loop, const mustardcourse::clock &time, std::uint16_t port,
                  behaviour shown)
        : m_behaviour(shown)
        , m_delay(loop, [this] { answer(*m_pending); })
    {
        if (shown != behaviour::NotListening)
            m_server.emplace(loop, time, endpoint("127.0.0.1", port),
                             [this](auto exchange) { serve(std::move(exchange)); });
    }

    /** Maximum numbers of targets that the parts allowed, in their order. */
    std::vector<std::size_t> maximumTargets;

private:
    void serve(std::unique_ptr<http::caller_exchange> exchange)
    {
        const http::request &received = exchange->receivedRequest();
        const part_request request = decodePartRequest(received.body, exchange->arrival());
        maximumTargets.push_back(request.maximumTargets);
        m_number = std::string(http::findHeader(received.headers, partNumberField).value_or(""));
        m_pending = std::move(exchange);
        m_pending->onDisconnect([this] { m_delay.stop(); });
        const bool acknowledges = m_behaviour != behaviour::Declines
            && m_behaviour != behaviour::Silent && m_behaviour != behaviour::ClosesFirst
            && m_behaviour != behaviour::AnswersLate && m_behaviour != behaviour::Rejects;
        if (acknowledges)
            m_pending->sendInterim(partAcceptedStatus, {{std::string(partNumberField), m_number}});
        switch (m_behaviour) {
        case behaviour::Silent:
        case behaviour::SilentAfterAcknowledgement:
        case behaviour::NotListening:
            return;
        case behaviour::ClosesFirst:
        case behaviour::ClosesAfterAcknowledgement:
            m_pending.reset();
            return;
        case behaviour::Rejects:
            return m_pending->respond({400, "", {}, "", true});
        case behaviour::AnswersAnother:
            // An interim response is not followed by a body, so this is a whole response.
            m_pending->sendInterim(200,
                                   {{std::string(partNumberField), "99"}, {"Content-Length", "0"}});
            return answer(*m_pending);
        case behaviour::BreaksOff:
            m_pending->sendInterim(
                200, {{std::string(partNumberField), m_number}, {"Content-Length", "100"}});
            m_pending.reset();
            return;
        case behaviour::RepeatsAnswer:
            m_pending->sendInterim(
                200, {{std::string(partNumberField), m_answeredNumber}, {"Content-Length", "0"}});
            return answer(*m_pending);
        case behaviour::AnswersLate:
            m_delay.start(100ms);
            return;
        case behaviour::Answers:
        case behaviour::Declines:
        case behaviour::SendsGarbage:
            return answer(*m_pending);
        }
    }

    void answer(http::caller_exchange &exchange)
    {
        part_answer answer;
        answer.outcome =
            m_behaviour == behaviour::Declines ? part_outcome::Declined : part_outcome::Answered;
        answer.answers = {2, "a, b", std::string(16, 'x')};
        std::string body = encodePartAnswer(answer);
        if (m_behaviour == behaviour::SendsGarbage)
            body = "garbage!garbage!";
        m_answeredNumber = m_number;
        exchange.respond({200, "", {{std::string(partNumberField), m_number}}, body, true});
    }

    behaviour m_behaviour;
    std::string m_number;
    /** Number of the part that was answered last. */
    std::string m_answeredNumber = "0";
    std::unique_ptr<http::caller_exchange> m_pending;
    net::timer m_delay;
    std::optional<http::caller_server> m_server;
};

class fixture : public tests::loop_fixture
{
public:
    explicit fixture(const std::vector<behaviour> &behaviours)
    {
        for (std::size_t i = 0; i < behaviours.size(); ++i) {
            const auto port = static_cast<std::uint16_t>(firstPort + i);
            gatherers.push_back(std::make_unique<stub_gatherer>(loop, time, port, behaviours[i]));
            hosts.push_back({host_id(fmt::format("host-{}", i)), riga, endpoint("127.0.0.1", port),
                             core_share(1)});
        }
    }

    static part_request makeRequest(std::size_t maximumTargets)
    {
        part_request request;
        request.sender = host_id("own");
        request.callerRequest = std::make_shared<const caller_request>();
        request.shards = {service_id("s1"), service_id("s2")};
        request.shardCount = 2;
        request.maximumTargets = maximumTargets;
        request.latencyObjective = 80ms;
        return request;
    }

    /** Sends a part and waits until it ends. */
    part_result send(std::size_t maximumTargets = 2)
    {
        std::optional<part_result> ended;
        const auto number =
            dispatcher.send(hosts, makeRequest(maximumTargets), [&](part_result &&result) {
                CHECK_FALSE(ended.has_value());
                ended = std::move(result);
            });
        if (!number)
            return {part_end::Untaken, {}, false};
        runUntil([&] { return ended.has_value(); });
        return *ended;
    }

    /** Returns how often a host has been sent a part. */
    [[nodiscard]] std::size_t sentCount(std::size_t host) const
    {
        return gatherers[host]->maximumTargets.size();
    }

    logger log{time, "test", log_level::Error};
    serving_metrics metrics;
    std::vector<std::unique_ptr<stub_gatherer>> gatherers;
    std::vector<gatherer> hosts;
    http::receive_memory memory{megabytes(20)};
    part_dispatcher dispatcher{loop, time, log, metrics, memory, host_id("own")};
};

} // namespace

TEST_CASE("how a part ends whatever its gatherers do")
{
    struct row
    {
        std::string name;
        behaviour first;
        behaviour second;
        part_end end;
        bool mayHaveRun;
        /** Numbers of targets that the two hosts are allowed; zero if they get no part. */
        std::size_t firstTargets;
        std::size_t secondTargets;
    };
    using enum behaviour;
    const row rows[] = {
        {"answers", Answers, Answers, part_end::Answered, false, 2, 0},
        {"declines", Declines, Answers, part_end::Answered, false, 2, 2},
        {"both decline", Declines, Declines, part_end::Untaken, false, 2, 2},
        {"not listening", NotListening, Answers, part_end::Answered, false, 0, 2},
        {"of another release", Rejects, Answers, part_end::Answered, false, 2, 2},
        {"silent", Silent, Answers, part_end::Answered, true, 2, 1},
        {"both silent", Silent, Silent, part_end::Lost, true, 2, 1},
        {"silent and not listening", Silent, NotListening, part_end::Untaken, true, 2, 0},
        {"closes the connection", ClosesFirst, Answers, part_end::Answered, true, 2, 1},
        {"closes it after it began", ClosesAfterAcknowledgement, Answers, part_end::Lost, true, 2,
         0},
        {"answers late", AnswersLate, Answers, part_end::Answered, true, 2, 1},
        {"answers another part first", AnswersAnother, Answers, part_end::Answered, false, 2, 0},
        {"breaks off its answer", BreaksOff, Answers, part_end::Lost, true, 2, 0},
        {"sends garbage", SendsGarbage, Answers, part_end::Lost, true, 2, 0},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        fixture f({item.first, item.second});
        const part_result result = f.send();
        CHECK(result.end == item.end);
        CHECK(result.mayHaveRun == item.mayHaveRun);
        if (result.end == part_end::Answered)
            CHECK(result.answer.answers.signatures == "a, b");
        const auto targetsOf = [&](std::size_t host) {
            const auto &targets = f.gatherers[host]->maximumTargets;
            CHECK(targets.size() <= 1);
            return targets.empty() ? 0 : targets.front();
        };
        CHECK(targetsOf(0) == item.firstTargets);
        CHECK(targetsOf(1) == item.secondTargets);
        CHECK(f.dispatcher.runningCount() == 0);
    }
}

TEST_CASE("a part that may go to one target only is not sent to a second host after a silent one")
{
    fixture f({behaviour::Silent, behaviour::Answers});
    const part_result result = f.send(1);
    CHECK(result.end == part_end::Lost);
    CHECK(result.mayHaveRun);
    CHECK(f.sentCount(1) == 0);
}

TEST_CASE("a host that was silent gets no part for a while and a host that declined gets one soon")
{
    struct row
    {
        behaviour first;
        duration pause;
        std::size_t sentAgain;
    };
    const row rows[] = {{behaviour::Silent, 300ms, 0},
                        {behaviour::ClosesAfterAcknowledgement, 300ms, 0},
                        {behaviour::Declines, 100ms, 0},
                        {behaviour::Declines, 300ms, 1}};
    for (const row &item : rows) {
        fixture f({item.first, behaviour::Answers});
        f.send();
        f.runFor(item.pause);
        CHECK(f.send().end == part_end::Answered);
        CHECK(f.sentCount(0) == 1 + item.sentAgain);
    }
}

TEST_CASE("a second copy of an answer is not taken for the answer of the next part")
{
    fixture f({behaviour::RepeatsAnswer});
    for (int i = 0; i < 5; ++i) {
        const part_result result = f.send();
        CHECK(result.end == part_end::Answered);
        CHECK(result.answer.answers.signatures == "a, b");
    }
    CHECK(f.sentCount(0) == 5);
}

TEST_CASE("a cancelled part is cancelled at its gatherer and its handler is not called")
{
    fixture f({behaviour::SilentAfterAcknowledgement});
    const auto number = f.dispatcher.send(f.hosts, fixture::makeRequest(2),
                                          [](part_result &&) { FAIL("the handler was called"); });
    REQUIRE(number.has_value());
    f.runUntil([&] { return f.sentCount(0) == 1; });
    f.dispatcher.cancel(*number);
    f.dispatcher.cancel(*number);
    f.runFor(200ms);
    CHECK(f.dispatcher.runningCount() == 0);
}

TEST_CASE("this host is sent no part and those after it in the order are not either")
{
    fixture f({behaviour::Answers, behaviour::Answers});
    f.hosts.insert(f.hosts.begin(),
                   {host_id("own"), riga, endpoint("127.0.0.1", 1), core_share(1)});
    CHECK(f.send().end == part_end::Untaken);
    CHECK(f.sentCount(0) + f.sentCount(1) == 0);
}

TEST_CASE("a part that is answered with a broken response counts as one that may have run")
{
    part_answer answer;
    answer.outcome = part_outcome::Answered;
    answer.answers = {2, "a, b", std::string(16, 'x')};
    const tests::response_content content{fmt::format("{}: 1\r\n", partNumberField),
                                          encodePartAnswer(answer)};
    const auto sendTo = [](const std::string &bytes) {
        fixture f({behaviour::NotListening});
        const tests::scripted_peer peer(f.loop, f.hosts.front().address, bytes, true);
        return f.send();
    };
    CHECK(sendTo("HTTP/1.1 200 \r\n" + content.withLength()).end == part_end::Answered);
    for (const tests::raw_response &item : tests::brokenResponses(content)) {
        CAPTURE(item.name);
        const part_result result = sendTo(item.bytes);
        CHECK(result.end != part_end::Answered);
        CHECK(result.mayHaveRun);
    }
}
