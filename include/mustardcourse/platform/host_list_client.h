#pragma once

#include <mustardcourse/core/ids.h>
#include <mustardcourse/wire/http_connection.h>

#include <optional>
#include <vector>

namespace mustardcourse::platform {

/** An entry of the platform's host list. */
struct listed_host
{
    host_id host;
    data_centre_id dataCentre;
    endpoint peerAddress;
    bool isLeaving = false;
};

/**
    Fetches the platform's list of live and leaving hosts.

    The list can be out of date, so it is only used to find a first peer, never to decide which
    hosts are alive.
*/
class host_list_client
{
public:
    host_list_client(wire::event_loop &loop, const endpoint &server, duration timeout);

    /** Returns the list, or nothing if it is unavailable. */
    kj::Promise<std::optional<std::vector<listed_host>>> fetch();

private:
    wire::http_connection m_connection;
    duration m_timeout;
};

} // namespace mustardcourse::platform
