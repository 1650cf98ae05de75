#pragma once

#include <mustardcourse/wire/event_loop.h>

#include <libwebsockets.h>

#include <array>
#include <memory>
#include <string>

namespace mustardcourse::wire {

/**
    Virtual host of libwebsockets, with the data that the library points to.

    The library releases a destroyed virtual host only some loop iterations later and invokes its
    callback until then. Destruction therefore clears the owner at once, and keeps the data until
    the library has released it.
*/
class virtual_host
{
public:
    /**
        @param owner          the object that ownerOf() returns in callbacks
        @param listenAddress  the address to listen on, or null for a client
        @throws listen_error if the address is in use
    */
    virtual_host(event_loop &loop, std::string name, lws_callback_function *callback,
                 std::size_t sessionBytes, void *owner, const endpoint *listenAddress);
    ~virtual_host();
    virtual_host(const virtual_host &) = delete;
    virtual_host &operator=(const virtual_host &) = delete;

    /** Returns the libwebsockets handle. */
    [[nodiscard]] lws_vhost *handle() const noexcept { return m_handle; }

    /** Returns the owner of a connection's virtual host, or null once that is being destroyed. */
    static void *ownerOf(lws *wsi);

private:
    struct library_data
    {
        std::string name;
        std::string address;
        std::array<lws_protocols, 2> protocols{};
        void *owner = nullptr;
    };

    event_loop &m_loop;
    std::shared_ptr<library_data> m_libraryData;
    lws_vhost *m_handle = nullptr;
};

} // namespace mustardcourse::wire
