#include "limited_link.h"

#include <algorithm>

namespace mustardcourse::standins {

/** A connection through the link: a stream to the side that connected and one to the peer. */
class limited_link::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(limited_link &owner, std::unique_ptr<net::stream> accepted, const endpoint &peer,
               host_side side)
        : m_accepted(*this)
        , m_dialled(*this)
        , m_owner(owner)
        , m_side(side)
    {
        m_accepted.stream = std::move(accepted);
        m_accepted.stream->setHandler(m_accepted);
        m_dialled.stream = net::stream::dial(owner.m_loop, peer, m_dialled);
    }

    /** Sends bytes of the host that the link has carried. */
    void deliver(std::string bytes)
    {
        stream_end &destination = m_side == host_side::Accepted ? m_dialled : m_accepted;
        destination.stream->write(std::move(bytes));
    }

private:
    struct stream_end final : net::stream_handler
    {
        explicit stream_end(connection &parent)
            : owner(parent)
        { }
        void onData(std::string_view data) override { owner.forward(*this, data); }
        void onEnd(net::stream_end_reason) override { owner.m_owner.remove(owner); }

        connection &owner;
        std::unique_ptr<net::stream> stream;
    };

    void forward(const stream_end &source, std::string_view data)
    {
        const stream_end &hostEnd = m_side == host_side::Accepted ? m_accepted : m_dialled;
        if (&source == &hostEnd)
            return m_owner.enqueue(shared_from_this(), data);
        hostEnd.stream->write(std::string(data));
    }

    stream_end m_accepted;
    stream_end m_dialled;
    limited_link &m_owner;
    host_side m_side;
};

limited_link::limited_link(net::loop &loop, const clock &clock, double bytesPerSecond)
    : m_loop(loop)
    , m_clock(clock)
    , m_bytesPerSecond(bytesPerSecond)
    , m_deliveryTimer(loop, [this] { deliver(); })
{ }

limited_link::~limited_link() = default;

void limited_link::forward(const endpoint &listenAddress, const endpoint &peer, host_side side)
{
    m_listeners.push_back(std::make_unique<net::listener>(
        m_loop, listenAddress, [this, peer, side](std::unique_ptr<net::stream> accepted) {
            m_connections.push_back(
                std::make_shared<connection>(*this, std::move(accepted), peer, side));
        }));
}

void limited_link::enqueue(const std::shared_ptr<connection> &destination, std::string_view bytes)
{
    const time_point now = m_clock.now();
    const time_point begin = m_queue.empty() ? now : std::max(now, m_queue.back().deliveredAt);
    const std::chrono::duration<double> transmission(static_cast<double>(bytes.size())
                                                     / m_bytesPerSecond);
    m_queue.push_back({destination, std::string(bytes),
                       begin + std::chrono::duration_cast<duration>(transmission)});
    if (m_queue.size() == 1)
        m_deliveryTimer.start(m_queue.front().deliveredAt - now);
}

void limited_link::deliver()
{
    const time_point now = m_clock.now();
    while (!m_queue.empty() && m_queue.front().deliveredAt <= now) {
        queued_bytes carried = std::move(m_queue.front());
        m_queue.pop_front();
        if (const auto destination = carried.destination.lock())
            destination->deliver(std::move(carried.bytes));
    }
    if (!m_queue.empty())
        m_deliveryTimer.start(m_queue.front().deliveredAt - now);
}

void limited_link::remove(const connection &closedConnection)
{
    std::erase_if(m_connections,
                  [&](const auto &candidate) { return candidate.get() == &closedConnection; });
}

} // namespace mustardcourse::standins
