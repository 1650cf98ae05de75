#include <mustardcourse/settings/ini_document.h>

#include <fmt/format.h>
#include <ini.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <sstream>

namespace mustardcourse::settings {

namespace {

constexpr int maximumLineBytes = 4096;

std::string describe(settings_fault fault, const settings_location &location,
                     const std::string &detail)
{
    std::string place = fmt::format("{}:{}", location.file, location.line);
    if (!location.section.empty())
        place += fmt::format(" [{}]", location.section);
    if (!location.key.empty())
        place += fmt::format(" {}", location.key);
    return fmt::format("{}: {}: {}", place, nameOf(fault), detail);
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    const auto last = text.find_last_not_of(blanks);
    return text.substr(first, last - first + 1);
}

/** Feeds the parser line by line, and sees what its handler is not told: lines and new sections. */
struct line_source
{
    std::string fileName;
    std::string_view rest;
    int line = 0;
    std::vector<ini_section> sections;

    [[noreturn]] void fail(settings_fault fault, const std::string &section, const std::string &key,
                           const std::string &detail) const
    {
        throw settings_error(fault, {fileName, line, section, key}, detail);
    }

    void openSection(std::string_view text)
    {
        const auto close = text.find(']');
        if (close == std::string_view::npos)
            fail(settings_fault::Syntax, "", "", "a section heading has no closing bracket");
        const std::string name(trim(text.substr(1, close - 1)));
        const bool isKnown = std::any_of(sections.begin(), sections.end(),
                                         [&](const auto &known) { return known.name == name; });
        if (isKnown)
            fail(settings_fault::DuplicateSection, name, "", "the section appears twice");
        sections.push_back({name, line, {}});
    }

