@0xd4b5a1c7e2f09836;

# Messages between nodes. Addresses are IP numbers and ports as text-free integers.

struct Address {
  ip @0 :Data;
  port @1 :UInt16;
}

struct InstanceInfo {
  id @0 :Text;
  service @1 :Text;
  ip @2 :Data;
  port @3 :UInt16;
  slots @4 :UInt16;
  connections @5 :UInt16;
  state @6 :UInt8;
}

struct MemberUpdate {
  node @0 :Address;
  incarnation @1 :UInt64;
  state @2 :UInt8;
  adminPort @3 :UInt16;
  domain @4 :Text;
  region @5 :Text;
  instances @6 :List(InstanceInfo);
  storeAway @7 :Bool;
}

struct LoadEntry {
  instance @0 :Text;
  inFlight @1 :UInt16;
  senders @2 :UInt16;
}

struct Datagram {
  sender @0 :Address;
  documentVersion @1 :UInt64;
  digest @2 :UInt64;
  updates @3 :List(MemberUpdate);
  union {
    rumor @4 :Void;
    ping @5 :UInt32;
    ack @6 :UInt32;
    pingRequest :group {
      number @7 :UInt32;
      target @8 :Address;
    }
    buckets @9 :List(UInt64);
    pull @10 :List(UInt16);
    loadReport @11 :List(LoadEntry);
    loadReply @12 :List(LoadEntry);
    slow :group {
      instance @13 :Text;
      factorPercent @14 :UInt16;
      validMs @15 :UInt16;
      number @16 :UInt32;
    }
    crash :group {
      fingerprint @17 :Text;
      instance @18 :Text;
    }
  }
}
