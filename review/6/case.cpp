// Half of the targets break off a few of their answers, sent without a length, with a reset.

#include "../rig-2/rig.h"

using namespace rig;

namespace {

constexpr std::size_t targetCount = 4;
constexpr std::size_t callerCount = 4;
constexpr std::size_t requestsPerCaller = 500;
constexpr std::size_t bodyBytes = 3000;
/** One in this number of answers of two targets is broken off: x 0.05, share 0.5. */
constexpr std::size_t brokenInterval = 20;

struct answer_record
{
    bool isSuccess = false;
    bool isOrderly = false;
    bool hasLength = false;
    std::size_t bodyBytes = 0;
};

/** Sends a request on a connection of its own and reads until the end of the answer. */
answer_record book(std::uint16_t port, const std::string &id)
{
    answer_record result;
    const auto toHost = dial(port);
    if (!toHost || !toHost->write(request("POST", "/book/" + id, id, 10'000, "x")))
        return result;
    int count = 0;
    std::size_t headEnd = std::string::npos;
    std::size_t wanted = std::string::npos;
    do {
        count = toHost->read(11'000);
        headEnd = toHost->unused.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            continue;
        const std::size_t field = toHost->unused.find("Content-Length: ");
        result.hasLength = field < headEnd;
        if (result.hasLength)
            wanted = headEnd + 4 + std::strtoull(toHost->unused.c_str() + field + 16, nullptr, 10);
    } while (count > 0 && toHost->unused.size() < wanted);
    if (headEnd == std::string::npos)
        return result;
    result.isSuccess = toHost->unused.rfind("HTTP/1.1 200", 0) == 0;
    result.bodyBytes = toHost->unused.size() - headEnd - 4;
    result.isOrderly = result.hasLength ? toHost->unused.size() >= wanted : count == 0;
    return result;
}

} // namespace

int main(int, char **arguments)
{
    const std::string folder = arguments[1];
    recorder record(arguments[2]);
    const bool trouble = hasTrouble();
    signal(SIGPIPE, SIG_IGN);

    std::mutex mutex;
    std::map<std::string, std::size_t> answerCounts; // by target
    std::map<std::string, bool> brokenOff; // by id
    const auto serve = [&](const std::string &instance, connection &host) {
        while (const auto received = readMessage(host, 60'000)) {
            const std::string id = received->field("x-attempt-id");
            if (received->field("x-expected-instance") != instance) {
                host.write("HTTP/1.1 421 Other\r\nX-Attempt-Id: " + id
                           + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            bool isBroken = false;
            {
                const std::lock_guard lock(mutex);
                const bool mayBreak = trouble && (instance == "i-0" || instance == "i-1");
                isBroken = ++answerCounts[instance] % brokenInterval == 0 && mayBreak;
                brokenOff[id] = isBroken;
            }
            sleepMs(5);
            const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
                + "\r\nX-Server-Stamp: " + instance + "." + id + "\r\n";
            const std::string body(bodyBytes, 'b');
            if (isBroken) {
                host.write(head + "Connection: close\r\n\r\n" + body.substr(0, bodyBytes / 2));
                return host.reset();
            }
            if (!host.write(head + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
                            + body))
                return;
        }
    };
    store platform;
    std::vector<std::unique_ptr<server>> targets;
    for (std::size_t i = 0; i < targetCount; ++i) {
        const std::string instance = "i-" + std::to_string(i);
        targets.push_back(std::make_unique<server>(
            0, [&, instance](connection &host) { serve(instance, host); }));
        platform.put("servers/" + instance, registration("portal", targets[i]->port(), "ready", 1));
    }
    platform.put(
        "op/config",
        configuration(1, json::array({route("book", "non_idempotent", "portal")}), {"portal"}));
    host_settings host;
    host.store = platform.port();
    std::vector<std::unique_ptr<process>> processes;
    processes.push_back(startHost(host, folder));
    if (!awaitReady(host)) {
        record.line("the host did not get ready");
        return finish(processes, 2);
    }

    std::atomic<std::size_t> wrong{0};
    std::atomic<std::size_t> broken{0};
    std::atomic<std::size_t> successes{0};
    std::vector<std::thread> callers;
    for (std::size_t number = 0; number < callerCount; ++number) {
        callers.emplace_back([&, number] {
            for (std::size_t i = 0; i < requestsPerCaller; ++i) {
                const std::string id = "b" + std::to_string(number) + "-" + std::to_string(i);
                const answer_record answer = book(host.caller, id);
                bool isBroken = false;
                {
                    const std::lock_guard lock(mutex);
                    isBroken = brokenOff[id];
                }
                broken += isBroken ? 1 : 0;
                successes += answer.isSuccess ? 1 : 0;
                const bool looksComplete = answer.isSuccess && answer.isOrderly;
                const bool isWrong = looksComplete && answer.bodyBytes != bodyBytes;
                wrong += isWrong ? 1 : 0;
                if (isBroken || isWrong)
                    record.line(id + ": the target " + (isBroken ? "reset" : "ended")
                                + " its connection after " + (isBroken ? "half of" : "all of")
                                + " the body; the caller got "
                                + (answer.isSuccess ? "200" : "no success") + " with "
                                + std::to_string(answer.bodyBytes) + " bytes"
                                + (looksComplete ? " and an orderly end" : ""));
            }
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    record.line(std::to_string(callerCount * requestsPerCaller) + " bookings, "
                + std::to_string(successes.load()) + " answered 200, "
                + std::to_string(broken.load()) + " answers broken off by targets, "
                + std::to_string(wrong.load()) + " of these passed on as complete");
    return finish(processes, wrong > 0 ? 1 : 0);
}