    void addEntry(const std::string &key, const std::string &value)
    {
        if (sections.empty())
            fail(settings_fault::Syntax, "", key, "a key stands before the first section");
        ini_section &section = sections.back();
        const bool isKnown = std::any_of(section.entries.begin(), section.entries.end(),
                                         [&](const auto &entry) { return entry.key == key; });
        if (isKnown)
            fail(settings_fault::DuplicateKey, section.name, key, "the key appears twice");
        section.entries.push_back({key, value, line});
    }
};

char *nextLine(char *buffer, int size, void *stream)
{
    auto &source = *static_cast<line_source *>(stream);
    if (source.rest.empty())
        return nullptr;
    ++source.line;
    const auto end = source.rest.find('\n');
    const std::string_view text = source.rest.substr(0, end);
    source.rest = end == std::string_view::npos ? std::string_view() : source.rest.substr(end + 1);
    if (text.size() + 2 > static_cast<std::size_t>(size))
        source.fail(settings_fault::LineTooLong, "", "", "the line is too long");

    const std::string_view content = trim(text);
    if (!content.empty() && content.front() == '[')
        source.openSection(content);
    std::copy(content.begin(), content.end(), buffer);
    buffer[content.size()] = '\n';
    buffer[content.size() + 1] = '\0';
    return buffer;
}

int onEntry(void *user, const char *, const char *name, const char *value)
{
    static_cast<line_source *>(user)->addEntry(name, value);
    return 1;
}

struct time_unit
{
    std::string_view name;
    std::chrono::microseconds length;
};

constexpr std::array<time_unit, 5> timeUnits{{
    {"us", std::chrono::microseconds(1)},
    {"ms", std::chrono::milliseconds(1)},
    {"s", std::chrono::seconds(1)},
    {"min", std::chrono::minutes(1)},
    {"h", std::chrono::hours(1)},
}};

struct parsed_number
{
    std::uint64_t number = 0;
    std::string_view rest;
    bool isValid = false;
};

parsed_number parseNumber(std::string_view text)
{
    parsed_number parsed;
    const char *end = text.data() + text.size();
    const auto [stop, status] = std::from_chars(text.data(), end, parsed.number);
    parsed.isValid = status == std::errc();
    parsed.rest = trim(std::string_view(stop, static_cast<std::size_t>(end - stop)));
    return parsed;
}

} // namespace

std::string_view nameOf(settings_fault fault)
{
    static constexpr std::array<std::string_view, 13> names{
        "unreadable",      "syntax-error", "line-too-long",   "duplicate-section", "duplicate-key",
        "unknown-section", "unknown-key",  "missing-section", "missing-key",       "bad-value",
        "bad-unit",        "out-of-range", "inconsistent"};
    return names.at(static_cast<std::size_t>(fault));
}

settings_error::settings_error(settings_fault fault, settings_location location,
                               const std::string &detail)
    : error(describe(fault, location, detail))
    , m_fault(fault)
    , m_location(std::move(location))
{ }

ini_document ini_document::parse(std::string fileName, std::string_view text)
{
    ini_max_line = maximumLineBytes;
    ini_use_stack = true;
    ini_allow_multiline = false;
    constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";
    if (text.starts_with(byteOrderMark))
        text.remove_prefix(byteOrderMark.size());
    line_source source{fileName, text, 0, {}};
    const int failedLine = ini_parse_stream(&nextLine, &source, &onEntry, &source);
    if (failedLine != 0) {
        source.line = failedLine;
        source.fail(settings_fault::Syntax, "", "",
                    "neither a section, a key with a value, nor a comment");
    }

    ini_document document;
    document.m_fileName = std::move(fileName);
    document.m_sections = std::move(source.sections);
    return document;
}

ini_document ini_document::load(const std::string &fileName)
{
    const std::ifstream file(fileName);
    if (!file)
        throw settings_error(settings_fault::Unreadable, {fileName, 0, "", ""},
                             "the file cannot be opened");
    std::ostringstream text;
    text << file.rdbuf();
    return parse(fileName, text.str());
}

const ini_section *ini_document::find(std::string_view name) const
{
    const auto found = std::find_if(m_sections.begin(), m_sections.end(),
                                    [&](const auto &section) { return section.name == name; });
    return found == m_sections.end() ? nullptr : &*found;
}

section_reader::section_reader(const ini_document &document, const ini_section &section)
    : m_document(document)
    , m_section(section)
{ }

const ini_entry *section_reader::take(std::string_view key)
{
    m_known.emplace_back(key);
    const auto found = std::find_if(m_section.entries.begin(), m_section.entries.end(),
                                    [&](const auto &entry) { return entry.key == key; });
    return found == m_section.entries.end() ? nullptr : &*found;
}

void section_reader::fail(settings_fault fault, std::string_view key,
                          const std::string &detail) const
{
    int line = m_section.line;
    for (const ini_entry &entry : m_section.entries) {
        if (entry.key == key)
            line = entry.line;
    }
    throw settings_error(fault, {m_document.fileName(), line, m_section.name, std::string(key)},
                         detail);
}

std::string section_reader::text(std::string_view key)
{
    const ini_entry *entry = take(key);
    if (entry == nullptr)
        fail(settings_fault::MissingKey, key, "the key is required");
    if (entry->value.empty())
        fail(settings_fault::BadValue, key, "the value is empty");
    return entry->value;
}

std::string section_reader::text(std::string_view key, std::string_view fallback)
{
    const ini_entry *entry = take(key);
    return entry == nullptr ? std::string(fallback) : entry->value;
}

std::uint64_t section_reader::parseCount(const ini_entry &entry, std::uint64_t least,
                                         std::uint64_t most) const
{
    const parsed_number parsed = parseNumber(entry.value);
    if (!parsed.isValid || !parsed.rest.empty())
        fail(settings_fault::BadValue, entry.key,
             fmt::format("'{}' is not a whole number", entry.value));
    if (parsed.number < least || parsed.number > most)
        fail(settings_fault::OutOfRange, entry.key,
             fmt::format("{} is not within {} to {}", parsed.number, least, most));
    return parsed.number;
}

std::uint64_t section_reader::count(std::string_view key, std::uint64_t fallback,
                                    std::uint64_t least, std::uint64_t most)
{
    const ini_entry *entry = take(key);
    return entry == nullptr ? fallback : parseCount(*entry, least, most);
}

std::uint64_t section_reader::count(std::string_view key, std::uint64_t least, std::uint64_t most)
{
    const ini_entry *entry = take(key);
    if (entry == nullptr)
        fail(settings_fault::MissingKey, key, "the key is required");
    return parseCount(*entry, least, most);
}

std::chrono::microseconds section_reader::duration(std::string_view key,
                                                   std::chrono::microseconds fallback,
                                                   std::chrono::microseconds least,
                                                   std::chrono::microseconds most)
{
    const ini_entry *entry = take(key);
    if (entry == nullptr)
        return fallback;
    const parsed_number parsed = parseNumber(entry->value);
    if (!parsed.isValid)
        fail(settings_fault::BadValue, key, fmt::format("'{}' is not a duration", entry->value));
    const auto unit = std::find_if(timeUnits.begin(), timeUnits.end(),
                                   [&](const auto &known) { return known.name == parsed.rest; });
    if (unit == timeUnits.end())
        fail(settings_fault::BadUnit, key,
             fmt::format("'{}' needs one of the units us, ms, s, min, h", entry->value));
    const auto longest = static_cast<std::uint64_t>(most / unit->length);
    if (parsed.number > longest || parsed.number * unit->length < least)
        fail(settings_fault::OutOfRange, key,
             fmt::format("{} is not within {} us to {} us", entry->value, least.count(),
                         most.count()));
    return static_cast<std::int64_t>(parsed.number) * unit->length;
}

double section_reader::percentage(std::string_view key, double fallback)
{
    constexpr std::uint64_t wholePercent = 100;

    const ini_entry *entry = take(key);
    if (entry == nullptr)
        return fallback;
    const parsed_number parsed = parseNumber(entry->value);
    if (!parsed.isValid)
        fail(settings_fault::BadValue, key, fmt::format("'{}' is not a number", entry->value));
    if (parsed.rest != "%")
        fail(settings_fault::BadUnit, key, fmt::format("'{}' needs the unit %", entry->value));
    if (parsed.number > wholePercent)
        fail(settings_fault::OutOfRange, key, fmt::format("{} is above 100 %", entry->value));
    return static_cast<double>(parsed.number) / wholePercent;
}

double section_reader::number(std::string_view key, double fallback, double least, double most)
{
    const ini_entry *entry = take(key);
    if (entry == nullptr)
        return fallback;
    double value = 0;
    const char *end = entry->value.data() + entry->value.size();
    const auto parsed = std::from_chars(entry->value.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        fail(settings_fault::BadValue, key, fmt::format("'{}' is not a number", entry->value));
    if (!(value >= least && value <= most))
        fail(settings_fault::OutOfRange, key,
             fmt::format("{} is not from {} to {}", entry->value, least, most));
    return value;
}

endpoint section_reader::address(std::string_view key)
{
    const std::string value = text(key);
    try {
        return endpoint::parse(value);
    } catch (const malformed_endpoint_error &failure) {
        fail(settings_fault::BadValue, key, failure.what());
    }
}

std::optional<endpoint> section_reader::optionalAddress(std::string_view key)
{
    return take(key) == nullptr ? std::nullopt : std::optional(address(key));
}

std::vector<std::string> section_reader::list(std::string_view key)
{
    const std::string value = text(key);
    std::vector<std::string> parts;
    std::string_view rest = value;
    while (true) {
        const auto comma = rest.find(',');
        const std::string_view part = trim(rest.substr(0, comma));
        if (part.empty())
            fail(settings_fault::BadValue, key, "an element of the list is empty");
        parts.emplace_back(part);
        if (comma == std::string_view::npos)
            return parts;
        rest = rest.substr(comma + 1);
    }
}

std::string section_reader::choice(std::string_view key, std::string_view fallback,
                                   const std::vector<std::string> &words)
{
    const ini_entry *entry = take(key);
    if (entry == nullptr)
        return std::string(fallback);
    if (std::find(words.begin(), words.end(), entry->value) == words.end())
        fail(settings_fault::BadValue, key,
             fmt::format("'{}' is not one of: {}", entry->value, fmt::join(words, ", ")));
    return entry->value;
}

void section_reader::finish() const
{
    for (const ini_entry &entry : m_section.entries) {
        if (std::find(m_known.begin(), m_known.end(), entry.key) == m_known.end())
            fail(settings_fault::UnknownKey, entry.key, "no such setting");
    }
}

} // namespace mustardcourse::settings
