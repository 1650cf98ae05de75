#include "property.h"

#include "daemon/node_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

using namespace mustardcourse;
using namespace mustardcourse::requests;

namespace {

/** Encodes a value, decodes it and encodes it again; both encodings must be equal. */
template <typename Message, typename Value, typename Read>
bool roundTrips(const Value &value, Read read)
{
    capnp::MallocMessageBuilder first;
    daemon::write(value, first.initRoot<Message>());
    const Value decoded = read(first.getRoot<Message>().asReader());
    capnp::MallocMessageBuilder second;
    daemon::write(decoded, second.initRoot<Message>());
    return capnp::messageToFlatArray(first).asBytes()
        == capnp::messageToFlatArray(second).asBytes();
}

shard_call shardCall(std::uint32_t shard)
{
    return {shard_index(shard), {endpoint("10.0.0.1", 9101), data_centre_id("riga-1")}};
}

} // namespace

TEST_CASE("messages between hosts are unchanged by encoding and decoding")
{
    CHECK_PROPERTY("lookup call", [](const std::string &text, std::uint32_t number) {
        lookup_call call;
        call.service = service_id("lots");
        call.request = request_id("id");
        call.query = text;
        call.version = index_version(number);
        call.budget = std::chrono::microseconds(number);
        call.capacity = {4, 25};
        call.shards = {shardCall(number), shardCall(0)};
        RC_ASSERT(roundTrips<rpc::LookupCall>(call, daemon::readLookupCall));
    });
    CHECK_PROPERTY("lookup reply", [](const std::string &text, const std::vector<double> &scores) {
        shard_reply shardReply;
        shardReply.target = endpoint("10.0.0.1", 9101);
        shardReply.failure = shard_failure::VersionGone;
        shardReply.heldVersions = {index_version(1), index_version(2)};
        for (const double score : scores)
            shardReply.hits.push_back({text, score, text});
        lookup_reply reply;
        reply.shards = {shardReply, shardReply};
        reply.targetCalls = 2;
        RC_ASSERT(roundTrips<rpc::LookupReply>(reply, daemon::readLookupReply));
    });
    CHECK_PROPERTY("execute call and reply", [](const std::string &text, std::uint8_t reason) {
        execute_call call;
        call.key = text;
        call.body = text;
        call.shard = shardCall(1);
        call.capacity = {2, 2};
        RC_ASSERT(roundTrips<rpc::ExecuteCall>(call, daemon::readExecuteCall));
        const auto executeReason = static_cast<execute_reason>(
            reason % (static_cast<int>(execute_reason::UnknownService) + 1));
        const execute_reply reply{execute_outcome::Unknown, executeReason, text,
                                  std::chrono::milliseconds(reason)};
        RC_ASSERT(roundTrips<rpc::ExecuteReply>(reply, daemon::readExecuteReply));
        RC_ASSERT(executeReasonFromName(nameOf(executeReason)) == executeReason);
    });
}

TEST_CASE("a call with a malformed address is refused")
{
    capnp::MallocMessageBuilder message;
    auto call = message.initRoot<rpc::LookupCall>();
    call.initShards(1)[0].setTarget("not an address");
    CHECK_THROWS_AS(daemon::readLookupCall(call.asReader()), malformed_endpoint_error);
}
