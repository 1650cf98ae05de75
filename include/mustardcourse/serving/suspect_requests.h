#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/core/ids.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mustardcourse::serving {

/** Hash of what makes two requests of callers the same one under different ids: host name, method,
    path, query and body. */
using request_fingerprint = strong_value<struct request_fingerprint_tag, std::uint64_t>;

/** Identifies one life of a target, from one start to the next. */
using target_life = strong_value<struct target_life_tag, std::uint64_t>;

/** Returns a fingerprint as it is written to logs and keys. */
std::string textOf(request_fingerprint fingerprint);

/** Whether a request may be sent to a target now. */
enum class send_permission {
    Granted,
    /** It has to wait for the permission to test, or for the result of its test. */
    Awaited,
    /** It has ended too many targets. */
    Denied,
};

struct suspect_limits
{
    /** Number of targets that have ended while they ran a request, with no answer since, from which
        it is sent only as a test. */
    std::size_t endedTargets = 3;
    /** Time for which a host remembers a suspect request after it last learned something of it. */
    duration lifetime = std::chrono::minutes(10);
    /** Time for which a permission to test may be used after it was requested. */
    duration testDuration = std::chrono::seconds(2);
    /** Time after a test was permitted, without an answer since, from which another one is: its
       host may have ended before it tested, and its target for another cause than the request.
       Longer than a permission by the time in which a host that was frozen counts as disturbed. */
    duration retestDelay = std::chrono::seconds(8);
    /** Tests without an answer after which a request is denied for its lifetime. */
    std::size_t maximumTests = 3;
    std::size_t maximumSuspects = 256;
};

/** An entry of the shared knowledge about a suspect request. */
struct suspect_entry
{
    std::string name;
    std::string value;
};

/** What replaces the entry of a test that was permitted and not run. */
struct returned_test
{
    std::string name;
    /** The value that it had before; nothing if it has to be removed. */
    std::optional<std::string> formerValue;
};

/**
    Requests that are suspected of ending the targets that run them.

    Every request that a target is running when it ends is suspect, so one ended target proves
    nothing. After several, without an answer since, a request is sent to one more target as a
    test, by one host of all. An answer clears it; if there is none, it is denied at all hosts, and
    after a while another test is permitted, a few times.

    The hosts share what they know as entries with unique names, which suspect_sharing writes to the
    store: one for each life of a target that has ended, and one for the test. Those of targets are
    only added, or all removed when the request is cleared, so hosts need not coordinate. That of
    the test says how many tests were spent before and which host may test now; a host changes it
    only if it is still as this host knows it. Bounded, and performs no I/O.
*/
class suspect_requests
{
public:
    explicit suspect_requests(const clock &clock, const suspect_limits &limits = {});

    /** Sets the prefix of the names under which this process holds permissions to test; no other
        process has it, nor an earlier one of this host. */
    void setHolderPrefix(std::string prefix) { m_holderPrefix = std::move(prefix); }

    /** Sets a handler that is called when there is something to share. */
    void onChange(std::function<void()> handler) { m_onChange = std::move(handler); }

    /** Returns whether a request may be sent, and requests permission for a test if it needs one.
     */
    [[nodiscard]] send_permission permissionFor(request_fingerprint fingerprint);

    /** Records that a request is sent, for which permission was granted.
        @returns whether it is sent as the test */
    bool recordSent(request_fingerprint fingerprint);

    /** Records that a target ended while it ran a request. */
    void recordEndedTarget(request_fingerprint fingerprint, target_life life);

    /** Records that a target answered a request, which clears it.
        @returns whether it was suspect */
    bool recordAnswer(request_fingerprint fingerprint);

    /** Records that the test was not run by any target, so that another one is allowed. */
    void recordTestNotRun(request_fingerprint fingerprint);

    /** Records that the test may have run and was not answered, so that the request is denied. */
    void recordTestUnanswered(request_fingerprint fingerprint);

    /** Returns for how long a request stays denied, until another test is permitted or it is
        forgotten; zero if a test may still be running. */
    [[nodiscard]] duration remainingTime(request_fingerprint fingerprint) const;

    [[nodiscard]] std::size_t count() const noexcept { return m_suspects.size(); }

