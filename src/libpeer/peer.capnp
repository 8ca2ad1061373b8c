@0xb5d2f0a6c1e84973;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("damask::wire");

struct PoolLoad {
  pool @0 :Text;
  inFlight @1 :UInt32;
  queued @2 :UInt32;
  arrivals @3 :Float32;    # requests per second, smoothed
}

struct Heartbeat {
  node @0 :Text;
  incarnation @1 :UInt64;
  dataCentre @2 :Text;
  leaving @3 :Bool;
  configurationVersion @4 :UInt64;
  tableVersion @5 :UInt64;
  loads @6 :List(PoolLoad);
  sequence @7 :UInt64;
  ip @8 :Text;             # the address that accepts connections from peers
  port @9 :UInt16;
  ageMs @10 :UInt32;       # since the node made this heartbeat
  specVersion @11 :UInt64; # version of the newest spec row that the node has
}

struct Digest {
  cluster @0 :Text;
  protocol @1 :UInt32;
  heartbeats @2 :List(Heartbeat);   # the sender's own heartbeat comes first
}

struct Row {
  key @0 :Text;
  version @1 :UInt64;
  value @2 :Text;
  deleted @3 :Bool;
}

struct RowChunk {
  since @0 :UInt64;        # 0: the set contains every row; otherwise only rows newer than this version
  version @1 :UInt64;      # table version after the rows of the set
  rows @2 :List(Row);      # in ascending order of version
  isLast @3 :Bool;
}

interface Peer {
  exchange @0 (digest :Data, isHint :Bool) -> (digest :Data);
  # Both digests are packed Digest messages. If isHint is set, the request and the response contain only
  # the sender's own heartbeat, without loads.

  fetch @1 (cluster :Text, protocol :UInt32, newerThan :UInt64, version :UInt64, first :UInt32)
      -> (chunk :Data);
  # Returns one chunk of the rows newer than newerThan, as a packed RowChunk message. The client sets
  # `version` to 0 in its first call and to the version of the first chunk in later calls. `first` is the
  # number of rows of the set that the client already has. If the chunk has another version than the
  # client asked for, the server has started a new set and sends it from its first row.
}
