#pragma once

#include <string_view>

namespace mustardcourse::http {

/** Returns whether a character is an ASCII digit. */
inline bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

/** Returns whether a character can be one of a token, such as a field name (RFC 9110, 5.6.2). */
inline bool isTokenCharacter(char character)
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    const bool isLetter =
        (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    return isLetter || isDigit(character) || punctuation.find(character) != std::string_view::npos;
}

} // namespace mustardcourse::http
