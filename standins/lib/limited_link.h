#pragma once

#include <mustardcourse/net/stream.h>

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace mustardcourse::standins {

/**
    The outgoing network link of a simulated host, which carries a limited number of bytes a second.

    Peers connect to addresses of the link instead of those of the host, and the host to addresses
    of the link instead of those of its peers. The link delivers what the host sends in the order
    in which it was sent on any of these connections; what the host receives is not delayed.
*/
class limited_link
{
public:
    /** Which side of a connection is the host whose link this is. */
    enum class host_side { Accepted, Dialled };

    limited_link(net::loop &loop, const clock &clock, double bytesPerSecond);
    ~limited_link();
    limited_link(const limited_link &) = delete;
    limited_link &operator=(const limited_link &) = delete;

    /** Forwards each connection to an address of the link to a peer. */
    void forward(const endpoint &listenAddress, const endpoint &peer, host_side side);

private:
    class connection;
    struct queued_bytes
    {
        std::weak_ptr<connection> destination;
        std::string bytes;
        time_point deliveredAt;
    };

    void enqueue(const std::shared_ptr<connection> &destination, std::string_view bytes);
    void deliver();
    void remove(const connection &closedConnection);

    net::loop &m_loop;
    const clock &m_clock;
    double m_bytesPerSecond;
    std::deque<queued_bytes> m_queue;
    net::timer m_deliveryTimer;
    std::vector<std::shared_ptr<connection>> m_connections;
    std::vector<std::unique_ptr<net::listener>> m_listeners;
};

} // namespace mustardcourse::standins
