#include <mustardcourse/serving/suspect_requests.h>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <tuple>

namespace mustardcourse::serving {

namespace {

constexpr std::string_view testPart = "test";
/** Delay before an ended target is shared, as the caller's next try may be answered meanwhile. */
constexpr std::chrono::milliseconds shareDelay{50};
constexpr std::size_t fingerprintDigits = 16;
/** Maximum size of a value; longer ones are of another writer. */
constexpr std::size_t maximumValueBytes = 256;
/** Time for which a permission to test is requested after it was last needed. */
constexpr std::chrono::seconds testRequestLifetime{1};

std::string entryName(request_fingerprint fingerprint, std::string_view part)
{
    return fmt::format("{}/{}", textOf(fingerprint), part);
}

struct parsed_name
{
    request_fingerprint fingerprint;
    std::string part;
};

/** Splits the name of an entry; returns nothing if it is of another writer. */
std::optional<parsed_name> parseName(std::string_view name)
{
    if (name.size() <= fingerprintDigits + 1 || name[fingerprintDigits] != '/')
        return std::nullopt;
    std::uint64_t number = 0;
    const char *end = name.data() + fingerprintDigits;
    const auto parsed = std::from_chars(name.data(), end, number, 16);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    const std::string_view part = name.substr(fingerprintDigits + 1);
    if (part != testPart && part.size() != fingerprintDigits)
        return std::nullopt;
    return parsed_name{request_fingerprint(number), std::string(part)};
}

/** The value of the entry of a test. */
struct test_entry
{
    /** Tests that were spent before. */
    std::size_t spentTests = 0;
    /** Who may test now, or has tested; empty if nobody does. */
    std::string holder;
};

std::string formatTest(const test_entry &test)
{
    return fmt::format("{}:{}", test.spentTests, test.holder);
}

/** Reads the value of a test's entry; one of another format names the holder of the first test. */
test_entry parseTest(const std::string &value)
{
    test_entry test;
    const char *end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, test.spentTests);
    if (parsed.ec != std::errc{} || parsed.ptr == end || *parsed.ptr != ':')
        return {0, value};
    test.holder.assign(parsed.ptr + 1, end);
    return test;
}

} // namespace

std::string textOf(request_fingerprint fingerprint)
{
    return fmt::format("{:016x}", fingerprint.value());
}

suspect_requests::suspect_requests(const clock &clock, const suspect_limits &limits)
    : m_clock(clock)
    , m_limits(limits)
{ }

std::size_t suspect_requests::endedTargetsOf(const suspect &entry) const
{
    return entry.entries.size() - entry.entries.count(std::string(testPart));
}

bool suspect_requests::isTestNeeded(const suspect &entry) const
{
    return entry.test != test_state::None || entry.entries.contains(std::string(testPart))
        || endedTargetsOf(entry) >= m_limits.endedTargets;
}

bool suspect_requests::hasFreshPermission(const suspect &entry) const
{
    return m_clock.now() < entry.ownHolderSince + m_limits.testDuration;
}

suspect_requests::test_state suspect_requests::stateWithoutOwnTest(const suspect &entry) const
{
    const auto found = entry.entries.find(std::string(testPart));
    const bool hasHolder =
        found != entry.entries.end() && !parseTest(found->second.value).holder.empty();
    return hasHolder ? test_state::Used : test_state::None;
}

std::size_t suspect_requests::spentTestsOf(const suspect &entry)
{
    const auto found = entry.entries.find(std::string(testPart));
    if (found == entry.entries.end())
        return 0;
    const test_entry test = parseTest(found->second.value);
    return test.spentTests + (test.holder.empty() ? 0 : 1);
}

duration suspect_requests::timeUntilNextTest(const suspect &entry) const
{
    const bool areAllSpent = spentTestsOf(entry) >= m_limits.maximumTests;
    const time_point next =
        areAllSpent ? entry.learnedAt + m_limits.lifetime : entry.testedAt + m_limits.retestDelay;
    return std::max(next - m_clock.now(), duration::zero());
}

void suspect_requests::notify()
{
    if (m_onChange)
        m_onChange();
}

send_permission suspect_requests::permissionFor(request_fingerprint fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || !isTestNeeded(found->second))
        return send_permission::Granted;
    suspect &entry = found->second;
    // A process that was paused may get here before expire() does.
    if (entry.test == test_state::Granted && !hasFreshPermission(entry))
        returnPermission(entry);
    switch (entry.test) {
    case test_state::None:
        requestTest(entry);
        return send_permission::Awaited;
    case test_state::Requested:
        entry.requestedAt = m_clock.now();
        return send_permission::Awaited;
    case test_state::Granted:
        return send_permission::Granted;
    case test_state::Running:
        return send_permission::Awaited;
    case test_state::Returning:
        if (entry.isReturnBegun || !hasFreshPermission(entry))
            return send_permission::Awaited;
        entry.test = test_state::Granted;
        return send_permission::Granted;
    case test_state::Used:
        if (timeUntilNextTest(entry) > duration::zero())
            return send_permission::Denied;
        requestTest(entry);
        return send_permission::Awaited;
    }
    return send_permission::Denied;
}

