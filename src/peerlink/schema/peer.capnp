@0xb6d1c9a4e1f07a35;

# Messages between the daemons of a cell. Durations are in microseconds; issuedAt, timedSince,
# untimedUntil and unbrokenSince are in milliseconds since the Unix epoch.
# Fields are only ever added; docs/ARCHITECTURE.md says how daemons of different versions interact.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("gooseberrywall::wire");

# The bootstrap interface: a connecting daemon must prove that it knows the cell's secret.
interface PeerGate {
  challenge @0 () -> (nonce :Data);
  join @1 (daemon :Text, nonce :Data, proof :Data) -> (inbox :PeerInbox);
}

interface PeerInbox {
  deliver @0 (messages :List(Message)) -> ();
}

struct Shard { service @0 :Text; number @1 :UInt32; }
struct Fence { term @0 :UInt32; sequence @1 :UInt32; }

struct MemberClaim {
  id @0 :Text;
  incarnation @1 :UInt64;
  domain @2 :Text;
  address @3 :Text;
  state @4 :UInt8;
  refutation @5 :UInt64;
}

struct Heartbeat {
  sequence @0 :UInt64;
  table @1 :UInt64;
  configuration @2 :UInt64;
  claims @3 :List(MemberClaim);
  viewDigest @4 :UInt64;
}

struct IndirectProbe {
  target @0 :Text;
  sequence @1 :UInt64;
  reachable @2 :Bool;
}

struct TableUpdate {
  version @0 :UInt64;
  encodedRecord @1 :Data;
  base @2 :UInt64;
  digest @3 :UInt64;
}

struct ShardReleased { shard @0 :Shard; fence @1 :Fence; }

struct GrantsEnded { upstream @0 :Text; incarnation @1 :UInt64; term @2 :UInt64; }

struct UpstreamHealth {
  upstream @0 :Text;
  term @1 :UInt64;
  incarnation @2 :UInt64;
  reachable @3 :Bool;
  draining @4 :Bool;
}

struct UpstreamLoad { upstream @0 :Text; utilisation @1 :Float64; healthy @2 :Bool; }
struct ShardLoad { shard @0 :Shard; key @1 :Text; busySlots @2 :Float64; }
struct LoadReport { upstreams @0 :List(UpstreamLoad); shards @1 :List(ShardLoad); }

struct Authority { sequence @0 :UInt64; validFor @1 :Int64; table @2 :UInt64; }

struct Request {
  id @0 :Text;
  caller @1 :Text;
  service @2 :Text;
  key @3 :Data;
  operation @4 :Text;
  idempotent @5 :Bool;
  resend @6 :Bool;
  sizeHint @7 :UInt8;
  hasIssuedAt @8 :Bool;
  issuedAt @9 :Int64;
  body @10 :Data;
}

struct RequestEnd {
  kind @0 :UInt8;
  reason @1 :UInt8;
  retryAfter @2 :Int64;
  status @3 :Int32;
  body @4 :Data;
}

struct ForwardRequest {
  attempt @0 :UInt64;
  upstream @1 :Text;
  term @2 :UInt64;
  shard @3 :Shard;
  remaining @4 :Int64;
  request @5 :Request;
}

struct ForwardEnd { attempt @0 :UInt64; end @1 :RequestEnd; table @2 :UInt64; }

struct OutcomeEntry {
  id @0 :Text;
  caller @1 :Text;
  shard @2 :Shard;
  requestHash @3 :UInt64;
  stage @4 :UInt8;
  end @5 :RequestEnd;
  issuedAt @6 :Int64;
  keyHash @7 :UInt64;
}

struct OutcomeCoverage { shard @0 :Shard; timedSince @1 :Int64; untimedUntil @2 :Int64; }

struct MirrorUpdate {
  upstream @0 :Text;
  term @1 :UInt64;
  sequence @2 :UInt64;
  snapshot @3 :Bool;
  entries @4 :List(OutcomeEntry);
  unbrokenSince @5 :Int64;
  coverage @6 :List(OutcomeCoverage);
  complete @7 :Bool;
}

struct OutcomeQuery {
  attempt @0 :UInt64;
  upstream @1 :Text;
  term @2 :UInt64;
  shard @3 :Shard;
  key @4 :Data;
  id @5 :Text;
  caller @6 :Text;
  remaining @7 :Int64;
}

struct OutcomeHandover {
  shard @0 :Shard;
  fence @1 :Fence;
  heldFence @2 :Fence;
  heldTerm @3 :UInt64;
  part @4 :UInt32;
  partCount @5 :UInt32;
  coverage @6 :OutcomeCoverage;
  entries @7 :List(OutcomeEntry);
}

struct OutcomeHandoverAnswer { shard @0 :Shard; fence @1 :Fence; part @2 :UInt32; }

struct MirrorAnswer { upstream @0 :Text; term @1 :UInt64; sequence @2 :UInt64; }

struct QuarantinedRequest { id @0 :Text; service @1 :Text; key @2 :Data; }
struct CrashSuspects {
  upstream @0 :Text;
  incarnation @1 :UInt64;
  suspects @2 :List(QuarantinedRequest);
}

struct OperatorOrder { action @0 :UInt8; subject @1 :Text; }

struct ConfigurationSection { name @0 :Text; version @1 :UInt64; text @2 :Text; }
struct ConfigurationUpdate {
  generation @0 :UInt64;
  whole @1 :Bool;
  sections @2 :List(ConfigurationSection);
  digest @3 :UInt64;
}

struct Message {
  union {
    heartbeat @0 :Heartbeat;
    heartbeatAnswer @1 :Heartbeat;
    indirectProbe @2 :IndirectProbe;
    indirectProbeAnswer @3 :IndirectProbe;
    tableRequest @4 :UInt64;
    tableUpdate @5 :TableUpdate;
    shardReleased @6 :ShardReleased;
    grantsEnded @7 :GrantsEnded;
    upstreamHealth @8 :UpstreamHealth;
    loadReport @9 :LoadReport;
    authorityRequest @10 :Authority;
    authorityAnswer @11 :Authority;
    forwardRequest @12 :ForwardRequest;
    forwardEnd @13 :ForwardEnd;
    forwardCancel @14 :UInt64;
    mirrorUpdate @15 :MirrorUpdate;
    mirrorAnswer @16 :MirrorAnswer;
    crashSuspects @17 :CrashSuspects;
    operatorOrder @18 :OperatorOrder;
    configurationRequest @19 :List(ConfigurationSection);
    configurationUpdate @20 :ConfigurationUpdate;
    outcomeQuery @21 :OutcomeQuery;
    outcomeHandover @22 :OutcomeHandover;
    outcomeHandoverAnswer @23 :OutcomeHandoverAnswer;
    suspectsCleared @24 :List(QuarantinedRequest);
  }
}
