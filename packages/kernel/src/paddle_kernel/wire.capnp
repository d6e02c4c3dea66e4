@0xd2b1f7c04e5a9e01;

struct Envelope {
  # One frame between processes of the system.
  callId @0 :UInt64;
  kind @1 :Text;
  body @2 :Data;
}
