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

/** Kinds of error in a settings text. */
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

/** Returns the name of a fault as used in messages and JSON. */
std::string_view nameOf(settings_fault fault);

/** A position in a settings text. */
struct settings_location
{
    std::string file;
    int line = 0;
    std::string section;
    std::string key;
};

/** An error in a settings text, with its file, line, section and key. */
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

/** One section with its entries in file order. */
struct ini_section
{
    std::string name;
    int line = 0;
    std::vector<ini_entry> entries;
};

/** A parsed INI text with the line numbers of its sections and entries. */
class ini_document
{
public:
    /**
        Parses a text.

        @param fileName  the file name to report in errors
        @throws settings_error for a syntax error, an overlong line, a duplicate section or key
    */
    static ini_document parse(std::string fileName, std::string_view text);

    /** Reads and parses a file. @throws settings_error as parse(), or if opening it fails */
    static ini_document load(const std::string &fileName);

    [[nodiscard]] const std::string &fileName() const noexcept { return m_fileName; }
    [[nodiscard]] const std::vector<ini_section> &sections() const noexcept { return m_sections; }

    /** Returns the section with this name, or null. */
    [[nodiscard]] const ini_section *find(std::string_view name) const;

private:
    std::string m_fileName;
    std::vector<ini_section> m_sections;
};

/**
    Reads typed values from one section and rejects unknown keys.

    Read every key that the section may have, then call rejectUnknownKeys().
*/
class section_reader
{
public:
    section_reader(const ini_document &document, const ini_section &section);

    /** Returns a string. @throws settings_error if the key is missing or the value is empty */
    std::string text(std::string_view key);
    std::string text(std::string_view key, std::string_view fallback);

    /** Returns a whole number within a range. @throws settings_error */
    std::uint64_t count(std::string_view key, std::uint64_t fallback, std::uint64_t minimum,
                        std::uint64_t maximum);
    std::uint64_t count(std::string_view key, std::uint64_t minimum, std::uint64_t maximum);

    /** Returns a duration with the unit us, ms, s, min or h. @throws settings_error */
    std::chrono::microseconds duration(std::string_view key, std::chrono::microseconds fallback,
                                       std::chrono::microseconds minimum,
                                       std::chrono::microseconds maximum);

    /** Returns a fraction from 0 to 1, written as a percentage with %. @throws settings_error */
    double percentage(std::string_view key, double fallback);

    /** Returns a decimal number within a range. @throws settings_error */
    double number(std::string_view key, double fallback, double minimum, double maximum);

    /** Returns an address and port. @throws settings_error */
    endpoint address(std::string_view key);

    /** Returns an address and port, or nullopt if the key is missing. @throws settings_error */
    std::optional<endpoint> optionalAddress(std::string_view key);

    /** Returns the trimmed elements of a comma-separated value. @throws settings_error */
    std::vector<std::string> list(std::string_view key);

    /** Returns a value that must be one of the choices. @throws settings_error */
    std::string choice(std::string_view key, std::string_view fallback,
                       const std::vector<std::string> &choices);

    /** Throws a settings_error located at a key of this section. */
    [[noreturn]] void fail(settings_fault fault, std::string_view key,
                           const std::string &detail) const;

    /** Rejects keys that no call has read. @throws settings_error */
    void rejectUnknownKeys() const;

private:
    const ini_entry *readEntry(std::string_view key);
    std::uint64_t parseCount(const ini_entry &entry, std::uint64_t minimum,
                             std::uint64_t maximum) const;

    const ini_document &m_document;
    const ini_section &m_section;
    std::vector<std::string> m_readKeys;
};

} // namespace mustardcourse::settings
