@0xb7c1d0a49e3f5521;

struct Ballot {
  counter @0 :UInt64;
  proposer @1 :Text;
}

struct Record {
  value @0 :Data;
  origins @1 :List(Ballot);
}

struct Member {
  identity @0 :Text;
  address @1 :Text;
  since @2 :UInt64;
}

struct View {
  epoch @0 :UInt64;
  old @1 :List(Member);
  new @2 :List(Member);
  floor @3 :UInt64;
}

struct Prepare {
  target @0 :Text;
  epoch @1 :UInt64;
  key @2 :Text;
  ballot @3 :Ballot;
}

struct Promise {
  accepted @0 :Ballot;
  record @1 :Record;
  floor @2 :UInt64;
}

struct Accept {
  target @0 :Text;
  epoch @1 :UInt64;
  key @2 :Text;
  ballot @3 :Ballot;
  record @4 :Record;
}

struct Accepted {
  ballot @0 :Ballot;
}

struct Conflict {
  promised @0 :Ballot;
}

struct Refusal {
  kind @0 :Text;
  identity @1 :Text;
  view @2 :View;
}

struct Fetch {
  target @0 :Text;
  epoch @1 :UInt64;
  key @2 :Text;
}

struct Fetched {
  accepted @0 :Ballot;
  record @1 :Record;
}

struct Peek {
  target @0 :Text;
  epoch @1 :UInt64;
  key @2 :Text;
}

struct Peeked {
  accepted @0 :Ballot;
}

struct ListKeys {
  target @0 :Text;
  epoch @1 :UInt64;
  prefix @2 :Text;
  after @3 :Text;
  stored @4 :Bool;
}

struct KeyList {
  keys @0 :List(Text);
  more @1 :Bool;
  floor @2 :UInt64;
}

struct DropKey {
  target @0 :Text;
  epoch @1 :UInt64;
  key @2 :Text;
  ballot @3 :Ballot;
}

struct KeyDropped {
  done @0 :Bool;
}

struct AdoptView {
  target @0 :Text;
  view @1 :View;
}

struct StatusRequest {
}

struct ReplicaStatus {
  identity @0 :Text;
  address @1 :Text;
  view @2 :View;
  voting @3 :Bool;
  keys @4 :UInt64;
  floor @5 :UInt64;
  leaving @6 :Bool;
}

struct IdentityRecord {
  identity @0 :Text;
}

struct CellRecord {
  key @0 :Text;
  promised @1 :Ballot;
  accepted @2 :Ballot;
  record @3 :Record;
}

struct DropRecord {
  key @0 :Text;
}

struct FloorRecord {
  floor @0 :UInt64;
}

struct ViewRecord {
  view @0 :View;
  cleared @1 :Bool;
}
