#include "response_syntax.h"

#include "token.h"

#include <algorithm>

namespace mustardcourse::http {

namespace {

/** A status line up to its status; 'd' is any digit and 'c' the class of a status. A recipient
    processes a higher minor version as 1.1 (RFC 9110, 2.5). */
constexpr std::string_view statusLineFormat = "HTTP/1.d cdd";

bool isControl(char byte)
{
    const auto value = static_cast<unsigned char>(byte);
    return (value < ' ' && byte != '\t') || value == 0x7f;
}

bool isBlank(char byte)
{
    return byte == ' ' || byte == '\t';
}

bool isHexDigit(char byte)
{
    return isDigit(byte) || (byte >= 'a' && byte <= 'f') || (byte >= 'A' && byte <= 'F');
}

bool isAllowedInStatusLine(char byte, std::size_t position)
{
    if (position > statusLineFormat.size())
        return true;
    if (position == statusLineFormat.size())
        return byte == ' ';
    switch (statusLineFormat[position]) {
    case 'd':
        return isDigit(byte);
    case 'c':
        return byte >= '1' && byte <= '5';
    default:
        return byte == statusLineFormat[position];
    }
}

} // namespace

std::size_t response_syntax::nextPiece(std::string_view data)
{
    if (m_part == part::Body)
        return data.size();
    if (m_part == part::ChunkData)
        return nextChunkData(data.size());
    for (std::size_t index = 0; index < data.size(); ++index) {
        const char byte = data[index];
        if (!isAllowed(byte))
            return 0;
        if (byte == '\n') {
            endLine();
            return index + 1;
        }
        m_previousByte = byte;
        ++m_position;
    }
    return data.size();
}

std::size_t response_syntax::nextChunkData(std::size_t availableBytes)
{
    const std::size_t size = std::min<std::uint64_t>(availableBytes, m_remainingChunkBytes);
    m_remainingChunkBytes -= size;
    if (m_remainingChunkBytes == 0)
        m_part = part::ChunkEndLine;
    return size;
}

void response_syntax::beginBody(bool isChunked) noexcept
{
    m_part = isChunked ? part::ChunkSizeLine : part::Body;
}

void response_syntax::beginChunk(std::uint64_t size) noexcept
{
    m_remainingChunkBytes = size;
    m_part = size > 0 ? part::ChunkData : part::FieldLine;
}

bool response_syntax::isAllowed(char byte)
{
    if (m_previousByte == '\r')
        return byte == '\n';
    if (byte == '\r' || byte == '\n')
        return mayEnd(byte);
    if (isControl(byte))
        return false;
    switch (m_part) {
    case part::StatusLine:
        return isAllowedInStatusLine(byte, m_position);
    case part::FieldLine:
        return isAllowedInFieldLine(byte);
    case part::ChunkSizeLine:
        return isAllowedInChunkSizeLine(byte);
    case part::ChunkEndLine:
    case part::ChunkData:
    case part::Body:
        break;
    }
    return false;
}

bool response_syntax::isAllowedInFieldLine(char byte)
{
    if (m_isFieldNameOver)
        return true;
    m_isFieldNameOver = byte == ':';
    if (m_isFieldNameOver)
        return m_position > 0;
    // A line that begins with a blank may continue the one before it, or be a field with a broken
    // name. RFC 9112 (5.2) allows to discard the response.
    return isTokenCharacter(byte);
}

bool response_syntax::isAllowedInChunkSizeLine(char byte)
{
    if (m_isChunkExtension)
        return true;
    if (m_position == 0)
        return isHexDigit(byte);
    if (isHexDigit(byte))
        return !m_isChunkSizeOver;
    m_isChunkSizeOver = true;
    m_isChunkExtension = byte == ';';
    return m_isChunkExtension || isBlank(byte);
}

bool response_syntax::mayEnd(char endByte) const
{
    // A recipient may take a line feed alone as the end of a line, but not between chunks.
    switch (m_part) {
    case part::StatusLine:
        // The blank before an empty reason is often left out.
        return m_position == 0 || m_position >= statusLineFormat.size();
    case part::FieldLine:
        return m_position == 0 || m_isFieldNameOver;
    case part::ChunkSizeLine:
        return m_position > 0 && endByte == '\r';
    case part::ChunkEndLine:
        return endByte == '\r';
    case part::ChunkData:
    case part::Body:
        break;
    }
    return false;
}

void response_syntax::endLine()
{
    const std::size_t length = m_position - (m_previousByte == '\r' ? 1 : 0);
    // http_parser skips empty lines before the status line.
    if (m_part == part::StatusLine && length > 0)
        m_part = part::FieldLine;
    else if (m_part == part::ChunkEndLine)
        m_part = part::ChunkSizeLine;
    m_position = 0;
    m_previousByte = '\0';
    m_isFieldNameOver = false;
    m_isChunkSizeOver = false;
    m_isChunkExtension = false;
}

} // namespace mustardcourse::http
