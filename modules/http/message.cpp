#include <mustardcourse/http/message.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace mustardcourse::http {

namespace {

char toLower(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character + ('a' - 'A'))
                                                : character;
}

/** Returns whether a comma-separated list contains a name. */
bool listContains(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        if (equalsIgnoreCase(trim(list.substr(0, comma)), name))
            return true;
        list = comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
    }
    return false;
}

} // namespace

bool equalsIgnoreCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(),
                      [](char a, char b) { return toLower(a) == toLower(b); });
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::optional<std::string_view> findHeader(const header_fields &fields, std::string_view name)
{
    for (const header_field &field : fields) {
        if (equalsIgnoreCase(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

bool isHopByHopHeader(std::string_view name)
{
    static constexpr std::array<std::string_view, 8> names{
        "Connection", "Keep-Alive", "Proxy-Connection",  "TE",
        "Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length"};
    return std::any_of(names.begin(), names.end(), [&](std::string_view hopByHopName) {
        return equalsIgnoreCase(hopByHopName, name);
    });
}

void appendForwardableHeaders(std::string &text, const header_fields &fields)
{
    const std::string_view connectionField = findHeader(fields, "Connection").value_or("");
    for (const header_field &field : fields) {
        if (isHopByHopHeader(field.name) || equalsIgnoreCase(field.name, "Expect")
            || (!connectionField.empty() && listContains(connectionField, field.name)))
            continue;
        appendHeader(text, field.name, field.value);
    }
}

std::string_view reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Other";
    }
}

void appendStatusLine(std::string &text, int status, std::string_view reason)
{
    std::array<char, 8> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), status).ptr;
    text.append("HTTP/1.1 ").append(digits.data(), end).append(" ");
    text.append(reason.empty() ? reasonPhrase(status) : reason).append("\r\n");
}

void appendHeader(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

} // namespace mustardcourse::http
