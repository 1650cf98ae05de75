#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mustardcourse::http {

/**
    Checks the lines of a response against the grammar of RFC 9112 as their bytes arrive: the status
    line, the fields and trailers, and the lines between chunks.

    http_parser accepts more than the grammar allows: for example, it takes a status from any number
    of digits, and skips bytes where it expects a certain one. Therefore this class examines the
    bytes before the parser gets them. The parser in turn reports where the body begins and how long
    its chunks are.
*/
class response_syntax
{
public:
    /** Prepares for the next response. */
    void reset() { *this = {}; }

    /**
        Returns how many bytes belong together at the beginning of a text: the rest of a line, of a
        chunk or of a body without chunks. They must be parsed before the next call.

        @param data  the bytes after those of the last call; not empty
        @returns     0 if the line has a byte that is not allowed
    */
    std::size_t nextPiece(std::string_view data);

    /** Reports that the header has ended, and whether the body is chunked. */
    void beginBody(bool isChunked) noexcept;

    /** Reports the size of a chunk, which is 0 for the last one. */
    void beginChunk(std::uint64_t size) noexcept;

private:
    enum class part { StatusLine, FieldLine, ChunkSizeLine, ChunkData, ChunkEndLine, Body };

    std::size_t nextChunkData(std::size_t availableBytes);
    /** Returns whether the grammar allows a byte at this position of the line. */
    [[nodiscard]] bool isAllowed(char byte);
    [[nodiscard]] bool isAllowedInFieldLine(char byte);
    [[nodiscard]] bool isAllowedInChunkSizeLine(char byte);
    /** Returns whether the line may end at this position. */
    [[nodiscard]] bool mayEnd(char endByte) const;
    void endLine();

    part m_part = part::StatusLine;
    /** Number of bytes of the current line that have been examined. */
    std::size_t m_position = 0;
    char m_previousByte = '\0';
    bool m_isFieldNameOver = false;
    bool m_isChunkSizeOver = false;
    bool m_isChunkExtension = false;
    /** Bytes of the current chunk that have not arrived. */
    std::uint64_t m_remainingChunkBytes = 0;
};

} // namespace mustardcourse::http
