#include "peers.h"

#include <capnp/message.h>

namespace mustardcourse::daemon {

using namespace requests;

namespace {

constexpr std::chrono::milliseconds connectTimeout{500};
constexpr std::chrono::milliseconds controlTimeout{1000};

} // namespace

/** An open connection to a peer. */
struct peers::link
{
    explicit link(kj::Own<kj::AsyncIoStream> &&connectedStream)
        : stream(kj::mv(connectedStream))
        , client(*stream)
        , node(client.bootstrap().castAs<rpc::Node>())
    { }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
    rpc::Node::Client node;
    kj::Promise<void> disconnectWatch = nullptr;
};

peers::peers(wire::event_loop &loop, metrics &metrics)
    : m_loop(loop)
    , m_metrics(metrics)
{ }

kj::Promise<std::shared_ptr<peers::link>> peers::connect(const endpoint &peer)
{
    const auto existing = m_links.find(peer);
    if (existing != m_links.end())
        return existing->second;
    const auto pending = m_pendingLinks.find(peer);
    if (pending != m_pendingLinks.end())
        return pending->second.addBranch();

    auto address = m_loop.networkAddress(peer);
    auto connectPromise = address->connect().attach(kj::mv(address));
    auto forked = m_loop.timer()
                      .timeoutAfter(wire::toKj(connectTimeout), kj::mv(connectPromise))
                      .then(
                          [this, peer](kj::Own<kj::AsyncIoStream> &&stream) {
                              m_pendingLinks.erase(peer);
                              auto peerLink = std::make_shared<link>(kj::mv(stream));
                              m_links.insert_or_assign(peer, peerLink);
                              std::weak_ptr<link> weak = peerLink;
                              peerLink->disconnectWatch =
                                  peerLink->client.onDisconnect()
                                      .then([this, peer, weak] {
                                          if (const auto broken = weak.lock())
                                              drop(peer, broken);
                                      })
                                      .eagerlyEvaluate([](const kj::Exception &) {});
                              return peerLink;
                          },
                          [this, peer](kj::Exception &&failure) -> std::shared_ptr<link> {
                              m_pendingLinks.erase(peer);
                              kj::throwFatalException(kj::mv(failure));
                          })
                      .fork();
    auto branch = forked.addBranch();
    m_pendingLinks.emplace(peer, kj::mv(forked));
    return branch;
}

void peers::drop(const endpoint &peer, const std::shared_ptr<link> &broken)
{
    const auto found = m_links.find(peer);
    if (found == m_links.end() || found->second != broken)
        return;
    // Destroyed in a later turn of the event loop, as this may run inside one of its callbacks.
    auto keptLink = found->second;
    m_links.erase(found);
    kj::evalLater([keptLink] {}).detach([](const kj::Exception &) {});
}

kj::Promise<std::optional<lookup_reply>> peers::lookup(const endpoint &peer,
                                                       const lookup_call &call)
{
    // The call is encoded now, as the reference may be invalid once this function has returned.
    auto message = kj::heap<capnp::MallocMessageBuilder>();
    write(call, message->initRoot<rpc::LookupCall>());
    return connect(peer)
        .then([message = kj::mv(message)](std::shared_ptr<link> peerLink) mutable {
            auto request = peerLink->node.lookupRequest();
            request.setCall(message->getRoot<rpc::LookupCall>().asReader());
            return request.send().attach(kj::heap(peerLink)).then([](auto &&response) {
                return std::optional(readLookupReply(response.getReply()));
            });
        })
        .catch_([](const kj::Exception &) -> std::optional<lookup_reply> { return std::nullopt; });
}

kj::Promise<execute_reply> peers::execute(const endpoint &peer, execute_call call)
{
    return connect(peer).then(
        [call = std::move(call)](std::shared_ptr<link> peerLink) {
            auto request = peerLink->node.executeRequest();
            write(call, request.initCall());
            return request.send()
                .attach(kj::heap(peerLink))
                .then([](auto &&response) { return readExecuteReply(response.getReply()); })
                .catch_([](const kj::Exception &) {
                    return execute_reply{
                        execute_outcome::Unknown, execute_reason::AnswerLost, "", {}};
                });
        },
        [](const kj::Exception &) -> kj::Promise<execute_reply> {
            constexpr std::chrono::milliseconds retryAfter{1000};
            return execute_reply{execute_outcome::NotRun, execute_reason::HomeUnreachable, "",
                                 retryAfter};
        });
}

kj::Promise<std::vector<held_versions>>
peers::describe(const endpoint &peer, const std::vector<registers::target_id> &targets,
                const registers::target_capacity &capacity)
{
    auto versionsPromise = connect(peer).then([targets, capacity](std::shared_ptr<link> peerLink) {
        auto request = peerLink->node.describeTargetsRequest();
        request.initCapacity().setSlots(static_cast<std::uint32_t>(capacity.slots));
        request.getCapacity().setConnections(static_cast<std::uint32_t>(capacity.connections));
        auto names = request.initTargets(static_cast<unsigned>(targets.size()));
        for (unsigned index = 0; index < targets.size(); ++index)
            names.set(index, targets[index].toString());
        return request.send().attach(kj::heap(peerLink)).then([](auto &&response) {
            std::vector<held_versions> held;
            for (const auto &entry : response.getHeld())
                held.push_back(readHeldVersions(entry));
            return held;
        });
    });
    return m_loop.timer()
        .timeoutAfter(wire::toKj(controlTimeout), kj::mv(versionsPromise))
        .catch_([](const kj::Exception &) { return std::vector<held_versions>(); });
}

kj::Promise<std::optional<member_digest>> peers::exchange(const endpoint &peer,
                                                          const member_digest &digest)
{
    auto message = kj::heap<capnp::MallocMessageBuilder>();
    write(digest, message->initRoot<rpc::Digest>());
    m_metrics.countGossip(message->sizeInWords());
    auto digestPromise = connect(peer).then(
        [this, message = kj::mv(message)](std::shared_ptr<link> peerLink) mutable {
            auto request = peerLink->node.exchangeDigestRequest();
            request.setDigest(message->getRoot<rpc::Digest>().asReader());
            return request.send().attach(kj::heap(peerLink)).then([this](auto &&response) {
                const auto peerDigest = response.getDigest();
                m_metrics.countGossip(peerDigest.totalSize().wordCount);
                return std::optional(readDigest(peerDigest));
            });
        });
    return m_loop.timer()
        .timeoutAfter(wire::toKj(controlTimeout), kj::mv(digestPromise))
        .catch_([](const kj::Exception &) -> std::optional<member_digest> { return std::nullopt; });
}

kj::Promise<std::vector<settings::team_record>>
peers::fetchSettings(const endpoint &peer, const std::vector<team_id> &teams)
{
    auto recordsPromise = connect(peer).then([teams](std::shared_ptr<link> peerLink) {
        auto request = peerLink->node.fetchSettingsRequest();
        auto names = request.initTeams(static_cast<unsigned>(teams.size()));
        for (unsigned index = 0; index < teams.size(); ++index)
            names.set(index, teams[index].value());
        return request.send().attach(kj::heap(peerLink)).then([](auto &&response) {
            std::vector<settings::team_record> records;
            for (const auto &entry : response.getSettings()) {
                const auto text = entry.getRecord();
                if (auto record = settings::team_record::parse({text.begin(), text.size()}))
                    records.push_back(std::move(*record));
            }
            return records;
        });
    });
    return m_loop.timer()
        .timeoutAfter(wire::toKj(controlTimeout), kj::mv(recordsPromise))
        .catch_([](const kj::Exception &) { return std::vector<settings::team_record>(); });
}

} // namespace mustardcourse::daemon
