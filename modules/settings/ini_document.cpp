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
    std::string position = fmt::format("{}:{}", location.file, location.line);
    if (!location.section.empty())
        position += fmt::format(" [{}]", location.section);
    if (!location.key.empty())
        position += fmt::format(" {}", location.key);
    return fmt::format("{}: {}: {}", position, nameOf(fault), detail);
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view whitespace = " \t\r\n";
    const auto first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    const auto last = text.find_last_not_of(whitespace);
    return text.substr(first, last - first + 1);
}

/**
    Feeds the parser line by line.

    Tracks line numbers and section headings, which the parser does not pass to its handler.
*/
struct line_source
{
    std::string fileName;
    std::string_view remaining;
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
        const bool isDuplicate =
            std::any_of(sections.begin(), sections.end(),
                        [&](const auto &section) { return section.name == name; });
        if (isDuplicate)
            fail(settings_fault::DuplicateSection, name, "", "the section appears twice");
        sections.push_back({name, line, {}});
    }

    void addEntry(const std::string &key, const std::string &value)
    {
        if (sections.empty())
            fail(settings_fault::Syntax, "", key, "a key precedes the first section");
        ini_section &section = sections.back();
        const bool isDuplicate = std::any_of(section.entries.begin(), section.entries.end(),
                                             [&](const auto &entry) { return entry.key == key; });
        if (isDuplicate)
            fail(settings_fault::DuplicateKey, section.name, key, "the key appears twice");
        section.entries.push_back({key, value, line});
    }
};

char *nextLine(char *buffer, int size, void *stream)
{
    auto &source = *static_cast<line_source *>(stream);
    if (source.remaining.empty())
        return nullptr;
    ++source.line;
    const auto end = source.remaining.find('\n');
    const std::string_view text = source.remaining.substr(0, end);
    source.remaining =
        end == std::string_view::npos ? std::string_view() : source.remaining.substr(end + 1);
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
    std::chrono::microseconds duration;
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
    std::string_view suffix;
    bool isValid = false;
};

parsed_number parseNumber(std::string_view text)
{
    parsed_number parsed;
    const char *end = text.data() + text.size();
    const auto [parsedEnd, status] = std::from_chars(text.data(), end, parsed.number);
    parsed.isValid = status == std::errc();
    parsed.suffix = trim(std::string_view(parsedEnd, static_cast<std::size_t>(end - parsedEnd)));
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
                    "expected a section, a key with a value, or a comment");
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

const ini_entry *section_reader::readEntry(std::string_view key)
{
    m_readKeys.emplace_back(key);
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
    const ini_entry *entry = readEntry(key);
    if (entry == nullptr)
        fail(settings_fault::MissingKey, key, "the key is required");
    if (entry->value.empty())
        fail(settings_fault::BadValue, key, "the value is empty");
    return entry->value;
}

std::string section_reader::text(std::string_view key, std::string_view fallback)
{
    const ini_entry *entry = readEntry(key);
    return entry == nullptr ? std::string(fallback) : entry->value;
}

std::uint64_t section_reader::parseCount(const ini_entry &entry, std::uint64_t minimum,
                                         std::uint64_t maximum) const
{
    const parsed_number parsed = parseNumber(entry.value);
    if (!parsed.isValid || !parsed.suffix.empty())
        fail(settings_fault::BadValue, entry.key,
             fmt::format("'{}' is not a whole number", entry.value));
    if (parsed.number < minimum || parsed.number > maximum)
        fail(settings_fault::OutOfRange, entry.key,
             fmt::format("{} is not in the range {} to {}", parsed.number, minimum, maximum));
    return parsed.number;
}

std::uint64_t section_reader::count(std::string_view key, std::uint64_t fallback,
                                    std::uint64_t minimum, std::uint64_t maximum)
{
    const ini_entry *entry = readEntry(key);
    return entry == nullptr ? fallback : parseCount(*entry, minimum, maximum);
}

std::uint64_t section_reader::count(std::string_view key, std::uint64_t minimum,
                                    std::uint64_t maximum)
{
    const ini_entry *entry = readEntry(key);
    if (entry == nullptr)
        fail(settings_fault::MissingKey, key, "the key is required");
    return parseCount(*entry, minimum, maximum);
}

