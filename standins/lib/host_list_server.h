#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/wire/http_server.h>

#include <deque>
#include <string>

namespace mustardcourse::standins {

/** A simulated host list of the platform, whose changes become visible after a lag. */
class host_list_server
{
public:
    host_list_server(wire::event_loop &loop, const clock &clock, const endpoint &listenAddress,
                     duration lag);

    /** Handles a request. @see wire::http_handler */
    kj::Promise<wire::http_response> handle(const wire::http_request &request);

    /** Replaces the list; readers see it after the lag. */
    void publish(std::string listAsJson);

private:
    struct published_list
    {
        time_point visibleAt;
        std::string text;
    };

    const clock &m_clock;
    duration m_lag;
    std::string m_visibleList = R"({"hosts":[]})";
    std::deque<published_list> m_pendingLists;
    wire::http_server<host_list_server> m_server;
};

} // namespace mustardcourse::standins
