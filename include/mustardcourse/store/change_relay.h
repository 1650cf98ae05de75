#pragma once

#include <mustardcourse/http/caller_server.h>
#include <mustardcourse/store/change_log.h>

#include <map>
#include <memory>

namespace mustardcourse::store {

/**
    Passes the changes that this host sees in the store on to other hosts.

    A host asks for what came after a revision. It is answered at once if there is something, else
    at the end of this host's own watch, so that every answer is as fresh as the store's own. While
    the store does not answer, hosts are told so and ask it themselves.
*/
class change_relay
{
public:
    /** Takes a host's request; it is held until there is an answer. */
    void serve(std::unique_ptr<http::caller_exchange> exchange);

    /** Notes the answer to a watch of this host. @param since  the revision that was asked for */
    void noteChanges(revision since, const store_batch &changes);

    /** Sets whether this host serves others; until then it refuses them. */
    void setServing(bool isServing);
    [[nodiscard]] bool isServing() const noexcept { return m_isServing; }

private:
    struct waiting_host
    {
        revision since;
        std::unique_ptr<http::caller_exchange> exchange;
    };

    void answer(waiting_host &&waiting) const;
    void refuseAll(int status);
    void forget(std::uint64_t number);

    change_log m_log;
    std::map<std::uint64_t, waiting_host> m_waiting;
    std::uint64_t m_lastWaiting = 0;
    bool m_isServing = false;
    bool m_isStoreAway = false;
};

/** Statuses of a relay's answers. */
namespace relay_status {
constexpr int changes = 200;
constexpr int badRequest = 400;
/** The changes behind that revision are not all kept, or the host serves nobody. */
constexpr int notServed = 410;
/** The store does not answer this host. */
constexpr int storeAway = 503;
} // namespace relay_status

/** Path of a relay's requests; the revision follows. */
constexpr std::string_view relayPath = "/changes?after=";

} // namespace mustardcourse::store
