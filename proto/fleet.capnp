@0xd5b0a3f16c2e94b7;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("eelgrassbend::wire");

struct EndpointWork {
  endpoint @0 :Text;
  requests @1 :Int32;
  waitingPrompt @2 :Int64;  # tokens
  memory @3 :Int64;         # tokens
}

struct AdmittedUnits {
  organisation @0 :Text;
  units @1 :Float64;
}

struct UsageCount {
  organisation @0 :Text;
  requests @1 :UInt64;
}

struct UsageWindow {
  window @0 :UInt64;
  counts @1 :List(UsageCount);
}

struct TopicChange {
  offset @0 :UInt64;
  key @1 :Text;
  removed @2 :Bool;
  value @3 :Data;
}

struct TopicPosition {
  topic @0 :Text;
  from @1 :UInt64;
  to @2 :UInt64;
  ageMicros @3 :UInt64;
  afterGap @4 :Bool;
  changes @5 :List(TopicChange);
}

struct NodeDigest {
  node @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  ready @3 :Bool;
  leaving @4 :Bool;
  callersIp @5 :Text;
  callersPort @6 :UInt16;
  datagramsIp @7 :Text;
  datagramsPort @8 :UInt16;
  zone @9 :Text;
  holdsDuties @10 :Bool;
  dutyToken @11 :UInt64;
  work @12 :List(EndpointWork);
  admitted @13 :List(AdmittedUnits);
  usage @14 :List(UsageWindow);
  carriesLoad @15 :Bool;  # else `work` and `admitted` say nothing
  readsStore @16 :Bool;
  echoIncarnation @17 :UInt64;  # of the newest digest from the receiver; 0: none
  echoSequence @18 :UInt64;
  positions @19 :List(TopicPosition);
}
