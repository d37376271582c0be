@0xb3f1c2d94ce0a871;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("eelgrassbend::wire");

struct Address {
  ip @0 :Data;  # 4 or 16 bytes, network order
  port @1 :UInt16;
}

struct Member {
  name @0 :Text;
  incarnation @1 :UInt64;
  state @2 :UInt16;
  region @3 :Text;
  zone @4 :Text;
  callers @5 :Address;
  datagrams @6 :Address;  # an empty ip is that of `callers`
  calls @7 :Address;      # an empty ip is that of `callers`
  bundle @8 :UInt64;
}

struct ProbeRequest {
  nonce @0 :UInt64;
  target @1 :Text;
  address @2 :Address;
}

struct RelayedAck {
  nonce @0 :UInt64;
  target @1 :Text;
}

struct TableDigest {
  buckets @0 :List(UInt32);
  answer @1 :Bool;  # set in the answer to a digest; it gets none
}

# Bundle versions of members, as distance below `base`.
struct VersionSample {
  base @0 :UInt64;
  keys @1 :List(UInt32);
  behind @2 :List(UInt32);
}

struct Swim {
  sender @0 :Member;
  body :union {
    updatesOnly @1 :Void;
    probe @2 :UInt64;
    ack @3 :UInt64;
    probeRequest @4 :ProbeRequest;
    relayedAck @5 :RelayedAck;
    digest @6 :TableDigest;
  }
  updates @7 :List(Member);
  versions @8 :VersionSample;
}

struct Rumour {
  id @0 :UInt64;
  ageMs @1 :UInt32;
  topic @2 :Text;
  payload @3 :Data;
}

struct Datagram {
  union {
    swim @0 :Swim;
    rumour @1 :Rumour;
    rumourDigest @2 :List(UInt64);
    rumourRequest @3 :List(UInt64);
  }
}

struct Call {
  method @0 :UInt16;
  body @1 :Data;
}

struct Failure {
  code @0 :UInt16;
  step @1 :Text;
  peer @2 :Text;
  detail @3 :Text;
}

struct Answer {
  union {
    body @0 :Data;
    failure @1 :Failure;
  }
}

# Both frames are sealed by the sender, see frame_authenticator.
interface PeerCalls {
  call @0 (frame :Data) -> (frame :Data);
}
