#include <mustardcourse/http/reader.h>

#include "response_syntax.h"
#include "token.h"

#include <http_parser.h>

#include <algorithm>

namespace mustardcourse::http {

namespace {

/** Bytes of a chunked body's encoding for each byte of its maximum size that are read; a chunk of
    one byte takes five. */
constexpr std::size_t maximumEncodingOverhead = 8;

/** Returns whether a text is a token; http_parser accepts spaces in names. */
bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

/** Returns whether a text is a valid field value; a control character could end it early. */
bool isFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](unsigned char character) {
        return (character < ' ' && character != '\t') || character == 0x7f;
    });
}

/** Returns whether responses with a status end with their header, whatever its fields say
    (RFC 9112, 6.3). */
bool isBodilessStatus(unsigned status)
{
    constexpr unsigned firstFinalStatus = 200;
    constexpr unsigned noContent = 204;
    constexpr unsigned notModified = 304;
    return status < firstFinalStatus || status == noContent || status == notModified;
}

} // namespace

struct message_reader::implementation
{
    implementation(direction readDirection, message_limits messageLimits, receive_memory *memory);

    static implementation &of(http_parser *parser)
    {
        return *static_cast<implementation *>(parser->data);
    }
    static const http_parser_settings &callbacks();

    void reset();
    /** Returns whether the message is incomplete and valid so far. */
    [[nodiscard]] bool isReading() const;
    /** Parses bytes and returns how many it consumed. */
    std::size_t parse(std::string_view data);
    std::size_t parseResponse(std::string_view data);
    bool addHeaderBytes(std::size_t bytes);
    /** Records what the message takes, and returns whether it fits beside the others. */
    bool updateMemory();
    /** Returns whether a body is encoded in far more bytes than it has. */
    [[nodiscard]] bool isEncodingTooLarge() const;
    /** Returns whether the body of a response has no transfer coding that is not decoded. */
    [[nodiscard]] bool isTransferCodingSupported() const;
    /** Returns whether the message ends with its header. */
    [[nodiscard]] bool isBodiless() const;
    int appendFieldName(std::string_view part);
    int appendFieldValue(std::string_view part);
    int onHeadersComplete();
    int appendBody(std::string_view part);
    int complete();

    http_parser parser{};
    http_parser_type type;
    response_syntax syntax;
    message_limits limits;
    receive_memory::share memory;
    read_state state = read_state::Empty;
    std::size_t headerBytes = 0;
    /** Bytes of the message that have been read, with what they are encoded in. */
    std::size_t encodedBytes = 0;
    bool isNewFieldNext = true;
    bool isHeaderComplete = false;
    bool isBodyExpected = true;
    bool isEndedByClose = false;
    std::string target;
    std::string reason;
    header_fields headers;
    std::string body;
};

message_reader::implementation::implementation(direction readDirection,
                                               message_limits messageLimits,
                                               receive_memory *sharedMemory)
    : type(readDirection == direction::Requests ? HTTP_REQUEST : HTTP_RESPONSE)
    , limits(messageLimits)
    , memory(sharedMemory)
{
    reset();
}

void message_reader::implementation::reset()
{
    http_parser_init(&parser, type);
    parser.data = this;
    syntax.reset();
    state = read_state::Empty;
    headerBytes = 0;
    encodedBytes = 0;
    isNewFieldNext = true;
    isHeaderComplete = false;
    isEndedByClose = false;
    target.clear();
    reason.clear();
    headers.clear();
    body.clear();
    memory.release();
}

bool message_reader::implementation::isReading() const
{
    return state == read_state::Empty || state == read_state::Partial;
}

std::size_t message_reader::implementation::parse(std::string_view data)
{
    return http_parser_execute(&parser, &callbacks(), data.data(), data.size());
}

std::size_t message_reader::implementation::parseResponse(std::string_view data)
{
    std::size_t consumed = 0;
    while (consumed < data.size() && isReading()) {
        const std::string_view rest = data.substr(consumed);
        const std::size_t pieceSize = syntax.nextPiece(rest);
        if (pieceSize == 0) {
            state = read_state::Malformed;
            return consumed;
        }
        const std::size_t parsed = parse(rest.substr(0, pieceSize));
        consumed += parsed;
        if (parsed < pieceSize)
            return consumed;
    }
    return consumed;
}

