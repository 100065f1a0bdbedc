@0xc3a9d4f1b7e25086;
# Messages between the daemons of jasminespan.
# Numbers of accounts, adapters and upstreams are those of the configuration.

struct Peer {
  # One run of one daemon.
  vm @0 :UInt32;
  role @1 :Role;
  incarnation @2 :UInt64;
}

enum Role { gateway @0; controller @1; }

struct Right {
  # Part of an account's rate, burst and tokens, as it moves between holders.
  account @0 :UInt32;
  rateShare @1 :UInt64;    # of 2^32
  roomShare @2 :UInt64;    # of 2^32
  tokens @3 :UInt64;       # thousandths of a token
}

interface RightsHolder {
  takeRights @0 (from :Peer, transfer :UInt64, epoch :UInt64, account :UInt32, needed :UInt64, demand :UInt64)
    -> (epoch :UInt64, right :Right, spare :UInt64);
  # needed: thousandths of a token; demand: what `from` has used lately, tokens a second.
  # spare: what the giver still has, so that the asker knows whom to ask next time.
}

interface Gateway extends(RightsHolder) {
  status @0 () -> (revision :UInt64, epoch :UInt64, inFlight :UInt32, draining :Bool);
}

struct Member {
  vm @0 :UInt32;
  dataCentre @1 :Text;
  gatewayIncarnation @2 :UInt64;       # 0: no gateway known
  controllerIncarnation @3 :UInt64;
  gatewayAddress @4 :Text;             # for peers, capnp
  controllerAddress @5 :Text;          # for peers, capnp
  leaving @6 :Bool;
}

struct OwnedUpstream {
  upstream @0 :UInt32;
  vm @1 :UInt32;           # the owner
  fence @2 :UInt64;
}

struct EpochView {
  epoch @0 :UInt64;
  grants @1 :List(Right);  # what this epoch adds to the asking gateway, to be applied once
  closing @2 :Bool;        # holdings of the epoch before are still being gathered
  newest @3 :UInt64;       # the newest epoch, also where the asking gateway is no member of it (epoch is 0 then)
}

struct Instance {
  # An adapter version as loaded on one upstream.
  upstream @0 :UInt32;
  adapter @1 :UInt32;
  version @2 :UInt32;
  fence @3 :UInt64;        # of the owner that loaded it; part of its name on the engine
}

struct FenceSeen { upstream @0 :UInt32; fence @1 :UInt64; }

struct EngineView {
  upstream @0 :UInt32;
  ownerFence @1 :UInt64;
  running @2 :UInt32;
  waiting @3 :UInt32;
  freeSlots @4 :UInt32;
  healthy @5 :Bool;
  boot @6 :UInt64;         # changes when the engine restarts
  resident @7 :List(Instance);
}

interface Controller extends(RightsHolder) {
  pollConfig @0 (from :Peer, have :UInt64, waitMs :UInt32) -> (revision :UInt64, body :Data, full :Bool, freshMs :UInt64);
  # Waits up to waitMs for a revision above `have`. body: JSON of the edits since `have`, or of the
  # whole tree when full. Empty when there is nothing newer. freshMs: milliseconds since the store confirmed it.

  pollFleet @1 (from :Peer, peerAddress :Text, have :UInt64, waitMs :UInt32)
    -> (seq :UInt64, members :List(Member), owners :List(OwnedUpstream), epoch :EpochView);
  # Where seq is `have`, nothing has changed and the rest is empty.

  reportHoldings @2 (from :Peer, epoch :UInt64, holdings :List(Right)) -> ();

  pollUpstreams @3 (from :Peer, have :UInt64, waitMs :UInt32, seen :List(FenceSeen), held :List(Instance))
    -> (seq :UInt64, engines :List(EngineView), recalls :List(Instance));

  acquire @4 (from :Peer, upstream :UInt32, adapter :UInt32, version :UInt32, account :UInt32, waitMs :UInt32, ask :UInt64)
    -> (outcome :AcquireOutcome, instance :Instance, retryMs :UInt32, ownerFence :UInt64);
  # ask: number of the question, growing with each that this gateway asks.
  # ownerFence: of the owner that grants it, which may be a later one than the instance's.

  release @5 (from :Peer, ownerFence :UInt64, instances :List(Instance), ask :UInt64) -> ();
  # All instances are of one upstream. ownerFence: the highest that the gateway has seen of it.
  # ask: the word covers what was granted for questions up to this number.

  claim @6 (from :Peer, key :Data, fingerprint :Data) -> (outcome :ClaimOutcome, answer :Data);
  finishClaim @7 (from :Peer, key :Data, fingerprint :Data, answer :Data) -> (stored :Bool);
  # An empty answer gives the claim back: the call has certainly not run.

  status @8 () -> (revision :UInt64, epoch :UInt64, gatewayRevision :UInt64, storeUp :Bool, owned :UInt32, leaving :Bool);

  leave @9 (from :Peer, holdings :List(Right), epoch :UInt64) -> ();
  # A gateway's last word before it stops: it admits nothing any more and gives back what it held.
}

enum AcquireOutcome { granted @0; loading @1; full @2; loadFailed @3; notOwner @4; }
enum ClaimOutcome { fresh @0; running @1; done @2; mismatch @3; unavailable @4; }
