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
}

struct ServerFlights {
  id @0 :Text;
  running @1 :UInt32;
  prefill @2 :UInt32;
  failures @3 :UInt32;
  answers @4 :UInt32;
  paceMs @5 :UInt32;
  readRate @6 :UInt32;
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
}

struct SyncRequest {
  reports @0 :List(FrontReport);
  version @1 :UInt64;
  listing @2 :Text;
  attached @3 :Bool;
}

struct SyncReply {
  controller @0 :Text;
  members @1 :List(Text);
  confirmed @2 :Bool;
  version @3 :UInt64;
  document @4 :Data;
  listing @5 :Text;
  servers @6 :List(ListedServer);
  fronts @7 :UInt32;
  flights @8 :List(ServerFlights);
  trueMs @9 :UInt64;
}