bool message_reader::implementation::addHeaderBytes(std::size_t bytes)
{
    headerBytes += bytes;
    if (headerBytes <= limits.headerBytes && updateMemory())
        return true;
    state = read_state::HeaderTooLarge;
    return false;
}

bool message_reader::implementation::updateMemory()
{
    return memory.resize(headerBytes + headers.capacity() * sizeof(header_field) + body.capacity());
}

bool message_reader::implementation::isEncodingTooLarge() const
{
    return isHeaderComplete
        && encodedBytes > 2 * limits.headerBytes + (1 + maximumEncodingOverhead) * limits.bodyBytes;
}

bool message_reader::implementation::isTransferCodingSupported() const
{
    const auto isCodingField = [](const header_field &field) {
        return equalsIgnoreCase(field.name, "Transfer-Encoding");
    };
    const auto fieldCount = std::count_if(headers.begin(), headers.end(), isCodingField);
    if (fieldCount == 0)
        return true;
    // Version 1.0 has no transfer codings (RFC 9112, 6.1).
    const bool isVersionWithCodings = parser.http_minor > 0;
    // http_parser does not decode the chunks if a tab follows the name of the coding.
    const bool isDecoded = (parser.flags & F_CHUNKED) != 0;
    const auto coding = findHeader(headers, "Transfer-Encoding");
    return fieldCount == 1 && isVersionWithCodings && isDecoded
        && equalsIgnoreCase(trim(*coding), "chunked");
}

bool message_reader::implementation::isBodiless() const
{
    return !isBodyExpected || (type == HTTP_RESPONSE && isBodilessStatus(parser.status_code));
}

int message_reader::implementation::appendFieldName(std::string_view part)
{
    // The colon, a space and the line end of a field count as 4 bytes.
    if (!addHeaderBytes(part.size() + (isNewFieldNext ? 4 : 0)))
        return 1;
    if (isHeaderComplete)
        return 0; // Trailer fields are discarded.
    if (isNewFieldNext)
        headers.emplace_back();
    isNewFieldNext = false;
    headers.back().name.append(part);
    return 0;
}

int message_reader::implementation::appendFieldValue(std::string_view part)
{
    isNewFieldNext = true;
    if (!addHeaderBytes(part.size()))
        return 1;
    if (!isHeaderComplete)
        headers.back().value.append(part);
    return 0;
}

int message_reader::implementation::onHeadersComplete()
{
    isHeaderComplete = true;
    isNewFieldNext = true;
    syntax.beginBody((parser.flags & F_CHUNKED) != 0);
    for (const header_field &field : headers) {
        if (isToken(field.name) && isFieldValue(field.value))
            continue;
        state = read_state::Malformed;
        return -1;
    }
    if (type == HTTP_RESPONSE && !isTransferCodingSupported()) {
        state = read_state::Malformed;
        return -1;
    }
    const bool hasBodyLength = !isBodiless() && (parser.flags & F_CONTENTLENGTH) != 0;
    if (hasBodyLength && parser.content_length > limits.bodyBytes) {
        state = read_state::BodyTooLarge;
        return -1;
    }
    // 1 makes http_parser expect no body.
    return isBodiless() ? 1 : 0;
}

int message_reader::implementation::appendBody(std::string_view part)
{
    if (body.size() + part.size() > limits.bodyBytes) {
        state = read_state::BodyTooLarge;
        return 1;
    }
    body.append(part);
    if (!updateMemory()) {
        state = read_state::BodyTooLarge;
        return 1;
    }
    return 0;
}

int message_reader::implementation::complete()
{
    state = read_state::Complete;
    // Bytes after this message belong to the next one, so parsing stops here.
    http_parser_pause(&parser, 1);
    return 0;
}

