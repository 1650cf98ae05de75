// Guards against requests that end target after target, and against harmless ones that are denied.

#include "property.h"

#include <mustardcourse/serving/suspect_requests.h>

#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <map>
#include <optional>

using namespace mustardcourse;
using namespace mustardcourse::serving;
using namespace std::chrono_literals;

namespace {

constexpr request_fingerprint suspicious(1);
constexpr request_fingerprint harmless(2);

/** The shared entries of several hosts, which learn of each change at once unless they are cut off.
 */
class shared_store
{
public:
    explicit shared_store(std::vector<suspect_requests *> hosts)
        : m_hosts(std::move(hosts))
    {
        for (std::size_t number = 0; number < m_hosts.size(); ++number)
            m_hosts[number]->setHolderPrefix("host-" + std::to_string(number) + "#");
    }

    void put(const std::string &name, const std::string &value)
    {
        m_entries[name] = value;
        for (suspect_requests *host : m_hosts)
            host->applyEntry(name, value);
    }

    void remove(const std::string &name)
    {
        if (m_entries.erase(name) == 0)
            return;
        for (suspect_requests *host : m_hosts)
            host->removeEntry(name);
    }

    /** Carries out what a host has to share, as suspect_sharing does. */
    void exchange(suspect_requests &host)
    {
        for (const request_fingerprint fingerprint : host.requestedTests()) {
            const suspect_entry requested = host.beginTestRequest(fingerprint);
            put(requested.name, requested.value);
        }
        for (const request_fingerprint fingerprint : host.returnedTests()) {
            const returned_test returned = host.beginTestReturn(fingerprint);
            if (returned.formerValue)
                put(returned.name, *returned.formerValue);
            else
                remove(returned.name);
            host.endTestReturn(fingerprint);
        }
        for (auto due = host.entriesToWrite(); !due.empty(); due = host.entriesToWrite()) {
            for (const suspect_entry &entry : due)
                put(entry.name, entry.value);
        }
        while (host.hasEntriesToRemove()) {
            for (const std::string &name : host.takeEntriesToRemove())
                remove(name);
        }
    }

    /** Loses all entries, as a restore from an older copy does. */
    void lose(duration delay)
    {
        m_entries.clear();
        for (suspect_requests *host : m_hosts)
            host->writeAgain(delay);
    }

    [[nodiscard]] const std::map<std::string, std::string> &entries() const { return m_entries; }

private:
    std::vector<suspect_requests *> m_hosts;
    std::map<std::string, std::string> m_entries;
};

/** Two hosts and their shared entries. */
struct fixture
{
    void share()
    {
        time.advance(100ms);
        for (suspect_requests *host : {&first, &second})
            store.exchange(*host);
    }

    /** Lets targets end under the suspicious request at the first host. */
    void endTargets(std::uint64_t count)
    {
        for (std::uint64_t life = 1; life <= count; ++life)
            first.recordEndedTarget(suspicious, target_life(life));
        share();
    }

    /** Gives a host the permission to test, after three targets have ended. */
    void permitTest(suspect_requests &host)
    {
        static_cast<void>(host.permissionFor(suspicious));
        share();
        REQUIRE(host.permissionFor(suspicious) == send_permission::Granted);
    }

    /** Lets a host test without an answer. */
    void spendTest(suspect_requests &host)
    {
        permitTest(host);
        REQUIRE(host.recordSent(suspicious));
        host.recordTestUnanswered(suspicious);
        share();
    }

    manual_clock time;
    suspect_requests first{time};
    suspect_requests second{time};
    shared_store store{{&first, &second}};
};

} // namespace

