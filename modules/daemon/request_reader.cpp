#include "request_reader.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace mustardcourse::daemon {

namespace {

using nlohmann::json;

constexpr std::size_t maximumIdBytes = 128;
constexpr std::size_t maximumNameBytes = 256;

/** Reads typed fields of one JSON object and rejects fields that were not read. */
class field_reader
{
public:
    explicit field_reader(const std::string &text)
        : m_body(json::parse(text, nullptr, false))
    {
        if (!m_body.is_object())
            throw malformed_request_error("the body is not a JSON object");
    }

    std::string text(const char *name, std::size_t maximumBytes)
    {
        const json *field = findField(name);
        if (field == nullptr)
            throw malformed_request_error(fmt::format("the field '{}' is required", name));
        return textOf(name, *field, maximumBytes);
    }

    std::string text(const char *name, std::size_t maximumBytes, const char *fallback)
    {
        const json *field = findField(name);
        return field == nullptr ? fallback : textOf(name, *field, maximumBytes);
    }

    std::optional<std::uint64_t> count(const char *name, std::uint64_t minimum,
                                       std::uint64_t maximum)
    {
        const json *field = findField(name);
        if (field == nullptr)
            return std::nullopt;
        if (!field->is_number_unsigned())
            throw malformed_request_error(fmt::format("'{}' is not an unsigned integer", name));
        const auto value = field->get<std::uint64_t>();
        if (value < minimum || value > maximum)
            throw malformed_request_error(
                fmt::format("'{}' is outside the range {} to {}", name, minimum, maximum));
        return value;
    }

    void rejectUnknownFields() const
    {
        for (const auto &[name, value] : m_body.items()) {
            if (std::find(m_readNames.begin(), m_readNames.end(), name) == m_readNames.end())
                throw malformed_request_error(fmt::format("unknown field '{}'", name));
        }
    }

private:
    const json *findField(const char *name)
    {
        m_readNames.emplace_back(name);
        const auto found = m_body.find(name);
        return found == m_body.end() ? nullptr : &*found;
    }

    static std::string textOf(const char *name, const json &field, std::size_t maximumBytes)
    {
        if (!field.is_string())
            throw malformed_request_error(fmt::format("'{}' is not a string", name));
        auto value = field.get<std::string>();
        if (value.size() > maximumBytes)
            throw malformed_request_error(
                fmt::format("'{}' is longer than {} bytes", name, maximumBytes));
        return value;
    }

    json m_body;
    std::vector<std::string> m_readNames;
};

request_id readId(field_reader &fields)
{
    const std::string id = fields.text("id", maximumIdBytes);
    const bool isPlain = std::all_of(id.begin(), id.end(), [](unsigned char character) {
        return character > ' ' && character < 0x7f && character != '"' && character != '\\';
    });
    if (id.empty() || !isPlain)
        throw malformed_request_error("'id' is empty or contains spaces or special characters");
    return request_id(id);
}

limits::customer_class readClass(field_reader &fields)
{
    const std::string name = fields.text("class", maximumNameBytes, "normal");
    const auto importance = limits::customerClassFromName(name);
    if (!importance)
        throw malformed_request_error("'class' is not one of low, normal, high");
    return *importance;
}

std::optional<duration> readDeadline(field_reader &fields)
{
    constexpr std::uint64_t maximumMilliseconds = 600'000;

    const auto milliseconds = fields.count("deadline_ms", 1, maximumMilliseconds);
    if (!milliseconds)
        return std::nullopt;
    return std::chrono::milliseconds(*milliseconds);
}

} // namespace

lookup_request readLookupRequest(const std::string &body)
{
    constexpr std::size_t maximumQueryBytes = 2048;
    constexpr std::uint64_t maximumHits = 10'000;

    field_reader fields(body);
    lookup_request request;
    request.id = readId(fields);
    request.service = service_id(fields.text("service", maximumNameBytes));
    request.query = fields.text("query", maximumQueryBytes);
    request.importance = readClass(fields);
    request.deadline = readDeadline(fields);
    if (const auto limit = fields.count("limit", 1, maximumHits))
        request.hitLimit = *limit;
    fields.rejectUnknownFields();
    return request;
}

execute_request readExecuteRequest(const std::string &body)
{
    constexpr std::size_t maximumBodyBytes = 32 * 1024;
    constexpr std::uint64_t maximumIssuedAt = 1ULL << 48U;

    field_reader fields(body);
    execute_request request;
    request.id = readId(fields);
    request.service = service_id(fields.text("service", maximumNameBytes));
    request.key = fields.text("key", maximumNameBytes);
    request.body = fields.text("body", maximumBodyBytes);
    request.importance = readClass(fields);
    request.deadline = readDeadline(fields);
    const auto issuedAt = fields.count("issued_at_ms", 0, maximumIssuedAt);
    if (!issuedAt)
        throw malformed_request_error("the field 'issued_at_ms' is required");
    request.issuedAt = std::chrono::milliseconds(*issuedAt);
    fields.rejectUnknownFields();
    return request;
}

settings_change readSettingsChange(const team_id &team, const std::string &body)
{
    constexpr std::size_t maximumTextBytes = 512 * 1024;
    constexpr std::size_t maximumCommentBytes = 1024;

    if (team.value().empty() || team.value().find('/') != std::string::npos)
        throw malformed_request_error("the path contains no valid team name");
    field_reader fields(body);
    settings_change change;
    change.team = team;
    const auto expected = fields.count("expected_revision", 0, ~std::uint64_t{0});
    if (!expected)
        throw malformed_request_error("the field 'expected_revision' is required");
    change.expectedRevision = revision(*expected);
    change.text = fields.text("text", maximumTextBytes);
    change.changeId = fields.text("change", maximumIdBytes);
    change.author = fields.text("author", maximumNameBytes);
    change.comment = fields.text("comment", maximumCommentBytes, "");
    if (change.changeId.empty() || change.author.empty())
        throw malformed_request_error("'change' and 'author' must not be empty");
    fields.rejectUnknownFields();
    return change;
}

} // namespace mustardcourse::daemon
