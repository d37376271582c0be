@0xe600b12af3dc5e07;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("eelgrassbend::ledger_schema");

# One billed request: the payload of a record of the stream "ledger".
struct Line {
  request @0 :Text;
  attempt @1 :Text;
  organisation @2 :Text;
  service @3 :Text;
  endpoint @4 :Text;
  version @5 :UInt64;
  promptTokens @6 :Int64;
  outputTokens @7 :Int64;
  price @8 :Int64;          # millionths of the currency unit
  answerDigest @9 :Data;    # SHA-256, 32 bytes
  acceptedAt @10 :Int64;    # nanoseconds since the Unix epoch
}

# Entry node to entry node: keep these lines until they are dropped.
struct Store {
  origin @0 :Text;
  session @1 :UInt64;     # differs from process to process of the same name
  intended @2 :List(Line);
  confirmed @3 :List(Line);
}

# Entry node to entry node: these lines are in the log or will never be billed.
struct Drop {
  origin @0 :Text;
  session @1 :UInt64;
  requests @2 :List(Text);
}
