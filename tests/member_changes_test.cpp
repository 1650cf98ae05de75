// Guards against cold targets that get more requests than they can bear while hosts do not know yet
// how many they are: hosts that start together, or that start while a restored store lacks the
// other hosts' keys.

#include "sliding_window.h"

#include <mustardcourse/membership/member_estimate.h>
#include <mustardcourse/serving/target_directory.h>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <memory>
#include <random>

using namespace mustardcourse;
using namespace mustardcourse::serving;
using namespace std::chrono_literals;

namespace {

const instance_id coldTarget("a");
constexpr double coldRate = 10;
/** Interval at which a host applies its member count. */
constexpr duration applyInterval = 1s;

target_registration registrationOfColdTarget()
{
    target_registration registration;
    registration.instance = coldTarget;
    registration.service = service_id("bids");
    registration.address = endpoint("10.0.0.1", 7000);
    registration.dataCentre = data_centre_id("riga");
    registration.remainingColdTime = 600s;
    return registration;
}

/** The part of a host that decides on requests to cold targets. */
class model_host
{
public:
    model_host(const mustardcourse::clock &time, const std::string &name)
        : m_time(time)
        , m_members(time)
        , m_directory(time, {data_centre_id("riga"), 8ms, host_id(name)})
        , m_appliedAt(time.now())
        , m_count(m_members.valueForRates())
    {
        m_directory.update(registrationOfColdTarget());
    }

    void observeMembers(std::size_t count)
    {
        if (std::exchange(m_listedCount, count) != count)
            m_members.observe(count);
    }

    /** Sends a request if the host's share of the rate allows it. @returns whether it was sent */
    bool trySend()
    {
        if (m_time.now() - m_appliedAt >= applyInterval) {
            m_appliedAt = m_time.now();
            m_count = m_members.valueForRates();
        }
        target *found = m_directory.find(coldTarget);
        if (!found->maySendWhileCold(coldRate, m_count, m_time.now()))
            return false;
        found->recordSent(m_time.now());
        return true;
    }

private:
    const mustardcourse::clock &m_time;
    membership::member_estimate m_members;
    target_directory m_directory;
    time_point m_appliedAt;
    std::size_t m_count;
    std::size_t m_listedCount = 0;
};

} // namespace

TEST_CASE(
    "a cold target gets at most its rate while hosts start or a restored store lacks their keys")
{
    constexpr duration eventTime = 12s;
    constexpr duration observedFrom = 10s;
    constexpr duration observedUntil = 30s;
    struct row
    {
        std::string name;
        std::size_t hosts;
        /** How many hosts start again at the event. */
        std::size_t restarted;
        /** Whether the store loses the keys of the hosts at the event. */
        bool areKeysLost;
    };
    const row rows[] = {
        {"seven hosts go on and their keys are lost", 7, 0, true},
        {"seven hosts start together", 7, 7, true},
        {"sixty hosts go on and their keys are lost", 67, 0, true},
        {"sixty hosts start together", 67, 67, true},
        {"a third of sixty hosts starts and the keys of all are lost", 67, 22, true},
        {"a third of sixty hosts starts", 67, 22, false},
        {"three hundred hosts start together", 300, 300, true},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        manual_clock time;
        const time_point begin = time.now();
        std::mt19937 random(20261204); // NOLINT(*-msc51-cpp)
        std::uniform_real_distribution<double> uniform(0, 1);
        std::vector<std::unique_ptr<model_host>> hosts(item.hosts);
        std::vector<time_point> joinTimes(item.hosts);
        const auto start = [&](std::size_t number) {
            hosts[number] = std::make_unique<model_host>(time, fmt::format("host-{}", number));
        };
        // Keys are written again within two seconds.
        const auto join = [&](std::size_t number) {
            joinTimes[number] = time.now() + scaled(2s, uniform(random));
        };
        for (std::size_t number = 0; number < item.hosts; ++number) {
            start(number);
            join(number);
        }
        std::vector<time_point> sendTimes;
        bool hasHappened = false;
        while (time.now() - begin < observedUntil) {
            if (!hasHappened && time.now() - begin >= eventTime) {
                hasHappened = true;
                for (std::size_t number = 0; number < item.hosts; ++number) {
                    if (number < item.restarted)
                        start(number);
                    if (item.areKeysLost)
                        join(number);
                }
            }
            const auto listed = static_cast<std::size_t>(
                std::count_if(joinTimes.begin(), joinTimes.end(),
                              [&](time_point joinTime) { return joinTime <= time.now(); }));
            for (const auto &host : hosts) {
                host->observeMembers(listed);
                if (host->trySend() && time.now() - begin >= observedFrom)
                    sendTimes.push_back(time.now());
            }
            time.advance(5ms);
        }
        // The platform's bound is one and a half times the rate plus five requests.
        CHECK(double(tests::mostWithin(1s, sendTimes)) <= 1.5 * coldRate + 5);
        CHECK(double(sendTimes.size()) >= 0.6 * coldRate * 20);
    }
}