std::chrono::microseconds section_reader::duration(std::string_view key,
                                                   std::chrono::microseconds fallback,
                                                   std::chrono::microseconds minimum,
                                                   std::chrono::microseconds maximum)
{
    const ini_entry *entry = readEntry(key);
    if (entry == nullptr)
        return fallback;
    const parsed_number parsed = parseNumber(entry->value);
    if (!parsed.isValid)
        fail(settings_fault::BadValue, key, fmt::format("'{}' is not a duration", entry->value));
    const auto unit = std::find_if(timeUnits.begin(), timeUnits.end(), [&](const auto &candidate) {
        return candidate.name == parsed.suffix;
    });
    if (unit == timeUnits.end())
        fail(settings_fault::BadUnit, key,
             fmt::format("'{}' needs one of the units us, ms, s, min, h", entry->value));
    const auto maximumNumber = static_cast<std::uint64_t>(maximum / unit->duration);
    if (parsed.number > maximumNumber || parsed.number * unit->duration < minimum)
        fail(settings_fault::OutOfRange, key,
             fmt::format("{} is not in the range {} us to {} us", entry->value, minimum.count(),
                         maximum.count()));
    return static_cast<std::int64_t>(parsed.number) * unit->duration;
}

double section_reader::percentage(std::string_view key, double fallback)
{
    constexpr std::uint64_t maximumPercentage = 100;

    const ini_entry *entry = readEntry(key);
    if (entry == nullptr)
        return fallback;
    const parsed_number parsed = parseNumber(entry->value);
    if (!parsed.isValid)
        fail(settings_fault::BadValue, key, fmt::format("'{}' is not a number", entry->value));
    if (parsed.suffix != "%")
        fail(settings_fault::BadUnit, key, fmt::format("'{}' needs the unit %", entry->value));
    if (parsed.number > maximumPercentage)
        fail(settings_fault::OutOfRange, key, fmt::format("{} is above 100 %", entry->value));
    return static_cast<double>(parsed.number) / maximumPercentage;
}

double section_reader::number(std::string_view key, double fallback, double minimum, double maximum)
{
    const ini_entry *entry = readEntry(key);
    if (entry == nullptr)
        return fallback;
    double value = 0;
    const char *end = entry->value.data() + entry->value.size();
    const auto result = std::from_chars(entry->value.data(), end, value);
    if (result.ec != std::errc{} || result.ptr != end)
        fail(settings_fault::BadValue, key, fmt::format("'{}' is not a number", entry->value));
    if (!(value >= minimum && value <= maximum))
        fail(settings_fault::OutOfRange, key,
             fmt::format("{} is not in the range {} to {}", entry->value, minimum, maximum));
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
    return readEntry(key) == nullptr ? std::nullopt : std::optional(address(key));
}

std::vector<std::string> section_reader::list(std::string_view key)
{
    const std::string value = text(key);
    std::vector<std::string> elements;
    std::string_view remaining = value;
    while (true) {
        const auto comma = remaining.find(',');
        const std::string_view element = trim(remaining.substr(0, comma));
        if (element.empty())
            fail(settings_fault::BadValue, key, "an element of the list is empty");
        elements.emplace_back(element);
        if (comma == std::string_view::npos)
            return elements;
        remaining = remaining.substr(comma + 1);
    }
}

std::string section_reader::choice(std::string_view key, std::string_view fallback,
                                   const std::vector<std::string> &choices)
{
    const ini_entry *entry = readEntry(key);
    if (entry == nullptr)
        return std::string(fallback);
    if (std::find(choices.begin(), choices.end(), entry->value) == choices.end())
        fail(settings_fault::BadValue, key,
             fmt::format("'{}' is not one of: {}", entry->value, fmt::join(choices, ", ")));
    return entry->value;
}

void section_reader::rejectUnknownKeys() const
{
    for (const ini_entry &entry : m_section.entries) {
        if (std::find(m_readKeys.begin(), m_readKeys.end(), entry.key) == m_readKeys.end())
            fail(settings_fault::UnknownKey, entry.key, "no such setting");
    }
}

} // namespace mustardcourse::settings
