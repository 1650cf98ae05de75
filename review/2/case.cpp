// A searcher fails some bookings after it has run them, with a 503 that does not say that the
// booking was not run.

#include "../rig/small_site.h"

namespace {

using namespace rig;

/** How long the searcher fails requests, and how long the requester sends. */
constexpr auto troubleLength = 5s;
constexpr auto length = 8s;
/** One in this number of requests fails at the faulty searcher. */
constexpr int failedInterval = 5;

int play(const std::string &program, record &log)
{
    small_site site(program, log);
    searcher &faulty = *site.searchers.front();
    const auto troubleEnd = steady::now() + troubleLength;
    std::atomic<int> count = 0;
    faulty.setResponder([&](connection &peer, const message &request) {
        faulty.recordRun(request);
        std::this_thread::sleep_for(5ms);
        const bool isFailing = hasTrouble() && steady::now() < troubleEnd;
        if (!isFailing || ++count % failedInterval != 0)
            return peer.write(faulty.goodAnswer(request, "booked"));
        const std::string id = request.header("X-Attempt-Id");
        log.add("searcher " + faulty.about().instance + " fails " + id + " after it has run");
        return peer.write("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + id
                          + "\r\nX-Server-Stamp: " + faulty.about().instance + "." + id
                          + "\r\nContent-Length: 6\r\n\r\nfailed");
    });
    steady_requester requester(site.front().callerPort());
    const auto end = steady::now() + length;
    std::set<std::string> refused;
    int sent = 0;
    while (steady::now() < end) {
        const std::string id = "booking-" + std::to_string(++sent);
        const auto answer = requester.ask("POST", "/book/trailer", id, 1500ms);
        const int status = answer ? answer->status() : 0;
        if (status == 429 || status == 503)
            refused.insert(id);
        log.add("requester got " + std::to_string(status) + " to " + id);
    }
    int untrue = 0;
    for (const auto &[id, runs] : site.runs())
        untrue += refused.contains(id) ? 1 : 0;
    log.add(std::to_string(sent) + " bookings sent, " + std::to_string(refused.size())
            + " refused, of which " + std::to_string(untrue) + " have run");
    return untrue > 0 ? Broken : Held;
}

} // namespace

int main(int argc, char **argv)
{
    return rig::run(argc, argv, play);
}
