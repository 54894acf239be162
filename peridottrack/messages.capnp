@0xd4b5a1c7e2f09836;

# Datagrams between nodes; see `peridottrack.messages`. IP addresses are in packed form (4 or 16
# bytes). Comments name the Python attribute where it differs from the field.

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
  state @6 :UInt8;  # index of the member of `InstanceState`
}

struct MemberUpdate {
  node @0 :Address;  # gossip address
  incarnation @1 :UInt64;
  state @2 :UInt8;  # value of `MemberState`
  adminPort @3 :UInt16;  # port of the admin address, or of the link address on a node with a gate
  domain @4 :Text;
  region @5 :Text;
  instances @6 :List(InstanceInfo);
  unused7 @7 :Bool;
  service @8 :Text;  # of the instance behind the gate
}

struct LoadEntry {
  instance @0 :Text;
  inFlight @1 :UInt16;
  senders @2 :UInt16;  # sender_count: nodes whose requests inFlight sums; 0 in a load report
}

struct QuotaAskEntry {
  account @0 :UInt64;  # digest of the account's name
  need @1 :UInt16;
  want @2 :UInt16;
  refused @3 :UInt16;
}

struct QuotaGrantEntry {
  account @0 :UInt64;
  tokens @1 :UInt16;
  retryMs @2 :UInt16;
  holdMs @3 :UInt16;
  unsettled @4 :Bool;
}

struct Datagram {
  sender @0 :Address;
  documentVersion @1 :UInt64;  # of the document in force on the sender
  digest @2 :UInt64;  # of the sender's member list
  updates @3 :List(MemberUpdate);
  union {
    rumor @4 :Void;  # updates only
    ping @5 :UInt32;
    ack @6 :UInt32;  # number of the ping
    # Requests the receiver to ping a third node and to relay its ack.
    pingRequest :group {
      number @7 :UInt32;
      target @8 :Address;
    }
    buckets @9 :List(UInt64);  # digests of the buckets of the member list (`BucketDigests`)
    pull @10 :List(UInt16);  # numbers of the buckets whose updates are requested
    loadReport @11 :List(LoadEntry);
    loadReply @12 :List(LoadEntry);
    # An instance became slow or recovered (`SlownessReport`).
    slow :group {
      instance @13 :Text;
      factorPercent @14 :UInt16;  # run time as a percentage of usual
      validMs @15 :UInt16;
      number @16 :UInt32;  # increases with each report on the instance
    }
    # An instance crashed while it ran a request (`CrashReport`).
    crash :group {
      fingerprint @17 :Text;  # of the request
      instance @18 :Text;  # crashed: one start of an instance
    }
    leaving @19 :Text;  # instance that has announced that it leaves (`LeavingReport`)
    quotaAsk :group {
      number @21 :UInt32;
      stamp @22 :UInt64;  # newest one of the receiver
      slots @23 :UInt8;  # number of slots
      lent @24 :UInt16;  # bits of slots
      credited @25 :UInt16;
      loanMs @26 :UInt32;
      entries @27 :List(QuotaAskEntry);
    }
    quotaGrant :group {
      number @28 :UInt32;  # of the ask
      stamp @29 :UInt64;
      released @30 :Bool;
      entries @31 :List(QuotaGrantEntry);
    }
  }
  confirmedMs @20 :UInt64;  # document_confirmed_ms
  # Evacuated failure domains, as the sender knows them (`EvacuationSet`).
  evacuationEra @32 :UInt64;
  evacuationPosition @33 :UInt64;  # 0 for no such set
  evacuated @34 :List(Text);  # domains
}
