@0xd3b07c61f2a94e58;

# Between entry VMs: one of them schedules, the others ask it.

struct PromptPart {
  id @0 :UInt64;
  tokens @1 :UInt32;
}

struct Job {
  number @0 :UInt64;           # of the attempt, never used twice by its VM
  account @1 :Text;            # empty: none
  caller @2 :UInt64;           # hash of the request, the same for all attempts of its caller
  cost @3 :UInt64;
  service @4 :Text;
  model @5 :Text;              # empty: a call of a plain service
  adapter @6 :Text;            # empty: none
  promptTokens @7 :UInt32;
  outputTokens @8 :UInt32;
  parts @9 :List(PromptPart);
  priority @10 :UInt8;
  objectiveMs @11 :UInt32;     # what is left of it
  deadlineMs @12 :UInt32;      # what is left of it
  attempt @13 :UInt32;
  avoid @14 :List(Text);       # upstreams that have failed it
  dataCentre @15 :Text;
  gapObjectiveMs @16 :UInt32;  # 0: none
  allowedDataCentres @17 :List(Text);  # empty: all
  build @18 :Text;             # the only software version that may serve it; empty: any
  version @19 :UInt32;         # newest announced version of the adapter that the VM knows; 0: none
  olderMs @20 :UInt32;         # how much longer the request may begin on an older one
  hasBegun @21 :Bool;          # its caller has a part of the answer
  isSuccessor @22 :Bool;       # the last upstream to avoid is silent and still works on it
  allowedUpstreams @23 :List(Text);  # the only ones that may serve it; empty: all
  route @24 :Text;             # empty: not known
  lengthHint @25 :UInt32;      # the caller's estimate of the output in tokens; 0: none
  routePriority @26 :UInt8;
  bodyBytes @27 :UInt32;
}

struct RunningJob {
  job @0 :Job;
  upstream @1 :Text;
  version @2 :UInt32;          # of the adapter; 0: not known
  hasBegun @3 :Bool;
}

# Attempts of a VM's callers at one service within a tenth of the window of the retry budget.
struct Attempts {
  service @0 :Text;
  requests @1 :UInt32;         # first attempts
  retries @2 :UInt32;
  agoMs @3 :UInt32;            # the longest time since any of them; 0 from a VM that counts them over the whole window
}

# Tokens that a VM's callers were admitted within a short time.
struct Spent {
  agoMs @0 :UInt16;            # the least time since any of them was admitted
  tokens @1 :UInt32;
}

# What a VM's callers have used of one account's rate in the last window over which limits are judged.
struct AccountUse {
  account @0 :Text;
  spent @1 :List(Spent);
}

struct Verdict {
  upstream @0 :Text;           # empty: refused
  address @1 :Text;
  version @2 :UInt32;          # the only one that may run it; 0: any
  refusal @3 :Text;            # short name of the error
  retryAfterMs @4 :UInt32;     # 0: none named
  waitedFor @5 :Text;          # what the request waited for longest
  build @6 :Text;              # software version of the upstream; empty: not known
}

enum EndKind {
  answered @0;
  failed @1;
  shed @2;
  notLoaded @3;
  otherUpstream @4;
  unreachable @5;
  lost @6;
  silent @7;
  abandoned @8;
  firstEvent @9;               # no end: the first event of a stream was seen
}

# The load that an upstream reports with a response.
struct LoadReport {
  running @0 :UInt32;
  waiting @1 :UInt32;
  slots @2 :UInt32;            # 0: not reported
  pacePercent @3 :UInt16;      # time of work in percent of the usual; 0: not reported
  agoMs @4 :UInt32;            # since the VM received it
}

# What an upstream states about itself in the head of a response.
struct Signals {
  hasRequestLimit @0 :Bool;
  requestLimit @1 :Float64;    # requests per second, from all VMs together
  restMs @2 :UInt32;           # how long it wants no request from the VM; 0: none asked for
  isLeaving @3 :Bool;          # whether it is about to stop
  isBrittle @4 :Bool;          # whether it falls over if it turns too many requests away
  maxRejections @5 :UInt32;    # how many in a second it bears
  load @6 :LoadReport;         # null: none reported
}

struct Stated {
  upstream @0 :Text;
  signals @1 :Signals;
  startedUnixMs @3 :UInt64;    # identifies its run; 0: not known
  sentAgoMs @2 :List(UInt16);  # how long ago the VM sent its last requests there
  basePace @4 :Float32;        # how long work takes there for good, relative to the service; 0: not known
  basePaceWeight @5 :Float32;  # how many observations that rests on
}

# What a VM has learned of the cost of requests.
struct LearnedCost {
  service @0 :Text;
  route @1 :Text;              # empty: of all routes
  account @2 :Text;            # empty: of all accounts
  adapter @3 :Text;            # MODEL/ADAPTER; empty: of all adapters
  mean @4 :Float64;            # milliseconds of a service as a whole, otherwise a ratio
  deviation @5 :Float64;
  weight @6 :Float64;          # how many observations it rests on
}

# A time to come back that a VM has passed on to a refused caller.
struct Promise {
  caller @0 :UInt64;           # hash of the request, the same for all attempts of its caller
  service @1 :Text;
  priority @2 :UInt8;
  dueInMs @3 :UInt32;
  work @4 :Float64;            # the capacity kept for it, in the unit of the service's capacity
}

# What the end of an attempt shows about the parts of its prompt, or about the request.
enum Evidence {
  none @0;
  crash @1;                    # one of them, or it, may have crashed the upstream
  sound @2;                    # none of them, or it doesn't, crash upstreams
  gone @3;                     # as crash, and the upstream refuses connections; of a request only
}

