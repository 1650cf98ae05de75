#include "virtual_host.h"

#include <mustardcourse/core/errors.h>

#include <fmt/format.h>

namespace mustardcourse::wire {

namespace {

constexpr std::size_t receiveBufferBytes = 16 * 1024;
constexpr int serverKeepAliveSeconds = 60;

} // namespace

virtual_host::virtual_host(event_loop &loop, std::string name, lws_callback_function *callback,
                           std::size_t sessionBytes, void *owner, const endpoint *listenAddress)
    : m_loop(loop)
    , m_libraryData(std::make_shared<library_data>())
{
    m_libraryData->name = std::move(name);
    m_libraryData->owner = owner;
    lws_protocols &protocol = m_libraryData->protocols[0];
    protocol.name = "http";
    protocol.callback = callback;
    protocol.per_session_data_size = sessionBytes;
    protocol.rx_buffer_size = receiveBufferBytes;

    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND | LWS_SERVER_OPTION_DISABLE_IPV6
        | LWS_SERVER_OPTION_SKIP_SERVER_CANONICAL_NAME;
    info.protocols = m_libraryData->protocols.data();
    info.vhost_name = m_libraryData->name.c_str();
    info.user = m_libraryData.get();
    info.keepalive_timeout = serverKeepAliveSeconds;
    if (listenAddress != nullptr) {
        m_libraryData->address = listenAddress->address();
        info.port = listenAddress->port();
        info.iface = m_libraryData->address.c_str();
    }
    m_handle = lws_create_vhost(loop.lwsContext(), &info);
    if (m_handle == nullptr)
        throw listen_error(fmt::format("cannot create the virtual host {}", m_libraryData->name));
    loop.wake();
}

virtual_host::~virtual_host()
{
    m_libraryData->owner = nullptr;
    lws_vhost_destroy(m_handle);
    m_loop.retire(m_libraryData);
    m_loop.wake();
}

void *virtual_host::ownerOf(lws *wsi)
{
    lws_vhost *handle = lws_get_vhost(wsi);
    if (handle == nullptr)
        return nullptr;
    const auto *libraryData = static_cast<const library_data *>(lws_vhost_user(handle));
    return libraryData == nullptr ? nullptr : libraryData->owner;
}

} // namespace mustardcourse::wire
