@0xb6a4d1c83f2e7055;

struct ClassDemand {
  className @0 :Text;
  demand @1 :UInt64;
}

struct DemandReport {
  daemon @0 :Text;
  incarnation @1 :Text;
  state @2 :Text;
  classes @3 :List(ClassDemand);
}

struct ClassTotal {
  className @0 :Text;
  total @1 :UInt64;
  before @2 :UInt64;
  own @3 :UInt64;
}

struct DemandTotals {
  liveDaemons @0 :UInt32;
  rank @1 :UInt32;
  classes @2 :List(ClassTotal);
}
