#include <mustardcourse/daemon/daemon.h>

#include "caller_api.h"
#include "gossip.h"
#include "node_server.h"

#include <mustardcourse/routing/rendezvous.h>

#include <capnp/rpc-twoparty.h>
#include <fmt/format.h>

namespace mustardcourse::daemon {

namespace {

constexpr std::chrono::milliseconds storeTimeout{1000};
constexpr std::chrono::milliseconds hostListTimeout{1000};
constexpr std::chrono::milliseconds statusTimeout{500};
constexpr std::chrono::milliseconds drainCheckInterval{5};

/** Number of hosts per data centre that watch the store. */
constexpr std::size_t relaysPerDataCentre = 2;

membership::member_record ownRecord(const settings::host_settings &host, const clock &clock)
{
    membership::member_record self;
    self.host = host.host;
    self.dataCentre = host.dataCentre;
    self.peerAddress = host.peerListen;
    const auto started = clock.wallNow().time_since_epoch();
    self.incarnationNumber = incarnation(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(started).count()));
    return self;
}

} // namespace

struct daemon::implementation final : private kj::TaskSet::ErrorHandler
{
    implementation(wire::event_loop &eventLoop, const clock &processClock, const logger &logger,
                   settings::host_settings settings);

    ~implementation();

    void taskFailed(kj::Exception &&exception) override;
    void listenForPeers();
    [[nodiscard]] bool isRelay() const;
    kj::Promise<void> runMaintenance();
    kj::Promise<void> refreshTargets();
    kj::Promise<bool> drain(time_point until);
    [[nodiscard]] bool isIdle() const;

    wire::event_loop &loop;
    const clock &hostClock;
    const logger &log;
    const settings::host_settings host;
    metrics processMetrics;
    settings_view settingsView;
    platform::store_client store;
    platform::host_list_client hostList;
    membership::member_table members;
    settings_service service;
    claim_ledger claims;
    home ownHome;
    peers peerCalls;
    gossip gossipService;
    entry callerEntry;
    kj::TaskSet tasks;
    caller_api api;
    wire::http_server<caller_api> callerServer;
    std::shared_ptr<node_services> services;
    kj::Maybe<capnp::TwoPartyServer> peerServer;
};

daemon::implementation::implementation(wire::event_loop &eventLoop, const clock &processClock,
                                       const logger &logger, settings::host_settings settings)
    : loop(eventLoop)
    , hostClock(processClock)
    , log(logger)
    , host(std::move(settings))
    , settingsView(log)
    , store(loop, host.store, storeTimeout)
    , hostList(loop, host.hostList, hostListTimeout)
    , members(ownRecord(host, hostClock), {})
    , service(loop, hostClock, log, store, settingsView, host.intervals.storeRetry)
    , claims(loop, hostClock, log, store,
             fmt::format("{}-{}", host.host.value(), members.self().incarnationNumber.value()), {},
             host.intervals.storeRetry)
    , ownHome(loop, hostClock, processMetrics, settingsView, claims,
              host.limits.maximumTargetQueueLength)
    , peerCalls(loop, processMetrics)
    , gossipService(loop, hostClock, log, processMetrics, members, settingsView, service, peerCalls,
                    hostList, {host.intervals.gossip, host.intervals.hostList})
    , callerEntry(loop, hostClock, host, processMetrics, settingsView, members, ownHome, peerCalls)
    , tasks(*this)
    , api(hostClock, log, host, processMetrics, callerEntry, ownHome, settingsView, service,
          members, tasks)
    , callerServer(loop, host.callerListen, api, {.maximumBodyBytes = host.limits.bodyBytes})
    , services(
          std::make_shared<node_services>(ownHome, gossipService, settingsView, processMetrics))
{
    listenForPeers();
    service.onChange([this] { gossipService.exchangeWithPeers(); });
    tasks.add(gossipService.run());
    tasks.add(service.relay([this] { return isRelay(); }));
    tasks.add(runMaintenance());
    tasks.add(refreshTargets());
    log.info("started",
             {{"callers", host.callerListen.toString()}, {"peers", host.peerListen.toString()}});
}

daemon::implementation::~implementation()
{
    services->close();
}

void daemon::implementation::taskFailed(kj::Exception &&exception)
{
    log.error("task-failed", {{"reason", exception.getDescription().cStr()}});
}

void daemon::implementation::listenForPeers()
{
    auto &server = peerServer.emplace(kj::heap<node_server>(services));
    try {
        auto listener = loop.networkAddress(host.peerListen)->listen();
        tasks.add(server.listen(*listener).attach(kj::mv(listener)));
    } catch (const kj::Exception &failure) {
        throw listen_error(fmt::format("cannot listen on {}: {}", host.peerListen.toString(),
                                       failure.getDescription().cStr()));
    }
}

bool daemon::implementation::isRelay() const
{
    std::vector<membership::member_record> candidates;
    for (const membership::member_record &member : members.serving()) {
        if (member.dataCentre == host.dataCentre)
            candidates.push_back(member);
    }
    const auto ranked = routing::rankMembers("settings-relay", std::move(candidates));
    const std::size_t count = std::min(ranked.size(), relaysPerDataCentre);
    return std::any_of(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                       [&](const auto &member) { return member.host == host.host; });
}

kj::Promise<void> daemon::implementation::runMaintenance()
{
    constexpr std::chrono::seconds interval{1};

    callerEntry.runMaintenance();
    processMetrics.storeCalls.Increment(static_cast<double>(store.callCount())
                                        - processMetrics.storeCalls.Value());
    return loop.sleep(interval).then([this] { return runMaintenance(); });
}

kj::Promise<void> daemon::implementation::refreshTargets()
{
    return ownHome.refreshTargets(statusTimeout)
        .then([this] { return loop.sleep(host.intervals.targetStatus); })
        .then([this] { return refreshTargets(); });
}

bool daemon::implementation::isIdle() const
{
    const auto targets = ownHome.targets();
    const bool isBusy = std::any_of(targets.begin(), targets.end(), [](const auto *client) {
        return client->gate().inUse() > 0 || client->queueLength() > 0;
    });
    return !isBusy && callerServer.pendingCount() == 0;
}

kj::Promise<bool> daemon::implementation::drain(time_point until)
{
    if (isIdle())
        return true;
    if (hostClock.now() >= until)
        return false;
    return loop.sleep(drainCheckInterval).then([this, until] { return drain(until); });
}

daemon::daemon(wire::event_loop &loop, const clock &clock, const logger &log,
               settings::host_settings settings)
    : m_implementation(std::make_unique<implementation>(loop, clock, log, std::move(settings)))
{ }

daemon::~daemon() = default;

kj::Promise<bool> daemon::stop()
{
    implementation &self = *m_implementation;
    self.log.info("stopping");
    self.api.beginStop();
    self.callerServer.closeAfterResponses();
    return self.gossipService.announceLeaving()
        .then([&self] { return self.loop.sleep(self.host.limits.stopGrace); })
        .then([&self] { return self.drain(self.hostClock.now() + self.host.limits.stopTimeout); })
        .then([&self](bool isDrained) {
            return self.claims.flush()
                .exclusiveJoin(self.loop.sleep(self.host.limits.stopTimeout))
                .then([&self, isDrained] {
                    self.log.info("stopped", {{"drained", isDrained ? "yes" : "no"}});
                    return isDrained;
                });
        });
}

} // namespace mustardcourse::daemon