void suspect_requests::requestTest(suspect &entry)
{
    entry.test = test_state::Requested;
    entry.requestedAt = m_clock.now();
    notify();
}

bool suspect_requests::recordSent(request_fingerprint fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    const bool isTest = found != m_suspects.end() && found->second.test == test_state::Granted;
    if (isTest)
        found->second.test = test_state::Running;
    return isTest;
}

suspect_requests::suspect &suspect_requests::suspectFor(request_fingerprint fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() && m_suspects.size() >= m_limits.maximumSuspects)
        evictOne();
    suspect &entry = m_suspects[fingerprint];
    entry.learnedAt = m_clock.now();
    return entry;
}

void suspect_requests::evictOne()
{
    const auto rankOf = [this](const auto &candidate) {
        const suspect &entry = candidate.second;
        return std::tuple(entry.test != test_state::None, endedTargetsOf(entry), entry.learnedAt);
    };
    const auto evicted = std::min_element(
        m_suspects.begin(), m_suspects.end(),
        [&](const auto &left, const auto &right) { return rankOf(left) < rankOf(right); });
    removeSharedEntries(evicted->first, evicted->second);
    m_suspects.erase(evicted);
}

void suspect_requests::removeSharedEntries(request_fingerprint fingerprint, const suspect &entry)
{
    std::vector<std::string> names;
    for (const auto &[part, state] : entry.entries) {
        if (state.isShared)
            names.push_back(entryName(fingerprint, part));
    }
    if (names.empty())
        return;
    m_entriesToRemove.push_back(std::move(names));
    notify();
}

void suspect_requests::recordEndedTarget(request_fingerprint fingerprint, target_life life)
{
    suspect &entry = suspectFor(fingerprint);
    if (endedTargetsOf(entry) >= m_limits.endedTargets)
        return;
    entry.entries.try_emplace(
        fmt::format("{:016x}", life.value()),
        entry_state{.value = "ended", .isShared = false, .writeAt = m_clock.now() + shareDelay});
    notify();
}

bool suspect_requests::recordAnswer(request_fingerprint fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end())
        return false;
    removeSharedEntries(fingerprint, found->second);
    m_suspects.erase(found);
    return true;
}

void suspect_requests::recordTestUnanswered(request_fingerprint fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || found->second.test != test_state::Running)
        return;
    found->second.ownHolder.clear();
    found->second.test = stateWithoutOwnTest(found->second);
}

void suspect_requests::recordTestNotRun(request_fingerprint fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end() && found->second.test == test_state::Running)
        returnPermission(found->second);
}

void suspect_requests::returnPermission(suspect &entry)
{
    entry.test = test_state::Returning;
    entry.isReturnBegun = false;
    notify();
}

duration suspect_requests::remainingTime(request_fingerprint fingerprint) const
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || m_clock.now() < found->second.testedAt + m_limits.testDuration)
        return duration::zero();
    return timeUntilNextTest(found->second);
}

void suspect_requests::applyEntry(const std::string &name, const std::string &value)
{
    const auto parsed = parseName(name);
    if (!parsed || value.size() > maximumValueBytes)
        return;
    suspect &entry = suspectFor(parsed->fingerprint);
    entry_state &state = entry.entries[parsed->part];
    state.value = value;
    state.isShared = true;
    if (parsed->part == testPart)
        applyTest(entry, value);
}

void suspect_requests::applyTest(suspect &entry, const std::string &value)
{
    entry.testedAt = m_clock.now();
    const std::string holder = parseTest(value).holder;
    const bool isOwn = !m_holderPrefix.empty() && holder.starts_with(m_holderPrefix);
    const bool isPending = entry.test == test_state::None || entry.test == test_state::Requested;
    if (entry.test == test_state::Running || (isOwn && !isPending))
        return;
    if (!isOwn) {
        // The request for a permission that another host has returned is repeated.
        const bool isRequestOpen = entry.test == test_state::Requested && holder.empty();
        if (isRequestOpen)
            return;
        entry.ownHolder.clear();
        entry.test = stateWithoutOwnTest(entry);
        return;
    }
    const bool isEarlierTest = holder != entry.ownHolder;
    if (isEarlierTest && entry.test == test_state::Requested)
        return;
    if (!isEarlierTest && hasFreshPermission(entry))
        entry.test = test_state::Granted;
    else
        returnPermission(entry);
}

void suspect_requests::removeEntry(const std::string &name)
{
    const auto parsed = parseName(name);
    if (!parsed)
        return;
    const auto found = m_suspects.find(parsed->fingerprint);
    if (found == m_suspects.end())
        return;
    suspect &entry = found->second;
    const auto state = entry.entries.find(parsed->part);
    if (state == entry.entries.end() || !state->second.isShared)
        return;
    entry.entries.erase(state);
    const bool isTestWithoutEntry = parsed->part == testPart && entry.test != test_state::Running
        && entry.test != test_state::Requested;
    if (isTestWithoutEntry) {
        entry.ownHolder.clear();
        entry.test = test_state::None;
    }
    if (entry.entries.empty())
        m_suspects.erase(found);
}

