#pragma once

#include "gossip.h"
#include "home.h"

#include <node.capnp.h>

#include <memory>

namespace mustardcourse::daemon {

/**
    The services of a host that other hosts call.

    RPC keeps calls that cannot be cancelled alive after their connection closed, and so possibly
    after the host was destroyed. close() cancels them; the host calls it before it destroys
    anything that they use.
*/
class node_services
{
public:
    node_services(home &ownHome, gossip &gossip, const settings_view &settings, metrics &metrics);

    /** Cancels the calls in progress and refuses later ones. */
    void close();

    /** Wraps a promise so that close() cancels it. */
    template <typename Value>
    kj::Promise<Value> guard(kj::Promise<Value> work)
    {
        return m_canceler.wrap(kj::mv(work));
    }

    /** Throws a kj::Exception of type DISCONNECTED once the services are closed. */
    void requireOpen() const;

    home &ownHome;
    gossip &gossipService;
    const settings_view &settings;
    metrics &processMetrics;

private:
    bool m_isOpen = true;
    kj::Canceler m_canceler;
};

/** Serves the calls of other hosts. @see peers */
class node_server final : public rpc::Node::Server
{
public:
    explicit node_server(std::shared_ptr<node_services> services);

protected:
    kj::Promise<void> lookup(LookupContext context) override;
    kj::Promise<void> execute(ExecuteContext context) override;
    kj::Promise<void> describeTargets(DescribeTargetsContext context) override;
    kj::Promise<void> exchangeDigest(ExchangeDigestContext context) override;
    kj::Promise<void> fetchSettings(FetchSettingsContext context) override;

private:
    std::shared_ptr<node_services> m_services;
};

} // namespace mustardcourse::daemon
