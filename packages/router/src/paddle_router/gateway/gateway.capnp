@0x9a51d3f2c6b84e17;

struct ListedServer {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  domain @3 :Text;
  slots @4 :UInt32;
  leaving @5 :Bool;
  coldMs @6 :UInt32;
  spot @7 :Bool;
  version @8 :Int64;
  leavesMs @9 :Int64;
  leavesAtMs @10 :UInt64;
  bornMs @11 :UInt64;
  softwareVersion @12 :Text;
  coldUntilMs @13 :UInt64;
}

struct Incarnation {
  id @0 :Text;
  bornMs @1 :UInt64;
}

struct CrashReport {
  id @0 :Text;
  server @1 :Incarnation;
  atMs @2 :UInt64;
  traits @3 :List(Text);
  sentMs @4 :UInt64;
}

struct ServedTrait {
  id @0 :Text;
  atMs @1 :UInt64;
}

struct RefusedTrait {
  id @0 :Text;
  untilMs @1 :UInt64;
}

struct ServerLimit {
  server @0 :Incarnation;
  milliPerS @1 :UInt32;
  seenMs @2 :UInt64;
  brittleMilliPerS @3 :UInt32;
}

struct ServiceVersion {
  service @0 :Text;
  version @1 :Text;
  seenMs @2 :UInt64;
}

struct StreamOrigin {
  id @0 :Text;
  service @1 :Text;
  version @2 :Text;
  sentMs @3 :UInt64;
}

struct RecordStreams {
  origins @0 :List(StreamOrigin);
}

struct StreamsRecorded {
  count @0 :UInt32;
}

struct FindStream {
  id @0 :Text;
}

struct StreamFound {
  origin @0 :StreamOrigin;
  versions @1 :List(ServiceVersion);
  isComplete @2 :Bool;
}

struct ServerFlights {
  id @0 :Text;
  running @1 :UInt32;
  prefill @2 :UInt32;
  failures @3 :UInt32;
  answers @4 :UInt32;
  paceMs @5 :UInt32;
  readRate @6 :UInt32;
  toldCount @7 :UInt32;
  toldPercent @8 :UInt32;
  rejections @9 :UInt32;
  inTime @10 :UInt32;
}

struct PartPlacement {
  part @0 :Text;
  server @1 :Text;
  sentMs @2 :UInt64;
}

struct ServiceDemand {
  service @0 :Text;
  waiting @1 :UInt32;
  arrivals @2 :UInt32;
  weight @3 :UInt32;
  rank @4 :List(Int64);
}

struct PeerGateway {
  name @0 :Text;
  incarnation @1 :Text;
  address @2 :Text;
  domain @3 :Text;
  key @4 :Text;
}

struct Evacuation {
  version @0 :UInt64;
  domains @1 :List(Text);
}

struct UsageCount {
  window @0 :UInt64;
  customer @1 :Text;
  requests @2 :UInt32;
}

struct FrontReport {
  name @0 :Text;
  incarnation @1 :Text;
  sequence @2 :UInt64;
  flights @3 :List(ServerFlights);
  usage @4 :List(UsageCount);
  serverRate @5 :UInt32;
  leaving @6 :List(Incarnation);
  crashes @7 :List(CrashReport);
  served @8 :List(ServedTrait);
  refused @9 :List(RefusedTrait);
  limits @10 :List(ServerLimit);
  demands @11 :List(ServiceDemand);
  placements @12 :List(PartPlacement);
  peer @13 :PeerGateway;
  isCut @14 :Bool;
  wantsPeers @15 :Bool;
}

struct SyncRequest {
  reports @0 :List(FrontReport);
  version @1 :UInt64;
  listing @2 :Text;
  attached @3 :Bool;
}

struct ControllerPlace {
  address @0 :Text;
  domain @1 :Text;
}

struct SyncReply {
  controllers @0 :List(ControllerPlace);
  members @1 :List(Text);
  confirmed @2 :Bool;
  version @3 :UInt64;
  document @4 :Data;
  listing @5 :Text;
  servers @6 :List(ListedServer);
  fronts @7 :UInt32;
  totals @8 :Data;
  counted @9 :UInt64;
  periodMs @10 :UInt32;
  trueMs @11 :UInt64;
  unheardHolder @12 :Text;
  suspects @13 :List(Text);
  refused @14 :List(RefusedTrait);
  limits @15 :List(ServerLimit);
  position @16 :UInt32;
  unlistedVersions @17 :List(ServiceVersion);
  extraTotals @18 :Data;
  demands @19 :List(ServiceDemand);
  evacuation @20 :Evacuation;
  placements @21 :List(PartPlacement);
  turnCount @22 :UInt32;
  turnUntilMs @23 :UInt64;
  peers @24 :List(PeerGateway);
}

struct FrontNews {
  name @0 :Text;
  incarnation @1 :Text;
  sequence @2 :UInt64;
  ageMs @3 :UInt32;
  serverRate @4 :UInt32;
  usage @5 :List(UsageCount);
}

struct HubReport {
  place @0 :ControllerPlace;
  fronts @1 :List(FrontNews);
  loads @2 :Data;
  version @3 :UInt64;
  listing @4 :Text;
  leaving @5 :List(Incarnation);
  crashes @6 :List(CrashReport);
  served @7 :List(ServedTrait);
  refused @8 :List(RefusedTrait);
  limits @9 :List(ServerLimit);
  extraLoads @10 :Data;
  demands @11 :List(ServiceDemand);
  evacuationVersion @12 :UInt64;
  placements @13 :List(PartPlacement);
  peers @14 :List(PeerGateway);
  wantsPeers @15 :Bool;
}

struct HubReply {
  inCharge @0 :Bool;
  controllers @1 :List(ControllerPlace);
  fronts @2 :UInt32;
  loads @3 :Data;
  version @4 :UInt64;
  confirmedAgeMs @5 :Int64;
  listing @6 :Text;
  listAgeMs @7 :Int64;
  servers @8 :List(ListedServer);
  reporting @9 :UInt32;
  suspects @10 :List(Text);
  refused @11 :List(RefusedTrait);
  limits @12 :List(ServerLimit);
  positions @13 :List(UInt32);
  extraLoads @14 :Data;
  demands @15 :List(ServiceDemand);
  evacuation @16 :Evacuation;
  placements @17 :List(PartPlacement);
  turnCount @18 :UInt32;
  turnUntilMs @19 :UInt64;
  peers @20 :List(PeerGateway);
}
