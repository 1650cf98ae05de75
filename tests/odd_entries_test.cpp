// Guards against hosts that end or stop following the store for an odd entry among the targets.

#include "single_host_fixture.h"

#include <sys/resource.h>

using namespace mustardcourse;
using namespace std::chrono_literals;
using tests::single_host_fixture;

namespace {

/** Time within which the platform requires a confirmed configuration to apply. */
constexpr duration activationTimeLimit = 3s;

std::string repeated(const std::string &text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

/** Returns a registration that is valid but for one field, whose value is given as JSON text. */
std::string registrationWith(const std::string &field, const std::string &value)
{
    std::map<std::string, std::string> fields{
        {"Service", "\"s1\""},      {"Address", "\"127.0.0.1:9999\""},
        {"Zone", "\"riga\""},       {"MaxConcurrency", "2"},
        {"State", "\"draining\""},  {"WarmupLeftMs", "0"},
        {"Sequence", "1"},          {"born", "1"},
        {"ConfigVersion", "\"v1\""}};
    fields[field] = value;
    std::string text;
    for (const auto &[name, content] : fields)
        text += (text.empty() ? "{\"" : ",\"") + name + "\":" + content;
    return text + "}";
}

/** Returns the highest memory of this process so far, in megabytes. */
long peakMemory()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss / 1024;
}

} // namespace

TEST_CASE("a host serves and follows the store whatever another writer leaves among the targets")
{
    struct row
    {
        std::string name;
        std::string value;
        std::string key = "servers/odd";
    };
    constexpr std::size_t depth = 400'000;
    /** Size of a document from which its memory is compared. */
    constexpr std::size_t largeSize = 100'000;
    const std::string nested = repeated("[", depth) + repeated("]", depth);
    const std::string nestedObjects =
        repeated("{\"a\":", depth / 5) + "1" + repeated("}", depth / 5);
    const std::string tooLarge = "1" + std::string(400, '0');
    std::vector<row> rows{
        {"nothing", ""},
        {"not JSON", "\xff\xfe{"},
        {"nested lists", nested},
        {"nested lists without an end", repeated("[", 2 * depth)},
        {"nested objects", nestedObjects},
        {"a nested field", registrationWith("Service", nested)},
        {"a nested field that is not used", registrationWith("Other", nested)},
        {"a port out of range", registrationWith("Address", "\"127.0.0.1:99999\"")},
        {"a negative port", registrationWith("Address", "\"127.0.0.1:-1\"")},
        {"port zero", registrationWith("Address", "\"127.0.0.1:0\"")},
        {"no port", registrationWith("Address", "\"127.0.0.1\"")},
        {"an address that is a name", registrationWith("Address", "\"localhost:80\"")},
        {"an address that is a number", registrationWith("Address", "80")},
        {"control characters in a name", registrationWith("Service", "\"s1\\r\\nX: y\"")},
        {"a long name", registrationWith("Zone", "\"" + std::string(300'000, 'z') + "\"")},
        {"control characters in the key", registrationWith("State", "\"ready\""),
         "servers/odd\r\nX-Attempt-Id: other"},
        {"a usable entry with an odd key", registrationWith("State", "\"ready\""),
         "servers/" + std::string(190, 'k')},
    };
    for (const char *field : {"MaxConcurrency", "WarmupLeftMs", "Sequence", "born"}) {
        for (const std::string &number :
             {tooLarge, "-" + tooLarge, std::string("1e400"), std::string("1e300"),
              std::string("18446744073709551615"), std::string("18446744073709551616"),
              std::string("9007199254740992"), std::string("-1"), std::string("0.5"),
              std::string("null"), std::string("\"1\"")})
            rows.push_back({fmt::format("{} is {}", field, number.substr(0, 24)),
                            registrationWith(field, number)});
    }
    single_host_fixture f;
    f.startHostWithOneRoute();
    std::uint64_t version = 1;
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        const auto memoryFor = [&](const std::string &value) {
            const long memoryBefore = peakMemory();
            f.store.put(testCase.key, value);
            f.writeConfiguration(++version, 0);
            f.runUntil([&] { return f.activeVersion() == version; }, activationTimeLimit);
            return peakMemory() - memoryBefore;
        };
        // In a sanitized build freed memory counts, as it does for a flat document of this size.
        const std::size_t size = testCase.value.size();
        const long memoryForFlat =
            size < largeSize ? 0 : memoryFor("\"" + std::string(size, 'x') + "\"");
        const long memory = memoryFor(testCase.value);
        CHECK(f.get("/", single_host_fixture::readinessPort).status == 200);
        const std::string served = f.request(single_host_fixture::callerRequest());
        CHECK(served.starts_with("HTTP/1.1 200"));
        CHECK(memory - memoryForFlat <= 30);
        f.store.erase(testCase.key);
    }
    CHECK(f.target.arrivalCount() == rows.size());
}
