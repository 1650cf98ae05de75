#pragma once

#include <mustardcourse/core/clock.h>

#include <fmt/format.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace mustardcourse {

/** Severity of a log line. */
enum class log_level { Debug, Info, Warning, Error };

/** Returns the lower-case name of a level, as written in log lines. */
std::string_view nameOf(log_level level);

/** Key and value in a log line. The value is quoted if it contains special characters. */
struct log_field
{
    log_field(std::string_view fieldKey, std::string_view fieldValue)
        : key(fieldKey)
        , value(fieldValue)
    { }
    template <typename Number>
        requires std::is_arithmetic_v<Number> log_field(std::string_view fieldKey,
                                                        Number fieldValue)
            : key(fieldKey)
            , value(fmt::format("{}", fieldValue))
        { }

        std::string_view key;
        std::string value;
};

/**
    Writes one line of key=value pairs for each event, by default to standard output.

    It never blocks: if the output is not writable, for example as its reader is too slow, the line
    is dropped and counted. Lines have a maximum size up to which a writable pipe takes them as a
    whole: a long value is shortened, and a line without room for all fields ends with
    "incomplete=yes".

    All components of a process share one logger. Never pass credentials or request bodies as
    fields.
*/
class logger
{
public:
    /** @param output  the descriptor that is written to */
    logger(const clock &clock, std::string host, log_level threshold, int output = 1);

    /** Makes writes fail that would block, if the output is a pipe or a socket. Needed if other
        processes write to the same one, as they may fill it at any moment. */
    static void makeNonBlocking(int output);

    /** Writes the time, the level, the host, the event's name and the fields. */
    void write(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {}) const;

    void debug(std::string_view event, std::initializer_list<log_field> fields = {}) const
    {
        write(log_level::Debug, event, fields);
    }
    void info(std::string_view event, std::initializer_list<log_field> fields = {}) const
    {
        write(log_level::Info, event, fields);
    }
    void warning(std::string_view event, std::initializer_list<log_field> fields = {}) const
    {
        write(log_level::Warning, event, fields);
    }
    void error(std::string_view event, std::initializer_list<log_field> fields = {}) const
    {
        write(log_level::Error, event, fields);
    }

    /**
        Writes a line at level Info under a rate limit that all such lines of the logger share. Use
        it for events whose frequency grows with the load. The first line after a second in which
        lines were suppressed is preceded by one with their number.
    */
    void writeRateLimited(std::string_view event, std::initializer_list<log_field> fields) const;

    /** Returns the number of lines suppressed by the rate limit or dropped so far. */
    [[nodiscard]] std::uint64_t droppedCount() const noexcept { return m_dropped; }

private:
    void writeLine(std::string_view line) const;

    const clock &m_clock;
    std::string m_host;
    log_level m_threshold;
    int m_output;
    mutable time_point m_rateWindowStart{};
    mutable std::size_t m_linesInWindow = 0;
    mutable std::size_t m_suppressedInWindow = 0;
    mutable std::uint64_t m_dropped = 0;
};

} // namespace mustardcourse
