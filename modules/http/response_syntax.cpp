#include "response_syntax.h"

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

bool isAllowedInStatusLine(char byte, std::size_t position)
{
    if (position > statusLineFormat.size())
        return true;
    if (position == statusLineFormat.size())
        return byte == ' ';
    switch (statusLineFormat[position]) {
    case 'd':
        return byte >= '0' && byte <= '9';
    case 'c':
        return byte >= '1' && byte <= '5';
    default:
        return byte == statusLineFormat[position];
    }
}

} // namespace

std::size_t response_syntax::nextPiece(std::string_view data)
{
    if (m_part == part::Remainder)
        return data.size();
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

bool response_syntax::isAllowed(char byte) const
{
    // A recipient may take a line feed alone as the end of a line, but not a carriage return.
    if (m_previousByte == '\r')
        return byte == '\n';
    if (byte == '\r' || byte == '\n')
        return mayEnd();
    if (isControl(byte))
        return false;
    if (m_part == part::StatusLine)
        return isAllowedInStatusLine(byte, m_position);
    // A line that continues the one before it cannot be told from a name that begins with a blank.
    // The parser examines the rest of a field line.
    return m_position > 0 || !isBlank(byte);
}

bool response_syntax::mayEnd() const
{
    // The blank before an empty reason is often left out.
    return m_part != part::StatusLine || m_position == 0 || m_position >= statusLineFormat.size();
}

void response_syntax::endLine()
{
    const std::size_t length = m_position - (m_previousByte == '\r' ? 1 : 0);
    // http_parser skips empty lines before the status line.
    if (length > 0)
        m_part = part::FieldLine;
    m_position = 0;
    m_previousByte = '\0';
}

} // namespace mustardcourse::http
