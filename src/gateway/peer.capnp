@0xe435ee04f35b7784;
# What routers tell one another; the C++ forms are gateway/peer-digest.h.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("applehatch::gateway::schema");

struct Member {
  ip @0 :UInt32;
  port @1 :UInt16;
}

struct Load {
  upstream @0 :UInt64;
  running @1 :UInt32;
  unreadTokens @2 :UInt32;
}

struct Crash {
  fingerprint @0 :UInt64;
  crashes @1 :UInt32;
  upstream @2 :UInt64;
  ageMs @3 :UInt32;
}

struct Context {
  context @0 :UInt64;
  upstream @1 :UInt64;
  tokens @2 :UInt32;
}

struct ReaderWord {
  router @0 :Member;
  revision @1 :UInt64;
  ageMs @2 :UInt32;
  heartbeat @3 :UInt64;
}

struct PeerDigest {
  sender @0 :Member;
  life @1 :UInt64;
  sequence @2 :UInt64;
  revision @3 :UInt64;
  leaving @4 :Bool;
  members @5 :List(Member);
  loads @6 :List(Load);
  crashes @7 :List(Crash);
  contexts @8 :List(Context);
  readers @9 :List(ReaderWord);
  brief @10 :Bool;
  crashMemoryMs @11 :UInt32;
  note @12 :Bool;
  streams @13 :List(Stream);
  mixedServices @14 :List(UInt64);
  parts @15 :List(Part);
  mixedMs @16 :List(UInt32); # For how long each of `mixedServices` goes on to count.
  versionsMs @17 :UInt32;
}

struct Part {
  part @0 :UInt64;
  upstream @1 :UInt64;
  request @2 :UInt64;
  sentAgeMs @3 :UInt32;
  ageMs @4 :UInt32;
  answerAgeMs @5 :UInt32;
  answered @6 :Bool;
}

struct Stream {
  key @0 :UInt64;
  service @1 :Text;
  version @2 :Text;
  ageMs @3 :UInt32;
}

# Answer to a peer that asks what began a stream; no stream if that is not known.
struct Streams {
  streams @0 :List(Stream);
}

# Answer to a peer that has just started.
struct CrashMemory {
  ageMs @0 :UInt32;
  crashes @1 :List(Crash);
  parts @2 :List(Part);
}

struct Item {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  removed @3 :Bool;
}

struct News {
  since @0 :UInt64;
  revision @1 :UInt64;
  changes @2 :List(Item);
}