TEST_CASE("which requests are sent and tested and denied after targets have ended")
{
    struct row
    {
        std::string name;
        std::function<void(fixture &)> happens;
        send_permission atFirst;
        send_permission atSecond;
    };
    const auto test = [](fixture &f) {
        f.endTargets(3);
        static_cast<void>(f.first.permissionFor(suspicious));
        f.share();
        f.first.recordSent(suspicious);
    };
    using enum send_permission;
    const row rows[] = {
        {"nothing has happened", [](fixture &) {}, Granted, Granted},
        {"two targets", [](fixture &f) { f.endTargets(2); }, Granted, Granted},
        {"three targets", [](fixture &f) { f.endTargets(3); }, Awaited, Awaited},
        {"one target that is named by several attempts",
         [](fixture &f) {
             for (int i = 0; i < 5; ++i)
                 f.first.recordEndedTarget(suspicious, target_life(1));
             f.share();
         },
         Granted, Granted},
        {"three targets at two hosts",
         [](fixture &f) {
             f.endTargets(2);
             f.second.recordEndedTarget(suspicious, target_life(7));
             f.share();
         },
         Awaited, Awaited},
        {"an answer between the ends",
         [](fixture &f) {
             f.endTargets(2);
             f.second.recordAnswer(suspicious);
             f.share();
             f.first.recordEndedTarget(suspicious, target_life(7));
             f.share();
         },
         Granted, Granted},
        {"permission for a test",
         [](fixture &f) {
             f.endTargets(3);
             static_cast<void>(f.first.permissionFor(suspicious));
             f.share();
         },
         Granted, Denied},
        {"a test that is running", test, Awaited, Denied},
        {"a test that is answered",
         [test](fixture &f) {
             test(f);
             f.first.recordAnswer(suspicious);
             f.share();
         },
         Granted, Granted},
        {"a test under which the target ends",
         [test](fixture &f) {
             test(f);
             f.first.recordEndedTarget(suspicious, target_life(9));
             f.first.recordTestUnanswered(suspicious);
             f.share();
         },
         Denied, Denied},
        {"a test that is not run",
         [test](fixture &f) {
             test(f);
             f.first.recordTestNotRun(suspicious);
             f.share();
         },
         Awaited, Awaited},
        {"a permission that is not used",
         [](fixture &f) {
             f.endTargets(3);
             static_cast<void>(f.first.permissionFor(suspicious));
             f.share();
             f.time.advance(3s);
             f.first.expire();
             f.share();
         },
         Awaited, Awaited},
        {"ten minutes without news",
         [test](fixture &f) {
             test(f);
             f.first.recordTestUnanswered(suspicious);
             f.share();
             f.time.advance(11min);
             f.first.expire();
             f.second.expire();
             f.share();
         },
         Granted, Granted},
        {"a store that loses the entries",
         [test](fixture &f) {
             test(f);
             f.first.recordTestUnanswered(suspicious);
             f.share();
             f.store.lose(1s);
             f.time.advance(1s);
             f.share();
         },
         Denied, Denied},
        {"another host's entry that cannot be read",
         [](fixture &f) {
             for (const char *name : {"", "/", "1", "zz", "0000000000000001/", "no/test",
                                      "0000000000000001/x", "000000000000000x/test"})
                 f.store.put(name, "x");
             f.store.put("0000000000000001/test", std::string(1000, 'x'));
         },
         Granted, Granted},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        fixture f;
        testCase.happens(f);
        CHECK(f.second.permissionFor(suspicious) == testCase.atSecond);
        CHECK(f.first.permissionFor(suspicious) == testCase.atFirst);
        CHECK(f.first.permissionFor(harmless) == send_permission::Granted);
    }
}

TEST_CASE("a host that starts knows the requests that are denied")
{
    fixture f;
    f.endTargets(3);
    for (std::size_t test = 0; test < suspect_limits().maximumTests; ++test) {
        f.time.advance(suspect_limits().retestDelay);
        f.spendTest(test % 2 == 0 ? f.first : f.second);
    }
    suspect_requests started(f.time);
    for (const auto &[name, value] : f.store.entries())
        started.applyEntry(name, value);
    f.time.advance(suspect_limits().retestDelay + 1s);
    CHECK(started.permissionFor(suspicious) == send_permission::Denied);
    CHECK(started.remainingTime(suspicious) > 5min);
    CHECK(f.first.permissionFor(suspicious) == send_permission::Denied);
    CHECK(f.second.permissionFor(suspicious) == send_permission::Denied);
}