    /** Records that an entry is shared by this or another host. Other names are ignored. */
    void applyEntry(const std::string &name, const std::string &value);
    /** Records that a shared entry has been removed, unless this host is about to write it. */
    void removeEntry(const std::string &name);
    /** Records that the shared entries may be lost, and have to be written again after a delay. */
    void writeAgain(duration delay);
    /** Forgets what is older than the lifetime. */
    void expire();

    /** Returns the requests for whose test a permission is requested. */
    [[nodiscard]] std::vector<request_fingerprint> requestedTests() const;
    /** Returns the entry that stands for the test of a request. Its value identifies the host. */
    [[nodiscard]] static std::string testEntryName(request_fingerprint fingerprint);
    /** Begins to request the permission for a test. If the result stays unknown, applyEntry() tells
        it later.
        @returns the entry to write if the present one, or its absence, is as this host knows it */
    suspect_entry beginTestRequest(request_fingerprint fingerprint);
    /** Returns the requests for whose test this host has a permission that it doesn't need. */
    [[nodiscard]] std::vector<request_fingerprint> returnedTests() const;
    /** Begins to return a permission, which is not used from now on. */
    returned_test beginTestReturn(request_fingerprint fingerprint);
    /** Records that a permission was returned. */
    void endTestReturn(request_fingerprint fingerprint);

    /** Returns the entries of one request that have to be written now; of those, the request that
        has ended the most targets. */
    [[nodiscard]] std::vector<suspect_entry> entriesToWrite() const;
    /** Returns the time from which entriesToWrite() returns something, or nothing. */
    [[nodiscard]] std::optional<time_point> nextWrite() const;
    /** Takes the names of the entries of one request that have to be removed. */
    [[nodiscard]] std::vector<std::string> takeEntriesToRemove();
    /** Returns entries that could not be removed, so that it is tried again. */
    void returnEntriesToRemove(std::vector<std::string> names);
    [[nodiscard]] bool hasEntriesToRemove() const noexcept { return !m_entriesToRemove.empty(); }

private:
    enum class test_state {
        /** No host has the permission to test. */
        None,
        /** This host has requested the permission. */
        Requested,
        /** This host has the permission and has not used it. */
        Granted,
        /** The test of this host is running. */
        Running,
        /** This host has the permission, and returns it unless it needs it again before. */
        Returning,
        /** A host has tested, or is testing, and there is no answer. */
        Used,
    };
    struct entry_state
    {
        std::string value;
        bool isShared = false;
        /** When to write it if it is not shared. */
        time_point writeAt;
    };
    struct suspect
    {
        /** By the part of the name after the fingerprint. */
        std::map<std::string, entry_state> entries;
        test_state test = test_state::None;
        /** The name under which this host holds or requests the permission; empty if it doesn't. */
        std::string ownHolder;
        /** When this host began to request the permission under that name. */
        time_point ownHolderSince;
        /** Whether a call that returns the permission may have been executed. */
        bool isReturnBegun = false;
        /** When this host last needed the permission to test. */
        time_point requestedAt;
        /** When this host learned that the permission to test was given. */
        time_point testedAt;
        time_point learnedAt;
    };

    suspect &suspectFor(request_fingerprint fingerprint);
    [[nodiscard]] std::size_t endedTargetsOf(const suspect &entry) const;
    [[nodiscard]] bool isTestNeeded(const suspect &entry) const;
    [[nodiscard]] bool hasFreshPermission(const suspect &entry) const;
    [[nodiscard]] test_state stateWithoutOwnTest(const suspect &entry) const;
    /** Returns how many tests of a request were spent, with that of the present holder. */
    [[nodiscard]] static std::size_t spentTestsOf(const suspect &entry);
    /** Returns how long no other test is permitted. */
    [[nodiscard]] duration timeUntilNextTest(const suspect &entry) const;
    [[nodiscard]] std::vector<request_fingerprint> testsIn(test_state state) const;
    void requestTest(suspect &entry);
    void applyTest(suspect &entry, const std::string &value);
    void evictOne();
    void returnPermission(suspect &entry);
    void removeSharedEntries(request_fingerprint fingerprint, const suspect &entry);
    void notify();

    const clock &m_clock;
    suspect_limits m_limits;
    std::function<void()> m_onChange;
    std::string m_holderPrefix;
    std::uint64_t m_lastHolderNumber = 0;
    std::map<request_fingerprint, suspect> m_suspects;
    std::vector<std::vector<std::string>> m_entriesToRemove;
};

} // namespace mustardcourse::serving
