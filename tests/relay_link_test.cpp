// Guards against requests that wait in their host's link behind what it relays to other hosts, so
// that a target learns the remaining time of a caller too late.

#include "limited_link.h"
#include "single_host_fixture.h"

#include <mustardcourse/store/change_relay.h>
#include <mustardcourse/store/relay_choice.h>

using namespace mustardcourse;
using namespace std::chrono_literals;

namespace {

/** The link of a small host. */
constexpr data_rate linkRate = data_rate::megabitsPerSecond(20);
/** Time after which a host stops waiting for its relay. */
constexpr duration relayTimeout = 2s;

/** A host that is the relay of its data centre, behind a slow link to one target and to other hosts
    that wait for changes. */
class relay_fixture : public tests::single_host_fixture
{
public:
    explicit relay_fixture(std::size_t followerCount)
    {
        link.forward(local(relayLinkPort), local(relayPort),
                     standins::limited_link::host_side::Dialled);
        link.forward(local(targetLinkPort), local(targetPort),
                     standins::limited_link::host_side::Accepted);
        addMembersThatPreferTheHost();
        registerTarget(local(targetLinkPort));
        writeConfiguration(1, 0);
        settings::serving_settings settings = hostSettings();
        settings.relayListen = local(relayPort);
        settings.linkRate = linkRate;
        startHost(settings);
        for (std::size_t number = 0; number < followerCount; ++number)
            requestChanges();
        runFor(200ms);
        REQUIRE(followerStatuses.empty());
    }

    /** Sends a caller's request and returns by how much its target was told too much time. */
    duration sendAndReturnExcess()
    {
        const std::size_t arrivalsBefore = target.arrivalCount();
        const time_point sentAt = time.now();
        http::client_pool pool(loop, time, local(callerPort), {.maximumConnections = 1});
        pool.send({.bytes = callerRequest(),
                   .matchesRequest = {},
                   .onEnd = [](http::exchange_result &&) {}});
        runUntil([&] { return target.arrivalCount() > arrivalsBefore; });
        return excessOf(target.lastRequest(), sentAt);
    }

    /** Statuses of the relay's responses to the other hosts, in the order of their arrival. */
    std::vector<int> followerStatuses;

private:
    static constexpr std::uint16_t relayLinkPort = freePort;
    static constexpr std::uint16_t targetLinkPort = freePort + 1;

    /** Adds enough hosts for a relay, none of which is preferred to the host under test. */
    void addMembersThatPreferTheHost()
    {
        const store::member_entry entry{data_centre_id("riga"), local(1), hostSettings().cores};
        store::member_entries members{{"host-1", entry}};
        for (std::size_t number = 0; members.size() < 8; ++number) {
            const std::string name = fmt::format("member-{}", number);
            members[name] = entry;
            const auto ranked = store::rankRelays(members, entry.dataCentre);
            if (!ranked.empty() && ranked.front() != "host-1")
                members.erase(name);
        }
        for (const auto &[name, member] : members)
            store.put("hosts/" + name, store::encodeMember(member));
    }

    void requestChanges()
    {
        const store::store_position current{store::store_era(store.era()),
                                            revision(store.revision())};
        constexpr std::size_t mebibyte = 1024 * 1024;
        followers.push_back(std::make_unique<http::client_pool>(
            loop, time, local(relayLinkPort),
            http::client_pool_settings{.maximumConnections = 1,
                                       .responseLimits = {mebibyte, 8 * mebibyte}}));
        followers.back()->send(
            {.bytes = fmt::format("GET {} HTTP/1.1\r\nHost: h\r\n\r\n", relayTarget(current)),
             .matchesRequest = {},
             .onEnd = [this](http::exchange_result &&result) {
                 followerStatuses.push_back(result.answer.status);
             }});
    }

    standins::limited_link link{loop, time, linkRate.bytesPerSecond()};
    std::vector<std::unique_ptr<http::client_pool>> followers;
};

} // namespace

TEST_CASE("a target is told the time that a caller has left while its host relays a configuration")
{
    struct row
    {
        std::string name;
        std::size_t followers;
        std::size_t furtherRoutes;
    };
    const row rows[] = {
        {"small configuration", 15, 10},
        {"large configuration", 15, 1400},
        {"large configuration and many hosts", 40, 1400},
        {"very large configuration", 15, 4200},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        relay_fixture f(testCase.followers);
        const time_point begin = f.time.now();
        f.writeConfiguration(2, testCase.furtherRoutes);
        f.runUntil([&] { return f.activeVersion() == 2; });
        CHECK(f.sendAndReturnExcess() <= f.maximumExcess);
        f.runUntil([&] { return f.followerStatuses.size() == testCase.followers; }, 20s);
        // Hosts that wait longer than this query the store only after the relay's time-out.
        CHECK(f.time.now() - begin <= relayTimeout);
        for (const int status : f.followerStatuses)
            CHECK((status == store::relay_status::changes
                   || status == store::relay_status::overLimit));
    }
}
