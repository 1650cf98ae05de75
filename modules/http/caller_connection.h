#pragma once

#include <mustardcourse/http/caller_server.h>

namespace mustardcourse::http {

/** A caller's connection. It deletes itself when the connection ends. */
class caller_connection final : private net::stream_handler
{
public:
    caller_connection(caller_server &server, std::unique_ptr<net::stream> acceptedStream);
    ~caller_connection() override;
    caller_connection(const caller_connection &) = delete;
    caller_connection &operator=(const caller_connection &) = delete;

    void sendInterim(int status, const header_fields &headers);

    /** Sends the response of the current exchange. */
    void respond(const reply &answer);

    /** Closes the connection because the current exchange was destroyed without a response. */
    void abandon();

    /** Returns whether the connection has been idle for at least this time. */
    [[nodiscard]] bool isIdleFor(duration minimumIdleTime) const;
    /** Restarts the timer of an idle connection after the idle timeout has grown. */
    void extendIdleTime();
    [[nodiscard]] bool hasExchange() const noexcept { return m_exchange != nullptr; }

private:
    void onData(std::string_view data) override;
    void onSent() override;
    void onEnd(net::stream_end_reason reason) override;

    void parse();
    void startExchange();
    void refuse(int status);
    void onTimeout();
    void startIdleTimer();
    /** Starts the timer that drops the rest of a response when the caller no longer reads it. */
    void awaitSending();
    void finish();

    caller_server &m_server;
    std::unique_ptr<net::stream> m_stream;
    message_reader m_reader;
    receive_memory::share m_unparsedMemory;
    net::timer m_timer;
    std::string m_unparsedData;
    /** Earliest times at which the latest data, the first unparsed data, and the first byte of the
        request that is being read can have arrived. */
    time_point m_latestArrival;
    time_point m_unparsedArrival;
    time_point m_requestBegin;
    caller_exchange *m_exchange = nullptr;
    time_point m_idleSince;
    /** Bytes that were unsent when the timer was started to await their sending. */
    std::size_t m_unsentBytes = 0;
    bool m_isFirstRequest = true;
    bool m_isKeepAlive = true;
    bool m_isFinishing = false;
    bool m_isContinueSent = false;
    bool m_isParsing = false;
};

} // namespace mustardcourse::http
