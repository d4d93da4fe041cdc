@0xd0c7b1f2a94e6c13;

# Messages between daemons about permits; each is sent as one datagram. Durations are in
# microseconds. Fields are only added, never removed or renumbered.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("gooseberrywall::permitwire");

struct PermitId { life @0 :UInt64; sequence @1 :UInt64; }

struct Request {
  id @0 :PermitId;
  service @1 :Text;
  domain @2 :Text;
  priority @3 :Int32;
  remaining @4 :Int64;
  untilTarget @5 :Int64;
  hasKey @6 :Bool;
  key @7 :UInt16;
  isRetry @8 :Bool;
  avoid @9 :List(Text);
  request @10 :Text;
  print @11 :UInt64;
  isolated @12 :Bool;
}

struct Verdict {
  id @0 :PermitId;
  kind @1 :UInt8;
  upstream @2 :Text;
  address @3 :Text;
  hasSpan @4 :Bool;
  first @5 :UInt16;
  last @6 :UInt16;
  reason @7 :UInt8;
  retryAfter @8 :Int64;
  grantorTerm @9 :UInt64;
  upstreamLife @10 :UInt64;
  forwarder @11 :Text;
}

struct Report {
  id @0 :PermitId;
  service @1 :Text;
  upstream @2 :Text;
  end @3 :UInt8;
  latency @4 :Int64;
  hasLoad @5 :Bool;
  running @6 :Int32;
  waiting @7 :Int32;
  slots @8 :Int32;
  hasLimit @9 :Bool;
  limitPerSecond @10 :Float64;
  leaving @11 :Bool;
  hasPause @12 :Bool;
  pause @13 :Int64;
  forwarder @14 :Text;
  # How many times as long as usual work takes at the upstream; 0: unknown.
  slowdown @15 :Float64;
  # Whether the answer hints that the upstream leaves; 0: unknown.
  leaveHint @16 :UInt8;
}

struct Cancel { id @0 :PermitId; service @1 :Text; }

struct Announcement {
  service @0 :Text;
  term @1 :UInt64;
  configuration @2 :UInt64;
  configurationAge @3 :Int64;
  daemons @4 :UInt32;
  evacuationRevision @5 :UInt64;
  evacuated @6 :List(Text);
}

struct Hello {}

struct Suspect {
  print @0 :UInt64;
  crashes @1 :List(UInt32);
  sinceLastCrash @2 :Int64;
}

struct Suspects { service @0 :Text; suspects @1 :List(Suspect); }

struct Message {
  union {
    request @0 :Request;
    verdict @1 :Verdict;
    report @2 :Report;
    cancel @3 :Cancel;
    announcement @4 :Announcement;
    hello @5 :Hello;
    suspects @6 :Suspects;
  }
}
