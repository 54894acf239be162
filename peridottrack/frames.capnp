@0xb1e2c7d4a5f60918;

# Frames on a connection between two nodes. Times are in microseconds unless a name says otherwise.

enum Ran {
  no @0;
  unknown @1;
  yes @2;
}

struct Load {
  instance @0 :Text;
  service @1 :Text;
  open @2 :Bool;
  slots @3 :UInt16;
  limit @4 :UInt16;
  running @5 :UInt16;
  waiting @6 :UInt16;
  slowdownPercent @7 :UInt16;
  slowdownAgeMs @8 :UInt16;
  cold @9 :Bool;
  meanPercent @10 :UInt16;
  spellMs @11 :UInt16;
}

struct Frame {
  union {
    hello :group {
      node @0 :Text;
      domain @1 :Text;
      documentVersion @2 :UInt64;
      compressed @35 :Bool;
    }
    request :group {
      number @3 :UInt32;
      budget @4 :UInt32;
      sentAt @5 :UInt64;
      targetTime @6 :Int32;
      route @7 :Text;
      rank @8 :UInt8;
      idempotent @9 :Bool;
      again @10 :Bool;
      method @11 :Text;
      path @12 :Data;
      head @13 :Data;
      body @14 :Data;
      instance @15 :Text;
      mayPassBack @33 :Bool;
      mayPassOn @37 :Bool;
    }
    cancel @16 :UInt32;
    answer :group {
      number @17 :UInt32;
      status @18 :UInt16;
      head @19 :Data;
      body @20 :Data;
      load @21 :Load;
      runTime @34 :UInt32;
    }
    refusal :group {
      number @22 :UInt32;
      kind @23 :Text;
      ran @24 :Ran;
      waitMs @25 :UInt32;
      load @26 :Load;
    }
    load @27 :Load;
    hurry @36 :UInt32;
    ping @28 :UInt32;
    pong @29 :UInt32;
    wantDocument @30 :UInt64;
    document :group {
      version @31 :UInt64;
      data @32 :Data;
    }
  }
}
