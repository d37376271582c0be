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
  isEnd @6 :Bool;  # else more positions follow
  era @7 :UInt64;  # of the store, to which the offsets belong
}

struct LeavingEndpoint {
  endpoint @0 :Text;
  started @1 :Int64;
}

struct CompactWork {
  endpoint @0 :UInt32;       # hash of the name
  requests @1 :Int32;
  waitingPrompt @2 :Int64;   # tokens
  memory @3 :Int64;          # tokens
}

struct CompactUnits {
  organisation @0 :UInt32;   # hash of the name
  units @1 :Float64;
}

struct Address {
  ip @0 :Text;
  port @1 :UInt16;
}

struct ServiceDemand {
  service @0 :Text;
  seconds @1 :Float64;       # of engine time; a running total
  slotSeconds @2 :Float64;   # of occupied slots; a running total
}

struct CrashSuspect {
  crash @0 :UInt64;          # hash of the endpoint and its incarnation
  request @1 :UInt64;        # hash of the request's id
  answerBegun @2 :Bool;
  parts @3 :List(UInt64);
  ageMicros @4 :UInt64;
}

struct SoundPart {
  part @0 :UInt64;
  ageMicros @1 :UInt64;
}

struct QuarantinedSet {
  parts @0 :List(UInt64);
  level @1 :UInt32;
  ageMicros @2 :UInt64;
}

struct CrashReport {
  suspects @0 :List(CrashSuspect);
  sound @1 :List(SoundPart);
  quarantined @2 :List(QuarantinedSet);
}

struct EndpointPace {
  endpoint @0 :Text;
  started @1 :Int64;         # incarnation of the endpoint
  takenMicros @2 :UInt64;    # until first bytes; a running total
  predictedMicros @3 :UInt64;  # of the same attempts; a running total
}

struct RolloutGrant {
  service @0 :Text;
  target @1 :Text;           # version
  order @2 :UInt64;          # identifies the operators' order
  step @3 :UInt64;           # increases with each change of the grant
  share @4 :Float64;         # of the requests that may go to the target
  phase @5 :UInt8;
  ageMicros @6 :UInt64;      # since the holder last confirmed it
  elapsedMicros @7 :UInt64;  # since the order
  maxEndpoints @8 :UInt32;   # of the target; 0: all
  unproven @9 :List(Text);   # targets of earlier orders that were not completed
}

struct VersionTotals {       # running totals
  requests @0 :UInt64;
  failures @1 :UInt64;
  slowness @2 :List(UInt32); # answers by the ratio of their time to the expected time
}

struct RolloutRoute {
  route @0 :Text;
  target @1 :VersionTotals;
  base @2 :VersionTotals;    # of all other versions
}

struct RolloutObservation {
  service @0 :Text;
  order @1 :UInt64;
  routes @2 :List(RolloutRoute);
}

struct GroupSummary {
  group @0 :Text;            # empty: all groups but the receiver's
  heard @1 :UInt32;
  serving @2 :UInt32;
  holder @3 :Address;        # of the duties; no port: not known
  hasWork @4 :Bool;          # else the range and `work` say nothing
  workFrom @5 :UInt64;
  workTo @6 :UInt64;
  work @7 :List(CompactWork);
  admitted @8 :List(CompactUnits);
  ready @9 :List(Address);
  usage @10 :List(UsageWindow);
  demand @11 :List(ServiceDemand);
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
  positionsFrom @20 :Text;   # group of the node that read them
  leavingEndpoints @21 :List(LeavingEndpoint);
  summary @22 :GroupSummary; # may be missing
  demand @23 :List(ServiceDemand);
  crashes @24 :CrashReport;  # may be missing
  paces @25 :List(EndpointPace);
  rolloutGrants @26 :List(RolloutGrant);
  rolloutObservations @27 :List(RolloutObservation);
  hostMemoryMb @28 :UInt32;   # larger hosts relay for smaller ones; 0: unknown
}
