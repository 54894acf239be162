@0xb1e2c7d4a5f60918;

# Frames on a link between two nodes; see `peridottrack.frames`. Times are in microseconds unless a
# field's name says otherwise. Comments name the Python attribute where it differs from the field.

# Whether an instance ran the request.
enum Ran {
  no @0;
  unknown @1;
  yes @2;
}

# Load of a gate and its instance (`GateLoad`).
struct Load {
  instance @0 :Text;
  service @1 :Text;
  open @2 :Bool;
  slots @3 :UInt16;
  limit @4 :UInt16;
  running @5 :UInt16;
  waiting @6 :UInt16;
  slowdownPercent @7 :UInt16;  # run time as a percentage of normal
  slowdownAgeMs @8 :UInt16;  # since the instance reported the slowdown
  cold @9 :Bool;  # started recently, may still be slower than usual
  meanPercent @10 :UInt16;  # mean_slowdown: long-term mean of the slowdown
  spellMs @11 :UInt16;  # usual length of a slow period
  rateLimited @12 :Bool;  # whether the two fields below hold a limit
  ratePerSecond @13 :Float64;  # rate_limit: requests that the instance takes from all nodes
  admissible @14 :Float64;  # requests that the rate limit admits now
  startTime @15 :UInt64;  # of the instance, as it reported it; 0 if unknown
  leaving @16 :Bool;  # whether the instance has announced that it leaves
}

# Evacuated failure domains (`EvacuationSet`) at a position of the store's history.
struct Evacuations {
  era @0 :UInt64;
  position @1 :UInt64;  # 0 for no such set
  domains @2 :List(Text);
}

struct Frame {
  union {
    # First frame of the side that connects.
    hello :group {
      node @0 :Text;
      domain @1 :Text;
      documentVersion @2 :UInt64;
      compressed @35 :Bool;  # whether all later frames, in both directions, are compressed
      # Incarnation that has left the receiver's host, as far as the sender knows (left_instance).
      leftInstance @38 :Text;  # empty for none
      leftStartTime @39 :UInt64;
    }
    request :group {
      number @3 :UInt32;
      budget @4 :UInt32;  # time left until the deadline when the frame was sent
      sentAt @5 :UInt64;  # sender's monotonic clock
      targetTime @6 :Int32;  # target_s: time left until the target latency; negative if passed
      route @7 :Text;
      rank @8 :UInt8;  # priority: lower numbers are served first
      idempotent @9 :Bool;
      again @10 :Bool;  # resent
      method @11 :Text;
      path @12 :Data;
      head @13 :Data;  # header block
      body @14 :Data;
      instance @15 :Text;
      mayPassBack @33 :Bool;  # decline_if_slow
      mayPassOn @37 :Bool;  # decline_if_full
      account @40 :Text;  # client account that asks, empty for none
      returned @43 :Bool;  # whether the caller has been refused before
      bodyBytes @44 :UInt32;  # size of a body that follows in parts, 0 if it is in this frame
    }
    cancel @16 :UInt32;  # number of the request
    # The instance's response (`InstanceResponse`).
    answer :group {
      number @17 :UInt32;
      status @18 :UInt16;
      head @19 :Data;
      body @20 :Data;
      load @21 :Load;
      runTime @34 :UInt32;  # run_s: run time at normal speed
      bodyBytes @47 :UInt32;  # size of a body that follows in parts, 0 if it is in this frame
    }
    # The request ended without a response from the instance.
    refusal :group {
      number @22 :UInt32;
      kind @23 :Text;  # value of `ErrorKind`
      ran @24 :Ran;
      waitMs @25 :UInt32;  # retry_after_s; 0 if unknown
      load @26 :Load;
    }
    load @27 :Load;
    hurry @36 :UInt32;  # hedge hint for the request with this number (`HedgeHint`)
    ping @28 :UInt32;  # a pong has the number of its ping
    pong @29 :UInt32;
    wantDocument @30 :UInt64;  # known_version: requests a newer document (`DocumentRequest`)
    document :group {
      version @31 :UInt64;
      data @32 :Data;
      evacuations @41 :Evacuations;  # as the sender knows them
    }
    evacuations @42 :Evacuations;
    # Next part of the body of the request with this number, or of its response (`BodyPart`).
    part :group {
      number @45 :UInt32;
      data @46 :Data;
    }
  }
}
