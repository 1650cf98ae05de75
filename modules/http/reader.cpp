#include <mustardcourse/http/reader.h>

#include <http_parser.h>

#include <algorithm>

namespace mustardcourse::http {

namespace {

/** Returns whether a text is a token (RFC 9110, 5.6.2); the library lets spaces pass. */
bool isToken(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char character) {
        const bool isLetter =
            (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        const bool isDigit = character >= '0' && character <= '9';
        return isLetter || isDigit || marks.find(character) != std::string_view::npos;
    });
}

/** Returns whether a text may be a field's value; a control character could end it early. */
bool isFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](unsigned char character) {
        return (character < ' ' && character != '\t') || character == 0x7f;
    });
}

} // namespace

struct message_reader::implementation
{
    implementation(direction readDirection, message_limits messageLimits);

    static implementation &of(http_parser *parser)
    {
        return *static_cast<implementation *>(parser->data);
    }
    static const http_parser_settings &callbacks();

    void reset();
    bool countHeader(std::size_t bytes);
    int takeName(std::string_view part);
    int takeValue(std::string_view part);
    int endHeaders();
    int takeBody(std::string_view part);
    int complete();

    http_parser parser{};
    http_parser_type type;
    message_limits limits;
    read_state state = read_state::Empty;
    std::size_t headerBytes = 0;
    bool isValueLast = true;
    bool areHeadersRead = false;
    bool isBodyExpected = true;
    bool isEndedByStream = false;
    std::string target;
    std::string reason;
    header_fields headers;
    std::string body;
};

message_reader::implementation::implementation(direction readDirection,
                                               message_limits messageLimits)
    : type(readDirection == direction::Requests ? HTTP_REQUEST : HTTP_RESPONSE)
    , limits(messageLimits)
{
    reset();
}

void message_reader::implementation::reset()
{
    http_parser_init(&parser, type);
    parser.data = this;
    state = read_state::Empty;
    headerBytes = 0;
    isValueLast = true;
    areHeadersRead = false;
    isEndedByStream = false;
    target.clear();
    reason.clear();
    headers.clear();
    body.clear();
}

bool message_reader::implementation::countHeader(std::size_t bytes)
{
    headerBytes += bytes;
    if (headerBytes <= limits.headerBytes)
        return true;
    state = read_state::HeaderTooLarge;
    return false;
}

int message_reader::implementation::takeName(std::string_view part)
{
    if (!countHeader(part.size() + (isValueLast ? 4 : 0)))
        return 1;
    if (areHeadersRead)
        return 0; // Trailer fields are not forwarded.
    if (isValueLast)
        headers.emplace_back();
    isValueLast = false;
    headers.back().name.append(part);
    return 0;
}

int message_reader::implementation::takeValue(std::string_view part)
{
    isValueLast = true;
    if (!countHeader(part.size()))
        return 1;
    if (!areHeadersRead)
        headers.back().value.append(part);
    return 0;
}

int message_reader::implementation::endHeaders()
{
    areHeadersRead = true;
    isValueLast = true;
    for (const header_field &field : headers) {
        if (isToken(field.name) && isFieldValue(field.value))
            continue;
        state = read_state::Malformed;
        return -1;
    }
    const bool hasLength = (parser.flags & F_CONTENTLENGTH) != 0;
    if (hasLength && parser.content_length > limits.bodyBytes) {
        state = read_state::BodyTooLarge;
        return -1;
    }
    return isBodyExpected ? 0 : 1;
}

int message_reader::implementation::takeBody(std::string_view part)
{
    if (body.size() + part.size() > limits.bodyBytes) {
        state = read_state::BodyTooLarge;
        return 1;
    }
    body.append(part);
    return 0;
}

int message_reader::implementation::complete()
{
    state = read_state::Complete;
    // Bytes behind the message belong to another one, so parsing stops here.
    http_parser_pause(&parser, 1);
    return 0;
}

const http_parser_settings &message_reader::implementation::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings made;
        http_parser_settings_init(&made);
        made.on_message_begin = [](http_parser *source) {
            of(source).state = read_state::Partial;
            return 0;
        };
        made.on_url = [](http_parser *source, const char *data, std::size_t size) {
            of(source).target.append(data, size);
            return of(source).countHeader(size) ? 0 : 1;
        };
        made.on_status = [](http_parser *source, const char *data, std::size_t size) {
            of(source).reason.append(data, size);
            return of(source).countHeader(size) ? 0 : 1;
        };
        made.on_header_field = [](http_parser *source, const char *data, std::size_t size) {
            return of(source).takeName({data, size});
        };
        made.on_header_value = [](http_parser *source, const char *data, std::size_t size) {
            return of(source).takeValue({data, size});
        };
        made.on_headers_complete = [](http_parser *source) { return of(source).endHeaders(); };
        made.on_body = [](http_parser *source, const char *data, std::size_t size) {
            return of(source).takeBody({data, size});
        };
        made.on_message_complete = [](http_parser *source) { return of(source).complete(); };
        return made;
    }();
    return settings;
}

message_reader::message_reader(direction messages, message_limits limits)
    : m_implementation(std::make_unique<implementation>(messages, limits))
{ }

message_reader::~message_reader() = default;

std::size_t message_reader::feed(std::string_view data)
{
    implementation &self = *m_implementation;
    // The library takes no bytes at all for the end of the stream.
    if (data.empty() || (self.state != read_state::Empty && self.state != read_state::Partial))
        return 0;
    const std::size_t taken =
        http_parser_execute(&self.parser, &implementation::callbacks(), data.data(), data.size());
    if (self.state == read_state::Empty && taken > 0)
        self.state = read_state::Partial;
    const auto failure = static_cast<http_errno>(self.parser.http_errno);
    const bool isRunning = self.state == read_state::Empty || self.state == read_state::Partial;
    if (isRunning && (failure != HPE_OK || self.parser.upgrade != 0))
        self.state =
            failure == HPE_HEADER_OVERFLOW ? read_state::HeaderTooLarge : read_state::Malformed;
    return taken;
}

void message_reader::feedEndOfStream()
{
    implementation &self = *m_implementation;
    if (self.state != read_state::Partial)
        return;
    self.isEndedByStream = true;
    http_parser_execute(&self.parser, &implementation::callbacks(), nullptr, 0);
    if (self.state == read_state::Partial)
        self.state = read_state::Malformed;
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
    if (!self.areHeadersRead || self.state != read_state::Partial || !self.body.empty())
        return false;
    const auto expect = findHeader(self.headers, "Expect");
    return expect && equalsIgnoreCase(*expect, "100-continue");
}

request message_reader::takeRequest()
{
    implementation &self = *m_implementation;
    request taken;
    taken.method = http_method_str(static_cast<http_method>(self.parser.method));
    taken.isKeepAlive = http_should_keep_alive(&self.parser) != 0;
    taken.target = std::move(self.target);
    taken.headers = std::move(self.headers);
    taken.body = std::move(self.body);
    self.reset();
    return taken;
}

response message_reader::takeResponse()
{
    implementation &self = *m_implementation;
    response taken;
    taken.status = static_cast<int>(self.parser.status_code);
    taken.isKeepAlive = http_should_keep_alive(&self.parser) != 0;
    taken.isDelimitedByClose = self.isBodyExpected && self.isEndedByStream;
    taken.reason = std::move(self.reason);
    taken.headers = std::move(self.headers);
    taken.body = std::move(self.body);
    self.reset();
    return taken;
}

} // namespace mustardcourse::http
