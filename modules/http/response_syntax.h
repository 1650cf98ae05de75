#pragma once

#include <cstddef>
#include <string_view>

namespace mustardcourse::http {

/**
    Checks the lines of a response against the grammar of RFC 9112 as their bytes arrive.

    http_parser accepts more than the grammar allows: for example, it takes a status from any number
    of digits, and skips bytes where it expects a certain one. Therefore this class examines the
    bytes before the parser gets them.
*/
class response_syntax
{
public:
    /** Prepares for the next response. */
    void reset() { *this = {}; }

    /**
        Returns how many bytes belong together at the beginning of a text: the rest of a line, or
        what is not examined. They must be parsed before the next call.

        @param data  the bytes after those of the last call; not empty
        @returns     0 if the line has a byte that is not allowed
    */
    std::size_t nextPiece(std::string_view data);

    /** Reports that the header has ended; what follows is not examined. */
    void endHeader() noexcept { m_part = part::Remainder; }

private:
    enum class part { StatusLine, FieldLine, Remainder };

    /** Returns whether the grammar allows a byte at this position of the line. */
    [[nodiscard]] bool isAllowed(char byte) const;
    /** Returns whether the line may end at this position. */
    [[nodiscard]] bool mayEnd() const;
    void endLine();

    part m_part = part::StatusLine;
    /** Number of bytes of the current line that have been examined. */
    std::size_t m_position = 0;
    char m_previousByte = '\0';
};

} // namespace mustardcourse::http
