#pragma once

#include <mustardcourse/net/stream.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mustardcourse::tests {

/** A peer that responds to every request with the same raw bytes, and may then close. */
class scripted_peer
{
public:
    scripted_peer(net::loop &loop, const endpoint &address, std::string answer, bool shouldClose)
        : m_answer(std::move(answer))
        , m_shouldClose(shouldClose)
        , m_listener(loop, address, [this](std::unique_ptr<net::stream> acceptedStream) {
            ++m_accepted;
            m_connections.push_back(std::make_unique<connection>(*this, std::move(acceptedStream)));
        })
    { }

    [[nodiscard]] std::size_t acceptedCount() const { return m_accepted; }

private:
    struct connection final : net::stream_handler
    {
        connection(scripted_peer &owner, std::unique_ptr<net::stream> acceptedStream)
            : peer(owner)
            , stream(std::move(acceptedStream))
        {
            stream->setHandler(*this);
        }
        void onData(std::string_view data) override
        {
            receivedData.append(data);
            if (receivedData.find("\r\n\r\n") == std::string::npos)
                return;
            receivedData.clear();
            if (!peer.m_answer.empty())
                stream->write(peer.m_answer);
            if (peer.m_shouldClose)
                stream->finish();
        }
        void onEnd(net::stream_end_reason) override { }

        scripted_peer &peer;
        std::unique_ptr<net::stream> stream;
        std::string receivedData;
    };

    std::string m_answer;
    bool m_shouldClose;
    std::size_t m_accepted = 0;
    std::vector<std::unique_ptr<connection>> m_connections;
    net::listener m_listener;
};

} // namespace mustardcourse::tests
