#pragma once

#include "home.h"

#include <mustardcourse/membership/member_table.h>
#include <mustardcourse/requests/messages.h>
#include <mustardcourse/settings/team_record.h>

#include <node.capnp.h>

namespace mustardcourse::daemon {

/** The state that two members send each other in a gossip exchange. */
struct member_digest
{
    std::vector<membership::member_record> members;
    std::map<team_id, revision> settings;
    /** Time since the sender's settings were last known to match the store. */
    std::chrono::milliseconds settingsAge{};
};

/*
    Conversions between the message types and those of the wire schema. The read functions throw
    malformed_endpoint_error if an address is malformed.
*/

void write(const requests::lookup_call &call, rpc::LookupCall::Builder to);
requests::lookup_call readLookupCall(rpc::LookupCall::Reader from);

void write(const requests::lookup_reply &reply, rpc::LookupReply::Builder to);
requests::lookup_reply readLookupReply(rpc::LookupReply::Reader from);

void write(const requests::execute_call &call, rpc::ExecuteCall::Builder to);
requests::execute_call readExecuteCall(rpc::ExecuteCall::Reader from);

void write(const requests::execute_reply &reply, rpc::ExecuteReply::Builder to);
requests::execute_reply readExecuteReply(rpc::ExecuteReply::Reader from);

void write(const held_versions &heldVersions, rpc::HeldVersions::Builder to);
held_versions readHeldVersions(rpc::HeldVersions::Reader from);

void write(const member_digest &digest, rpc::Digest::Builder to);
member_digest readDigest(rpc::Digest::Reader from);

} // namespace mustardcourse::daemon
