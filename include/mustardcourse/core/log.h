#pragma once

#include <mustardcourse/core/clock.h>

#include <fmt/format.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace mustardcourse {

/** Severity of a log line. */
enum class log_level { Debug, Info, Warning, Error };

/** Returns the lower-case name of a level, as it stands in a log line. */
std::string_view nameOf(log_level level);

/** One key and value of a log line. The value is quoted where it has to be. */
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
    Writes one line of key=value pairs for each event to standard output.

    It never blocks: a line that the reader of the output has no room for is dropped and counted.

    Give each component of a process a reference to the same logger. Never pass credentials or
    request bodies as fields.
*/
class logger
{
public:
    logger(const clock &clock, std::string host, log_level threshold);

    /** Writes a line with the time, the level, the host, the event's name and the fields. */
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
        Writes a line of an event that grows with the load, unless there were too many within this
        second. The number left out is told with the first line of the next second.
    */
    void limited(std::string_view event, std::initializer_list<log_field> fields) const;

    /** Returns the lines that were left out or dropped so far. */
    [[nodiscard]] std::uint64_t droppedCount() const noexcept { return m_dropped; }

private:
    const clock &m_clock;
    std::string m_host;
    log_level m_threshold;
    mutable time_point m_secondBegan{};
    mutable std::size_t m_linesInSecond = 0;
    mutable std::size_t m_leftOut = 0;
    mutable std::uint64_t m_dropped = 0;
};

} // namespace mustardcourse
