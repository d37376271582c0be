@0xbe179f06166074b8;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("eelgrassbend::claims_schema");

# The payload of a record of the streams "claims-<partition>".
struct Record {
  enum Kind {
    marker @0;      # keeps the window of the stream readable; names no key
    claim @1;
    released @2;    # the request never dispatched and never will
    finished @3;
    abandoned @4;   # the request was dispatched; its outcome will never be known
  }
  kind @0 :Kind;
  scope @1 :UInt64;       # stable hash of the scope
  key @2 :Text;           # UUIDv7
  request @3 :Text;
  node @4 :Text;
  outcome @5 :Outcome;    # with finished
}

struct Outcome {
  status @0 :Int32;
  contentType @1 :Text;
  body @2 :Data;
  digest @3 :Text;
}

# Entry node to the batcher of a partition: append these records.
struct BatchRequest {
  partition @0 :UInt32;
  records @1 :List(Payload);
}

struct Payload {
  payload @0 :Data;       # a Record
}

# One verdict for each record asked for, in order.
struct BatchAnswer {
  verdicts @0 :List(Verdict);
}

struct Verdict {
  enum Kind {
    notAppended @0;       # nothing was appended
    maybeAppended @1;     # the batcher gave up; the record may still appear
    appended @2;
    won @3;               # claims only: the request holds the key
    held @4;              # claims only: another request holds the key
    vacant @5;            # claims only: lost, but nobody holds the key any more
    expired @6;           # claims only: the key's time is out of bounds
    uncovered @7;         # claims only: the log no longer has the key's whole window
    overused @8;          # claims only: too many claims under this key
  }
  kind @0 :Kind;
  holder @1 :Text;        # with held
  holderNode @2 :Text;
  heldSince @3 :Int64;    # nanoseconds since the Unix epoch, the log's clock
  ended @4 :Ended;
  outcome @5 :Outcome;    # with finished

  enum Ended {
    open @0;
    finished @1;
    abandoned @2;
  }
}
