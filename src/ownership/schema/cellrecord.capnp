@0x92c5e73e068e21c4;

# The cell's record as it is stored and sent. Names of services, failure domains and daemons are
# stored once, in `names`. Other fields refer to names and upstreams by their index, counted from 1;
# index 0 means "none".

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("gooseberrywall::schema");

struct CellRecord {
    format @0 :UInt16;
    version @1 :UInt64;
    operation @2 :Text;
    coordinator @3 :UInt16;
    coordinatorIncarnation @4 :UInt64;
    highestTerm @5 :UInt64;
    names @6 :List(Text);
    services @7 :List(Service);
    upstreams @8 :List(Upstream);
    shards @9 :List(Shard);
    pinnedKeys @10 :List(PinnedKey);
    quarantine @11 :List(Request);
    sightings @12 :List(Sighting);
}

struct Service {
    name @0 :UInt16;
    shardCount @1 :UInt32;
}

struct Upstream {
    id @0 :Text;
    service @1 :UInt16;
    domain @2 :UInt16;
    address @3 :Text;
    incarnation @4 :UInt64;
    state @5 :UInt8;
    drainOrdered @6 :Bool;
    grantor @7 :UInt16;
    grantorIncarnation @8 :UInt64;
    term @9 :UInt64;
    standby @10 :UInt16;
    standbyIncarnation @11 :UInt64;
    successor @12 :UInt16;
    formerGrantors @13 :List(FormerGrantor);
}

struct FormerGrantor {
    daemon @0 :UInt16;
    incarnation @1 :UInt64;
    term @2 :UInt64;
}

struct Shard {
    service @0 :UInt16;
    owner @1 :UInt16;
    next @2 :UInt16;
    stage @3 :UInt8;
    number @4 :UInt32;
    term @5 :UInt32;
    sequence @6 :UInt32;
    nextTerm @7 :UInt32;
    nextSequence @8 :UInt32;
}

struct PinnedKey {
    service @0 :UInt16;
    number @1 :UInt32;
    key @2 :Text;
}

struct Request {
    id @0 :Text;
    service @1 :UInt16;
    key @2 :Text;
}

struct Sighting {
    request @0 :Request;
    upstream @1 :Text;
    incarnation @2 :UInt64;
}
