#include <mustardcourse/wire/http_message.h>

#include <cctype>

namespace mustardcourse::wire {

std::string escapeUri(const std::string &text)
{
    static constexpr char digits[] = "0123456789ABCDEF";

    std::string escaped;
    escaped.reserve(text.size());
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) || byte == '-' || byte == '_' || byte == '.' || byte == '~') {
            escaped.push_back(character);
            continue;
        }
        escaped.push_back('%');
        escaped.push_back(digits[byte >> 4U]);
        escaped.push_back(digits[byte & 0xFU]);
    }
    return escaped;
}

} // namespace mustardcourse::wire