TEST_CASE("a request whose permission to test is lost with its host is tested by another one")
{
    struct row
    {
        std::string name;
        /** What becomes of the first host, which has the permission to test. */
        std::function<void(fixture &)> happens;
        /** How the request may be sent from the first host when the other one may test it. */
        send_permission atFirst;
    };
    using enum send_permission;
    const row rows[] = {
        {"a host that ends", [](fixture &) {}, Denied},
        {"a host that is frozen and does not notice before its next request",
         [](fixture &f) {
             f.time.advance(suspect_limits().testDuration);
             CHECK(f.first.permissionFor(suspicious) == Awaited);
         },
         Denied},
        {"a host whose test has no answer",
         [](fixture &f) {
             CHECK(f.first.recordSent(suspicious));
             f.first.recordTestUnanswered(suspicious);
         },
         Denied},
        {"a host that can't return the permission as it has lost the store",
         [](fixture &f) {
             CHECK(f.first.recordSent(suspicious));
             f.first.recordTestNotRun(suspicious);
             static_cast<void>(f.first.beginTestReturn(suspicious));
         },
         Denied},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        fixture f;
        f.endTargets(3);
        f.permitTest(f.first);
        testCase.happens(f);
        CHECK(f.second.permissionFor(suspicious) == Denied);
        CHECK(f.second.remainingTime(suspicious) <= suspect_limits().retestDelay);
        f.time.advance(suspect_limits().retestDelay);
        // Only the second host reaches the store.
        CHECK(f.second.permissionFor(suspicious) == Awaited);
        f.store.exchange(f.second);
        CHECK(f.second.permissionFor(suspicious) == Granted);
        CHECK(f.first.permissionFor(suspicious) == testCase.atFirst);
        CHECK(f.second.recordSent(suspicious));
        f.second.recordAnswer(suspicious);
        f.store.exchange(f.second);
        CHECK(f.second.permissionFor(suspicious) == Granted);
        CHECK(f.first.permissionFor(suspicious) == Granted);
    }
}

TEST_CASE("a permission that is needed again before it has been returned is not requested anew")
{
    fixture f;
    f.endTargets(3);
    f.permitTest(f.first);
    CHECK(f.first.recordSent(suspicious));
    f.first.recordTestNotRun(suspicious);
    SUBCASE("and is still this host's")
    {
        CHECK(f.first.permissionFor(suspicious) == send_permission::Granted);
        CHECK(f.first.requestedTests().empty());
        CHECK(f.first.returnedTests().empty());
    }
    SUBCASE("unless a call may have returned it")
    {
        static_cast<void>(f.first.beginTestReturn(suspicious));
        CHECK(f.first.permissionFor(suspicious) == send_permission::Awaited);
        f.store.remove(suspect_requests::testEntryName(suspicious));
        CHECK(f.first.permissionFor(suspicious) == send_permission::Awaited);
        CHECK(f.first.requestedTests().size() == 1);
    }
    SUBCASE("unless it has run out")
    {
        f.time.advance(suspect_limits().testDuration);
        CHECK(f.first.permissionFor(suspicious) == send_permission::Awaited);
        CHECK(f.first.returnedTests().size() == 1);
    }
}

TEST_CASE("tests that were spent count also if a later one was not run")
{
    fixture f;
    f.endTargets(3);
    f.spendTest(f.first);
    for (int round = 0; round < 5; ++round) {
        f.time.advance(suspect_limits().retestDelay);
        f.permitTest(f.second);
        CHECK(f.second.recordSent(suspicious));
        f.second.recordTestNotRun(suspicious);
        f.share();
        CHECK(f.first.permissionFor(suspicious) == send_permission::Awaited);
        f.share();
        f.time.advance(suspect_limits().testDuration);
        f.first.expire();
        f.share();
    }
    f.spendTest(f.first);
    f.time.advance(suspect_limits().retestDelay);
    f.spendTest(f.second);
    f.time.advance(suspect_limits().retestDelay);
    CHECK(f.first.permissionFor(suspicious) == send_permission::Denied);
    CHECK(f.second.permissionFor(suspicious) == send_permission::Denied);
}

TEST_CASE("a spent test of this host counts although its entry is seen again before the next one")
{
    fixture f;
    f.endTargets(3);
    f.spendTest(f.first);
    f.time.advance(suspect_limits().retestDelay);
    CHECK(f.first.permissionFor(suspicious) == send_permission::Awaited);
    // The store was restored, and a host has written the entry again.
    const auto entries = f.store.entries();
    for (const auto &[name, value] : entries)
        f.store.put(name, value);
    CHECK(f.first.returnedTests().empty());
    CHECK(f.first.requestedTests().size() == 1);
    const std::string before = entries.at(suspect_requests::testEntryName(suspicious));
    CHECK(before.starts_with("0:"));
    CHECK(f.first.beginTestRequest(suspicious).value.starts_with("1:"));
}

