#pragma once

#include <mustardcourse/http/message.h>
#include <mustardcourse/http/receive_memory.h>

#include <memory>

namespace mustardcourse::http {

/** Size limits of a message. */
struct message_limits
{
    /** Maximum size of the start line and all header fields. */
    std::size_t headerBytes = 16 * 1024;
    /** Maximum size of the body after chunked decoding. */
    std::size_t bodyBytes = 1024 * 1024;
};

/** Progress of a reader. */
enum class read_state {
    /** No byte of a message has arrived. */
    Empty,
    /** A part of a message has arrived. */
    Partial,
    /** A complete message has arrived and can be taken. */
    Complete,
    /** The bytes are not a valid HTTP/1.1 message, or are ambiguous. */
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
};

/**
    An incremental parser of either HTTP/1.1 requests or responses.

    A message with both a Content-Length and a chunked encoding is malformed, to prevent request
    smuggling. So is a response that the grammar of RFC 9112 does not allow, or whose transfer
    coding is not just chunked.
*/
class message_reader
{
public:
    enum class direction { Requests, Responses };

    /** @param memory  limits the memory of all its readers together, in addition; a message that
                       doesn't fit counts as too large. Null for none */
    message_reader(direction messages, message_limits limits, receive_memory *memory = nullptr);
    ~message_reader();
    message_reader(const message_reader &) = delete;
    message_reader &operator=(const message_reader &) = delete;

    /** Consumes bytes up to the end of a message and returns how many it consumed. */
    std::size_t feed(std::string_view data);

    /** Processes the end of the stream, which completes a response without a length. */
    void feedEndOfStream();

    /** Sets the limits of the following messages. Precondition: state() is Empty. */
    void setLimits(const message_limits &limits) noexcept;

    /** Sets whether the following responses can have a body; those to HEAD have none. */
    void expectBody(bool isExpected) noexcept;

    [[nodiscard]] read_state state() const noexcept;

    /** Returns whether the header has been read and the sender waits for "100 Continue" before it
        sends the body. */
    [[nodiscard]] bool isAwaitingContinue() const noexcept;

    /** Returns the complete request and resets the reader. Precondition: state() is Complete. */
    request takeRequest();

    /** Returns the complete response and resets the reader. Precondition: state() is Complete. */
    response takeResponse();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace mustardcourse::http
