#include "node_codec.h"

namespace mustardcourse::daemon {

using namespace requests;

namespace {

std::string text(capnp::Text::Reader from)
{
    return {from.begin(), from.size()};
}

std::uint64_t microseconds(duration value)
{
    const auto count = std::chrono::duration_cast<std::chrono::microseconds>(value).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(count, 0));
}

std::uint32_t milliseconds(std::chrono::milliseconds value)
{
    return static_cast<std::uint32_t>(value.count());
}

limits::customer_class classFrom(std::uint8_t value)
{
    const auto maximumClass = static_cast<std::uint8_t>(limits::customer_class::High);
    return static_cast<limits::customer_class>(std::min(value, maximumClass));
}

void write(const registers::target_capacity &capacity, rpc::Capacity::Builder to)
{
    to.setSlots(static_cast<std::uint32_t>(capacity.slots));
    to.setConnections(static_cast<std::uint32_t>(capacity.connections));
}

registers::target_capacity readCapacity(rpc::Capacity::Reader from)
{
    return {std::max<std::size_t>(from.getSlots(), 1),
            std::max<std::size_t>(from.getConnections(), 1)};
}

void write(const shard_call &call, rpc::ShardCall::Builder to)
{
    to.setShard(call.shard.value());
    to.setTarget(call.replica.target.toString());
    to.setDataCentre(call.replica.dataCentre.value());
}

shard_call readShardCall(rpc::ShardCall::Reader from)
{
    return {shard_index(from.getShard()),
            {endpoint::parse(text(from.getTarget())), data_centre_id(text(from.getDataCentre()))}};
}

template <typename Versions>
void writeVersions(const std::vector<index_version> &versions, Versions to)
{
    for (unsigned index = 0; index < versions.size(); ++index)
        to.set(index, versions[index].value());
}

std::vector<index_version> readVersions(capnp::List<std::uint64_t>::Reader from)
{
    std::vector<index_version> versions;
    for (const std::uint64_t version : from)
        versions.emplace_back(version);
    return versions;
}

void write(const shard_reply &reply, rpc::ShardReply::Builder to)
{
    to.setShard(reply.shard.value());
    to.setTarget(reply.target.toString());
    to.setFailure(static_cast<rpc::ShardFailure>(reply.failure));
    to.setRetryAfterMilliseconds(milliseconds(reply.retryAfter));
    writeVersions(reply.heldVersions,
                  to.initHeldVersions(static_cast<unsigned>(reply.heldVersions.size())));
    auto hits = to.initHits(static_cast<unsigned>(reply.hits.size()));
    for (unsigned index = 0; index < reply.hits.size(); ++index) {
        hits[index].setKey(reply.hits[index].key);
        hits[index].setScore(reply.hits[index].score);
        hits[index].setDocument(reply.hits[index].document);
    }
}

shard_reply readShardReply(rpc::ShardReply::Reader from)
{
    shard_reply reply;
    reply.shard = shard_index(from.getShard());
    reply.target = endpoint::parse(text(from.getTarget()));
    reply.failure = static_cast<shard_failure>(from.getFailure());
    reply.heldVersions = readVersions(from.getHeldVersions());
    reply.retryAfter = std::chrono::milliseconds(from.getRetryAfterMilliseconds());
    for (const auto &entry : from.getHits())
        reply.hits.push_back({text(entry.getKey()), entry.getScore(), text(entry.getDocument())});
    return reply;
}

void write(const membership::member_record &record, rpc::MemberRecord::Builder to)
{
    to.setHost(record.host.value());
    to.setDataCentre(record.dataCentre.value());
    to.setPeerAddress(record.peerAddress.toString());
    to.setIncarnation(record.incarnationNumber.value());
    to.setHeartbeat(record.heartbeat);
    to.setState(static_cast<rpc::MemberState>(record.state));
}

membership::member_record readMember(rpc::MemberRecord::Reader from)
{
    membership::member_record record;
    record.host = host_id(text(from.getHost()));
    record.dataCentre = data_centre_id(text(from.getDataCentre()));
    record.peerAddress = endpoint::parse(text(from.getPeerAddress()));
    record.incarnationNumber = incarnation(from.getIncarnation());
    record.heartbeat = from.getHeartbeat();
    record.state = static_cast<membership::member_state>(from.getState());
    return record;
}

} // namespace

void write(const lookup_call &call, rpc::LookupCall::Builder to)
{
    to.setService(call.service.value());
    to.setTeam(call.team.value());
    to.setRequestId(call.request.value());
    to.setQuery(call.query);
    to.setCustomerClass(static_cast<std::uint8_t>(call.importance));
    to.setIndexVersion(call.version.value());
    to.setShardCount(call.shardCount);
    to.setHitLimit(call.hitLimit);
    to.setBudgetMicroseconds(microseconds(call.budget));
    write(call.capacity, to.initCapacity());
    auto shards = to.initShards(static_cast<unsigned>(call.shards.size()));
    for (unsigned index = 0; index < call.shards.size(); ++index)
        write(call.shards[index], shards[index]);
}