struct News {
  number @0 :UInt64;
  kind @1 :EndKind;
  tookMs @2 :UInt32;
  signals @3 :Signals;         # null: no response has begun
  evidence @4 :Evidence;
  begunAgoMs @5 :UInt32;       # with sound evidence: since the answer began
  requestEvidence @6 :Evidence;  # about the request, over all attempts of its caller
  isOpen @7 :Bool;             # sent, and no whole answer: counts if the upstream is seen to have ended
  hasBroken @8 :Bool;          # if it is open: its connection broke; otherwise it was given up
}

# A crash of an upstream as it began to answer prompts with these parts.
struct Crash {
  upstream @0 :Text;
  agoMs @1 :UInt32;
  accused @2 :List(Accused);
}

struct Accused {
  part @0 :Text;               # hexadecimal id of a part of prompts, adapter.ID or request.ID
  sentAgoMs @1 :UInt32;        # since such a prompt was last sent to the upstream
  prompt @2 :UInt16;           # parts with the same number were in one prompt; of no meaning for a request
}

# A part of prompts, or a request, that an answer has shown to be sound.
struct Sound {
  part @0 :Text;               # as in Accused
  agoMs @1 :UInt32;            # since the latest such answer began
}

# Prompts with all of these parts are refused.
struct Quarantined {
  parts @0 :List(Text);
}

# Which part of an account's requests the leader wants to be asked about.
struct AskShare {
  account @0 :Text;
  isCall @1 :Bool;             # its calls of plain services; otherwise its generations
  share @2 :UInt16;            # in ten-thousandths
  retryAfterMs @3 :UInt32;     # what callers of the others are told; 0: none named
}

struct Leadership {
  vm @0 :Text;
  address @1 :Text;
  fence @2 :UInt64;            # 0: none known
  leaving @3 :Bool;            # it stops, and another one may take its place at once
}

struct Rested {
  upstream @0 :Text;
  forMs @1 :UInt32;            # since its last order
}

enum RenewalState {
  renewed @0;
  ended @1;
  unknown @2;                  # the store didn't answer in time
}

enum FeedState {
  current @0;
  stale @1;                    # the store hasn't answered this VM for a while
  notReading @2;               # it follows another VM itself
  historyGone @3;              # it doesn't know what has changed since
}

struct Change {
  key @0 :Text;
  value @1 :Data;
  createRevision @2 :UInt64;
  revision @3 :UInt64;
  lease @4 :UInt64;
  deleted @5 :Bool;
}

# What all upstreams that write one stream have in common.
struct ServiceBuild {
  service @0 :Text;
  build @1 :Text;              # software version; empty: in doubt
}

# Where the first event of a stream was written.
struct StreamOrigin {
  stream @0 :UInt64;           # hash of the request id of the caller's attempt that began it
  origin @1 :ServiceBuild;
}

interface Scheduler {
  # `countedForMs`: how much of the window the VM has counted its `attempts`. `stated`: what upstreams have stated.
  # `ratesCountedForMs`: how much of the window of the rate limits the VM has counted what its `accounts` used; 0: it doesn't tell.
  hello @0 (vm :Text, incarnation :UInt64, running :List(RunningJob), attempts :List(Attempts), countedForMs :UInt32,
      stated :List(Stated), crashes :List(Crash), quarantine :List(Quarantined), accounts :List(AccountUse),
      ratesCountedForMs :UInt32, costs :List(LearnedCost), promises :List(Promise), sound :List(Sound))
      -> (session :UInt32, leader :Leadership);
  place @1 (session :UInt32, job :Job) -> (known :Bool, verdict :Verdict);
  tell @2 (session :UInt32, news :List(News)) -> (known :Bool);
  # `rested` comes from a leader that leaves: how long ago it gave each engine its last order.
  announce @3 (leader :Leadership, rested :List(Rested)) -> (leader :Leadership);
  # `quarantine`: that of the leader, if it differs from the one with the hash that the VM knows.
  # `askRevision`: of the shares that the VM knows; the leader sends others if it has them. `choice` goes with the shares.
  ping @4 (quarantineHash :UInt64, askRevision :UInt64)
      -> (leader :Leadership, quarantineDiffers :Bool, quarantine :List(Quarantined),
      askRevision :UInt64, choice :UInt64, askShares :List(AskShare));
  # Changes of the store after a revision; waits for the first one. Minor ones wait for nobody: they come along after
  # their own revision, 0 for none of them. `answeredAgoMs`: since the store last answered the VM.
  changes @5 (after :UInt64, minorAfter :UInt64, waitMs :UInt32)
      -> (state :FeedState, revision :UInt64, sinceBackMs :UInt32, changes :List(Change), answeredAgoMs :UInt32);
  # Renews a lease of the store for a VM that doesn't reach it.
  renew @6 (lease :UInt64) -> (state :RenewalState, ttlMs :UInt32);
  # Origins for this VM to keep.
  noteOrigins @7 (origins :List(StreamOrigin)) -> ();
  # The origin of a stream, as this VM keeps it; null: it doesn't.
  findOrigin @8 (stream :UInt64) -> (origin :ServiceBuild);
  # What this VM knows of a service's software versions; it asks the store first whether that still holds.
  # `completeForMs`: how long it has known all upstreams; 0: it doesn't.
  knownBuilds @9 (service :Text) -> (only :Text, completeForMs :UInt32, isConfirmed :Bool);
}