TEST_CASE("a permission whose response was lost is used once its entry is seen")
{
    fixture f;
    f.endTargets(3);
    CHECK(f.first.permissionFor(suspicious) == send_permission::Awaited);
    const suspect_entry requested = f.first.beginTestRequest(suspicious);
    CHECK(f.first.beginTestRequest(suspicious).value == requested.value);
    f.store.put(requested.name, requested.value);
    CHECK(f.first.permissionFor(suspicious) == send_permission::Granted);
    CHECK(f.first.recordSent(suspicious));
    // The entry that is listed again is not another permission.
    f.store.put(requested.name, requested.value);
    CHECK(f.first.permissionFor(suspicious) != send_permission::Granted);
}

TEST_CASE("a permission whose entry is seen after it has run out is returned")
{
    fixture f;
    f.endTargets(3);
    CHECK(f.first.permissionFor(suspicious) == send_permission::Awaited);
    const suspect_entry requested = f.first.beginTestRequest(suspicious);
    f.time.advance(suspect_limits().testDuration);
    f.store.put(requested.name, requested.value);
    CHECK(f.first.permissionFor(suspicious) == send_permission::Awaited);
    CHECK(f.first.returnedTests().size() == 1);
    f.store.exchange(f.first);
    CHECK(f.second.permissionFor(suspicious) == send_permission::Awaited);
}

TEST_CASE("many different requests take no more than the bound and leave a denied one in place")
{
    fixture f;
    f.endTargets(3);
    for (std::uint64_t number = 10; number < 2000; ++number) {
        f.first.recordEndedTarget(request_fingerprint(number), target_life(1));
        f.share();
    }
    CHECK(f.first.count() <= 256);
    CHECK(f.store.entries().size() <= 256 + 3);
    CHECK(f.first.permissionFor(suspicious) == send_permission::Awaited);
}

TEST_CASE("a request that ends every target reaches few of them after the third at any hosts")
{
    CHECK_PROPERTY("crashes", [](const std::vector<std::uint8_t> &events) {
        manual_clock time;
        std::array<std::optional<suspect_requests>, 4> hosts;
        std::vector<suspect_requests *> pointers;
        for (auto &host : hosts)
            pointers.push_back(&host.emplace(time));
        shared_store store(pointers);
        std::uint64_t ended = 0;
        std::size_t sentAfterThird = 0;
        for (const std::uint8_t event : events) {
            suspect_requests &host = *pointers[event % pointers.size()];
            if (event % 16 == 0)
                store.lose(0s);
            const bool isAllowed = host.permissionFor(suspicious) == send_permission::Granted;
            if (isAllowed) {
                sentAfterThird += ended >= 3 ? 1 : 0;
                const bool isTest = host.recordSent(suspicious);
                host.recordEndedTarget(suspicious, target_life(++ended));
                if (isTest)
                    host.recordTestUnanswered(suspicious);
            }
            time.advance(60ms);
            for (suspect_requests *sharing : pointers)
                store.exchange(*sharing);
            time.advance(60ms);
            for (suspect_requests *sharing : pointers)
                store.exchange(*sharing);
        }
        RC_ASSERT(sentAfterThird <= 3u);
    });
}

TEST_CASE("requests that are answered when they are sent again are never denied")
{
    CHECK_PROPERTY("bystanders", [](const std::vector<std::uint8_t> &events) {
        manual_clock time;
        std::array<std::optional<suspect_requests>, 3> hosts;
        std::vector<suspect_requests *> pointers;
        for (auto &host : hosts)
            pointers.push_back(&host.emplace(time));
        shared_store store(pointers);
        std::uint64_t life = 0;
        for (const std::uint8_t event : events) {
            suspect_requests &host = *pointers[event % pointers.size()];
            const request_fingerprint fingerprint(event / 3 % 8);
            // All targets of a data centre end while the request is running at several of them.
            const bool isOutage = event % 5 == 0;
            for (int target = 0; isOutage && target < 4; ++target)
                host.recordEndedTarget(fingerprint, target_life(++life));
            time.advance(100ms);
            for (suspect_requests *sharing : pointers)
                store.exchange(*sharing);
            suspect_requests &other = *pointers[(event + 1) % pointers.size()];
            const bool isTestNeeded = other.permissionFor(fingerprint) == send_permission::Awaited;
            store.exchange(other);
            RC_ASSERT(other.permissionFor(fingerprint) == send_permission::Granted);
            RC_ASSERT(other.recordSent(fingerprint) == isTestNeeded);
            other.recordAnswer(fingerprint);
            store.exchange(other);
            for (suspect_requests *sharing : pointers)
                RC_ASSERT(sharing->permissionFor(fingerprint) == send_permission::Granted);
        }
    });
}
