@0xd3b0a7c51f6e2a94;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("eelgrassbend::stream_schema");

# What a stream has emitted, so that another entry node can go on with it.
struct StreamState {
  request @0 :Text;
  organisation @1 :Text;
  service @2 :Text;
  bodyDigest @3 :Text;
  text @4 :Text;
  tokenEnds @5 :List(UInt32); # end of each token in `text`, in bytes
  attempts @6 :UInt32;
  acceptedAtNs @7 :Int64; # since the Unix epoch
  finishReason @8 :Text; # empty if the answer is not whole
  promptTokens @9 :Int64;
  cachedTokens @10 :Int64;
  attempt @11 :Text; # whose answer is whole
  endpoint @12 :Text;
  bundleVersion @13 :UInt64;
}

struct StreamFetch {
  request @0 :Text;
}

struct StreamFetchAnswer {
  union {
    notHere @0 :Void;
    busy @1 :Void; # its last bytes are on their way to the caller
    state @2 :StreamState;
  }
}
