@0xa4d9f6b0c3e57182;

# Announcements as builds before the evacuation of failure domains sent and read them; for tests of
# mixed fleets only.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("gooseberrywall::earlierpermitwire");

struct Announcement {
  service @0 :Text;
  term @1 :UInt64;
  configuration @2 :UInt64;
  configurationAge @3 :Int64;
  daemons @4 :UInt32;
}

struct Message {
  union {
    request @0 :AnyPointer;
    verdict @1 :AnyPointer;
    report @2 :AnyPointer;
    cancel @3 :AnyPointer;
    announcement @4 :Announcement;
    hello @5 :AnyPointer;
  }
}
