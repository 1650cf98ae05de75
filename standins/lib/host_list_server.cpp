#include "host_list_server.h"

namespace mustardcourse::standins {

host_list_server::host_list_server(wire::event_loop &loop, const clock &clock,
                                   const endpoint &listenAddress, duration lag)
    : m_clock(clock)
    , m_lag(lag)
    , m_server(loop, listenAddress, *this)
{ }

void host_list_server::publish(std::string listAsJson)
{
    m_pendingLists.push_back({m_clock.now() + m_lag, std::move(listAsJson)});
}

kj::Promise<wire::http_response> host_list_server::handle(const wire::http_request &request)
{
    if (request.path == "/control") {
        publish(request.body);
        return wire::http_response{};
    }
    while (!m_pendingLists.empty() && m_pendingLists.front().visibleAt <= m_clock.now()) {
        m_visibleList = m_pendingLists.front().text;
        m_pendingLists.pop_front();
    }
    wire::http_response response;
    response.body = m_visibleList;
    return response;
}

} // namespace mustardcourse::standins
