#pragma once

#include "node_codec.h"

#include <mustardcourse/wire/event_loop.h>

#include <capnp/rpc-twoparty.h>

#include <map>
#include <memory>
#include <optional>

namespace mustardcourse::daemon {

/**
    Calls other hosts of the tier over Cap'n Proto RPC.

    Keeps one connection per peer, opened on first use and reopened after it broke. Dropping a
    promise cancels the call at the peer.
*/
class peers
{
public:
    peers(wire::event_loop &loop, metrics &metrics);

    /** Sends a lookup to a home. Resolves to nothing if the home cannot be reached. */
    kj::Promise<std::optional<requests::lookup_reply>> lookup(const endpoint &peer,
                                                              const requests::lookup_call &call);

    /**
        Sends a non-idempotent request to its home. If the connection cannot be opened, the request
        did not run; if it breaks later, the result is unknown.
    */
    kj::Promise<requests::execute_reply> execute(const endpoint &peer, requests::execute_call call);

    /** Fetches the versions that targets of a home hold; an empty list if it cannot be reached. */
    kj::Promise<std::vector<held_versions>>
    describe(const endpoint &peer, const std::vector<registers::target_id> &targets,
             const registers::target_capacity &capacity);

    /** Exchanges digests with a peer. Resolves to nothing if it cannot be reached. */
    kj::Promise<std::optional<member_digest>> exchange(const endpoint &peer,
                                                       const member_digest &digest);

    /** Fetches the settings of teams from a peer; an empty list if it cannot be reached. */
    kj::Promise<std::vector<settings::team_record>>
    fetchSettings(const endpoint &peer, const std::vector<team_id> &teams);

private:
    struct link;

    kj::Promise<std::shared_ptr<link>> connect(const endpoint &peer);
    void drop(const endpoint &peer, const std::shared_ptr<link> &broken);

    wire::event_loop &m_loop;
    metrics &m_metrics;
    std::map<endpoint, std::shared_ptr<link>> m_links;
    std::map<endpoint, kj::ForkedPromise<std::shared_ptr<link>>> m_pendingLinks;
};

} // namespace mustardcourse::daemon
