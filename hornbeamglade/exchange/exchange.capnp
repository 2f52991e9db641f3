@0xd3a1f5c8b2e94716;
# Messages between entry nodes, one Envelope per datagram, or one in each direction at the
# start of a tunnel's connection. Fields are only added at the end, so nodes of two releases
# can read each other's messages.

struct Envelope {
  sender @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  wallS @3 :UInt32;
  elapsedTenths @4 :UInt32;
  union {
    heartbeat @5 :Heartbeat;
    grantAsk @6 :GrantAsk;
    grantAnswer @7 :GrantAnswer;
    progress @8 :Progress;
    configHint @9 :ConfigHint;
    configAsk @10 :ConfigAsk;
    configOffer @11 :ConfigOffer;
    moveTurn @12 :MoveTurn;
    outrun @13 :Outrun;
    crashReport @14 :CrashReport;
    quarantineNotice @15 :QuarantineNotice;
    tunnelRequest @16 :TunnelRequest;
    tunnelResponse @17 :TunnelResponse;
    originRecords @18 :OriginRecords;
    originQuery @19 :OriginQuery;
    partCrashReport @20 :PartCrashReport;
    partInquiry @21 :PartInquiry;
    partSuccesses @22 :PartSuccesses;
    versionStatement @23 :VersionStatement;
  }
}

struct PartCrashReport {
  service @0 :UInt64;
  crashes @1 :List(ReportedPartCrash);
}

struct ReportedPartCrash {
  part @0 :UInt64;
  replica @1 :UInt64;
  team @2 :UInt64;
  nextPart @3 :UInt64;
  ageMs @4 :UInt32;
  ranMs @5 :UInt32;
  request @6 :UInt64;
}

struct PartInquiry {
  parts @0 :List(UInt64);
}

struct PartSuccesses {
  parts @0 :List(PartSuccess);
}

struct PartSuccess {
  part @0 :UInt64;
  ageMs @1 :UInt32;
}

struct OriginRecords {
  origins @0 :List(OriginRecord);
}

struct OriginRecord {
  stream @0 :UInt64;
  version @1 :UInt64;
  keptS @2 :UInt16;
}

struct OriginQuery {
  streams @0 :List(UInt64);
  service @1 :UInt64;
  windowS @2 :UInt16;
  token @3 :UInt64;
}

struct VersionStatement {
  token @0 :UInt64;
  service @1 :UInt64;
  version @2 :UInt64;
  listVersion @3 :UInt64;
}

struct TunnelRequest {
  replica @0 :UInt64;
}

struct TunnelResponse {
  outcome @0 :UInt8;
}

struct Outrun {
  incarnation @0 :UInt64;
}

struct CrashReport {
  crashes @0 :List(ReportedCrash);
}

struct ReportedCrash {
  fingerprint @0 :UInt64;
  replica @1 :UInt64;
  ageMs @2 :UInt32;
  ranMs @3 :UInt32;
}

struct QuarantineNotice {
  requests @0 :List(QuarantinedRequest);
}

struct QuarantinedRequest {
  fingerprint @0 :UInt64;
  leftS @1 :UInt32;
  isPart @2 :Bool;
}

struct Heartbeat {
  state @0 :UInt8;
  wantsAnswer @1 :Bool;
  beat @2 :UInt32;
  configRevision @3 :UInt64;
  failureDomain @4 :Text;
  address @5 :Text;
  exchange @6 :Text;
  replicas @7 :List(ReplicaDigest);
  demands @8 :List(TeamDemand);
  rumours @9 :List(Rumour);
  refutation @10 :UInt32;
  listVersion @11 :UInt64;
  evacuations @12 :Evacuations;
  quarantineDigest @13 :UInt64;
  waiting @14 :List(WaitingClass);
}

struct Evacuations {
  version @0 :UInt64;
  domains @1 :List(Text);
}

struct ReplicaDigest {
  replica @0 :UInt64;
  roomTokens @1 :UInt32;
  expectedWaitMs @2 :UInt32;
  queued @3 :UInt16;
  leaving @4 :Bool;
  ejected @5 :Bool;
  tokenUs @6 :UInt16;  # in units of 10 microseconds
  pauseMs @7 :UInt16;
}

struct WaitingClass {
  service @0 :UInt64;
  owner @1 :UInt64;
  priority @2 :Int32;
  waiting @3 :UInt16;
  startsPer100s @4 :UInt16;
  ageMs @5 :UInt16;
  onTime @6 :UInt16;
}

struct TeamDemand {
  team @0 :UInt64;
  share @1 :UInt16;
  demand @2 :UInt16;
}

struct Rumour {
  node @0 :UInt64;
  incarnation @1 :UInt64;
  refutation @2 :UInt32;
  state @3 :UInt8;
}

struct GrantAsk {
  ask @0 :UInt64;
  replica @1 :UInt64;
  service @2 :UInt64;
  team @3 :UInt64;
  priority @4 :Int32;
  promptTokens @5 :UInt32;
  maxTokens @6 :UInt32;
  weight @7 :Float32;
  deadlineMs @8 :UInt32;
  produced @9 :UInt32;
  orOther @10 :Bool;
  avoid @11 :List(UInt64);
  dueMs @12 :UInt32 = 0xffffffff;
  atOnce @13 :Bool;
  gapGoalMs @14 :UInt16;
  expectedTokens @15 :UInt32;
  mayFindOther @16 :Bool;
  goalMs @17 :UInt32;
}

struct GrantAnswer {
  ask @0 :UInt64;
  incarnation @1 :UInt64;
  kind @2 :UInt8;
  retryAfterMs @3 :UInt32;
  code @4 :Text;
  replica @5 :UInt64;
  replicas @6 :List(ReplicaDigest);
  agesMs @7 :List(UInt16);
  waiting @8 :List(WaitingClass);
}

struct Progress {
  running @0 :List(GrantProgress);
  returned @1 :List(GrantReturn);
}

struct GrantProgress {
  ask @0 :UInt64;
  replica @1 :UInt64;
  produced @2 :UInt32;
  tokenUs @3 :UInt16;
  pauseMs @4 :UInt16;
}

struct GrantReturn {
  ask @0 :UInt64;
  produced @1 :UInt32;
  tokenUs @2 :UInt16;
  pauseMs @3 :UInt16;
}

struct ConfigHint {
  revision @0 :UInt64;
  listVersion @1 :UInt64;
  isReached @2 :Bool;
  evacuations @3 :Evacuations;
}

struct MoveTurn {
  kind @0 :UInt8;
  replica @1 :UInt64;
  run @2 :UInt64;
  tokens @3 :UInt32;
}

struct ConfigAsk {
  revision @0 :UInt64;
  chunk @1 :UInt16;
  subject @2 :UInt8;
  since @3 :UInt64;
}

struct ConfigOffer {
  revision @0 :UInt64;
  digest @1 :Data;
  chunk @2 :UInt16;
  chunks @3 :UInt16;
  content @4 :Data;
  subject @5 :UInt8;
}
