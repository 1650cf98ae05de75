#pragma once

#include <mustardcourse/http/message.h>

#include <memory>

namespace mustardcourse::http {

/** Bounds of one message. */
struct message_limits
{
    /** Bytes of the start line and all header fields. */
    std::size_t headerBytes = 16 * 1024;
    /** Bytes of the body after decoding. */
    std::size_t bodyBytes = 1024 * 1024;
};

/** What a reader has found so far. */
enum class read_state {
    /** Nothing of a message has arrived. */
    Empty,
    /** A message has begun. */
    Partial,
    /** A whole message has arrived; take it. */
    Complete,
    /** The bytes are no HTTP/1.1 message, or could be read in two ways. */
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
};

/**
    Reads HTTP/1.1 messages of one direction from bytes as they arrive.

    A message that has both a length and a chunked encoding is malformed, so that no request can be
    hidden in another one's body.
*/
class message_reader
{
public:
    enum class direction { Requests, Responses };

    message_reader(direction messages, message_limits limits);
    ~message_reader();
    message_reader(const message_reader &) = delete;
    message_reader &operator=(const message_reader &) = delete;

    /** Takes bytes up to the end of one message and returns how many it took. */
    std::size_t feed(std::string_view data);

    /** Notes the end of the stream, which completes a response that has no length. */
    void feedEndOfStream();

    /** Sets whether the next responses have bodies at all; those to HEAD have none. */
    void expectBody(bool isExpected) noexcept;

    [[nodiscard]] read_state state() const noexcept;

    /** Returns whether the header has been read and the sender waits for leave to send the body. */
    [[nodiscard]] bool isAwaitingContinue() const noexcept;

    /** Returns the complete request and starts anew. Precondition: state() is Complete. */
    request takeRequest();

    /** Returns the complete response and starts anew. Precondition: state() is Complete. */
    response takeResponse();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace mustardcourse::http
