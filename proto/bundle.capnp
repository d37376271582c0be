@0xf3ecc42fb03a239f;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("eelgrassbend::bundle_schema");

# A record of the bundle stream as the log gave it.
struct Record {
  offset @0 :UInt64;
  id @1 :Text;
  appendedAt @2 :Int64;     # nanoseconds since the Unix epoch
  payload @3 :Data;
}

# Entry node to entry node: the records from an offset on.
struct Pull {
  from @0 :UInt64;
}

struct Pulled {
  nextOffset @0 :UInt64;    # the answering node has folded up to here
  age @1 :Int64;            # nanoseconds since its view was known to be whole; -1 if never
  checkpoint @2 :Data;      # its state, in place of records that it no longer has
  records @3 :List(Record);
}

# To all entry nodes: the stream has grown to `end`; the last record if it fits.
struct Hint {
  end @0 :UInt64;
  record @1 :Record;
}