lookup_call readLookupCall(rpc::LookupCall::Reader from)
{
    lookup_call call;
    call.service = service_id(text(from.getService()));
    call.team = team_id(text(from.getTeam()));
    call.request = request_id(text(from.getRequestId()));
    call.query = text(from.getQuery());
    call.importance = classFrom(from.getCustomerClass());
    call.version = index_version(from.getIndexVersion());
    call.shardCount = from.getShardCount();
    call.hitLimit = from.getHitLimit();
    call.budget = std::chrono::microseconds(from.getBudgetMicroseconds());
    call.capacity = readCapacity(from.getCapacity());
    for (const auto &shard : from.getShards())
        call.shards.push_back(readShardCall(shard));
    return call;
}

void write(const lookup_reply &reply, rpc::LookupReply::Builder to)
{
    to.setTargetCalls(reply.targetCalls);
    auto shards = to.initShards(static_cast<unsigned>(reply.shards.size()));
    for (unsigned index = 0; index < reply.shards.size(); ++index)
        write(reply.shards[index], shards[index]);
}

lookup_reply readLookupReply(rpc::LookupReply::Reader from)
{
    lookup_reply reply;
    reply.targetCalls = from.getTargetCalls();
    for (const auto &shard : from.getShards())
        reply.shards.push_back(readShardReply(shard));
    return reply;
}

void write(const execute_call &call, rpc::ExecuteCall::Builder to)
{
    to.setService(call.service.value());
    to.setTeam(call.team.value());
    to.setRequestId(call.request.value());
    to.setKey(call.key);
    to.setBody(call.body);
    to.setCustomerClass(static_cast<std::uint8_t>(call.importance));
    write(call.shard, to.initShard());
    to.setShardCount(call.shardCount);
    to.setBudgetMicroseconds(microseconds(call.budget));
    write(call.capacity, to.initCapacity());
}

execute_call readExecuteCall(rpc::ExecuteCall::Reader from)
{
    execute_call call;
    call.service = service_id(text(from.getService()));
    call.team = team_id(text(from.getTeam()));
    call.request = request_id(text(from.getRequestId()));
    call.key = text(from.getKey());
    call.body = text(from.getBody());
    call.importance = classFrom(from.getCustomerClass());
    call.shard = readShardCall(from.getShard());
    call.shardCount = from.getShardCount();
    call.budget = std::chrono::microseconds(from.getBudgetMicroseconds());
    call.capacity = readCapacity(from.getCapacity());
    return call;
}

void write(const execute_reply &reply, rpc::ExecuteReply::Builder to)
{
    to.setOutcome(static_cast<rpc::ExecuteOutcome>(reply.outcome));
    to.setReason(capnp::Text::Reader(nameOf(reply.reason).data(), nameOf(reply.reason).size()));
    to.setBody(reply.body);
    to.setRetryAfterMilliseconds(milliseconds(reply.retryAfter));
}

execute_reply readExecuteReply(rpc::ExecuteReply::Reader from)
{
    execute_reply reply;
    reply.outcome = static_cast<execute_outcome>(from.getOutcome());
    reply.reason = executeReasonFromName(text(from.getReason()));
    reply.body = text(from.getBody());
    reply.retryAfter = std::chrono::milliseconds(from.getRetryAfterMilliseconds());
    return reply;
}

void write(const held_versions &heldVersions, rpc::HeldVersions::Builder to)
{
    to.setTarget(heldVersions.target.toString());
    to.setIsKnown(heldVersions.hasReport);
    to.setIsLeaving(heldVersions.isLeaving);
    writeVersions(heldVersions.versions,
                  to.initVersions(static_cast<unsigned>(heldVersions.versions.size())));
}

held_versions readHeldVersions(rpc::HeldVersions::Reader from)
{
    return {endpoint::parse(text(from.getTarget())), readVersions(from.getVersions()),
            from.getIsKnown(), from.getIsLeaving()};
}

void write(const member_digest &digest, rpc::Digest::Builder to)
{
    auto members = to.initMembers(static_cast<unsigned>(digest.members.size()));
    for (unsigned index = 0; index < digest.members.size(); ++index)
        write(digest.members[index], members[index]);
    to.setSettingsAgeMilliseconds(static_cast<std::uint64_t>(digest.settingsAge.count()));
    auto teams = to.initSettings(static_cast<unsigned>(digest.settings.size()));
    unsigned index = 0;
    for (const auto &[team, teamRevision] : digest.settings) {
        teams[index].setTeam(team.value());
        teams[index].setRevision(teamRevision.value());
        ++index;
    }
}

member_digest readDigest(rpc::Digest::Reader from)
{
    member_digest digest;
    for (const auto &record : from.getMembers())
        digest.members.push_back(readMember(record));
    digest.settingsAge = std::chrono::milliseconds(from.getSettingsAgeMilliseconds());
    for (const auto &entry : from.getSettings())
        digest.settings.emplace(team_id(text(entry.getTeam())), revision(entry.getRevision()));
    return digest;
}

} // namespace mustardcourse::daemon
