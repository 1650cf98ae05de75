#pragma once

#include <mustardcourse/core/endpoint.h>
#include <mustardcourse/core/errors.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mustardcourse::settings {

/** What is wrong with a settings text. */
enum class settings_fault {
    Unreadable,
    Syntax,
    LineTooLong,
    DuplicateSection,
    DuplicateKey,
    UnknownSection,
    UnknownKey,
    MissingSection,
    MissingKey,
    BadValue,
    BadUnit,
    OutOfRange,
    Inconsistent,
};

/** Returns the name of a fault, as it stands in messages and JSON. */
std::string_view nameOf(settings_fault fault);

/** Where in a settings text something stands. */
struct settings_location
{
    std::string file;
    int line = 0;
    std::string section;
    std::string key;
};

/** A settings text that is not accepted. It names the file, the line and the key. */
class settings_error : public error
{
public:
    settings_error(settings_fault fault, settings_location location, const std::string &detail);

    [[nodiscard]] settings_fault fault() const noexcept { return m_fault; }
    [[nodiscard]] const settings_location &location() const noexcept { return m_location; }

private:
    settings_fault m_fault;
    settings_location m_location;
};

/** One key with its value. */
struct ini_entry
{
    std::string key;
    std::string value;
    int line = 0;
};

/** One section with its entries in the order of the file. */
struct ini_section
{
    std::string name;
    int line = 0;
    std::vector<ini_entry> entries;
};

/** A parsed INI text that remembers the line of everything in it. */
class ini_document
{
public:
    /**
        Parses a text.

        @param fileName  the name that stands in errors
        @throws settings_error on a syntax error, an overlong line, a duplicate section or key
    */
    static ini_document parse(std::string fileName, std::string_view text);

    /** Reads and parses a file. @throws settings_error as parse(), or if it cannot be read */
    static ini_document load(const std::string &fileName);

    [[nodiscard]] const std::string &fileName() const noexcept { return m_fileName; }
    [[nodiscard]] const std::vector<ini_section> &sections() const noexcept { return m_sections; }

    /** Returns the section of that name, or null. */
    [[nodiscard]] const ini_section *find(std::string_view name) const;

private:
    std::string m_fileName;
    std::vector<ini_section> m_sections;
};

/**
    Takes typed values out of one section and refuses what nobody asked for.

    Read every key that the section may have, then call finish().
*/
class section_reader
{
public:
    section_reader(const ini_document &document, const ini_section &section);

    /** Returns a text. @throws settings_error if the key is missing or empty */
    std::string text(std::string_view key);
    std::string text(std::string_view key, std::string_view fallback);

    /** Returns a whole number within a range. @throws settings_error */
    std::uint64_t count(std::string_view key, std::uint64_t fallback, std::uint64_t least,
                        std::uint64_t most);
    std::uint64_t count(std::string_view key, std::uint64_t least, std::uint64_t most);

    /** Returns a length of time written with the unit us, ms, s, min or h. @throws settings_error
     */
    std::chrono::microseconds duration(std::string_view key, std::chrono::microseconds fallback,
                                       std::chrono::microseconds least,
                                       std::chrono::microseconds most);

    /** Returns a fraction from 0 to 1, written in per cent with the sign. @throws settings_error */
    double percentage(std::string_view key, double fallback);

    /** Returns a number that need not be whole. @throws settings_error */
    double number(std::string_view key, double fallback, double least, double most);

    /** Returns an address and port. @throws settings_error */
    endpoint address(std::string_view key);

    /** Returns an address and port, or nothing if the key is missing. @throws settings_error */
    std::optional<endpoint> optionalAddress(std::string_view key);

    /** Returns the parts of a comma-separated value, trimmed. @throws settings_error */
    std::vector<std::string> list(std::string_view key);

    /** Returns one of several words. @throws settings_error */
    std::string choice(std::string_view key, std::string_view fallback,
                       const std::vector<std::string> &words);

    /** Throws a settings_error at the given key of this section. */
    [[noreturn]] void fail(settings_fault fault, std::string_view key,
                           const std::string &detail) const;

    /** Refuses keys that were never read. @throws settings_error */
    void finish() const;

private:
    const ini_entry *take(std::string_view key);
    std::uint64_t parseCount(const ini_entry &entry, std::uint64_t least, std::uint64_t most) const;

    const ini_document &m_document;
    const ini_section &m_section;
    std::vector<std::string> m_known;
};

} // namespace mustardcourse::settings
