@0x96bb6e9988a202c1;
# Messages between the processes of applehatch; the C++ forms are core/message.h and core/digest.h.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("applehatch::wire::schema");

enum UpstreamState {
  joining @0;
  serving @1;
  leaving @2;
  down @3;
}

enum Run {
  notRun @0;
  ran @1;
  unknown @2;
}

struct DigestEntry {
  upstream @0 :UInt64;
  incarnation @1 :UInt64;
  version @2 :UInt32;
  running @3 :UInt32;
  waiting @4 :UInt32;
  slots @5 :UInt32;
  ageMs @6 :UInt32;
  state @7 :UpstreamState;
}

struct CrashNotice {
  fingerprint @0 :UInt64;
  upstream @1 :UInt64;
  incarnation @2 :UInt64;
  sequence @3 :UInt32;
  remainingMs @4 :UInt32;
}

struct PoolSum {
  pool @0 :UInt64;
  dataCenter @1 :UInt64;
  version @2 :UInt32;
  members @3 :UInt32;
  load @4 :UInt32;
  slots @5 :UInt32;
  ageMs @6 :UInt32;
}

struct Digest {
  settingsIndex @0 :UInt64;
  entries @1 :List(DigestEntry);
  sums @2 :List(PoolSum);
  crashes @3 :List(CrashNotice);
  wantsReply @4 :Bool;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Call {
  method @0 :Text;
  path @1 :Text;
  headers @2 :List(Header);
  body @3 :Data;  # Null and empty differ.
  stream @4 :Bool;
}

struct Terms {
  team @0 :Text;
  customer @1 :Text;
  pool @2 :Text;
  model @3 :Text;
  chat @4 :UInt64;
  fingerprint @5 :UInt64;
  priority @6 :UInt8;
  idempotencyKey @7 :Text;
  runOnce @8 :Bool;
  firstSend @9 :Bool;
}

struct Failure {
  kind @0 :UInt16;  # core::ErrorKind
  run @1 :Run;
  detail @2 :Text;
  retryAfterUs @3 :Int64 = -1;  # Negative: none.
}

struct Submit {
  request @0 :Text;
  attempt @1 :UInt32;
  target @2 :UInt64;
  notAfterUs @3 :Int64;
  terms @4 :Terms;
  call @5 :Call;
  movedFrom @6 :UInt64;
  loads @7 :List(DigestEntry);
  mayWait @8 :Bool;
}

struct Revoke {
  request @0 :Text;
  attempt @1 :UInt32;
  target @2 :UInt64;
}

struct Resume {
  request @0 :Text;
  customer @1 :Text;
  offset @2 :UInt64;
}

struct Acknowledge {
  request @0 :Text;
  offset @1 :UInt64;
  finished @2 :Bool;
}

struct Heartbeat {
  incarnation @0 :UInt64;
  clockUs @1 :Int64;
}

struct Head {
  request @0 :Text;
  attempt @1 :UInt32;
  status @2 :UInt16;
  headers @3 :List(Header);
  replayed @4 :Bool;
  warm @5 :Bool;
}

struct Chunk {
  request @0 :Text;
  offset @1 :UInt64;
  data @2 :Data;
}

struct End {
  request @0 :Text;
  length @1 :UInt64;
  hash @2 :UInt64;
  loads @3 :List(DigestEntry);
}

struct Refusal {
  request @0 :Text;
  attempt @1 :UInt32;
  failure @2 :Failure;
  redirect @3 :UInt64;
  loads @4 :List(DigestEntry);
}

struct Revoked {
  request @0 :Text;
  attempt @1 :UInt32;
  run @2 :Run;
}

struct Moved {
  chat @0 :UInt64;
  holder @1 :UInt64;
}

struct TeamIndex {
  team @0 :Text;
  index @1 :UInt64;
}

struct SettingsPull {
  held @0 :List(TeamIndex);
  unused @1 :Bool;
  brief @2 :Bool;     # `since` and `hash` stand for `held`.
  since @3 :UInt64;
  hash @4 :UInt64;
}

struct SettingsText {
  team @0 :Text;
  index @1 :UInt64;
  text @2 :Data;  # Null when the subtree was removed.
}

struct SettingsReply {
  index @0 :UInt64;
  texts @1 :List(SettingsText);
  differs @2 :Bool;
}

struct Message {
  union {
    none @0 :Void;  # What a zeroed or newer message reads as; refused.
    submit @1 :Submit;
    revoke @2 :Revoke;
    resume @3 :Resume;
    acknowledge @4 :Acknowledge;
    heartbeat @5 :Heartbeat;
    head @6 :Head;
    chunk @7 :Chunk;
    end @8 :End;
    refusal @9 :Refusal;
    revoked @10 :Revoked;
    moved @11 :Moved;
    settingsPull @12 :SettingsPull;
    settingsReply @13 :SettingsReply;
  }
}

interface Link {
  # One direction of a connection between two processes.
  deliver @0 (batch :List(Message)) -> ();
}

interface Port {
  # What a listening process offers first.
  open @0 (link :Link) -> (link :Link);
}
