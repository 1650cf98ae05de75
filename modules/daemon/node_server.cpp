#include "node_server.h"

namespace mustardcourse::daemon {

node_services::node_services(home &home, gossip &gossip, const settings_view &view,
                             metrics &metrics)
    : ownHome(home)
    , gossipService(gossip)
    , settings(view)
    , processMetrics(metrics)
{ }

void node_services::close()
{
    m_isOpen = false;
    m_canceler.cancel("the host has stopped");
}

void node_services::requireOpen() const
{
    if (!m_isOpen)
        kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "the host has stopped"));
}

node_server::node_server(std::shared_ptr<node_services> services)
    : m_services(std::move(services))
{ }

kj::Promise<void> node_server::lookup(LookupContext context)
{
    m_services->requireOpen();
    requests::lookup_call call = readLookupCall(context.getParams().getCall());
    context.releaseParams();
    context.allowCancellation();
    return m_services->guard(m_services->ownHome.lookup(std::move(call)))
        .then([context](requests::lookup_reply &&reply) mutable {
            write(reply, context.getResults().initReply());
        });
}

kj::Promise<void> node_server::execute(ExecuteContext context)
{
    m_services->requireOpen();
    // Not cancellable: once the request may have been sent, its result has to be recorded.
    requests::execute_call call = readExecuteCall(context.getParams().getCall());
    context.releaseParams();
    return m_services->guard(m_services->ownHome.execute(std::move(call)))
        .then([context](requests::execute_reply &&reply) mutable {
            write(reply, context.getResults().initReply());
        });
}

kj::Promise<void> node_server::describeTargets(DescribeTargetsContext context)
{
    m_services->requireOpen();
    std::vector<registers::target_id> targets;
    for (const auto &name : context.getParams().getTargets())
        targets.push_back(endpoint::parse({name.begin(), name.size()}));
    const auto from = context.getParams().getCapacity();
    const registers::target_capacity capacity{std::max<std::size_t>(from.getSlots(), 1),
                                              std::max<std::size_t>(from.getConnections(), 1)};
    auto versionsPromise = m_services->ownHome.describe(std::move(targets), capacity);
    return m_services->guard(kj::mv(versionsPromise))
        .then([context](std::vector<held_versions> &&reports) mutable {
            auto held = context.getResults().initHeld(static_cast<unsigned>(reports.size()));
            for (unsigned index = 0; index < reports.size(); ++index)
                write(reports[index], held[index]);
        });
}

kj::Promise<void> node_server::exchangeDigest(ExchangeDigestContext context)
{
    m_services->requireOpen();
    const auto received = context.getParams().getDigest();
    m_services->processMetrics.countGossip(received.totalSize().wordCount);
    auto sent = context.getResults().initDigest();
    write(m_services->gossipService.handleDigest(readDigest(received)), sent);
    m_services->processMetrics.countGossip(sent.totalSize().wordCount);
    return kj::READY_NOW;
}

kj::Promise<void> node_server::fetchSettings(FetchSettingsContext context)
{
    m_services->requireOpen();
    std::vector<std::string> records;
    for (const auto &name : context.getParams().getTeams()) {
        const settings_in_force *inForce =
            m_services->settings.find(team_id({name.begin(), name.size()}));
        if (inForce != nullptr)
            records.push_back(inForce->record.toText());
    }
    auto settings = context.getResults().initSettings(static_cast<unsigned>(records.size()));
    for (unsigned index = 0; index < records.size(); ++index)
        settings[index].setRecord(records[index]);
    return kj::READY_NOW;
}

} // namespace mustardcourse::daemon
