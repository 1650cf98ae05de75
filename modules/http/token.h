#pragma once

#include <string_view>

namespace mustardcourse::http {

/** Returns whether a character can be one of a token, such as a field name (RFC 9110, 5.6.2). */
inline bool isTokenCharacter(char character)
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    const bool isLetter =
        (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || punctuation.find(character) != std::string_view::npos;
}

} // namespace mustardcourse::http
