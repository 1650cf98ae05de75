@0xd3f1c0a7e5b94216;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mustardcourse::rpc");

# Store changes that one host forwards to another.
struct ChangeBatch {
  current @0 :UInt64;
  items @1 :List(Item);
  # Of all revisions in the batch; zero if the store does not report it.
  era @2 :UInt64;

  struct Item {
    key @0 :Text;
    value @1 :Data;
    changed @2 :UInt64;
    isDeleted @3 :Bool;
  }
}