const http_parser_settings &message_reader::implementation::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings callbackTable;
        http_parser_settings_init(&callbackTable);
        callbackTable.on_message_begin = [](http_parser *source) {
            of(source).state = read_state::Partial;
            return 0;
        };
        callbackTable.on_url = [](http_parser *source, const char *data, std::size_t size) {
            of(source).target.append(data, size);
            return of(source).addHeaderBytes(size) ? 0 : 1;
        };
        callbackTable.on_status = [](http_parser *source, const char *data, std::size_t size) {
            of(source).reason.append(data, size);
            return of(source).addHeaderBytes(size) ? 0 : 1;
        };
        callbackTable.on_header_field = [](http_parser *source, const char *data,
                                           std::size_t size) {
            return of(source).appendFieldName({data, size});
        };
        callbackTable.on_header_value = [](http_parser *source, const char *data,
                                           std::size_t size) {
            return of(source).appendFieldValue({data, size});
        };
        callbackTable.on_headers_complete = [](http_parser *source) {
            return of(source).onHeadersComplete();
        };
        callbackTable.on_body = [](http_parser *source, const char *data, std::size_t size) {
            return of(source).appendBody({data, size});
        };
        callbackTable.on_chunk_header = [](http_parser *source) {
            of(source).syntax.beginChunk(source->content_length);
            return 0;
        };
        callbackTable.on_message_complete = [](http_parser *source) {
            return of(source).complete();
        };
        return callbackTable;
    }();
    return settings;
}

message_reader::message_reader(direction messages, message_limits limits, receive_memory *memory)
    : m_implementation(std::make_unique<implementation>(messages, limits, memory))
{ }

message_reader::~message_reader() = default;

std::size_t message_reader::feed(std::string_view data)
{
    implementation &self = *m_implementation;
    // http_parser treats an empty input as the end of the stream.
    if (data.empty() || !self.isReading())
        return 0;
    const std::size_t consumed =
        self.type == HTTP_RESPONSE ? self.parseResponse(data) : self.parse(data);
    self.encodedBytes += consumed;
    if (self.state == read_state::Empty && consumed > 0)
        self.state = read_state::Partial;
    if (self.state == read_state::Partial && self.isEncodingTooLarge())
        self.state = read_state::BodyTooLarge;
    const auto failure = static_cast<http_errno>(self.parser.http_errno);
    if (self.isReading() && (failure != HPE_OK || self.parser.upgrade != 0))
        self.state =
            failure == HPE_HEADER_OVERFLOW ? read_state::HeaderTooLarge : read_state::Malformed;
    return consumed;
}

void message_reader::feedEndOfStream()
{
    implementation &self = *m_implementation;
    if (self.state != read_state::Partial)
        return;
    self.isEndedByClose = true;
    http_parser_execute(&self.parser, &implementation::callbacks(), nullptr, 0);
    if (self.state == read_state::Partial)
        self.state = read_state::Malformed;
}

void message_reader::setLimits(const message_limits &limits) noexcept
{
    m_implementation->limits = limits;
}

void message_reader::expectBody(bool isExpected) noexcept
{
    m_implementation->isBodyExpected = isExpected;
}

read_state message_reader::state() const noexcept
{
    return m_implementation->state;
}

bool message_reader::isAwaitingContinue() const noexcept
{
    const implementation &self = *m_implementation;
    if (!self.isHeaderComplete || self.state != read_state::Partial || !self.body.empty())
        return false;
    const auto expect = findHeader(self.headers, "Expect");
    return expect && equalsIgnoreCase(*expect, "100-continue");
}

request message_reader::takeRequest()
{
    implementation &self = *m_implementation;
    request message;
    message.method = http_method_str(static_cast<http_method>(self.parser.method));
    message.isKeepAlive = http_should_keep_alive(&self.parser) != 0;
    message.target = std::move(self.target);
    message.headers = std::move(self.headers);
    message.body = std::move(self.body);
    self.reset();
    return message;
}

response message_reader::takeResponse()
{
    implementation &self = *m_implementation;
    response message;
    message.status = static_cast<int>(self.parser.status_code);
    message.isKeepAlive = http_should_keep_alive(&self.parser) != 0;
    message.isDelimitedByClose = self.isBodyExpected && self.isEndedByClose;
    message.reason = std::move(self.reason);
    message.headers = std::move(self.headers);
    message.body = std::move(self.body);
    self.reset();
    return message;
}

} // namespace mustardcourse::http
