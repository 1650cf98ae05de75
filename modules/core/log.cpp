#include <mustardcourse/core/log.h>

#include <fmt/chrono.h>

#include <algorithm>
#include <climits>
#include <fcntl.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace mustardcourse {

namespace {

/** Shared by all rate-limited events; a few tens per second are enough to diagnose a failure. */
constexpr std::size_t maximumRateLimitedLinesPerSecond = 40;

/** Longest line, with its end; a pipe takes this much as a whole or not at all. */
constexpr std::size_t maximumLineBytes = PIPE_BUF;

/** Longest value; the rest of a longer one is replaced by an ellipsis. */
constexpr std::size_t maximumValueBytes = maximumLineBytes / 2;

constexpr std::string_view ellipsis = "...";

/** Ends a line that has no room for all of its fields. */
constexpr std::string_view incompleteLineEnd = " incomplete=yes";

bool needsQuoting(std::string_view value)
{
    if (value.empty())
        return true;
    return std::any_of(value.begin(), value.end(), [](unsigned char character) {
        return character <= ' ' || character == '"' || character == '=' || character == '\\';
    });
}

void appendQuoted(fmt::memory_buffer &line, std::string_view value)
{
    line.push_back('"');
    for (const char character : value) {
        if (character == '"' || character == '\\')
            line.push_back('\\');
        const bool isControl = static_cast<unsigned char>(character) < ' ';
        line.push_back(isControl ? ' ' : character);
    }
    line.push_back('"');
}

/** Appends a field to a line. Returns false if the line has no room for it. */
bool appendField(fmt::memory_buffer &line, std::string_view key, std::string_view value)
{
    fmt::memory_buffer field;
    fmt::format_to(std::back_inserter(field), " {}=", key);
    std::string shortenedValue;
    if (value.size() > maximumValueBytes) {
        shortenedValue = value.substr(0, maximumValueBytes - ellipsis.size());
        value = shortenedValue.append(ellipsis);
    }
    if (needsQuoting(value))
        appendQuoted(field, value);
    else
        field.append(value);

    const std::size_t endBytes = incompleteLineEnd.size() + 1;
    if (line.size() + field.size() + endBytes > maximumLineBytes)
        return false;
    line.append(field);
    return true;
}

} // namespace

std::string_view nameOf(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return "debug";
    case log_level::Info:
        return "info";
    case log_level::Warning:
        return "warning";
    case log_level::Error:
        return "error";
    }
    return "unknown";
}

logger::logger(const clock &clock, std::string host, log_level threshold, int output)
    : m_clock(clock)
    , m_host(std::move(host))
    , m_threshold(threshold)
    , m_output(output)
{ }

void logger::makeNonBlocking(int output)
{
    struct stat status
    {
    };
    const bool canBlock =
        ::fstat(output, &status) == 0 && (S_ISFIFO(status.st_mode) || S_ISSOCK(status.st_mode));
    if (!canBlock)
        return;
    const int flags = ::fcntl(output, F_GETFL);
    if (flags >= 0)
        ::fcntl(output, F_SETFL, flags | O_NONBLOCK);
}

void logger::write(log_level level, std::string_view event,
                   std::initializer_list<log_field> fields) const
{
    if (level < m_threshold)
        return;

    const auto now = std::chrono::floor<std::chrono::milliseconds>(m_clock.wallNow());
    const auto milliseconds = now.time_since_epoch().count() % 1000;
    fmt::memory_buffer line;
    fmt::format_to(std::back_inserter(line), "{:%Y-%m-%dT%H:%M:%S}.{:03}Z level={}",
                   fmt::gmtime(std::chrono::system_clock::to_time_t(now)), milliseconds,
                   nameOf(level));
    appendField(line, "host", m_host);
    appendField(line, "event", event);
    bool isComplete = true;
    for (const log_field &field : fields)
        isComplete = appendField(line, field.key, field.value) && isComplete;
    if (!isComplete)
        line.append(incompleteLineEnd);
    line.push_back('\n');
    writeLine({line.data(), line.size()});
}

void logger::writeLine(std::string_view line) const
{
    pollfd output{m_output, POLLOUT, 0};
    const bool isWritten = ::poll(&output, 1, 0) == 1
        && ::write(m_output, line.data(), line.size()) == static_cast<ssize_t>(line.size());
    m_dropped += isWritten ? 0 : 1;
}

void logger::writeRateLimited(std::string_view event, std::initializer_list<log_field> fields) const
{
    const time_point now = m_clock.now();
    if (now - m_rateWindowStart >= std::chrono::seconds(1)) {
        const std::size_t suppressed = std::exchange(m_suppressedInWindow, 0);
        m_rateWindowStart = now;
        m_linesInWindow = 0;
        if (suppressed > 0)
            info("log-lines-left-out", {{"count", suppressed}});
    }
    if (++m_linesInWindow > maximumRateLimitedLinesPerSecond) {
        ++m_suppressedInWindow;
        ++m_dropped;
        return;
    }
    info(event, fields);
}

} // namespace mustardcourse
