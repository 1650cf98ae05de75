// A target's entry is removed while the store cuts two waiting watches.

#include "../rig-2/rig.h"

using namespace rig;

namespace {

constexpr std::int64_t drainMs = 3000;
/** Mean work of `permit-history`. */
constexpr std::int64_t workMs = 220;
constexpr std::size_t bookersPerHost = 4;
constexpr std::size_t hostCount = 3;
constexpr std::size_t targetCount = 7;

struct sent_request
{
    std::int64_t at = 0;
    int status = 0;
};

/** Sends requests on a kept connection until the end. */
void call(const host_settings &host, const std::string &name, bool isBooking,
          std::map<std::string, sent_request> &sent, std::mutex &mutex, std::int64_t until)
{
    std::unique_ptr<connection> toHost;
    for (int number = 0; nowMs() < until; ++number) {
        if (!toHost)
            toHost = dial(host.caller);
        const std::string id = name + "-" + std::to_string(number);
        const std::int64_t at = nowMs();
        std::optional<message> answer;
        const std::string method = isBooking ? "POST" : "GET";
        const std::string path = (isBooking ? "/book/" : "/look/") + id;
        if (toHost && toHost->write(request(method, path, id, 5000)))
            answer = readMessage(*toHost, 6000);
        if (!answer || answer->field("connection") == "close")
            toHost.reset();
        {
            const std::lock_guard lock(mutex);
            sent[id] = {at, answer ? answer->status() : 0};
        }
        sleepMs(20);
    }
}

} // namespace

int main(int, char **arguments)
{
    const std::string folder = arguments[1];
    recorder record(arguments[2]);
    const bool trouble = hasTrouble();
    signal(SIGPIPE, SIG_IGN);

    store platform;
    std::vector<std::unique_ptr<target>> targets;
    for (std::size_t i = 0; i < targetCount; ++i) {
        targets.push_back(std::make_unique<target>("i-" + std::to_string(i), workMs));
        platform.put("servers/" + targets[i]->instance(),
                     registration("portal", targets[i]->port(), "ready", 1));
    }
    platform.put("op/config",
                 configuration(1,
                               json::array({route("look", "idempotent", "portal"),
                                            route("book", "non_idempotent", "portal")}),
                               {"portal"}));
    std::vector<host_settings> hosts(hostCount);
    std::vector<std::unique_ptr<process>> processes;
    for (std::size_t i = 0; i < hostCount; ++i) {
        hosts[i].id = "front-" + std::to_string(i + 1);
        hosts[i].store = platform.port();
        processes.push_back(startHost(hosts[i], folder));
    }
    for (const host_settings &host : hosts) {
        if (!awaitReady(host)) {
            record.line("a host did not get ready");
            return finish(processes, 2);
        }
    }

    // All hosts have been undisturbed for longer than ContactMs when the entry is removed.
    const std::int64_t begin = nowMs();
    const std::int64_t removal = begin + 8000;
    const std::int64_t until = removal + 9000;
    std::map<std::string, sent_request> sent;
    std::mutex mutex;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < hostCount; ++i) {
        for (std::size_t k = 0; k <= bookersPerHost; ++k) {
            callers.emplace_back([&, i, k] {
                sleepMs(static_cast<std::int64_t>(17 * (i * (bookersPerHost + 1) + k)));
                const bool isBooking = k > 0;
                const std::string name =
                    (isBooking ? "book" : "look") + std::to_string(i + 1) + "." + std::to_string(k);
                call(hosts[i], name, isBooking, sent, mutex, until);
            });
        }
    }
    const auto cut = [&](std::int64_t at) {
        sleepMs(std::max<std::int64_t>(at - nowMs(), 0));
        if (trouble)
            record.line("the store cuts " + std::to_string(platform.cutWatches())
                        + " waiting watches");
    };
    cut(removal - 500);
    sleepMs(std::max<std::int64_t>(removal - nowMs(), 0));
    target &leaving = *targets[0];
    platform.erase("servers/" + leaving.instance());
    const std::int64_t removedAt = nowMs();
    record.line("the store has removed the entry of " + leaving.instance()
                + ", which serves on for 4.5 s");
    cut(removal + 1200);
    sleepMs(std::max<std::int64_t>(removedAt + 4500 - nowMs(), 0));
    leaving.exit();
    record.line(leaving.instance() + " exits");
    for (std::thread &caller : callers)
        caller.join();

    for (const auto &[id, request] : sent)
        record.line("request " + id + " sent at " + std::to_string(request.at) + ", answered "
                    + std::to_string(request.status));
    for (const auto &each : targets) {
        for (const target::arrival &arrival : each->arrivals())
            record.line(each->instance() + " began " + arrival.id + " at "
                        + std::to_string(arrival.at));
    }
    std::size_t late = 0;
    std::int64_t last = 0;
    for (const target::arrival &arrival : leaving.arrivals()) {
        last = std::max(last, arrival.at - removedAt);
        if (arrival.at <= removedAt + drainMs)
            continue;
        ++late;
        const sent_request &request = sent[arrival.id];
        record.line("request " + arrival.id + " sent " + std::to_string(request.at - removedAt)
                    + " ms after the removal, reached " + leaving.instance() + " at "
                    + std::to_string(arrival.at - removedAt) + " ms, answered "
                    + std::to_string(request.status));
    }
    std::map<int, std::size_t> statuses;
    for (const auto &[id, request] : sent)
        ++statuses[request.status];
    for (const auto &[status, count] : statuses)
        record.line(std::to_string(count) + " requests answered "
                    + (status == 0 ? "with a closed connection" : std::to_string(status)));
    record.line("the last request reached " + leaving.instance() + " " + std::to_string(last)
                + " ms after the removal; " + std::to_string(late) + " later than DrainMs");
    return finish(processes, late > 0 ? 1 : 0);
}
