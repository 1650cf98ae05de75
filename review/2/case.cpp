// All searchers of a service crash while they run the same lookup, which many requesters send, and
// are back a few seconds later.

#include "../rig/small_site.h"

namespace {

using namespace rig;

constexpr int hostCount = 3;
constexpr int requestersPerHost = 4;
constexpr auto workTime = 60ms;
constexpr auto timeBefore = 5s;
constexpr auto crashTime = 4500ms;
/** Time of three check-in intervals of silence, after which a searcher's entry is removed. */
constexpr auto entryLifetime = 3600ms;
/** RecoveryS of the site, after which the state is steady. */
constexpr auto recoveryTime = 12s;
constexpr auto judgedTime = 20s;
constexpr int minimumRequests = 20;

/** The requests on one route in the time that is judged. */
struct route_count
{
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;

    [[nodiscard]] std::string text() const
    {
        return std::to_string(served) + " of " + std::to_string(sent);
    }
};

/** Starts a searcher in each zone, which takes a while for each request. */
std::vector<std::unique_ptr<searcher>> startBoardSearchers(store &keeper, record &log,
                                                           const std::string &generation)
{
    std::vector<std::unique_ptr<searcher>> searchers;
    for (const char *zone : {"zone-a", "zone-b", "zone-c"}) {
        searchers.push_back(std::make_unique<searcher>(
            searcher::description{"board-" + generation + "-" + zone, "board", zone, 6}, log));
        searcher &target = *searchers.back();
        target.setResponder([&target](connection &peer, const message &request) {
            target.recordRun(request);
            std::this_thread::sleep_for(workTime);
            return peer.write(target.goodAnswer(request, "the board"));
        });
        target.registerIn(keeper);
    }
    return searchers;
}

/** Lets all searchers of a service crash, and starts others in their place. */
void crashAll(std::vector<std::unique_ptr<searcher>> &searchers, store &keeper, record &log)
{
    const auto crashedAt = steady::now();
    std::vector<std::string> crashed;
    for (const auto &target : searchers) {
        crashed.push_back(target->about().instance);
        target->crash();
    }
    log.add("all searchers of the board have crashed");
    searchers.clear();
    std::this_thread::sleep_until(crashedAt + entryLifetime);
    for (const std::string &instance : crashed)
        keeper.erase("servers/" + instance);
    std::this_thread::sleep_until(crashedAt + crashTime);
    searchers = startBoardSearchers(keeper, log, "second");
    log.add("all searchers of the board are back");
}

int play(const std::string &program, record &log)
{
    small_site site(program, log, std::vector<int>(hostCount, -1));
    auto searchers = startBoardSearchers(site.keeper, log, "first");
    const json routes{makeRoute("read", "idempotent", "settle"),
                      makeRoute("board", "idempotent", "board")};
    const json services{makeService("settle", 100), makeService("board", 100)};
    site.keeper.put("op/config", makeConfiguration(7, routes, services));
    log.add("version 7 adds the route /board/");
    std::this_thread::sleep_for(3s);

    route_count read;
    route_count board;
    std::atomic<bool> isJudged = false;
    std::atomic<bool> isEnding = false;
    std::atomic<int> sent = 0;
    std::atomic<int> nextRequester = 0;
    std::thread requesters([&] {
        runRequesters(2 * hostCount * requestersPerHost, [&] {
            const int index = nextRequester++;
            const bool isBoard = index % 2 == 0;
            const host &front = *site.fronts[static_cast<std::size_t>(index / 2 % hostCount)];
            steady_requester requester(front.callerPort());
            while (!isEnding) {
                const std::string number = std::to_string(++sent);
                const std::string id = (isBoard ? "board-" : "read-") + number;
                const std::string target = isBoard ? "/board/now" : "/read/lot-" + number;
                const bool counts = isJudged;
                const auto answer = requester.ask("GET", target, id, 1500ms);
                const bool isServed = answer && answer->status() == 200;
                if (counts) {
                    route_count &count = isBoard ? board : read;
                    ++count.sent;
                    count.served += isServed ? 1 : 0;
                }
                log.add("requester got " + statusText(answer) + " to " + id
                        + (isServed || !answer ? ""
                                               : ", Retry-After " + answer->header("Retry-After")));
                std::this_thread::sleep_for(isServed ? 20ms : 200ms);
            }
        });
    });

    std::this_thread::sleep_for(timeBefore);
    if (hasTrouble())
        crashAll(searchers, site.keeper, log);
    std::this_thread::sleep_for(recoveryTime);
    isJudged = true;
    log.add("the state is steady");
    std::this_thread::sleep_for(judgedTime);
    isJudged = false;
    isEnding = true;
    requesters.join();
    log.add(read.text() + " requests on the first route were served, " + board.text()
            + " on the route that was added later");
    const double readShare = read.sent > 0 ? 1.0 * read.served / read.sent : 0;
    const double boardShare = board.sent > 0 ? 1.0 * board.served / board.sent : 0;
    return board.sent >= minimumRequests && boardShare < readShare / 4 ? Broken : Held;
}

} // namespace

int main(int argc, char **argv)
{
    return rig::run(argc, argv, play);
}