void suspect_requests::writeAgain(duration delay)
{
    for (auto &[fingerprint, entry] : m_suspects) {
        for (auto &[part, state] : entry.entries) {
            state.isShared = false;
            state.writeAt = m_clock.now() + delay;
        }
    }
    if (!m_suspects.empty())
        notify();
}

void suspect_requests::expire()
{
    const time_point now = m_clock.now();
    for (auto &[fingerprint, entry] : m_suspects) {
        const bool isRequestOld = now >= entry.requestedAt + testRequestLifetime;
        if (entry.test == test_state::Requested && isRequestOld)
            entry.test = stateWithoutOwnTest(entry);
        if (entry.test == test_state::Granted && !hasFreshPermission(entry))
            returnPermission(entry);
    }
    for (auto found = m_suspects.begin(); found != m_suspects.end();) {
        if (now < found->second.learnedAt + m_limits.lifetime) {
            ++found;
            continue;
        }
        removeSharedEntries(found->first, found->second);
        found = m_suspects.erase(found);
    }
}

std::vector<request_fingerprint> suspect_requests::testsIn(test_state state) const
{
    std::vector<request_fingerprint> found;
    for (const auto &[fingerprint, entry] : m_suspects) {
        if (entry.test == state)
            found.push_back(fingerprint);
    }
    return found;
}

std::vector<request_fingerprint> suspect_requests::requestedTests() const
{
    return testsIn(test_state::Requested);
}

std::string suspect_requests::testEntryName(request_fingerprint fingerprint)
{
    return entryName(fingerprint, testPart);
}

suspect_entry suspect_requests::beginTestRequest(request_fingerprint fingerprint)
{
    suspect &entry = m_suspects.at(fingerprint);
    if (entry.ownHolder.empty()) {
        entry.ownHolder = m_holderPrefix + std::to_string(++m_lastHolderNumber);
        entry.ownHolderSince = m_clock.now();
    }
    return {testEntryName(fingerprint), formatTest({spentTestsOf(entry), entry.ownHolder})};
}

std::vector<request_fingerprint> suspect_requests::returnedTests() const
{
    return testsIn(test_state::Returning);
}

returned_test suspect_requests::beginTestReturn(request_fingerprint fingerprint)
{
    suspect &entry = m_suspects.at(fingerprint);
    entry.isReturnBegun = true;
    returned_test returned{testEntryName(fingerprint), std::nullopt};
    const auto found = entry.entries.find(std::string(testPart));
    const std::size_t spentTests =
        found == entry.entries.end() ? 0 : parseTest(found->second.value).spentTests;
    if (spentTests > 0)
        returned.formerValue = formatTest({spentTests, ""});
    return returned;
}

void suspect_requests::endTestReturn(request_fingerprint fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || found->second.test != test_state::Returning)
        return;
    suspect &entry = found->second;
    entry.ownHolder.clear();
    const auto state = entry.entries.find(std::string(testPart));
    if (state != entry.entries.end() && parseTest(state->second.value).spentTests == 0)
        entry.entries.erase(state);
    entry.test = test_state::None;
}

std::optional<time_point> suspect_requests::nextWrite() const
{
    std::optional<time_point> next;
    for (const auto &[fingerprint, entry] : m_suspects) {
        for (const auto &[part, state] : entry.entries) {
            if (!state.isShared)
                next = std::min(next.value_or(state.writeAt), state.writeAt);
        }
    }
    return next;
}

std::vector<suspect_entry> suspect_requests::entriesToWrite() const
{
    std::vector<suspect_entry> best;
    std::size_t mostEnded = 0;
    for (const auto &[fingerprint, entry] : m_suspects) {
        std::vector<suspect_entry> due;
        for (const auto &[part, state] : entry.entries) {
            if (!state.isShared && m_clock.now() >= state.writeAt)
                due.push_back({entryName(fingerprint, part), state.value});
        }
        if (due.empty() || (!best.empty() && endedTargetsOf(entry) <= mostEnded))
            continue;
        mostEnded = endedTargetsOf(entry);
        best = std::move(due);
    }
    return best;
}

std::vector<std::string> suspect_requests::takeEntriesToRemove()
{
    if (m_entriesToRemove.empty())
        return {};
    std::vector<std::string> names = std::move(m_entriesToRemove.back());
    m_entriesToRemove.pop_back();
    return names;
}

void suspect_requests::returnEntriesToRemove(std::vector<std::string> names)
{
    if (m_entriesToRemove.size() < m_limits.maximumSuspects)
        m_entriesToRemove.push_back(std::move(names));
}

} // namespace mustardcourse::serving
