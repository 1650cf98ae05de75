@0xb1d2a6c48f03e957;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mustardcourse::rpc");

# A part of a lookup that its host asks another one to gather. Times are in microseconds from the
# moment at which the message was sent.
struct PartRequest {
  sender @0 :Text;
  configurationVersion @1 :UInt64;
  route @2 :Text;
  requestId @3 :Text;
  fingerprint @4 :UInt64;
  # Start line and header fields that every target gets.
  head @5 :Data;
  body @6 :Data;
  isResponseBodyExpected @7 :Bool;
  shards @8 :List(Text);
  # Number of shards of the whole lookup.
  shardCount @9 :UInt32;
  minimumAnswers @10 :UInt32;
  # Maximum number of targets for each shard.
  maximumTargets @11 :UInt32;
  resultCount @12 :UInt32;
  priority @13 :UInt32;
  isLateRetry @14 :Bool;
  # Whether another host may have gathered this part already.
  isRepeated @15 :Bool;
  latencyObjective @16 :Int64;
  untilStart @17 :Int64;
  untilRefusal @18 :Int64;
  untilCutoff @19 :Int64;
  untilEnd @20 :Int64;
  untilDeadline @21 :Int64;
  untilHedges @22 :Int64;
}

struct PartAnswer {
  result @0 :Result;
  retryAfter @1 :Int64;
  declineReason @2 :UInt16;
  missing @3 :List(MissingShard);
  signatures @4 :Text;
  records @5 :Data;
  # Number of shards that have answered.
  answeredCount @6 :UInt32;

  enum Result {
    answered @0;
    notRun @1;
    failed @2;
    declined @3;
  }

  struct MissingShard {
    # Position in the list of the request.
    shard @0 :UInt32;
    reason @1 :UInt16;
  }
}
