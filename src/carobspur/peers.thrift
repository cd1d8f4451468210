// Messages between the processes of this system. Every frame on a connection is
// one Frame behind its length and CRC-32 (4 bytes each, the high byte first); its
// body is the struct that the method names.
namespace py carobspur.peers

enum FrameKind {
  REQUEST = 1,
  PART = 2,
  RESULT = 3,
  FAILURE = 4,
  CANCEL = 5,
}

struct Frame {
  1: required i64 id,
  2: required FrameKind kind,
  3: optional string method,
  4: optional binary body,
}

struct Failure {
  1: required string cause,
  2: required string verdict,
  3: required string message,
  4: optional double retry_after_s,
  5: optional string detail,
  6: optional bool proven,
}

struct Empty {
}

// Who asks, as entry or control established it from a key; role is the key's, a
// caller's where it is left out. A scheduler whose inventory revision is lower than
// the asker's must not judge the request yet.
struct Caller {
  1: required string organisation,
  2: required string user,
  3: required i64 revision,
  4: optional string role,
}

struct StartProgram {
  1: required Caller caller,
  2: required string program,
  3: required string agent,
  4: optional string parent,
  5: optional double deadline_s,
}

struct ProgramStarted {
  1: required string program,
  2: required bool created,
}

struct RunCall {
  1: required Caller caller,
  2: required string program,
  3: required i32 number,
  4: required string endpoint,
  5: required binary input,
  6: required bool stream,
}

// A piece of a streamed answer; index counts from 0 within one generation of it.
struct CallPart {
  1: required i32 index,
  2: required string text,
  3: required string generation,
}

struct CallAnswer {
  1: required string program,
  2: required i32 number,
  3: required string digest,
  4: required binary output,
  5: required bool durable,
  6: required bool replayed,
  7: optional i64 cost_units,
  8: optional string receipt,
}

struct RunSingleCall {
  1: required Caller caller,
  2: required string program,
  3: required string endpoint,
  4: required binary input,
  5: required bool stream,
}

struct ShowProgram {
  1: required Caller caller,
  2: required string program,
  3: required bool with_history,
}

// document is the JSON encoding of programs.ProgramReport.
struct ProgramDocument {
  1: required binary document,
}

struct EndProgram {
  1: required Caller caller,
  2: required string program,
  3: required string reason,
}

// Notes a sub-agent with its parent, before it starts.
struct AdoptChild {
  1: required Caller caller,
  2: required string parent,
  3: required string child,
}

// Ends a sub-agent whose parent has ended.
struct EndChild {
  1: required Caller caller,
  2: required string parent,
  3: required string child,
}

struct Drain {
  1: required bool leaving,
}

// What a scheduler is at, for operators of one organisation or of the platform.
struct GetStatus {
  1: required string organisation,
}

struct SchedulerStatus {
  1: required i64 revision,
  2: required bool ready,
  3: required bool leaving,
  4: required i32 shards,
  5: required i32 programs,
}

// Asks a control process for its view; the answer holds what changed since the
// change that the asker names, or everything where it names none that is known.
struct GetView {
  1: required i64 known_change,
  2: required string incarnation,
  3: required bool with_loads,
}

struct SessionInfo {
  1: required string id,
  2: required i64 epoch,
  3: required string instance,
  4: required string host,
  5: required i32 port,
  6: required string data_centre,
  7: required bool leaving,
}

struct InstanceInfo {
  1: required string id,
  2: required string host,
  3: required i32 entry_port,
  4: required i32 scheduler_port,
  5: required i32 control_port,
  6: required string data_centre,
  7: required bool leaving,
  8: required i32 peer_port,
}

struct EndpointLoad {
  1: required string address,
  2: required bool reachable,
  3: required i32 running,
  4: required i32 waiting,
  5: required i64 kv_used_tokens,
  6: required i64 kv_capacity_tokens,
  7: required double age_s,
  8: required bool leaving,
}

struct ShardInfo {
  1: required i32 number,
  2: required string session,
}

// change and incarnation name this state of the view. Where is_full is false, the
// lists hold only what changed; inventories is a JSON list of those that changed.
struct View {
  1: required i64 change,
  2: required string incarnation,
  3: required bool is_full,
  4: required i64 revision,
  5: required bool is_current,
  6: required i32 shards,
  7: required list<SessionInfo> sessions,
  8: required list<string> gone_sessions,
  9: required list<ShardInfo> shard_owners,
  10: required list<InstanceInfo> instances,
  11: required list<string> gone_instances,
  12: required list<EndpointLoad> loads,
  13: optional binary inventories,
}

// A row of the table as a control process read it; no value: the row is deleted.
struct GossipItem {
  1: required string key,
  2: required i64 version,
  3: optional binary value,
}

// Key hashes and ranks of a bucket's items, packed.
struct BucketSummary {
  1: required i32 bucket,
  2: required binary items,
}

// A round of gossip, and its answer. table_age_s is how long ago the freshest reading
// of the table was made that the sender has heard of; left out where there is none.
struct Gossip {
  1: required string instance,
  2: required string data_centre,
  3: required i64 revision,
  4: optional double table_age_s,
  5: required binary heartbeats,
  6: required binary loads,
  7: required binary digest,
  8: required list<GossipItem> items,
  9: required list<BucketSummary> summaries,
}

// Sends items that the other side lacks and asks for items by the hashes of their keys.
struct Reconcile {
  1: required list<GossipItem> items,
  2: required binary wanted,
}

struct Reconciled {
  1: required list<GossipItem> items,
}

// Asks the owner of some programs, which an engine has in its cache, to release those
// that are gone.
struct SweepCache {
  1: required string address,
  2: required list<string> programs,
}

struct CacheSwept {
  1: required i32 released,
}
