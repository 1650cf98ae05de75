@0xaaf747f584ce879f;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mustardcourse::rpc");

struct Hit {
  key @0 :Text;
  score @1 :Float64;
  document @2 :Text;
}

struct Capacity {
  slots @0 :UInt32;
  connections @1 :UInt32;
}

struct ShardCall {
  shard @0 :UInt32;
  target @1 :Text;
  dataCentre @2 :Text;
}

# The shards of a lookup that one home serves. The deadline is sent as a remaining duration, since
# the hosts' clocks are not synchronised.
struct LookupCall {
  service @0 :Text;
  requestId @1 :Text;
  query @2 :Text;
  customerClass @3 :UInt8;
  indexVersion @4 :UInt64;
  shardCount @5 :UInt32;
  hitLimit @6 :UInt32;
  budgetMicroseconds @7 :UInt64;
  shards @8 :List(ShardCall);
  team @9 :Text;
  capacity @10 :Capacity;
}

enum ShardFailure {
  none @0;
  unreachable @1;
  timedOut @2;
  shed @3;
  versionGone @4;
  layoutChanged @5;
  malformed @6;
  queueFull @7;
  targetLeaving @8;
  dataCentreOut @9;
  notServed @10;
}

struct ShardReply {
  shard @0 :UInt32;
  target @1 :Text;
  failure @2 :ShardFailure;
  heldVersions @3 :List(UInt64);
  hits @4 :List(Hit);
  retryAfterMilliseconds @5 :UInt32;
}

struct LookupReply {
  shards @0 :List(ShardReply);
  targetCalls @1 :UInt32;
}

struct ExecuteCall {
  service @0 :Text;
  requestId @1 :Text;
  key @2 :Text;
  body @3 :Text;
  customerClass @4 :UInt8;
  shard @5 :ShardCall;
  budgetMicroseconds @6 :UInt64;
  shardCount @7 :UInt32;
  team @8 :Text;
  capacity @9 :Capacity;
}

enum ExecuteOutcome {
  done @0;
  notRun @1;
  unknown @2;
  rejected @3;
}

struct ExecuteReply {
  outcome @0 :ExecuteOutcome;
  reason @1 :Text;
  body @2 :Text;
  retryAfterMilliseconds @3 :UInt32;
}

struct HeldVersions {
  target @0 :Text;
  versions @1 :List(UInt64);
  isKnown @2 :Bool;
  isLeaving @3 :Bool;
}

struct TeamRevision {
  team @0 :Text;
  revision @1 :UInt64;
}

enum MemberState {
  alive @0;
  leaving @1;
  failed @2;
}

struct MemberRecord {
  host @0 :Text;
  dataCentre @1 :Text;
  peerAddress @2 :Text;
  incarnation @3 :UInt64;
  heartbeat @4 :UInt64;
  state @5 :MemberState;
}

struct Digest {
  members @0 :List(MemberRecord);
  settings @1 :List(TeamRevision);
  settingsAgeMilliseconds @2 :UInt64;
}

# A team's record, in the format in which it is stored.
struct TeamSettings {
  record @0 :Text;
}

interface Node {
  lookup @0 (call :LookupCall) -> (reply :LookupReply);
  execute @1 (call :ExecuteCall) -> (reply :ExecuteReply);
  describeTargets @2 (targets :List(Text), capacity :Capacity) -> (held :List(HeldVersions));
  exchangeDigest @3 (digest :Digest) -> (digest :Digest);
  fetchSettings @4 (teams :List(Text)) -> (settings :List(TeamSettings));
}
